package order

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// maxReads bounds the concurrent reads that resolve one commit.
const maxReads = 25

// Run commits claims, records answers, releases claims and deletes expired
// records until the context ends. It starts one goroutine per background task
// and one per commit or object put in flight, and returns once all have
// ended.
func (o *Orders) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { o.runCommits(ctx, &wg) })
	wg.Go(func() { o.runPuts(ctx, &wg) })
	wg.Go(func() { o.runSettle(ctx) })
	wg.Go(func() { o.runSweep(ctx) })
	wg.Wait()
}

// runCommits starts commits. While all writers are busy or the store fails,
// the queue grows and the next commit holds more writes.
func (o *Orders) runCommits(ctx context.Context, wg *sync.WaitGroup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		}
		select {
		case <-ctx.Done():
			return
		case o.commitSlots <- struct{}{}:
		}
		if !o.awaitBatch(ctx) {
			return
		}
		batch := o.takeBatch()
		if len(batch) == 0 {
			<-o.commitSlots
			continue
		}
		o.mu.Lock()
		if len(o.queue) > 0 {
			o.wakeCommitter()
		}
		o.mu.Unlock()
		wg.Go(func() {
			o.commit(ctx, batch)
			<-o.commitSlots
		})
	}
}

// awaitBatch waits until the store may be tried again, or for Linger if the
// queue holds less than a full batch. It returns false if the context ended.
func (o *Orders) awaitBatch(ctx context.Context) bool {
	o.mu.Lock()
	wait := o.storeRetryAt - o.cfg.Timer.Now()
	if wait <= 0 && len(o.queue) < o.batchLimit {
		wait = o.cfg.Linger
	}
	o.mu.Unlock()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-o.cfg.Timer.After(wait):
		return true
	}
}

// commit writes a batch. After a conflict it removes the decided ops and
// commits the rest once more without adding others, so that one conflicting
// claim delays the others by one commit only.
func (o *Orders) commit(ctx context.Context, batch []*op) {
	for round := 0; len(batch) > 0; round++ {
		if round == 2 {
			o.requeue(batch)
			return
		}
		var unread []*op
		err := o.tryCommit(ctx, batch)
		switch codes.Of(err) {
		case codes.OK:
			o.succeed(batch)
			return
		case codes.StoreDown, codes.StoreLimit:
			o.fail(batch)
			return
		case codes.StoreConflict:
			batch, unread = o.resolveConflict(ctx, batch, err)
			o.fail(unread)
		default:
			o.markUncertain(batch)
			batch, unread = o.resolve(ctx, batch)
			o.fail(append(batch, unread...))
			return
		}
	}
}

func (o *Orders) tryCommit(ctx context.Context, batch []*op) error {
	writes := make([]core.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CommitTimeout)
	defer cancel()
	err := o.cfg.Table.Commit(ctx, writes)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.Commits++
	if codes.Is(err, codes.StoreConflict) {
		o.stats.Conflicts++
	}
	return err
}

func (o *Orders) succeed(batch []*op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.storeRetryAt = 0
	o.backoff.Reset()
	o.batchLimit = min(2*o.batchLimit, o.cfg.MaxBatch)
	for _, p := range batch {
		o.onApplied(p)
	}
}

// fail queues a batch again and delays the next commit by the backoff.
func (o *Orders) fail(batch []*op) {
	if len(batch) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if now := o.cfg.Timer.Now(); o.storeRetryAt <= now {
		o.storeRetryAt = now + o.backoff.NextBackOff()
	}
	for _, p := range batch {
		o.retry(p)
	}
}

func (o *Orders) requeue(batch []*op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range batch {
		o.retry(p)
	}
}

func (o *Orders) markUncertain(batch []*op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.UnknownOutcomes++
	// A write that the store cannot accept looks like a lost answer. Smaller
	// batches keep it from delaying the others.
	o.batchLimit = max(o.batchLimit/2, 1)
	for _, p := range batch {
		o.setUncertain(p)
	}
}

// resolveConflict decides the ops whose conditions made a commit fail, and
// returns the undecided ones and those whose row could not be read. If the
// store does not name the rows, the claims are read first: the rows of
// answers and releases are only changed by this host.
func (o *Orders) resolveConflict(ctx context.Context, batch []*op, cause error) (open, unread []*op) {
	var conflict *core.ConflictError
	if errors.As(cause, &conflict) && len(conflict.Rows) > 0 {
		return o.decideFromConflict(batch, conflict.Rows), nil
	}
	var claims, others []*op
	for _, p := range batch {
		if p.kind == opClaim {
			claims = append(claims, p)
			continue
		}
		others = append(others, p)
	}
	open, unread = o.resolve(ctx, claims)
	if len(open)+len(unread) < len(claims) {
		return append(open, others...), unread
	}
	otherOpen, otherUnread := o.resolve(ctx, others)
	return append(open, otherOpen...), append(unread, otherUnread...)
}

// decideFromConflict decides ops by the rows that a conflict error names, and
// returns the undecided ones.
func (o *Orders) decideFromConflict(batch []*op, rows []core.Row) []*op {
	refused := make(map[string]core.Row, len(rows))
	for _, row := range rows {
		refused[row.Key] = row
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var open []*op
	for _, p := range batch {
		row, ok := refused[p.write.Key]
		if !ok || !o.decide(p, row) {
			open = append(open, p)
		}
	}
	return open
}

// decide ends an op if the row shows whether its write took effect or can
// never do so. It reports whether that was the case.
func (o *Orders) decide(p *op, row core.Row) bool {
	switch {
	case tookEffect(p.write, row):
		o.onApplied(p)
	case conditionHolds(p.write, row):
		return false
	default:
		o.onRejected(p, row)
	}
	return true
}

// resolve reads the rows of a batch and decides the ops by their tokens. It
// returns the undecided ops and those whose row could not be read. Every row
// is read, because an earlier commit with other ops may have written one of
// them.
func (o *Orders) resolve(ctx context.Context, batch []*op) (open, unread []*op) {
	rows, known := o.readRows(ctx, batch)
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, p := range batch {
		switch {
		case !known[i]:
			unread = append(unread, p)
		case !o.decide(p, rows[i]):
			open = append(open, p)
		}
	}
	return open, unread
}

func (o *Orders) readRows(ctx context.Context, batch []*op) ([]core.Row, []bool) {
	rows, known := make([]core.Row, len(batch)), make([]bool, len(batch))
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxReads)
	for i, p := range batch {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			row, err := o.read(ctx, p.write.Key)
			rows[i], known[i] = row, err == nil
		})
	}
	wg.Wait()
	return rows, known
}

func (o *Orders) read(ctx context.Context, key string) (core.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.CommitTimeout)
	defer cancel()
	row, err := o.cfg.Table.Get(ctx, core.SpaceOrder, key)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.Reads++
	return row, err
}

// tookEffect reports whether a row shows that a write took effect.
func tookEffect(w core.Write, row core.Row) bool {
	if w.Kind == core.WriteDelete {
		return row.Version == 0 || row.Token != w.ExpectToken
	}
	return row.Version > 0 && row.Token == w.Token
}

// conditionHolds reports whether the condition of a write holds for a row.
func conditionHolds(w core.Write, row core.Row) bool {
	return row.Version == w.ExpectVersion && (w.ExpectToken == "" || row.Token == w.ExpectToken)
}
