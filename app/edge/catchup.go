package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/io/beacon"
)

const (
	// catchUpDelay is how long a host that lags behind another one waits before it
	// fetches changes: the answer of the store is usually on its way. localDelay is
	// the same for a host that does not follow the store, if no host of its own
	// domain has reported the change yet.
	catchUpDelay = 250 * time.Millisecond
	localDelay   = 60 * time.Millisecond
	// hedgeDelay is how long a host waits for the next part of the changes from one host
	// before it also asks another one. The first one may have frozen, or a packet was lost.
	hedgeDelay = 150 * time.Millisecond
	// fetchTimeout is how long an attempt to fetch changes goes on without any progress,
	// and after which another host is asked although there is some.
	fetchTimeout = 600 * time.Millisecond
	// tableTimeout is the same as fetchTimeout for the attempt to fetch a whole table.
	tableTimeout = 1500 * time.Millisecond
	// maxFetches bounds the concurrent attempts.
	maxFetches = int(fetchTimeout / hedgeDelay)
)

// runCatchUp fetches the changes of a table that other hosts have. Hosts that
// do not follow the store learn all changes this way; for the others it
// covers calls to the store that got no answer.
func (h *host) runCatchUp(ctx context.Context, table core.FeedTable) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.catchUpWake[table]:
			h.catchUp(ctx, table)
		}
	}
}

// catchUp fetches changes of a table until this host has all that live hosts report.
// It asks one host after the other without waiting for those that do not answer.
func (h *host) catchUp(ctx context.Context, table core.FeedTable) {
	heard, delay := h.timer.Now(), time.Duration(0)
	switch from, _ := h.missing(table); {
	case from == "":
		return
	case h.isJoining(table): // requests are refused meanwhile
	case h.members.FollowsStore():
		delay = catchUpDelay
	case !h.members.IsLocal(from):
		delay = localDelay
	}
	if delay > 0 {
		<-h.timer.After(delay)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &fetches{host: h, table: table, heard: heard, asked: make(map[string]bool), done: make(chan fetched, maxFetches)}
	for ctx.Err() == nil && f.next(ctx) {
		hedge := hedgeDelay
		if _, asOf := h.missing(table); asOf.IsZero() {
			hedge = fetchTimeout // a whole table takes longer, and costs more to fetch twice
		}
		select {
		case <-ctx.Done():
		case r := <-f.done:
			f.end(r)
		case <-h.timer.After(hedge):
		}
	}
}

// missing returns the address of the host to ask first for the changes of a table,
// and the version up to which this host's copy is complete. The address is "" if no
// live host reports a newer change.
func (h *host) missing(table core.FeedTable) (from string, asOf core.Version) {
	asOf, _ = h.state.mirrors[table].Versions()
	if sources := h.members.Sources(table, asOf); len(sources) > 0 {
		from = sources[0]
	}
	return from, asOf
}

// isJoining reports whether this host has no copy of a table yet and waits for that of
// another host.
func (h *host) isJoining(table core.FeedTable) bool {
	asOf, _ := h.state.mirrors[table].Versions()
	return table == core.FeedOperator && asOf.IsZero() && h.feed.Era() > 0 && h.joining.awaitsCopy()
}

// lacksConfig reports whether another host has a change of the operators' table that this
// host has not received.
func (h *host) lacksConfig() bool {
	from, _ := h.missing(core.FeedOperator)
	return from != ""
}

// fetches are the attempts to fetch the missing changes of a table.
type fetches struct {
	host    *host
	table   core.FeedTable
	heard   time.Duration   // when this host heard of the changes
	asked   map[string]bool // hosts that failed, had nothing new, or have not answered yet
	running int
	started time.Duration // the last attempt
	// progress is when a part of the changes last arrived, in nanoseconds of the timer.
	progress atomic.Int64
	done     chan fetched
}

// isArriving reports whether the changes are being transferred. To fetch them twice would
// slow down both transfers, and those to other hosts.
func (f *fetches) isArriving() bool {
	now := f.host.timer.Now()
	return f.running > 0 && now < time.Duration(f.progress.Load())+hedgeDelay && now < f.started+fetchTimeout
}

// fetched is the end of an attempt.
type fetched struct {
	from    string
	adopted bool
}

// next starts an attempt with the next host, if there is one. It returns false if no
// changes are missing.
func (f *fetches) next(ctx context.Context) bool {
	m := f.host.state.mirrors[f.table]
	asOf, _ := m.Versions()
	sources := f.host.members.Sources(f.table, asOf)
	joins := f.host.isJoining(f.table)
	if len(sources) == 0 || asOf.IsZero() && f.host.members.FollowsStore() && !m.Failing() && !joins {
		return false
	}
	if newest := f.host.members.NewestSource(f.table); joins && newest != "" {
		// A host of the same domain may have been cut off from the changes of the others.
		sources = append([]string{newest}, sources...)
	}
	if f.running == maxFetches || f.isArriving() {
		return true
	}
	for _, from := range sources {
		if f.asked[from] {
			continue
		}
		f.asked[from] = true
		f.running++
		f.started = f.host.timer.Now()
		go func() { f.done <- fetched{from: from, adopted: f.fetch(ctx, from, asOf)} }()
		return true
	}
	if f.running == 0 {
		clear(f.asked) // start over after hedgeDelay
	}
	return true
}

// end records the end of an attempt.
func (f *fetches) end(r fetched) {
	f.running--
	if r.adopted {
		delete(f.asked, r.from)
	}
}

// fetch fetches the changes after a version from a host and reports whether they were
// new.
func (f *fetches) fetch(ctx context.Context, from string, after core.Version) bool {
	h := f.host
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := fetchTimeout
	if after.IsZero() {
		timeout = tableTimeout
	}
	var last atomic.Int64 // progress of this attempt
	onProgress := func() {
		now := int64(h.timer.Now())
		last.Store(now)
		f.progress.Store(now)
	}
	last.Store(int64(h.timer.Now()))
	go h.cancelWhenStalled(ctx, cancel, &last, timeout)
	c, err := beacon.FetchSnapshot(ctx, beacon.Fetch{Address: from, Port: h.cfg.Place.PeerPort, Table: f.table, After: after, OnProgress: onProgress})
	lacking := h.timer.Now() - f.heard
	log := h.cfg.Log.WithFields(logrus.Fields{"event": "catchup", "table": f.table, "own": after, "from": from, "lacking": lacking.Milliseconds()})
	if err != nil {
		if current, _ := h.state.mirrors[f.table].Versions(); current == after {
			log.WithError(err).Warn("edge: fetching changes from another host failed; other hosts are asked")
		}
		return false
	}
	adopted := h.state.mirrors[f.table].Merge(c)
	log = log.WithField("adopted", adopted)
	if !adopted || lacking < catchUpDelay {
		log.Debug("edge: changes fetched from another host")
		return adopted
	}
	h.metrics.CountLateChange(f.table)
	log.Info("edge: changes fetched from another host, late")
	return true
}

// cancelWhenStalled cancels an attempt once its last progress, in nanoseconds of the
// timer, is older than the timeout. It returns when ctx ends.
func (h *host) cancelWhenStalled(ctx context.Context, cancel context.CancelFunc, last *atomic.Int64, timeout time.Duration) {
	for ctx.Err() == nil {
		left := time.Duration(last.Load()) + timeout - h.timer.Now()
		if left <= 0 {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
		case <-h.timer.After(left):
		}
	}
}

// wake sends to a channel with room for one value, unless it is full.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
