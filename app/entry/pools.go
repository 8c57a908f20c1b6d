package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/config"
	"azurering/core/fanout"
	"azurering/core/member"
	"azurering/core/pool"
	"azurering/core/share"
)

const (
	demandPeriod = time.Second
	// probePeriod is the time between two probes of a server. One host of the
	// domain probes it; at 6 ms per probe, this costs the server 0.12%.
	probePeriod  = 5 * time.Second
	probeTimeout = 2 * time.Second
	// maxProbes bounds the concurrent probes.
	maxProbes = 16
	// probeShareTime is how long a probe result is sent in heartbeats.
	probeShareTime = 2 * probePeriod
	// maxAbandonDelay bounds the wait for the end of an abandoned exchange. It is longer
	// than package server waits for it.
	maxAbandonDelay = 3 * time.Second
	// One in reserveDivisor slots is not offered to other domains, so that a
	// burst in the own domain finds free slots.
	reserveDivisor = 5
)

// slotLoans decouples the borrower from the pools, because each holds its
// own lock when it needs the other. It caches the slot loans, so that the pools
// need not call the borrower, and signals changes, so that another goroutine
// wakes the pools.
type slotLoans struct {
	pools   atomic.Pointer[pools]
	loans   sync.Map // of core.Resource to []share.Loan
	changes chan struct{}
}

func newSlotLoans() *slotLoans { return &slotLoans{changes: make(chan struct{}, 1)} }

func (u *slotLoans) inUse(r core.Resource) int64 {
	if p := u.pools.Load(); p != nil {
		return p.slotsInUse(r)
	}
	return 0
}

// set replaces the loans of a slot resource. It does not block, because the
// borrower calls it with its lock held.
func (u *slotLoans) set(r core.Resource, parts []share.Loan) {
	u.loans.Store(r, parts)
	select {
	case u.changes <- struct{}{}:
	default:
	}
}

// held returns the slots of a server that this host may use now.
func (u *slotLoans) held(id core.ServerID, now time.Duration) int {
	parts, ok := u.loans.Load(core.SlotsResource(id))
	if !ok {
		return 0
	}
	return int(share.SumLoans(parts.([]share.Loan), now).Slots)
}

// pools has one pool per service for the backend servers of this host's
// failure domain. It implements core.Picker.
type pools struct {
	self     self
	timer    core.Timer
	borrower *share.Borrower
	view     *member.View
	servers  core.Servers
	loans    *slotLoans

	mu           sync.RWMutex
	services     map[core.ServiceID]*pool.Pool
	localServers []core.Server
	unmet        map[core.ServiceID]bool // a request found no slot since the last updateDemand
	probes       map[core.ServerID]probeResult
}

type probeResult struct {
	at     time.Duration
	failed bool
	health core.Health
}

type poolsDeps struct {
	fx.In
	Self    self
	Timer   core.Timer
	Holder  *share.Borrower
	Group   *member.View
	Servers core.Servers
	Hub     *hub
	Loans   *slotLoans
}

func newPools(d poolsDeps) *pools {
	p := &pools{
		self: d.Self, timer: d.Timer, borrower: d.Holder, view: d.Group, servers: d.Servers, loans: d.Loans,
		services: make(map[core.ServiceID]*pool.Pool),
		unmet:    make(map[core.ServiceID]bool),
		probes:   make(map[core.ServerID]probeResult),
	}
	d.Loans.pools.Store(p)
	d.Hub.subscribe(p.apply)
	return p
}

// apply sets the servers and drains of a new configuration.
func (p *pools) apply(c config.State) {
	now := p.timer.Now()
	byService := make(map[core.ServiceID][]core.Server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.localServers = nil
	for _, s := range c.Sheet.Servers {
		if s.Domain == p.self.Domain {
			byService[s.Service] = append(byService[s.Service], s)
			p.localServers = append(p.localServers, s)
		}
	}
	for _, v := range c.Sheet.Services {
		if p.services[v.Name] == nil {
			p.services[v.Name] = pool.New(pool.Config{
				Service: v.Name, Host: p.self.Name, Timer: p.timer, SlowStart: v.SlowStart, Slots: p.heldSlots,
			})
		}
	}
	drained := drainedServers(c.Sheet, p.self.Domain)
	for name, servicePool := range p.services {
		servicePool.SetServers(now, byService[name])
		for _, s := range byService[name] {
			servicePool.SetLeaving(now, s.Name, drained[s.Name])
		}
	}
}

// drainedServers returns the servers that drains take new work away from: those
// drained by name and, if the domain is drained, all of the domain.
func drainedServers(s core.Sheet, domain core.DomainID) map[core.ServerID]bool {
	out := make(map[core.ServerID]bool)
	for _, d := range s.Drains {
		switch d.Kind {
		case core.DrainServer:
			out[core.ServerID(d.Target)] = true
		case core.DrainDomain:
			if core.DomainID(d.Target) != domain {
				continue
			}
			for _, v := range s.Servers {
				if v.Domain == domain {
					out[v.Name] = true
				}
			}
		}
	}
	return out
}

func (p *pools) heldSlots(id core.ServerID) int {
	return p.loans.held(id, p.timer.Now())
}

func (p *pools) servicePool(name core.ServiceID) *pool.Pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[name]
}

// forEach calls f for each service, with p.mu read-locked.
func (p *pools) forEach(f func(core.ServiceID, *pool.Pool)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for name, servicePool := range p.services {
		f(name, servicePool)
	}
}

func (p *pools) wake(now time.Duration) {
	p.forEach(func(_ core.ServiceID, servicePool *pool.Pool) { servicePool.Dispatch(now) })
}

// runWake wakes the pools after each change of slot loans until the context
// ends.
func (p *pools) runWake(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.loans.changes:
			p.wake(p.timer.Now())
		}
	}
}

// slotsInUse returns the number of requests in flight from this host at the
// server of a slot resource.
func (p *pools) slotsInUse(r core.Resource) int64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.localServers {
		if core.SlotsResource(s.Name) == r && p.services[s.Service] != nil {
			return int64(p.services[s.Service].InFlight(s.Name))
		}
	}
	return 0
}

// inFlight returns the number of requests in flight from this host at a server.
func (p *pools) inFlight(id core.ServerID) int64 { return p.slotsInUse(core.SlotsResource(id)) }

// Acquire implements core.Picker.
func (p *pools) Acquire(ctx context.Context, pick core.PickRequest) (core.Slot, error) {
	servicePool := p.servicePool(pick.Service)
	if servicePool == nil {
		return nil, codes.New(codes.ServiceAbsent, "entry: no service %s", pick.Service)
	}
	if len(pick.Tried) == 0 {
		servicePool.CountRequest()
	}
	request := pool.Request{Workspace: pick.Workspace}
	if len(pick.Tried) > 0 {
		request.Avoid = pick.Tried[len(pick.Tried)-1]
	}
	if deadline, ok := ctx.Deadline(); ok {
		request.Deadline = p.timer.Now() + time.Until(deadline)
	}
	lease, err := servicePool.Pick(p.timer.Now(), request)
	if codes.Is(err, codes.NoCapacity) {
		p.raiseDemand(pick.Service)
		lease, err = servicePool.Acquire(ctx, request)
	}
	if err != nil {
		return nil, err
	}
	return slot{lease: lease, timer: p.timer}, nil
}

// raiseDemand notes that a service is short of slots. The first call since the
// last updateDemand asks for more slots at once.
func (p *pools) raiseDemand(service core.ServiceID) {
	p.mu.Lock()
	isFirst := !p.unmet[service]
	p.unmet[service] = true
	p.mu.Unlock()
	if isFirst {
		p.updateDemand()
	}
}

// Retry implements core.Picker.
func (p *pools) Retry(ctx context.Context, a core.Attempt) bool {
	servicePool := p.servicePool(a.Service)
	if servicePool == nil {
		return false
	}
	t := pool.Attempt{Kind: a.Kind, State: a.State, Tries: a.Tries}
	if deadline, ok := ctx.Deadline(); ok {
		t.Deadline = p.timer.Now() + time.Until(deadline)
	}
	pause, ok := servicePool.Retry(p.timer.Now(), t)
	if !ok {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-p.timer.After(pause):
		return true
	}
}

// reserve reserves a slot for a request of another failure domain.
func (p *pools) reserve(service core.ServiceID, _ core.Class) (core.Slot, error) {
	servicePool := p.servicePool(service)
	if servicePool == nil {
		return nil, codes.New(codes.ServiceAbsent, "entry: no service %s", service)
	}
	now := p.timer.Now()
	free, total := servicePool.Load(now)
	if free <= total/reserveDivisor {
		return nil, codes.New(codes.NoCapacity, "entry: the free slots of service %s are reserved for requests of this failure domain", service)
	}
	lease, err := servicePool.Pick(now, pool.Request{})
	if err != nil {
		return nil, err
	}
	return slot{lease: lease, timer: p.timer}, nil
}

// updateDemand tells the borrower how many slots of each server this host
// could use: an even part of them, at least one more than are in use, and all
// of them if a request of the service found no slot since the last call.
func (p *pools) updateDemand() {
	hosts := int64(max(1, len(p.view.Live(p.self.Domain))))
	p.mu.Lock()
	own := p.localServers
	unmet := p.unmet
	p.unmet = make(map[core.ServiceID]bool)
	p.mu.Unlock()
	for _, s := range own {
		slots := int64(s.Slots)
		want := (slots + hosts - 1) / hosts
		if unmet[s.Service] {
			want = slots
		}
		want = max(want, min(slots, p.inFlight(s.Name)+1))
		p.borrower.SetDemand(core.SlotsResource(s.Name), core.Amount{Slots: want})
	}
}

// load estimates the load of this host's domain: it multiplies the free slots
// of this host by the number of hosts.
func (p *pools) load(now time.Duration, domain core.DomainID, hosts int) core.DomainLoad {
	l := core.DomainLoad{Domain: domain}
	p.forEach(func(_ core.ServiceID, servicePool *pool.Pool) {
		free, total := servicePool.Load(now)
		l.Free += min(free*int64(max(1, hosts)), total)
		l.Total += total
	})
	return l
}

// probeServers probes the servers that are assigned to this host and waits for
// the results.
func (p *pools) probeServers(ctx context.Context) {
	live := hostNames(p.view.Live(p.self.Domain))
	var assigned []core.Server
	p.forEach(func(_ core.ServiceID, servicePool *pool.Pool) {
		assigned = append(assigned, servicePool.ProbeTargets(live)...)
	})
	fanout.Each(maxProbes, len(assigned), func(i int) { p.probeServer(ctx, assigned[i]) })
}

func (p *pools) probeServer(ctx context.Context, s core.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := p.servers.Probe(ctx, s)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	now := p.timer.Now()
	p.mu.Lock()
	p.probes[s.Name] = probeResult{at: now, failed: err != nil, health: health}
	p.mu.Unlock()
	if servicePool := p.servicePool(s.Service); servicePool != nil {
		servicePool.AddReport(now, pool.ProbeReport{Server: s.Name, Prober: p.self.Name, Health: health, Failed: err != nil})
	}
}

// sharedProbes returns this host's recent probe results for heartbeats.
func (p *pools) sharedProbes(now time.Duration) []core.ProbeResult {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []core.ProbeResult
	for id, r := range p.probes {
		if age := max(0, now-r.at); age < probeShareTime {
			out = append(out, core.ProbeResult{Server: id, Age: age, Failed: r.failed, Health: r.health})
		}
	}
	return out
}

// mergeProbes records the probe results in a heartbeat. It ignores those of
// other domains.
func (p *pools) mergeProbes(now time.Duration, b core.Heartbeat) {
	if b.Host.Domain != p.self.Domain {
		return
	}
	for _, r := range b.ProbeResults {
		p.forEach(func(_ core.ServiceID, servicePool *pool.Pool) {
			servicePool.AddReport(now, pool.ProbeReport{Server: r.Server, Prober: b.Host.Name, Age: r.Age, Health: r.Health, Failed: r.Failed})
		})
	}
}

func runPools(d *tasks, p *pools) {
	d.add(p.runWake)
	d.addPeriodic("slots", demandPeriod, func(context.Context) error {
		p.updateDemand()
		p.wake(p.timer.Now())
		return nil
	})
	d.addPeriodic("probes", probePeriod, func(ctx context.Context) error {
		p.probeServers(ctx)
		return nil
	})
}

// slot implements core.Slot on a lease of a pool.
type slot struct {
	lease *pool.Lease
	timer core.Timer
}

// Server implements core.Slot.
func (s slot) Server() core.Server { return s.lease.Server }

// Release implements core.Slot.
func (s slot) Release(o core.Outcome) {
	outcome := pool.OutcomeOK
	switch {
	case o.Shed:
		outcome = pool.OutcomeShed
	case o.Failed:
		outcome = pool.OutcomeFailed
	case o.Latency == 0:
		// Nothing was sent.
		outcome = pool.OutcomeCancelled
	}
	if o.Abandoned {
		// The server notices a closed connection only after this host has
		// abandoned the exchange; until then, the slot is still taken.
		go func() {
			select {
			case <-o.Ended:
			case <-time.After(maxAbandonDelay):
			}
			s.lease.Release(s.timer.Now(), outcome)
		}()
		return
	}
	s.lease.Release(s.timer.Now(), outcome)
}

// drainedInFlight returns the number of requests in flight from this host at
// the servers that a drain covers.
func (p *pools) drainedInFlight(d core.Drain) int64 {
	p.mu.RLock()
	own := p.localServers
	p.mu.RUnlock()
	drained := drainedServers(core.Sheet{Drains: []core.Drain{d}, Servers: own}, p.self.Domain)
	var n int64
	for _, s := range own {
		if drained[s.Name] {
			n += p.inFlight(s.Name)
		}
	}
	return n
}
