package order

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

// readers bounds the concurrent reads that resolve one commit.
const readers = 25

// Run commits, releases and sweeps until the context ends. It starts one
// goroutine per duty and one per commit in flight, and waits for them.
func (o *Orders) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { o.runCommits(ctx, &wg) })
	wg.Go(func() { o.runPuts(ctx, &wg) })
	wg.Go(func() { o.runSettle(ctx) })
	wg.Go(func() { o.runSweep(ctx) })
	wg.Wait()
}

// runCommits starts commits. While all writers are busy or the store fails,
// the queue grows and the next commit holds more.
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
		case o.free <- struct{}{}:
		}
		if !o.pause(ctx) {
			return
		}
		batch := o.take()
		if len(batch) == 0 {
			<-o.free
			continue
		}
		o.mu.Lock()
		if len(o.queue) > 0 {
			o.signal()
		}
		o.mu.Unlock()
		wg.Go(func() {
			o.commit(ctx, batch)
			<-o.free
		})
	}
}

// pause waits until the store may be tried again and lets a batch fill for
// Linger. It returns false if the context ended.
func (o *Orders) pause(ctx context.Context) bool {
	o.mu.Lock()
	wait := o.retryAt - o.cfg.Timer.Now()
	if wait <= 0 && len(o.queue) < o.limit {
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

// commit writes a batch. After a conflict it takes out what is decided and
// commits the rest once more without adding ops, so that
// one conflicting claim delays the others by one commit.
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
			o.uncertain(batch)
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
	o.retryAt = 0
	o.backoff.Reset()
	o.limit = min(2*o.limit, o.cfg.MaxBatch)
	for _, p := range batch {
		o.applied(p)
	}
}

// fail queues a batch again and lets the store rest.
func (o *Orders) fail(batch []*op) {
	if len(batch) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if now := o.cfg.Timer.Now(); o.retryAt <= now {
		o.retryAt = now + o.backoff.NextBackOff()
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

func (o *Orders) uncertain(batch []*op) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stats.UnknownOutcomes++
	// A write that the store cannot take looks like a lost answer. Smaller
	// batches keep it from holding up the others.
	o.limit = max(o.limit/2, 1)
	for _, p := range batch {
		o.doubt(p)
	}
}

// resolveConflict decides the ops whose rows refused a commit. If the store
// does not name the rows, the claims are read first: answers and releases
// meet a row that only this host changes.
func (o *Orders) resolveConflict(ctx context.Context, batch []*op, cause error) (open, unread []*op) {
	var told *core.ConflictError
	if errors.As(cause, &told) && len(told.Rows) > 0 {
		return o.decideTold(batch, told.Rows), nil
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

func (o *Orders) decideTold(batch []*op, rows []core.Row) []*op {
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

// decide settles an op if the row decides it.
func (o *Orders) decide(p *op, row core.Row) bool {
	switch {
	case took(p.write, row):
		o.applied(p)
	case holds(p.write, row):
		return false
	default:
		o.refused(p, row)
	}
	return true
}

// resolve reads the rows of a batch back and decides what their tokens
// decide. It returns the ops that stay open and those whose row could not
// be read. Every row is read: an earlier commit with other ops may have
// written one of them.
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
	slots := make(chan struct{}, readers)
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

// took reports whether a row shows that a write took effect.
func took(w core.Write, row core.Row) bool {
	if w.Kind == core.WriteDelete {
		return row.Version == 0 || row.Token != w.ExpectToken
	}
	return row.Version > 0 && row.Token == w.Token
}

// holds reports whether the condition of a write holds for a row.
func holds(w core.Write, row core.Row) bool {
	return row.Version == w.ExpectVersion && (w.ExpectToken == "" || row.Token == w.ExpectToken)
}
