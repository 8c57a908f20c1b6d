package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
	"azurering/core/mirror"
	"azurering/core/quota"
	"azurering/core/timer"
	"azurering/io/beacon"
)

const (
	// heartbeatInterval is the time between two heartbeats. Loads at servers
	// change within a second, and a failed host must be noticed within two.
	heartbeatInterval = 400 * time.Millisecond
	// catchUpDelay is how long a host that lags behind another one waits
	// before it fetches that host's copy: the answer of the store is usually
	// on its way.
	catchUpDelay = 250 * time.Millisecond
	// fetchTimeout bounds the first attempt to fetch changes, because the other
	// host may have frozen. Later attempts have the time that a whole table
	// takes.
	fetchTimeout = 500 * time.Millisecond
	// hostListRetry is the delay before another attempt to register in the
	// store's list of hosts and to read it.
	hostListRetry = 500 * time.Millisecond
)

// register adds this host to the list of hosts in the store and reads the
// others from it. Hosts that register later become known by their heartbeats.
func (h *host) register(ctx context.Context) {
	raw, err := beacon.EncodeHeartbeat(h.heartbeat())
	if err != nil {
		h.cfg.Log.WithError(err).Error("edge: heartbeat cannot be encoded; host is not registered")
		return
	}
	for ctx.Err() == nil {
		err := h.feed.Put(ctx, core.FeedHosts, string(h.cfg.Place.Name), raw)
		if err == nil {
			err = h.loadHosts(ctx)
		}
		if err == nil {
			return
		}
		h.cfg.Log.WithError(err).Warn("edge: registering in the store or reading its list of hosts failed; trying again")
		select {
		case <-ctx.Done():
		case <-h.timer.After(hostListRetry):
		}
	}
}

// loadHosts reads the list of hosts from the store.
func (h *host) loadHosts(ctx context.Context) error {
	list, err := h.feed.List(ctx, core.FeedHosts)
	if err != nil {
		return err
	}
	heartbeats := make([]gossip.Heartbeat, 0, len(list.Rows))
	for _, r := range list.Rows {
		heartbeat, err := beacon.DecodeHeartbeat(r.Value)
		if err != nil {
			h.cfg.Log.WithError(err).WithField("row", r.Key).Warn("edge: entry of a host cannot be decoded and is ignored")
			continue
		}
		heartbeats = append(heartbeats, heartbeat)
	}
	h.members.AddListed(heartbeats)
	return nil
}

// heartbeat returns this host's current heartbeat.
func (h *host) heartbeat() gossip.Heartbeat {
	b := staticHeartbeat(h.cfg)
	b.StartedMs, b.Ready, b.Versions = h.bootTime, h.isReady(), make(map[core.FeedTable]uint64)
	b.Demand, b.InFlight, b.SpareTokens = h.limiter.Demand(), h.view.InFlight(), h.limiter.SpareTokens()
	for table, m := range h.state.mirrors {
		_, b.Versions[table] = m.Versions()
		b.StoreDown = b.StoreDown || m.Failing()
	}
	return b
}

// runHeartbeats sends heartbeats and applies what other hosts reported. A change
// that other hosts wait for is sent at once.
func (h *host) runHeartbeats(ctx context.Context) {
	timer.Every(ctx, h.timer, "beats", heartbeatInterval, h.state.changed, func(context.Context) {
		h.sendHeartbeats()
		others := h.members.Totals()
		h.limiter.SetPeers(quota.Peers{
			Demand: others.Demand, Hosts: others.Hosts, Unseen: others.Unseen, Complete: others.Complete,
		})
		h.budget.SetHosts(len(others.Hosts) + 1)
		h.view.SetRemoteInFlight(others.InFlight)
		for _, id := range h.view.Tick() {
			h.cfg.Log.WithFields(logrus.Fields{"event": "server", "server": id}).Info("edge: lapsed entry of a server was not renewed; the server gets no more requests")
		}
	})
}

func (h *host) sendHeartbeats() {
	for _, m := range h.members.Tick(h.heartbeat()) {
		err := h.beacon.Send(m.Digest, m.To)
		switch {
		case codes.Of(err) == codes.PeerFrame:
			h.cfg.Log.WithError(err).Error("edge: digest does not fit into a datagram; its receivers do not see the hosts in it")
		case err != nil:
			// Hosts that are down refuse datagrams.
			h.cfg.Log.WithError(err).Debug("edge: heartbeat was not sent to all hosts")
		}
	}
}

// receiveDigest applies a digest from another host and returns the addresses
// to forward it to. It also wakes the catch-up of both tables.
func (h *host) receiveDigest(d gossip.Digest) []string {
	forwardTo := h.members.Receive(d)
	for _, c := range h.catchUpWake {
		wake(c)
	}
	return forwardTo
}

// wake sends to a channel with room for one value, unless it is full.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// fetch fetches the changes of a table after a version from another host.
func (h *host) fetch(ctx context.Context, from string, table core.FeedTable, after uint64, patient bool) (mirror.Snapshot, error) {
	if after > 0 && !patient {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
	}
	return beacon.FetchSnapshot(ctx, from, h.cfg.Place.PeerPort, table, after)
}

// missing returns the address of a host that has a change of a table that is
// missing in this host's copy, or "" if none has, and the version up to which
// the copy is complete.
func (h *host) missing(table core.FeedTable) (from string, asOf uint64) {
	asOf, _ = h.state.mirrors[table].Versions()
	newest, address := h.members.NewestVersion(table)
	if newest <= asOf {
		return "", asOf
	}
	return address, asOf
}

// runCatchUp fetches the changes of a table that other hosts have. Hosts that
// do not follow the store learn all changes this way; for the others it
// covers calls to the store that got no answer.
func (h *host) runCatchUp(ctx context.Context, table core.FeedTable) {
	failed := false // the last attempt failed
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.catchUpWake[table]:
		}
		m := h.state.mirrors[table]
		if from, _ := h.missing(table); from == "" {
			continue
		}
		if h.members.FollowsStore() {
			// The store's own answer is on its way.
			<-h.timer.After(catchUpDelay)
		}
		from, asOf := h.missing(table)
		if from == "" || asOf == 0 && h.members.FollowsStore() && !m.Failing() {
			continue
		}
		c, err := h.fetch(ctx, from, table, asOf, failed)
		failed = err != nil
		log := h.cfg.Log.WithFields(logrus.Fields{"event": "catchup", "table": table, "own": asOf, "newest": c.Newest, "from": from})
		if err != nil {
			log.WithError(err).Warn("edge: fetching changes from another host failed; trying another one that has them")
			h.members.ClearVersions(from)
			wake(h.catchUpWake[table])
			continue
		}
		log.WithField("adopted", m.Merge(c)).Debug("edge: changes fetched from another host")
	}
}
