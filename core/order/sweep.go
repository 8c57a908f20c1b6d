package order

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/timer"
)

const (
	sweepPeriod = time.Second
	// sweepRest is the pause after a pass over all records.
	sweepRest = time.Minute
)

// runSweep deletes expired records: one page read and at most one page of
// deletions a second.
func (o *Orders) runSweep(ctx context.Context) {
	timer.Every(ctx, o.cfg.Timer, "order-sweep", sweepPeriod, nil, func(ctx context.Context) {
		if o.cfg.ShouldSweep == nil || o.cfg.ShouldSweep() {
			o.sweepOnce(ctx)
		}
	})
}

func (o *Orders) sweepOnce(ctx context.Context) {
	o.mu.Lock()
	after, due := o.cursor, o.cfg.Timer.Now() >= o.sweepAt
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
	o.cursor = o.sweepPage(rows)
	if o.cursor == "" {
		o.sweepAt = o.cfg.Timer.Now() + sweepRest
	}
}

// sweepPage queues the deletion of the expired rows and returns where the
// next page starts, empty after the last one. Dated rows sort by age, so
// the first young one skips the rest of its workspace's.
func (o *Orders) sweepPage(rows []core.Row) string {
	for _, row := range rows {
		if o.expired(row) {
			o.push(sweepOp(row))
			continue
		}
		if prefix, ok := datedPrefix(row.Key); ok {
			return prefix + "0" // follows every key that starts with prefix + "/"
		}
	}
	if len(rows) < o.cfg.SweepPage {
		return ""
	}
	return rows[len(rows)-1].Key
}

// expired reports whether a record may go: its claim is older than the
// retention, and so is the key if it shows its time. A host whose clock is
// behind by Skew then still refuses the key. A record that cannot be read
// stays.
func (o *Orders) expired(row core.Row) bool {
	rec, err := decodeRecord(row.Value)
	if err != nil {
		return false
	}
	limit := o.cfg.Now().Add(-o.cfg.Retention - o.cfg.Skew)
	if !rec.claimed.Before(limit) {
		return false
	}
	at, visible := keyTime(keyOf(row.Key))
	return !visible || at.Before(limit)
}
