package order

import (
	"context"
	"time"

	"azurering/core/timer"
)

const (
	// settlePeriod is how often the rows of ghosts are read.
	settlePeriod = time.Second
	// settleBatch bounds the reads of one settle round.
	settleBatch = 50
)

// runSettle reads the rows of calls that never ran but whose claim may
// still take effect, and releases what it finds.
func (o *Orders) runSettle(ctx context.Context) {
	timer.Every(ctx, o.cfg.Timer, "order-settle", settlePeriod, nil, o.settleRound)
}

// settleRound reads until the store fails.
func (o *Orders) settleRound(ctx context.Context) {
	for i, due := 0, o.takeSettling(); i < len(due); i++ {
		if !o.settleOne(ctx, due[i]) {
			o.mu.Lock()
			o.settling = append(o.settling, due[i:]...)
			o.mu.Unlock()
			return
		}
	}
}

func (o *Orders) settleOne(ctx context.Context, c *call) bool {
	started := o.cfg.Timer.Now()
	row, err := o.read(ctx, c.row)
	if err != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case row.Version > 0 && row.Token == c.token:
		o.push(o.releaseOp(c))
	case started < c.doubtAt+o.cfg.MaxCommitDelay:
		o.settling = append(o.settling, c)
	default:
		delete(o.ghosts, c.token)
	}
	return true
}

func (o *Orders) takeSettling() []*call {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.settling), settleBatch)
	due := o.settling[:n:n]
	o.settling = append([]*call(nil), o.settling[n:]...)
	return due
}
