package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/gossip"
	"azurering/core/quota"
	"azurering/core/timer"
	"azurering/io/beacon"
)

const (
	// heartbeatInterval is the time between two heartbeats. Loads at servers
	// change within a second, and a failed host must be noticed within two.
	heartbeatInterval = 400 * time.Millisecond
	// oldCopyAge is the age from which the copy of a table counts as old in logs. A host
	// that reaches the store, or others that do, has none.
	oldCopyAge = 2 * time.Second
	// hostListRetry is the delay before another attempt to register in the
	// store's list of hosts and to read it.
	hostListRetry = 500 * time.Millisecond
	// eraInterval is the time between two checks whether the store has come back from
	// an older copy, and registerSpread the time over which the hosts register again.
	// All of them must be listed within 2 s of the return.
	eraInterval    = 100 * time.Millisecond
	registerSpread = 400 * time.Millisecond
	// relistDelay is how long after a list that names no other host it is read again, if
	// the store may have lost the others: the time in which they register again.
	relistDelay = 2 * time.Second
)

// runRegister registers this host, and again whenever the store has come back from an
// older copy: its entry is lost if it was written after the copy was made. Hosts that are
// added later would not find this one, and use what it uses of the limits that all hosts
// share.
func (h *host) runRegister(ctx context.Context) {
	for ctx.Err() == nil {
		era := h.register(ctx)
		h.awaitEra(ctx, era, 0)
		h.sleep(ctx, rand.N(registerSpread))
	}
}

// awaitEra waits until the store is in another era than the given one, for at most a
// time unless that is 0.
func (h *host) awaitEra(ctx context.Context, era uint64, limit time.Duration) {
	from := h.timer.Now()
	for ctx.Err() == nil && h.era() == era && (limit == 0 || h.timer.Now() < from+limit) {
		h.sleep(ctx, eraInterval)
	}
}

// era returns the newest era of the store that this host knows, from the store itself or
// from the copies of other hosts.
func (h *host) era() uint64 {
	era := h.feed.Era()
	for _, m := range h.state.mirrors {
		asOf, _ := m.Versions()
		era = max(era, asOf.Era)
	}
	return era
}

// sleep waits for a time or until the context ends.
func (h *host) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-h.timer.After(d):
	}
}

// register adds this host to the list of hosts in the store and reads the
// others from it. Hosts that register later become known by their heartbeats. It
// returns the era of the store in which the entry was written, or an earlier one.
func (h *host) register(ctx context.Context) (era uint64) {
	raw, err := beacon.EncodeHeartbeat(h.heartbeat())
	if err != nil {
		h.cfg.Log.WithError(err).Error("edge: heartbeat cannot be encoded; host is not registered")
		return h.era()
	}
	for ctx.Err() == nil {
		era = h.era()
		err := h.feed.Put(ctx, core.FeedHosts, string(h.cfg.Place.Name), raw)
		if era == 0 {
			era = h.era() // as the first response has named it
		}
		if err == nil {
			err = h.loadHosts(ctx)
		}
		if err == nil {
			return era
		}
		h.cfg.Log.WithError(err).Warn("edge: registering in the store or reading its list of hosts failed; trying again")
		h.sleep(ctx, hostListRetry)
	}
	return era
}

// loadHosts reads the list of hosts from the store.
func (h *host) loadHosts(ctx context.Context) error {
	list, err := h.feed.List(ctx, core.FeedHosts)
	if err == nil && len(list.Rows) <= 1 && list.Version.Era > 0 && len(h.members.Peers()) == 0 {
		// The store may have come back without the entries of the other hosts.
		h.awaitEra(ctx, list.Version.Era, relistDelay)
		list, err = h.feed.List(ctx, core.FeedHosts)
	}
	if err != nil {
		return err
	}
	heartbeats := make([]gossip.Heartbeat, 0, len(list.Rows))
	for _, r := range list.Rows {
		heartbeat, err := beacon.DecodeHeartbeat(r.Value)
		if err == nil && (heartbeat.Host == "" || net.ParseIP(heartbeat.Address) == nil) {
			err = codes.New(codes.PeerFrame, "edge: entry must have the name and the IP address of a host")
		}
		if err != nil {
			h.metrics.CountInvalidEntry(core.FeedHosts)
			h.cfg.Log.WithError(err).WithField("row", r.Key).Warn("edge: entry of a host cannot be decoded and is ignored")
			continue
		}
		heartbeats = append(heartbeats, heartbeat)
	}
	h.members.AddListed(heartbeats)
	h.joining.setListed()
	if list.Version.Era > 0 {
		wake(h.state.changed) // the sooner the others hear of this host, the sooner they answer
	}
	return nil
}

// heartbeat returns this host's current heartbeat.
func (h *host) heartbeat() gossip.Heartbeat {
	b := staticHeartbeat(h.cfg)
	b.StartedMs, b.Ready, b.Versions = h.bootTime, h.isReady(), make(map[core.FeedTable]core.Version)
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
			Demand: others.Demand, Hosts: others.Hosts, Complete: others.Complete,
		})
		h.logShares()
		h.logCopyAges()
		if others.Complete {
			h.budget.SetHosts(len(others.Hosts) + 1)
		}
		h.view.SetRemoteInFlight(others.InFlight)
		h.sendLimitNotices()
		h.suspectSilentServers()
		h.state.endHeldEvacuations()
		h.state.useReturnedEntries()
		for _, id := range h.view.Tick() {
			h.cfg.Log.WithFields(logrus.Fields{"event": "server", "server": id}).Info("edge: lapsed entry of a server was not renewed; the server gets no more requests")
		}
	})
}

// logShares logs how this host's shares of the rates changed.
func (h *host) logShares() {
	for _, c := range h.limiter.ShareChanges() {
		h.cfg.Log.WithFields(logrus.Fields{
			"event": "share", "workspace": c.Workspace, "share": c.Share, "before": c.Before, "lent": c.Lent, "borrowed": c.Borrowed, "rate": c.Rate, "demand": c.Demand, "others": c.OtherDemand,
		}).Info("edge: share of a workspace's rate changed")
	}
}

// logCopyAges logs which copies have become too old to show what has changed, and
// which are complete again.
func (h *host) logCopyAges() {
	for table, m := range h.state.mirrors {
		age := m.Age()
		if old := age > oldCopyAge; old != h.oldCopies[table] {
			h.oldCopies[table] = old
			_, newest := m.Versions()
			log := h.cfg.Log.WithFields(logrus.Fields{"event": "copy", "table": table, "age": age.Milliseconds(), "newest": newest, "failing": m.Failing()})
			if old {
				log.Warn("edge: neither the store nor another host confirms the copy of a table; what is known stays in use")
				continue
			}
			log.Info("edge: copy of a table is complete again")
		}
	}
}

// suspectSilentServers keeps requests from servers that are silent while orders wait
// there.
func (h *host) suspectSilentServers() {
	for _, s := range h.pool.SilentServers() {
		h.cfg.Log.WithFields(logrus.Fields{"event": "silent", "server": s.Name}).
			Warn("edge: server acknowledges nothing; orders wait there, other requests go elsewhere")
		h.view.Suspect(s)
	}
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
