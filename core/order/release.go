package order

import (
	"context"
)

// runSettle reads the rows of calls that never ran but whose claim may
// still take effect, and releases what it finds.
func (o *Orders) runSettle(ctx context.Context) {
	ticks := o.cfg.Timer.Subscribe("order-settle", settlePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
			o.settleOnce(ctx)
		}
	}
}

// settleBatch bounds the reads of one settle round, so that a long outage
// is followed by at most this many reads a second.
const settleBatch = 50

func (o *Orders) settleOnce(ctx context.Context) {
	for _, c := range o.takeSettling() {
		started := o.cfg.Timer.Now()
		row, err := o.read(ctx, c.row)
		o.mu.Lock()
		switch {
		case err != nil:
			o.settle(c)
		case row.Version > 0 && row.Token == c.token:
			o.releaseLocked(c)
		case started < c.doubtAt+o.cfg.Settle:
			o.settle(c)
		default:
			o.finish(c)
		}
		o.mu.Unlock()
	}
}

func (o *Orders) takeSettling() []*call {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.settling), settleBatch)
	due := o.settling[:n:n]
	o.settling = append([]*call(nil), o.settling[n:]...)
	return due
}
