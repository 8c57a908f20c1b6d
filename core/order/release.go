package order

import (
	"context"
	"time"

	"azurering/core/timer"
)

const (
	// settleInterval is the time between two rounds that read the rows of
	// orphaned claims.
	settleInterval = time.Second
	// settleBatch bounds the reads of one round.
	settleBatch = 50
)

// runSettle reads the rows of calls that never ran but whose claim may still
// take effect, and releases the claims that it finds.
func (o *Orders) runSettle(ctx context.Context) {
	timer.Every(ctx, o.cfg.Timer, "order-settle", settleInterval, nil, o.settleRound)
}

// settleRound reads up to settleBatch rows and stops when the store fails.
func (o *Orders) settleRound(ctx context.Context) {
	for i, batch := 0, o.takeSettleBatch(); i < len(batch); i++ {
		if !o.settleOne(ctx, batch[i]) {
			o.mu.Lock()
			o.settleQueue = append(o.settleQueue, batch[i:]...)
			o.mu.Unlock()
			return
		}
	}
}

// settleOne reads the row of an orphaned claim. It queues the release of the
// claim if the row holds it, and drops the call once no commit of the claim
// can take effect any more. It returns false if the row could not be read.
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
		o.enqueue(o.releaseOp(c))
	case started < c.uncertainAt+o.cfg.MaxCommitDelay:
		o.settleQueue = append(o.settleQueue, c)
	default:
		delete(o.orphans, c.token)
	}
	return true
}

func (o *Orders) takeSettleBatch() []*call {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.settleQueue), settleBatch)
	batch := o.settleQueue[:n:n]
	o.settleQueue = append([]*call(nil), o.settleQueue[n:]...)
	return batch
}
