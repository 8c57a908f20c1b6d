// Package pool balances the requests of one service over the backend servers of
// one failure domain.
//
// An entry host has one Pool for each service. The pool leases slots of
// servers to requests, prefers servers by load and past outcomes, ejects failing
// servers and ramps up cold ones. It divides health probes among the hosts of
// the domain, limits retries by a budget, and queues and sheds requests fairly
// among workspaces. It starts no goroutines and does no I/O; it needs a
// core.Timer and a function that returns how many slots of a server the host
// holds.
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
	// called with the pool locked and must not call methods of the pool.
	Slots func(core.ServerID) int
	// Seed seeds the random choice. Zero means a random seed.
	Seed uint64
	// Choices is the number of randomly drawn servers with a free slot that
	// a pick compares. Zero means 4.
	Choices int
	// SlowStart is the length of the ramp (slow start) of a server that is new or
	// comes back. Zero means no ramp.
	SlowStart time.Duration
	// RecoveryRamp is the minimum length of the ramp after an ejection; it is
	// SlowStart if that is longer. Zero means 10 s.
	RecoveryRamp time.Duration

	// EjectAfter is the number of consecutive failures that eject a server.
	// Zero means 5.
	EjectAfter int
	// BaseEjection is the duration of the first ejection of a server. Each further
	// ejection lasts twice as long, up to 5 min. Zero means 10 s.
	BaseEjection time.Duration
	// MaxEjectedShare limits the share of servers that are ejected at the same time.
	// Zero means 0.3. A pool of two or more servers may always eject one; a
	// pool of one ejects none.
	MaxEjectedShare float64
	// ReportTTL is how long a probe report is used. Zero means 30 s.
	ReportTTL time.Duration

	// RetryRatio is the number of retries allowed per request. Zero means
	// 0.1.
	RetryRatio float64
	// RetryBackoff is the maximum backoff before the first retry; it doubles
	// with each further retry. Zero means 20 ms.
	RetryBackoff time.Duration
	// MaxAttempts limits the attempts of one request, including the first. Zero
	// means 3.
	MaxAttempts int

	// MaxQueued limits the number of requests that wait for a slot. Zero means
	// 256, negative means that requests do not wait.
	MaxQueued int
	// MaxWait limits the wait for a slot. Zero means 500 ms.
	MaxWait time.Duration
}

// Request describes a request that needs a slot.
type Request struct {
	Workspace core.WorkspaceID
	Deadline  time.Duration // local monotonic time, zero for none
	// Avoid is a server that failed this request before. It is chosen only
	// if no other server has a free slot.
	Avoid core.ServerID
	// Cost is the expected work relative to an average request. The queue
	// uses it to be fair among workspaces. Zero means 1.
	Cost float64
}

// Pool balances the requests of one service in one failure domain. It is safe
// for concurrent use. The times passed to its methods are local monotonic times
// of Config.Timer.
type Pool struct {
	cfg Config

	mu          sync.Mutex
	rand        *rand.Rand
	servers     map[core.ServerID]*server // includes removed servers with requests in flight
	active      []*server                 // in the order of SetServers
	meanLatency float64                   // moving average of the latency of successful requests, seconds
	meanUse     float64                   // moving average of the time that a slot is in use, seconds
	inUse       int                       // leases in use
	retryBudget int                       // retry budget, thousandths of a retry
	queue       queue
	stats       Stats
}

// Stats holds counters since New and current values of a Pool.
type Stats struct {
	Picks     uint64
	Retries   uint64
	Ejections uint64
	Shed      uint64
	Queued    int // requests that wait for a slot now
	InUse     int // leases in use now, including those of leaving servers
	Ejected   int // servers that are ejected now
}

// New returns a pool without servers.
func New(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		servers: make(map[core.ServerID]*server),
		queue:   queue{finishTimes: make(map[core.WorkspaceID]float64)},
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
// now, unless the pool was empty: then it is the host that started, and the
// servers may be warm. A removed server gets no new requests; those in flight
// finish.
func (p *Pool) SetServers(now time.Duration, list []core.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	initial := len(p.servers) == 0
	listed := make(map[core.ServerID]bool, len(list))
	p.active = make([]*server, 0, len(list))
	for _, srv := range list {
		if listed[srv.Name] {
			continue
		}
		listed[srv.Name] = true
		p.active = append(p.active, p.upsertServer(now, srv, initial))
	}
	for id, s := range p.servers {
		if listed[id] {
			continue
		}
		s.removed = true
		if s.inUse == 0 {
			delete(p.servers, id)
		}
	}
	p.dispatch(now)
}

// upsertServer adds a server or updates it. A removed server that is added again
// while it has requests in flight keeps their count.
func (p *Pool) upsertServer(now time.Duration, srv core.Server, initial bool) *server {
	s := p.servers[srv.Name]
	if s == nil {
		s = &server{Server: srv}
		p.servers[srv.Name] = s
		if !initial {
			s.startRamp(now, p.cfg.SlowStart)
		}
		return s
	}
	if s.Address != srv.Address || s.removed {
		s.reset()
		s.startRamp(now, p.cfg.SlowStart)
	}
	s.Server, s.removed = srv, false
	return s
}

// SetLeaving sets whether a server is being drained or stopped, so that it gets
// no new requests. A server that stops leaving starts its ramp now.
func (p *Pool) SetLeaving(now time.Duration, id core.ServerID, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if s == nil || s.leaving == leaving {
		return
	}
	s.leaving = leaving
	if !leaving {
		s.startRamp(now, p.cfg.SlowStart)
	}
	p.dispatch(now)
}

// Dispatch serves waiting requests. It is called when slots become free by other
// means than Lease.Release: by new loans, or by the end of a ramp or an ejection.
func (p *Pool) Dispatch(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(now)
}

// Stats returns the counters and current values.
func (p *Pool) Stats(now time.Duration) Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Queued = len(p.queue.waiters)
	s.Ejected = p.countEjected(now)
	s.InUse = p.inUse
	return s
}

// InFlight returns the number of requests that this host has in flight at a
// server.
func (p *Pool) InFlight(id core.ServerID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		return s.inUse
	}
	return 0
}

// Load returns the free slots that this host holds and the total of all slots,
// both of servers that accept new requests.
func (p *Pool) Load(now time.Duration) (free, total int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.active {
		if !s.acceptsRequests(now, p.cfg.ReportTTL) {
			continue
		}
		available, _ := p.freeSlots(now, s)
		free += int64(max(available, 0))
		total += int64(s.Slots)
	}
	return free, total
}

// Pick takes a slot without waiting. Errors carry the code NoServer (no server
// accepts new requests) or NoCapacity (this host has no free slot).
func (p *Pool) Pick(now time.Duration, ask Request) (*Lease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pick(now, ask)
}

func (p *Pool) pick(now time.Duration, ask Request) (*Lease, error) {
	s := p.choose(now, ask.Avoid)
	if s == nil {
		return nil, p.noSlotError(now)
	}
	s.inUse++
	p.inUse++
	p.stats.Picks++
	return &Lease{Server: s.Server, pool: p, server: s, start: now}, nil
}

// noSlotError returns the error of a pick that found no server.
func (p *Pool) noSlotError(now time.Duration) error {
	for _, s := range p.active {
		if s.acceptsRequests(now, p.cfg.ReportTTL) {
			return codes.New(codes.NoCapacity, "pool: no free slot for service %s", p.cfg.Service)
		}
	}
	return codes.New(codes.NoServer, "pool: no server of service %s accepts new requests", p.cfg.Service)
}
