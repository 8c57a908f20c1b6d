package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/mirror"
	"azurering/io/beacon"
)

const (
	// catchUpDelay is how long a host that lags behind another one waits
	// before it fetches that host's copy: the answer of the store is usually
	// on its way.
	catchUpDelay = 250 * time.Millisecond
	// fetchTimeout bounds the first attempt to fetch changes, because the other
	// host may have frozen. Later attempts have the time that a whole table
	// takes.
	fetchTimeout = 500 * time.Millisecond
)

// runCatchUp fetches the changes of a table that other hosts have. Hosts that
// do not follow the store learn all changes this way; for the others it
// covers calls to the store that got no answer.
func (h *host) runCatchUp(ctx context.Context, table core.FeedTable) {
	failed := false // the last attempt to fetch what is missing now failed
	heard := h.timer.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.catchUpWake[table]:
		}
		m := h.state.mirrors[table]
		if from, _, _ := h.missing(table); from == "" {
			failed, heard = false, h.timer.Now()
			continue
		}
		if h.members.FollowsStore() {
			// The store's own answer is on its way.
			<-h.timer.After(catchUpDelay)
		}
		from, newest, asOf := h.missing(table)
		if from == "" || asOf == 0 && h.members.FollowsStore() && !m.Failing() {
			continue
		}
		c, err := h.fetch(ctx, from, table, asOf, failed)
		failed = err != nil
		log := h.cfg.Log.WithFields(logrus.Fields{"event": "catchup", "table": table, "own": asOf, "newest": newest, "from": from, "lacking": (h.timer.Now() - heard).Milliseconds()})
		if err != nil {
			log.WithError(err).Warn("edge: fetching changes from another host failed; trying another one that has them")
			h.members.ClearVersions(from)
			wake(h.catchUpWake[table])
			continue
		}
		log = log.WithField("adopted", m.Merge(c))
		lacking := h.timer.Now() - heard
		heard = h.timer.Now()
		if lacking < catchUpDelay {
			log.Debug("edge: changes fetched from another host")
			continue
		}
		h.metrics.CountLateChange(table)
		log.Info("edge: changes fetched from another host, late")
	}
}

// wake sends to a channel with room for one value, unless it is full.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// fetch fetches the changes of a table after a version from another host. It
// gives up early unless it is to be patient.
func (h *host) fetch(ctx context.Context, from string, table core.FeedTable, after uint64, patient bool) (mirror.Snapshot, error) {
	if after > 0 && !patient {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
	}
	return beacon.FetchSnapshot(ctx, from, h.cfg.Place.PeerPort, table, after)
}

// missing returns the address of the host that has the newest change of a table,
// the version of that change, and the version up to which this host's copy is
// complete. The address is "" if this host has all changes.
func (h *host) missing(table core.FeedTable) (from string, newest, asOf uint64) {
	asOf, _ = h.state.mirrors[table].Versions()
	newest, from = h.members.NewestVersion(table)
	if newest <= asOf {
		from = ""
	}
	return from, newest, asOf
}
