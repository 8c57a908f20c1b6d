package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/quota"
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
	raw, err := beacon.EncodeBeat(h.beat(0))
	if err != nil {
		h.cfg.Log.WithError(err).Error("edge: host cannot be announced")
		return
	}
	for ctx.Err() == nil {
		err := h.cfg.Feed.Put(ctx, core.FeedHosts, string(h.cfg.Place.Name), raw)
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
	list, err := h.cfg.Feed.List(ctx, core.FeedHosts)
	if err != nil {
		return err
	}
	for _, r := range list.Rows {
		beat, err := beacon.DecodeBeat(r.Value)
		if err != nil {
			h.cfg.Log.WithError(err).WithField("row", r.Key).Warn("edge: entry of a host ignored")
			continue
		}
		h.members.Meet(beat)
	}
	return nil
}

// beat returns this host's beat.
func (h *host) beat(count uint64) gossip.Beat {
	b := gossip.Beat{
		Host: h.cfg.Place.Name, Domain: h.cfg.Place.Domain, Address: h.cfg.Place.Address, Boot: h.boot, Count: count,
		Ready: h.isReady(), Changes: make(map[core.FeedTable]uint64), Demand: h.limiter.Demand(), InFlight: h.view.InFlight(),
	}
	for table, m := range h.world.mirrors {
		_, b.Changes[table] = m.Versions()
	}
	return b
}

// runBeats sends beats and takes in what others reported.
func (h *host) runBeats(ctx context.Context) {
	ticks := h.timer.Subscribe("beats", beatEvery)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		count, targets := h.members.Targets()
		if err := h.beacon.Send(h.beat(count), targets); err != nil {
			h.cfg.Log.WithError(err).Debug("edge: beat was not sent to all hosts")
		}
		others := h.members.Totals()
		h.limiter.SetOthers(quota.Others{Demand: others.Demand, Hosts: others.Hosts, Unheard: others.Unheard})
		h.budget.SetHosts(others.Hosts + 1)
		h.view.SetRemote(others.InFlight)
		h.view.Expire()
	}
}

// runCatchUp fetches a table from another host that knows a newer change.
func (h *host) runCatchUp(ctx context.Context, table core.FeedTable) {
	ticks := h.timer.Subscribe("catchup", behindFor)
	defer ticks.Stop()
	var behind uint64 // newest change that was missing at the last look
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
		m := h.world.mirrors[table]
		_, own := m.Versions()
		newest, from := h.newest(table)
		if newest <= own {
			behind = 0
			continue
		}
		if behind == 0 || behind <= own {
			behind = newest
			continue
		}
		behind = 0
		c, err := beacon.FetchCopy(ctx, from, h.cfg.Place.Peer, table)
		log := h.cfg.Log.WithFields(logrus.Fields{"event": "catchup", "table": table, "own": own, "newest": newest, "from": from})
		if err != nil {
			log.WithError(err).Warn("edge: copy of a table was not fetched")
			continue
		}
		log.WithField("adopted", m.Adopt(c)).Info("edge: copy of a table fetched from another host")
	}
}

// newest returns the newest change that another host reports.
func (h *host) newest(table core.FeedTable) (version uint64, address string) {
	for _, p := range h.members.Peers() {
		if p.Alive && p.Changes[table] > version {
			version, address = p.Changes[table], p.Address
		}
	}
	return version, address
}
