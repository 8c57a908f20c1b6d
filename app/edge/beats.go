package edge

import (
	"context"
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
	// beatEvery is the time between two beats. Loads at servers turn over
	// within a second, and a host that fails is to be noticed within two.
	beatEvery = 400 * time.Millisecond
	// behindFor is how long a host may lag behind another's change before
	// it fetches that host's copy: the store's own answer is on its way.
	behindFor = 250 * time.Millisecond
	// meetPause is the pause after a failed look at the list of hosts.
	meetPause = 500 * time.Millisecond
)

// announce enters this host into the store's list and meets the others.
// Later hosts introduce themselves by their beats.
func (h *host) announce(ctx context.Context) {
	raw, err := beacon.EncodeHeartbeat(h.beat())
	if err != nil {
		h.cfg.Log.WithError(err).Error("edge: host cannot be announced")
		return
	}
	for ctx.Err() == nil {
		err := h.feed.Put(ctx, core.FeedHosts, string(h.cfg.Place.Name), raw)
		if err == nil {
			err = h.meet(ctx)
		}
		if err == nil {
			return
		}
		h.cfg.Log.WithError(err).Warn("edge: list of hosts is out of reach")
		select {
		case <-ctx.Done():
		case <-h.timer.After(meetPause):
		}
	}
}

func (h *host) meet(ctx context.Context) error {
	list, err := h.feed.List(ctx, core.FeedHosts)
	if err != nil {
		return err
	}
	beats := make([]gossip.Heartbeat, 0, len(list.Rows))
	for _, r := range list.Rows {
		beat, err := beacon.DecodeHeartbeat(r.Value)
		if err != nil {
			h.cfg.Log.WithError(err).WithField("row", r.Key).Warn("edge: entry of a host ignored")
			continue
		}
		beats = append(beats, beat)
	}
	h.members.AddListed(beats)
	return nil
}

// beat returns this host's beat.
func (h *host) beat() gossip.Heartbeat {
	b := self(h.cfg)
	b.StartedMs, b.Ready, b.Versions = h.boot, h.isReady(), make(map[core.FeedTable]uint64)
	b.Demand, b.InFlight, b.SpareTokens = h.limiter.Demand(), h.view.InFlight(), h.limiter.SpareTokens()
	for table, m := range h.world.mirrors {
		_, b.Versions[table] = m.Versions()
		b.StoreDown = b.StoreDown || m.Failing()
	}
	return b
}

// runBeats sends beats and takes in what others reported. A change that the
// others wait for is told at once.
func (h *host) runBeats(ctx context.Context) {
	timer.Every(ctx, h.timer, "beats", beatEvery, h.world.changed, func(context.Context) {
		h.sendBeats()
		others := h.members.Totals()
		h.limiter.SetPeers(quota.Peers{
			Demand: others.Demand, Hosts: others.Hosts, Unseen: others.Unseen, Complete: others.Complete,
		})
		h.budget.SetHosts(len(others.Hosts) + 1)
		h.view.SetRemoteInFlight(others.InFlight)
		h.view.Tick()
	})
}

func (h *host) sendBeats() {
	for _, m := range h.members.Tick(h.beat()) {
		err := h.beacon.Send(m.Digest, m.To)
		switch {
		case codes.Of(err) == codes.PeerFrame:
			h.cfg.Log.WithError(err).Error("edge: beat is too large; other hosts do not hear of this one")
		case err != nil:
			// Hosts that are down refuse datagrams.
			h.cfg.Log.WithError(err).Debug("edge: beat was not sent to all hosts")
		}
	}
}

// hear takes in a digest from another host.
func (h *host) hear(d gossip.Digest) []string {
	onward := h.members.Receive(d)
	for _, behind := range h.behind {
		select {
		case behind <- struct{}{}:
		default:
		}
	}
	return onward
}

// runCatchUp fetches the changes of a table that other hosts know of. Hosts
// that do not follow the store learn all changes in this way; for the others
// it makes up for calls to the store that got no answer.
func (h *host) runCatchUp(ctx context.Context, table core.FeedTable) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.behind[table]:
		}
		m := h.world.mirrors[table]
		_, own := m.Versions()
		if newest, _ := h.members.NewestVersion(table); newest <= own {
			continue
		}
		if h.members.FollowsStore() {
			// The store's own answer is on its way.
			<-h.timer.After(behindFor)
		}
		asOf, own := m.Versions()
		newest, from := h.members.NewestVersion(table)
		if newest <= own || asOf == 0 && h.members.FollowsStore() && !m.Failing() {
			continue
		}
		c, err := beacon.FetchSnapshot(ctx, from, h.cfg.Place.PeerPort, table, asOf)
		log := h.cfg.Log.WithFields(logrus.Fields{"event": "catchup", "table": table, "own": own, "newest": newest, "from": from})
		if err != nil {
			log.WithError(err).Warn("edge: changes were not fetched from another host")
			<-h.timer.After(behindFor)
			continue
		}
		log.WithField("adopted", m.Merge(c)).Debug("edge: changes fetched from another host")
	}
}
