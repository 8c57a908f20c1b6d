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

// Done returns a channel that receives the decision once: nil if the request
// is admitted, otherwise a *RefusedError.
func (t *Waiter) Done() <-chan error { return t.done }

// Enqueue admits a request or lets it wait for up to maxWait, at most
// LimiterConfig.MaxWait. It refuses at once if the present loans cannot admit
// the request within that time and the weight waiting for the workspace would
// exceed both the burst and four requests. Otherwise the decision is sent to
// the ticket's Done channel, by a later call of ProcessQueue or AddTokens if the
// request waits. Errors are those of Admit.
func (l *Limiter) Enqueue(now time.Duration, w core.WorkspaceID, weight int64, maxWait time.Duration) (*Waiter, error) {
	b := l.index.Load().workspaces[w]
	if b == nil {
		return nil, codes.New(codes.NoConfig, "rates: workspace %s is not in the configuration", w)
	}
	if weight < 1 {
		return nil, codes.New(codes.RequestBad, "rates: request weight %d is below 1", weight)
	}
	maxWait = min(maxWait, l.cfg.MaxWait)
	t := &Waiter{bucket: b, weight: weight, deadline: now + maxWait, done: make(chan error, 1)}
	hasNoLoan, deficit, err := l.enqueueTicket(now, t, maxWait)
	// The lender may be calling this limiter, so call it without holding locks.
	if hasNoLoan {
		l.reportDemand(b.resource, b.currentDemand())
	}
	l.requestTokens(b.resource, deficit)
	if err != nil {
		return nil, err
	}
	return t, nil
}

// enqueueTicket admits, queues or refuses a new ticket. It returns whether the
// host holds no loan and the tokens to request.
func (l *Limiter) enqueueTicket(now time.Duration, t *Waiter, maxWait time.Duration) (hasNoLoan bool, deficit int64, err error) {
	b := t.bucket
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	b.mu.Lock()
	b.demand.record(now, t.weight)
	if b.queuedWeight == 0 && (l.cfg.HasCapacity == nil || l.cfg.HasCapacity()) && b.take(now, t.weight) {
		b.mu.Unlock()
		t.done <- nil
		return false, 0, nil
	}
	retryAfter := b.timeUntil(t.weight, b.queuedWeight)
	if retryAfter > maxWait/4 {
		deficit = b.tokenDeficit(now, t.weight)
	}
	hasNoLoan = b.burst == 0
	// In addition to what the loans can admit in time, as much weight as the
	// burst may wait for tokens or loans that the lender may grant: a loan
	// request is answered well within the wait.
	if retryAfter > maxWait && b.queuedWeight+t.weight > max(b.burst, minWaitingWeight) {
		refusal := l.newRefusal(b, retryAfter)
		b.mu.Unlock()
		return hasNoLoan, deficit, refusal
	}
	b.queuedWeight += t.weight
	b.mu.Unlock()
	if dropped := l.queue.Push(b.workspace, t.weight, t); dropped != nil {
		l.refuseTicket(dropped.(*Waiter), codes.QueueFull)
	}
	return hasNoLoan, deficit, nil
}

// minWaitingWeight is the weight per workspace that may wait for tokens
// regardless of the loans, in thousandths of a request.
const minWaitingWeight = 4 * RequestWeight

func (l *Limiter) refuseTicket(t *Waiter, code codes.Code) {
	b := t.bucket
	b.mu.Lock()
	b.queuedWeight -= t.weight
	refusal := l.newRefusal(b, b.timeUntil(t.weight, b.queuedWeight))
	b.mu.Unlock()
	if code != codes.OK {
		refusal.Code = code
	}
	t.done <- refusal
}

// ProcessQueue refuses the waiting requests past their deadline and admits those whose
// tokens are available, in fair order over the workspaces.
func (l *Limiter) ProcessQueue(now time.Duration) {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	l.pumpLocked(now)
}

func (l *Limiter) pumpLocked(now time.Duration) {
	if l.queue.Len() == 0 {
		return
	}
	for {
		item := l.queue.Pop(func(_ core.WorkspaceID, item any) bool { return item.(*Waiter).deadline <= now })
		if item == nil {
			break
		}
		l.refuseTicket(item.(*Waiter), codes.OK)
	}
	for l.cfg.HasCapacity == nil || l.cfg.HasCapacity() {
		item := l.queue.Pop(func(_ core.WorkspaceID, item any) bool { return item.(*Waiter).tryAdmit(now) })
		if item == nil {
			return
		}
		item.(*Waiter).done <- nil
	}
}

func (t *Waiter) tryAdmit(now time.Duration) bool {
	b := t.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.take(now, t.weight) {
		return false
	}
	b.queuedWeight -= t.weight
	b.stats.AdmittedFromQueue++
	return true
}

// Cancel removes a request from the queue. If it was decided already, the
// decision stands.
func (l *Limiter) Cancel(t *Waiter) {
	l.queueMu.Lock()
	defer l.queueMu.Unlock()
	if !l.queue.Remove(t.bucket.workspace, t) {
		return
	}
	t.bucket.mu.Lock()
	t.bucket.queuedWeight -= t.weight
	t.bucket.mu.Unlock()
}

// Wait admits a request, waiting for up to maxWait as Enqueue does. It needs
// Run or ProcessQueue in another goroutine. If the context ends first, it returns
// RequestDeadline.
func (l *Limiter) Wait(ctx context.Context, w core.WorkspaceID, weight int64, maxWait time.Duration) error {
	t, err := l.Enqueue(l.cfg.Timer.Now(), w, weight, maxWait)
	if err != nil {
		return err
	}
	select {
	case err := <-t.done:
		return err
	case <-ctx.Done():
		l.Cancel(t)
		return codes.Wrap(ctx.Err(), codes.RequestDeadline, "rates: context of a request of workspace %s ended while it waited for tokens", w)
	}
}
