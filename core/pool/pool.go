// Package pool chooses a backend server for each request of one service
// inside one failure domain.
//
// A Pool hands out leases of slots, learns from the outcomes, ejects servers
// that fail, ramps up cold ones, shares probes between the hosts of the
// domain, bounds retries and sheds load by workspace fairness. It starts no
// goroutines and does no I/O. It needs a core.Timer and a function that
// tells how many slots of a server the host holds.
package pool

import (
	"math/rand/v2"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// Config configures a Pool. Timer and Slots are required.
type Config struct {
	Service core.ServiceID
	Host    core.HostID
	Timer   core.Timer
	// Slots returns how many slots of a server this host holds now. It is
	// called with the pool locked and must not call the pool.
	Slots func(core.ServerID) int
	// Seed seeds the random choice. Zero means a random seed.
	Seed uint64
	// Choices is how many servers with a free slot a pick compares. Zero
	// means 4.
	Choices int
	// SlowStart is the ramp after a cold start. Zero means none, and a ramp of
	// Return after an ejection.
	SlowStart time.Duration
	// RecoveryRamp is the ramp after an ejection. Zero means 10 s.
	RecoveryRamp time.Duration

	// EjectAfter in a row eject a server. Zero means 5.
	EjectAfter int
	// BaseEjection is the first ejection; each further one doubles it, up to 5 min.
	// Zero means 10 s.
	BaseEjection time.Duration
	// MaxEjectedShare bounds the share of ejected servers. Zero means 0.3; at
	// least one of two or more servers may be ejected, never the only one.
	MaxEjectedShare float64
	// ReportTTL is how long a probe report counts. Zero means 30 s.
	ReportTTL time.Duration

	// RetryRatio bounds retries by the number of requests. Zero means 0.1.
	RetryRatio float64
	// RetryBackoff is the pause before the first retry; each further one
	// doubles it. Zero means 20 ms.
	RetryBackoff time.Duration
	// MaxAttempts bounds the tries of one request. Zero means 3.
	MaxAttempts int

	// MaxQueued bounds the requests that wait for a slot. Zero means 256,
	// negative means that none waits.
	MaxQueued int
	// MaxWait bounds the wait for a slot. Zero means 500 ms.
	MaxWait time.Duration
}

// Request describes a request that needs a slot.
type Request struct {
	Workspace core.WorkspaceID
	Deadline  time.Duration // local monotonic time, zero for none
	// Avoid names a server that failed this request. It is chosen only if
	// no other has a free slot.
	Avoid core.ServerID
	// Cost is the expected work in units of a usual request, for fairness.
	// Zero means 1.
	Cost float64
}

// Pool is the pool of one service in one failure domain. It is safe for
// concurrent use.
type Pool struct {
	cfg Config

	mu      sync.Mutex
	rand    *rand.Rand
	servers map[core.ServerID]*server // includes removed ones with work in flight
	active  []*server                 // in order of the sheet
	latency float64                   // mean latency of whole answers, seconds
	service float64                   // mean time that a slot is taken, seconds
	inUse   int                       // leases out
	budget  int                       // retry budget, thousandths of a retry
	queue   queue
	stats   Stats
}

// Stats counts what happened since New.
type Stats struct {
	Picks     uint64
	Retries   uint64
	Ejections uint64
	Shed      uint64
	Queued    int // requests that wait now
	InUse     int // leases out now, including those on leaving servers
	Ejected   int // servers ejected now
}

// New returns a pool without servers.
func New(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		servers: make(map[core.ServerID]*server),
		queue:   queue{served: make(map[core.WorkspaceID]float64)},
	}
}

func (c Config) withDefaults() Config {
	setInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	setTime := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	setFloat := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	setInt(&c.Choices, 4)
	setInt(&c.EjectAfter, 5)
	setInt(&c.MaxAttempts, 3)
	setInt(&c.MaxQueued, 256)
	setTime(&c.RecoveryRamp, 10*time.Second)
	setTime(&c.BaseEjection, 10*time.Second)
	setTime(&c.ReportTTL, 30*time.Second)
	setTime(&c.RetryBackoff, 20*time.Millisecond)
	setTime(&c.MaxWait, 500*time.Millisecond)
	setFloat(&c.MaxEjectedShare, 0.3)
	setFloat(&c.RetryRatio, 0.1)
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}

// SetServers replaces the servers of the pool. A new server starts its ramp
// now, unless the pool was empty: then the host, not the servers, is new. A
// removed server gets no new work; its work in flight finishes.
func (p *Pool) SetServers(now time.Duration, list []core.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := len(p.servers) == 0
	named := make(map[core.ServerID]bool, len(list))
	p.active = make([]*server, 0, len(list))
	for _, srv := range list {
		if named[srv.Name] {
			continue
		}
		named[srv.Name] = true
		p.active = append(p.active, p.setServer(now, srv, fresh))
	}
	for id, s := range p.servers {
		if named[id] {
			continue
		}
		s.removed = true
		if s.inUse == 0 {
			delete(p.servers, id)
		}
	}
	p.dispatch(now)
}

// setServer updates the state of a server. A server that returns while work
// of its earlier time is in flight keeps the count of it.
func (p *Pool) setServer(now time.Duration, srv core.Server, fresh bool) *server {
	s := p.servers[srv.Name]
	if s == nil {
		s = &server{Server: srv}
		p.servers[srv.Name] = s
		if !fresh {
			s.ramp(now, p.cfg.SlowStart)
		}
		return s
	}
	if s.Address != srv.Address || s.removed {
		s.forget()
		s.ramp(now, p.cfg.SlowStart)
	}
	s.Server, s.removed = srv, false
	return s
}

// SetLeaving says that a server is being drained or stopped, or that it is
// back. A server that is back starts its ramp now.
func (p *Pool) SetLeaving(now time.Duration, id core.ServerID, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || s.leaving == leaving {
		return
	}
	s.leaving = leaving
	if !leaving {
		s.ramp(now, p.cfg.SlowStart)
	}
	p.dispatch(now)
}

// Dispatch gives waiting requests the slots that became free by other means
// than Lease.Done: new loans, the end of a ramp or of an ejection.
func (p *Pool) Dispatch(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
}

// Stats returns the counters.
func (p *Pool) Stats(now time.Duration) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Queued = len(p.queue.waiters)
	s.Ejected = p.ejected(now)
	s.InUse = p.inUse
	return s
}

// InFlight returns the requests in flight at a server, for drain reports.
func (p *Pool) InFlight(id core.ServerID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		return s.inUse
	}
	return 0
}

// Load returns the free slots that this host holds and all slots of the
// servers that take new work.
func (p *Pool) Load(now time.Duration) (free, total int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.active {
		if !s.takesWork(now, p.cfg.ReportTTL) {
			continue
		}
		room, _ := p.room(now, s)
		free += int64(max(room, 0))
		total += int64(s.Slots)
	}
	return free, total
}

// Pick takes a slot at once. Errors carry NoServer (no server takes new
// work) or NoCapacity (none has a free slot here).
func (p *Pool) Pick(now time.Duration, ask Request) (*Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pick(now, ask)
}

func (p *Pool) pick(now time.Duration, ask Request) (*Lease, error) {
	s := p.choose(now, ask.Avoid)
	if s == nil {
		return nil, p.refusal(now)
	}
	s.inUse++
	p.inUse++
	p.stats.Picks++
	return &Lease{Server: s.Server, pool: p, server: s, start: now}, nil
}

func (p *Pool) refusal(now time.Duration) error {
	for _, s := range p.active {
		if s.takesWork(now, p.cfg.ReportTTL) {
			return codes.New(codes.NoCapacity, "pool: no free slot for service %s", p.cfg.Service)
		}
	}
	return codes.New(codes.NoServer, "pool: no server of service %s takes new work", p.cfg.Service)
}
