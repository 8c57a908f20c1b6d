package pool

import (
	"context"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// queue orders waiting requests by start-time fair queueing: each request
// gets the virtual time at which its workspace's earlier ones are served,
// and the lowest is served first. A workspace with little demand starts at
// the current virtual time, ahead of the backlog of a large one.
type queue struct {
	waiters []*waiter
	virtual float64                      // start of the request served last
	served  map[core.WorkspaceID]float64 // virtual finish of each workspace's last request
}

type waiter struct {
	ask   Request
	start float64
	grant chan grant // gets one grant
}

type grant struct {
	lease *Lease
	err   error
}

// startOf returns the virtual start of a workspace's next request.
func (q *queue) startOf(w core.WorkspaceID) float64 { return max(q.virtual, q.served[w]) }

func (a Request) cost() float64 {
	if a.Cost <= 0 {
		return 1
	}
	return a.Cost
}

// serve accounts a request that is served without waiting.
func (q *queue) serve(a Request) {
	start := q.startOf(a.Workspace)
	q.served[a.Workspace] = start + a.cost()
	q.virtual = max(q.virtual, start)
	q.prune()
}

// prune forgets workspaces that would start at the current virtual time
// anyway.
func (q *queue) prune() {
	if len(q.served) < 1024 {
		return
	}
	for w, finish := range q.served {
		if finish <= q.virtual {
			delete(q.served, w)
		}
	}
}

func (q *queue) add(w *waiter) {
	w.start = q.startOf(w.ask.Workspace)
	q.served[w.ask.Workspace] = w.start + w.ask.cost()
	q.waiters = append(q.waiters, w)
}

// first returns the index of the request to serve next. Of equal starts, the
// workspace with fewer waiting requests goes first.
func (q *queue) first() int {
	best := -1
	counts := q.counts()
	for i, w := range q.waiters {
		if best < 0 || w.start < q.waiters[best].start ||
			(w.start == q.waiters[best].start && counts[w.ask.Workspace] < counts[q.waiters[best].ask.Workspace]) {
			best = i
		}
	}
	return best
}

func (q *queue) counts() map[core.WorkspaceID]int {
	counts := make(map[core.WorkspaceID]int)
	for _, w := range q.waiters {
		counts[w.ask.Workspace]++
	}
	return counts
}

func (q *queue) remove(i int) {
	q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
}

// unqueue removes a request that was not served. The later requests of its
// workspace move up, because its cost was not used.
func (q *queue) unqueue(i int) {
	gone := q.waiters[i]
	q.remove(i)
	w := gone.ask.Workspace
	for _, other := range q.waiters {
		if other.ask.Workspace == w && other.start > gone.start {
			other.start -= gone.ask.cost()
		}
	}
	q.served[w] -= gone.ask.cost()
}

// longest returns the newest request of the workspace with the most waiting
// requests, the given workspace counting one more.
func (q *queue) longest(arriving core.WorkspaceID) int {
	counts := q.counts()
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

// ahead returns the number of requests that are served before a request of
// the workspace that arrives now.
func (q *queue) ahead(w core.WorkspaceID) int {
	n, start := 0, q.startOf(w)
	for _, other := range q.waiters {
		if other.start <= start {
			n++
		}
	}
	return n
}

// expected returns the expected wait of a request that arrives now: the
// slots in use become free at the rate of their number over the mean time
// that one is taken.
func (p *Pool) expected(w core.WorkspaceID) time.Duration {
	turns := float64(p.queue.ahead(w) + 1)
	return time.Duration(turns * p.service / float64(max(p.inUse, 1)) * float64(time.Second))
}

// Acquire takes a slot, and waits for one for at most MaxWait and not past
// the deadline. Errors carry RequestDeadline, NoServer, NoCapacity (no slot became free in
// time, or the context ended) or LoadShed (the queue is too long for this
// workspace).
func (p *Pool) Acquire(ctx context.Context, ask Request) (*Lease, error) {
	now := p.cfg.Timer.Now()
	wait := p.cfg.MaxWait
	if ask.Deadline > 0 {
		wait = min(wait, ask.Deadline-now)
	}
	if wait <= 0 {
		return nil, codes.New(codes.RequestDeadline, "pool: deadline of the request has passed")
	}
	w, lease, err := p.enter(now, ask, wait)
	if w == nil {
		return lease, err
	}
	select {
	case g := <-w.grant:
		return g.lease, g.err
	case <-p.cfg.Timer.After(wait):
		err = codes.New(codes.NoCapacity, "pool: no slot of service %s became free in %s", p.cfg.Service, wait)
	case <-ctx.Done():
		err = codes.Wrap(ctx.Err(), codes.NoCapacity, "pool: caller left while it waited for a slot")
	}
	if p.leave(w) {
		return nil, err
	}
	g := <-w.grant
	return g.lease, g.err
}

// enter serves a request at once, refuses it or lets it wait.
func (p *Pool) enter(now time.Duration, ask Request, wait time.Duration) (*waiter, *Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
	if len(p.queue.waiters) == 0 {
		lease, err := p.pick(now, ask)
		if err == nil {
			p.queue.serve(ask)
			return nil, lease, nil
		}
		if codes.Is(err, codes.NoServer) || p.cfg.MaxQueued < 0 {
			return nil, nil, err
		}
	}
	if p.expected(ask.Workspace) > wait {
		p.stats.Shed++
		return nil, nil, codes.New(codes.LoadShed, "pool: queue of service %s is too long for the time left", p.cfg.Service)
	}
	if len(p.queue.waiters) >= p.cfg.MaxQueued {
		if err := p.evict(ask); err != nil {
			return nil, nil, err
		}
	}
	w := &waiter{ask: ask, grant: make(chan grant, 1)}
	p.queue.add(w)
	return w, nil, nil
}

// evict makes room in a full queue at the cost of the workspace that waits
// most, which may be the arriving one.
func (p *Pool) evict(ask Request) error {
	p.stats.Shed++
	shed := codes.New(codes.LoadShed, "pool: queue of service %s is full", p.cfg.Service)
	i := p.queue.longest(ask.Workspace)
	if i < 0 {
		return shed
	}
	w := p.queue.waiters[i]
	p.queue.unqueue(i)
	w.grant <- grant{err: shed}
	return nil
}

// leave removes a request that stops waiting. It returns false if the
// request has been granted or refused meanwhile.
func (p *Pool) leave(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.queue.waiters {
		if other == w {
			p.queue.unqueue(i)
			return true
		}
	}
	return false
}

// dispatch serves waiting requests while slots are free.
func (p *Pool) dispatch(now time.Duration) {
	for len(p.queue.waiters) > 0 {
		i := p.queue.first()
		w := p.queue.waiters[i]
		lease, err := p.pick(now, w.ask)
		if codes.Is(err, codes.NoCapacity) {
			return
		}
		p.queue.remove(i)
		p.queue.virtual = max(p.queue.virtual, w.start)
		w.grant <- grant{lease: lease, err: err}
	}
}
