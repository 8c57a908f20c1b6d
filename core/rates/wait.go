package rates

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Ticket is a request that waits for tokens.
type Ticket struct {
	bucket   *bucket
	weight   int64
	deadline time.Duration
	done     chan error
}

// Done returns the channel that gets the decision once: nil if the request
// is admitted, else the error of Admit.
func (t *Ticket) Done() <-chan error { return t.done }

// Enqueue admits a request, or lets it wait for up to bound (at most
// MaxWait) if the present loans can admit it within that time. Otherwise it
// refuses at once. The decision of a ticket comes from a later Pump.
func (l *Limiter) Enqueue(now time.Duration, w core.WorkspaceID, weight int64, bound time.Duration) (*Ticket, error) {
	b := l.index.Load().workspaces[w]
	if b == nil {
		return nil, codes.New(codes.NoConfig, "rates: workspace %s is not in the configuration", w)
	}
	if weight < 1 {
		return nil, codes.New(codes.RequestBad, "rates: weight %d of a request is below 1", weight)
	}
	bound = min(bound, l.cfg.MaxWait)
	t := &Ticket{bucket: b, weight: weight, deadline: now + bound, done: make(chan error, 1)}
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	b.mu.Lock()
	b.demand.offer(now, weight)
	if b.queued == 0 && (l.cfg.Gate == nil || l.cfg.Gate()) && b.take(now, weight) {
		b.mu.Unlock()
		t.done <- nil
		return t, nil
	}
	after := b.until(weight, b.queued)
	bare, lack := b.burst == 0, int64(0)
	if after > bound/4 {
		lack = b.lack(now, weight)
	}
	// Beyond what the loans can admit in time, as much as the burst waits
	// for tokens or loans that the lender may give: an ask is answered well
	// within the wait.
	if after > bound && b.queued+weight > max(b.burst, 2*Request) {
		refusal := l.refuse(b, after)
		b.mu.Unlock()
		l.need(b.resource, lack)
		return nil, refusal
	}
	b.queued += weight
	b.mu.Unlock()
	if bare {
		l.want(b.resource, b.wanted())
	}
	l.need(b.resource, lack)
	if dropped := l.queue.Push(w, weight, t); dropped != nil {
		l.drop(dropped.(*Ticket), codes.QueueFull)
	}
	return t, nil
}

func (l *Limiter) drop(t *Ticket, code codes.Code) {
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

// Pump decides about waiting requests: it refuses those past their bound
// and admits, in fair order over the workspaces, those whose tokens are
// there.
func (l *Limiter) Pump(now time.Duration) {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	if l.queue.Len() == 0 {
		return
	}
	for {
		item := l.queue.Pop(func(_ core.WorkspaceID, item any) bool { return item.(*Ticket).deadline <= now })
		if item == nil {
			break
		}
		l.drop(item.(*Ticket), codes.OK)
	}
	for l.cfg.Gate == nil || l.cfg.Gate() {
		item := l.queue.Pop(func(_ core.WorkspaceID, item any) bool { return item.(*Ticket).admit(now) })
		if item == nil {
			return
		}
		item.(*Ticket).done <- nil
	}
}

func (t *Ticket) admit(now time.Duration) bool {
	b := t.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.take(now, t.weight) {
		return false
	}
	b.queued -= t.weight
	b.stats.Waited++
	return true
}

// Cancel takes a request out of the queue. If it was decided already, that
// decision stands.
func (l *Limiter) Cancel(t *Ticket) {
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
