package pool

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// queue orders waiting requests by start-time fair queueing. The start tag of a
// request is the virtual time at which the earlier requests of its workspace
// are finished, and the request with the lowest tag is served first. A workspace
// without a backlog starts at the current virtual time, ahead of the backlog of
// a busy one. Pool.mu guards it.
type queue struct {
	waiters     []*waiter
	virtualTime float64                      // highest start tag served so far
	finishTimes map[core.WorkspaceID]float64 // virtual finish time of each workspace's last request
}

type waiter struct {
	ask      Request
	startTag float64
	result   chan acquireResult // buffered; receives one value
}

type acquireResult struct {
	lease *Lease
	err   error
}

// nextStartTag returns the start tag of a workspace's next request.
func (q *queue) nextStartTag(w core.WorkspaceID) float64 { return max(q.virtualTime, q.finishTimes[w]) }

func (a Request) cost() float64 {
	if a.Cost <= 0 {
		return 1
	}
	return a.Cost
}

// account accounts for a request that is served without waiting.
func (q *queue) account(a Request) {
	start := q.nextStartTag(a.Workspace)
	q.finishTimes[a.Workspace] = start + a.cost()
	q.virtualTime = max(q.virtualTime, start)
	q.prune()
}

// prune limits the size of the map: it drops workspaces that have no backlog and
// would start at the current virtual time anyway.
func (q *queue) prune() {
	if len(q.finishTimes) < 1024 {
		return
	}
	for w, finish := range q.finishTimes {
		if finish <= q.virtualTime {
			delete(q.finishTimes, w)
		}
	}
}

func (q *queue) add(w *waiter) {
	w.startTag = q.nextStartTag(w.ask.Workspace)
	q.finishTimes[w.ask.Workspace] = w.startTag + w.ask.cost()
	q.waiters = append(q.waiters, w)
}

// next returns the index of the request to serve next. Among equal start tags,
// the workspace with fewer waiting requests goes first.
func (q *queue) next() int {
	best := -1
	counts := q.waitingByWorkspace()
	for i, w := range q.waiters {
		if best < 0 || w.startTag < q.waiters[best].startTag ||
			(w.startTag == q.waiters[best].startTag && counts[w.ask.Workspace] < counts[q.waiters[best].ask.Workspace]) {
			best = i
		}
	}
	return best
}

func (q *queue) waitingByWorkspace() map[core.WorkspaceID]int {
	counts := make(map[core.WorkspaceID]int)
	for _, w := range q.waiters {
		counts[w.ask.Workspace]++
	}
	return counts
}

func (q *queue) remove(i int) {
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
}

// cancel removes a request that was not served. The later requests of its
// workspace move forward by its cost, which was not used.
func (q *queue) cancel(i int) {
	cancelled := q.waiters[i]
	q.remove(i)
	w := cancelled.ask.Workspace
	for _, other := range q.waiters {
		if other.ask.Workspace == w && other.startTag > cancelled.startTag {
			other.startTag -= cancelled.ask.cost()
		}
	}
	q.finishTimes[w] -= cancelled.ask.cost()
}

// evictable returns the index of the newest request of the workspace with the
// most waiting requests. It returns -1 if the arriving workspace, with
// its new request, has at least as many as any other.
func (q *queue) evictable(arriving core.WorkspaceID) int {
	counts := q.waitingByWorkspace()
	counts[arriving]++
	best := -1
	for i, w := range q.waiters {
		if best < 0 || counts[w.ask.Workspace] >= counts[q.waiters[best].ask.Workspace] {
			best = i
		}
	}
	if best >= 0 && counts[q.waiters[best].ask.Workspace] <= counts[arriving] {
		return -1
	}
	return best
}

// countAhead returns the number of waiting requests that are served before a
// request of the workspace that arrives now.
func (q *queue) countAhead(w core.WorkspaceID) int {
	n, start := 0, q.nextStartTag(w)
	for _, other := range q.waiters {
		if other.startTag <= start {
			n++
		}
	}
	return n
}

// expectedWait returns how long a request that arrives now is likely to wait.
// Slots become free at the rate of the number in use divided by the mean time
// that a slot is in use.
func (p *Pool) expectedWait(w core.WorkspaceID) time.Duration {
	position := float64(p.queue.countAhead(w) + 1)
	return time.Duration(position * p.meanUse / float64(max(p.inUse, 1)) * float64(time.Second))
}

// Acquire takes a slot. If none is free it waits, for at most MaxWait and not
// beyond the deadline. Errors carry the code RequestDeadline, NoServer,
// NoCapacity (no slot became free in time, or the context ended) or LoadShed
// (the expected wait is too long, or the queue is full).
func (p *Pool) Acquire(ctx context.Context, ask Request) (*Lease, error) {
	now := p.cfg.Timer.Now()
	wait := p.cfg.MaxWait
	if ask.Deadline > 0 {
		wait = min(wait, ask.Deadline-now)
	}
	if wait <= 0 {
		return nil, codes.New(codes.RequestDeadline, "pool: deadline of the request has passed")
	}
	w, lease, err := p.pickOrQueue(now, ask, wait)
	if w == nil {
		return lease, err
	}
	select {
	case r := <-w.result:
		return r.lease, r.err
	case <-p.cfg.Timer.After(wait):
		err = codes.New(codes.NoCapacity, "pool: no slot of service %s became free within %s", p.cfg.Service, wait)
	case <-ctx.Done():
		err = codes.Wrap(ctx.Err(), codes.NoCapacity, "pool: request was cancelled while it waited for a slot")
	}
	if p.abandon(w) {
		return nil, err
	}
	r := <-w.result
	return r.lease, r.err
}

// pickOrQueue serves a request at once, refuses it or adds it to the queue. It
// returns a waiter only in the last case.
func (p *Pool) pickOrQueue(now time.Duration, ask Request, wait time.Duration) (*waiter, *Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
	if len(p.queue.waiters) == 0 {
		lease, err := p.pick(now, ask)
		if err == nil {
			p.queue.account(ask)
			return nil, lease, nil
		}
		if codes.Is(err, codes.NoServer) || p.cfg.MaxQueued < 0 {
			return nil, nil, err
		}
	}
	if p.expectedWait(ask.Workspace) > wait {
		p.stats.Shed++
		return nil, nil, codes.New(codes.LoadShed, "pool: expected wait for a slot of service %s exceeds the allowed wait", p.cfg.Service)
	}
	if len(p.queue.waiters) >= p.cfg.MaxQueued {
		if err := p.evict(ask); err != nil {
			return nil, nil, err
		}
	}
	w := &waiter{ask: ask, result: make(chan acquireResult, 1)}
	p.queue.add(w)
	return w, nil, nil
}

// evict sheds a request of the workspace with the most waiting requests to make
// room in a full queue. It returns an error if that is the arriving workspace.
func (p *Pool) evict(ask Request) error {
	p.stats.Shed++
	shed := codes.New(codes.LoadShed, "pool: queue of service %s is full", p.cfg.Service)
	i := p.queue.evictable(ask.Workspace)
	if i < 0 {
		return shed
	}
	w := p.queue.waiters[i]
	p.queue.cancel(i)
	w.result <- acquireResult{err: shed}
	return nil
}

// abandon removes a request that stops waiting. It returns false if the request
// has already been served or refused.
func (p *Pool) abandon(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.queue.waiters {
		if other == w {
			p.queue.cancel(i)
			return true
		}
	}
	return false
}

// dispatch serves waiting requests while slots are free.
func (p *Pool) dispatch(now time.Duration) {
	for len(p.queue.waiters) > 0 {
		i := p.queue.next()
		w := p.queue.waiters[i]
		lease, err := p.pick(now, w.ask)
		if codes.Is(err, codes.NoCapacity) {
			return
		}
		p.queue.remove(i)
		p.queue.virtualTime = max(p.queue.virtualTime, w.startTag)
		w.result <- acquireResult{lease: lease, err: err}
	}
}
