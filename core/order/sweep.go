package order

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/timer"
)

const (
	sweepInterval = time.Second
	// sweepPassInterval is the delay between the end of a pass over all
	// records and the next one.
	sweepPassInterval = time.Minute
)

// runSweep deletes expired records: each second it reads one page and deletes
// at most one page.
func (o *Orders) runSweep(ctx context.Context) {
	timer.Every(ctx, o.cfg.Timer, "order-sweep", sweepInterval, nil, func(ctx context.Context) {
		if o.cfg.ShouldSweep == nil || o.cfg.ShouldSweep() {
			o.sweepOnce(ctx)
		}
	})
}

func (o *Orders) sweepOnce(ctx context.Context) {
	o.mu.Lock()
	after, due := o.sweepCursor, o.cfg.Timer.Now() >= o.sweepAt
	o.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CommitTimeout)
	defer cancel()
	rows, err := o.cfg.Table.List(ctx, core.SpaceOrder, after, o.cfg.SweepPage)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.Reads++
	if err != nil {
		return
	}
	o.sweepCursor = o.sweepPage(rows)
	if o.sweepCursor == "" {
		o.sweepAt = o.cfg.Timer.Now() + sweepPassInterval
	}
}

// sweepPage queues the deletion of the expired rows and returns the key after
// which the next page starts, or "" after the last page. Dated rows sort by
// age, so the first one that has not expired ends the dated rows of its
// workspace.
func (o *Orders) sweepPage(rows []core.Row) string {
	for _, row := range rows {
		if o.expired(row) {
			o.enqueue(sweepOp(row))
			continue
		}
		if prefix, ok := datedPrefix(row.Key); ok {
			return prefix + "0" // sorts after every key that starts with prefix + "/"
		}
	}
	if len(rows) < o.cfg.SweepPage {
		return ""
	}
	return rows[len(rows)-1].Key
}

// expired reports whether a record may be deleted: its claim is older than
// the retention, and so is the time in its key, if there is one. Skew is
// added so that a host whose clock is behind refuses the key as expired by
// then. A record that cannot be decoded is kept.
func (o *Orders) expired(row core.Row) bool {
	rec, err := decodeRecord(row.Value)
	if err != nil {
		return false
	}
	limit := o.cfg.Now().Add(-o.cfg.Retention - o.cfg.Skew)
	if !rec.claimedAt.Before(limit) {
		return false
	}
	at, visible := keyTime(keyOf(row.Key))
	return !visible || at.Before(limit)
}
