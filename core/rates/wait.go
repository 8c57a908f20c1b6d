package rates

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Waiter is a request that waits for tokens.
type Waiter struct {
	bucket   *bucket
	weight   int64
	deadline time.Duration
	done     chan error
}

// Done returns the channel that gets the decision once: nil if the request
// is admitted, else the error of Admit.
func (t *Waiter) Done() <-chan error { return t.done }

// Enqueue admits a request, or lets it wait for up to bound (at most
// MaxWait) if the present loans can admit it within that time. Otherwise it
// refuses at once. The decision of a ticket comes from a later Pump.
func (l *Limiter) Enqueue(now time.Duration, w core.WorkspaceID, weight int64, bound time.Duration) (*Waiter, error) {
	b := l.index.Load().workspaces[w]
	if b == nil {
		return nil, codes.New(codes.NoConfig, "rates: workspace %s is not in the configuration", w)
	}
	if weight < 1 {
		return nil, codes.New(codes.RequestBad, "rates: weight %d of a request is below 1", weight)
	}
	bound = min(bound, l.cfg.MaxWait)
	t := &Waiter{bucket: b, weight: weight, deadline: now + bound, done: make(chan error, 1)}
	bare, lack, err := l.enqueue(now, t, bound)
	// The lender may be calling this limiter, so it is called without locks.
	if bare {
		l.want(b.resource, b.wanted())
	}
	l.need(b.resource, lack)
	if err != nil {
		return nil, err
	}
	return t, nil
}

// enqueue decides about a new ticket. It returns whether there is no loan
// and which tokens to ask for.
func (l *Limiter) enqueue(now time.Duration, t *Waiter, bound time.Duration) (bare bool, lack int64, err error) {
	b := t.bucket
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	b.mu.Lock()
	b.demand.offer(now, t.weight)
	if b.queued == 0 && (l.cfg.HasCapacity == nil || l.cfg.HasCapacity()) && b.take(now, t.weight) {
		b.mu.Unlock()
		t.done <- nil
		return false, 0, nil
	}
	after := b.until(t.weight, b.queued)
	if after > bound/4 {
		lack = b.lack(now, t.weight)
	}
	bare = b.burst == 0
	// Beyond what the loans can admit in time, as much as the burst waits
	// for tokens or loans that the lender may give: an ask is answered well
	// within the wait.
	if after > bound && b.queued+t.weight > max(b.burst, waitAtLeast) {
		refusal := l.refuse(b, after)
		b.mu.Unlock()
		return bare, lack, refusal
	}
	b.queued += t.weight
	b.mu.Unlock()
	if dropped := l.queue.Push(b.name, t.weight, t); dropped != nil {
		l.drop(dropped.(*Waiter), codes.QueueFull)
	}
	return bare, lack, nil
}

// waitAtLeast is the weight that may wait for tokens whatever the loans are.
const waitAtLeast = 4 * RequestWeight

func (l *Limiter) drop(t *Waiter, code codes.Code) {
	b := t.bucket
	b.mu.Lock()
	b.queued -= t.weight
	refusal := l.refuse(b, b.until(t.weight, b.queued))
	b.mu.Unlock()
	if code != codes.OK {
		refusal.Code = code
	}
	t.done <- refusal
}

// ProcessQueue decides about waiting requests: it refuses those past their bound
// and admits, in fair order over the workspaces, those whose tokens are
// there.
func (l *Limiter) ProcessQueue(now time.Duration) {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	l.pump(now)
}

func (l *Limiter) pump(now time.Duration) {
	if l.queue.Len() == 0 {
		return
	}
	for {
		item := l.queue.Pop(func(_ core.WorkspaceID, item any) bool { return item.(*Waiter).deadline <= now })
		if item == nil {
			break
		}
		l.drop(item.(*Waiter), codes.OK)
	}
	for l.cfg.HasCapacity == nil || l.cfg.HasCapacity() {
		item := l.queue.Pop(func(_ core.WorkspaceID, item any) bool { return item.(*Waiter).admit(now) })
		if item == nil {
			return
		}
		item.(*Waiter).done <- nil
	}
}

func (t *Waiter) admit(now time.Duration) bool {
	b := t.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.take(now, t.weight) {
		return false
	}
	b.queued -= t.weight
	b.stats.AdmittedFromQueue++
	return true
}

// Cancel takes a request out of the queue. If it was decided already, that
// decision stands.
func (l *Limiter) Cancel(t *Waiter) {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	if !l.queue.Remove(t.bucket.name, t) {
		return
	}
	t.bucket.mu.Lock()
	t.bucket.queued -= t.weight
	t.bucket.mu.Unlock()
}

// Wait admits a request, waiting for up to bound. It needs Run or Pump in
// another goroutine. If the context ends first, it returns RequestDeadline.
func (l *Limiter) Wait(ctx context.Context, w core.WorkspaceID, weight int64, bound time.Duration) error {
	t, err := l.Enqueue(l.cfg.Timer.Now(), w, weight, bound)
	if err != nil {
		return err
	}
	select {
	case err := <-t.done:
		return err
	case <-ctx.Done():
		l.Cancel(t)
		return codes.Wrap(ctx.Err(), codes.RequestDeadline, "rates: request of workspace %s ended while it waited", w)
	}
}
