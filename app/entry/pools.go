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
	slotPeriod = time.Second
	// probePeriod is the time between two probes of a server, made by one
	// host of its domain: at 6 ms a probe it costs the server 0.12%.
	probePeriod  = 5 * time.Second
	probeTimeout = 2 * time.Second
	// probeParallel bounds the probes under way at once.
	probeParallel = 16
	// sharedLife is how long a probe result is passed on in heartbeats.
	sharedLife = 2 * probePeriod
	// noticeTime is how long a slot stays taken after an exchange was given
	// up: some round trips inside a region.
	noticeTime = 200 * time.Millisecond
	// keptFree is the part of the slots, one in keptFree, that is not offered
	// to other domains, so that a burst at home finds room.
	keptFree = 5
)

// slotUse stands between the loans and the pools, which each hold a lock
// when they ask the other. It keeps the slot loans, so that the pools need
// not ask the holder, and wakes the pools from a goroutine of their own.
type slotUse struct {
	pools atomic.Pointer[pools]
	parts sync.Map // of core.Resource to []share.Part
	wake  chan struct{}
}

func newSlotUse() *slotUse { return &slotUse{wake: make(chan struct{}, 1)} }

func (u *slotUse) inUse(r core.Resource) int64 {
	if p := u.pools.Load(); p != nil {
		return p.inUse(r)
	}
	return 0
}

// changed takes in the loans of a server. It fits
// share.HolderConfig.Changed, which holds the holder's lock.
func (u *slotUse) changed(r core.Resource, parts []share.Loan) {
	u.parts.Store(r, parts)
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// held returns the slots of a server that this host may use now.
func (u *slotUse) held(id core.ServerID, now time.Duration) int {
	parts, ok := u.parts.Load(core.SlotsResource(id))
	if !ok {
		return 0
	}
	return int(share.SumLoans(parts.([]share.Loan), now).Slots)
}

// pools holds one pool per service for the backend servers of the own
// failure domain. It implements core.Picker.
type pools struct {
	self    self
	timer   core.Timer
	holder  *share.Borrower
	group   *member.View
	servers core.Servers
	use     *slotUse

	mu       sync.RWMutex
	services map[core.ServiceID]*pool.Pool
	own      []core.Server
	short    map[core.ServiceID]bool // a request found no slot since the last tick
	probes   map[core.ServerID]probeResult
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
	Use     *slotUse
}

func newPools(d poolsDeps) *pools {
	p := &pools{
		self: d.Self, timer: d.Timer, holder: d.Holder, group: d.Group, servers: d.Servers, use: d.Use,
		services: make(map[core.ServiceID]*pool.Pool),
		short:    make(map[core.ServiceID]bool),
		probes:   make(map[core.ServerID]probeResult),
	}
	d.Use.pools.Store(p)
	d.Hub.subscribe(p.apply)
	return p
}

// apply brings the servers and drains of a configuration into force.
func (p *pools) apply(c config.State) {
	now := p.timer.Now()
	lists := make(map[core.ServiceID][]core.Server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own = nil
	for _, s := range c.Sheet.Servers {
		if s.Domain == p.self.Domain {
			lists[s.Service] = append(lists[s.Service], s)
			p.own = append(p.own, s)
		}
	}
	for _, v := range c.Sheet.Services {
		if p.services[v.Name] == nil {
			p.services[v.Name] = pool.New(pool.Config{
				Service: v.Name, Host: p.self.Name, Timer: p.timer, SlowStart: v.SlowStart, Slots: p.held,
			})
		}
	}
	drained := drainedServers(c.Sheet, p.self.Domain)
	for name, one := range p.services {
		one.SetServers(now, lists[name])
		for _, s := range lists[name] {
			one.SetLeaving(now, s.Name, drained[s.Name])
		}
	}
}

// drainedServers returns the servers of a domain that get no new work.
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

func (p *pools) held(id core.ServerID) int {
	return p.use.held(id, p.timer.Now())
}

func (p *pools) service(name core.ServiceID) *pool.Pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.services[name]
}

// each calls f with each service.
func (p *pools) each(f func(core.ServiceID, *pool.Pool)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for name, one := range p.services {
		f(name, one)
	}
}

func (p *pools) wake(now time.Duration) {
	p.each(func(_ core.ServiceID, one *pool.Pool) { one.Dispatch(now) })
}

// runWake wakes the pools when slot loans have changed.
func (p *pools) runWake(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.use.wake:
			p.wake(p.timer.Now())
		}
	}
}

// inUse returns the requests in flight at a server, for a slot resource.
func (p *pools) inUse(r core.Resource) int64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.own {
		if core.SlotsResource(s.Name) == r && p.services[s.Service] != nil {
			return int64(p.services[s.Service].InFlight(s.Name))
		}
	}
	return 0
}

// inFlight returns the requests in flight at one server.
func (p *pools) inFlight(id core.ServerID) int64 { return p.inUse(core.SlotsResource(id)) }

// Acquire implements core.Picker.
func (p *pools) Acquire(ctx context.Context, pick core.PickRequest) (core.Slot, error) {
	one := p.service(pick.Service)
	if one == nil {
		return nil, codes.New(codes.ServiceAbsent, "entry: no service %s", pick.Service)
	}
	if len(pick.Tried) == 0 {
		one.CountRequest()
	}
	ask := pool.Request{Workspace: pick.Workspace}
	if len(pick.Tried) > 0 {
		ask.Avoid = pick.Tried[len(pick.Tried)-1]
	}
	if deadline, ok := ctx.Deadline(); ok {
		ask.Deadline = p.timer.Now() + time.Until(deadline)
	}
	lease, err := one.Pick(p.timer.Now(), ask)
	if codes.Is(err, codes.NoCapacity) {
		p.wantMore(pick.Service)
		lease, err = one.Acquire(ctx, ask)
	}
	if err != nil {
		return nil, err
	}
	return slot{lease: lease, timer: p.timer}, nil
}

// wantMore asks for more slots of a service at once.
func (p *pools) wantMore(service core.ServiceID) {
	p.mu.Lock()
	first := !p.short[service]
	p.short[service] = true
	p.mu.Unlock()
	if first {
		p.tick()
	}
}

// Retry implements core.Picker.
func (p *pools) Retry(ctx context.Context, a core.Attempt) bool {
	one := p.service(a.Service)
	if one == nil {
		return false
	}
	t := pool.Attempt{Kind: a.Kind, State: a.State, Tries: a.Tries}
	if deadline, ok := ctx.Deadline(); ok {
		t.Deadline = p.timer.Now() + time.Until(deadline)
	}
	pause, ok := one.Retry(p.timer.Now(), t)
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

// offer reserves a slot for another failure domain.
func (p *pools) offer(service core.ServiceID, _ core.Class) (core.Slot, error) {
	one := p.service(service)
	if one == nil {
		return nil, codes.New(codes.ServiceAbsent, "entry: no service %s", service)
	}
	now := p.timer.Now()
	free, total := one.Load(now)
	if free <= total/keptFree {
		return nil, codes.New(codes.NoCapacity, "entry: the free slots of service %s are kept for the own domain", service)
	}
	lease, err := one.Pick(now, pool.Request{})
	if err != nil {
		return nil, err
	}
	return slot{lease: lease, timer: p.timer}, nil
}

// tick tells the loans how many slots of each server this host could use:
// its even part of the domain's, more while requests find none.
func (p *pools) tick() {
	hosts := int64(max(1, len(p.group.Live(p.self.Domain))))
	p.mu.Lock()
	own := p.own
	short := p.short
	p.short = make(map[core.ServiceID]bool)
	p.mu.Unlock()
	for _, s := range own {
		slots := int64(s.Slots)
		want := (slots + hosts - 1) / hosts
		if short[s.Service] {
			want = slots
		}
		want = max(want, min(slots, p.inFlight(s.Name)+1))
		p.holder.SetDemand(core.SlotsResource(s.Name), core.Amount{Slots: want})
	}
}

// load estimates the load of the own domain from this host's part of it.
func (p *pools) load(now time.Duration, domain core.DomainID, hosts int) core.DomainLoad {
	l := core.DomainLoad{Domain: domain}
	p.each(func(_ core.ServiceID, one *pool.Pool) {
		free, total := one.Load(now)
		l.Free += min(free*int64(max(1, hosts)), total)
		l.Total += total
	})
	return l
}

// probe probes the servers that are this host's duty.
func (p *pools) probe(ctx context.Context) {
	live := names(p.group.Live(p.self.Domain))
	var mine []core.Server
	p.each(func(_ core.ServiceID, one *pool.Pool) { mine = append(mine, one.ProbeTargets(live)...) })
	fanout.Each(probeParallel, len(mine), func(i int) { p.probeOne(ctx, mine[i]) })
}

func (p *pools) probeOne(ctx context.Context, s core.Server) {
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
	if one := p.service(s.Service); one != nil {
		one.AddReport(now, pool.ProbeReport{Server: s.Name, Prober: p.self.Name, Health: health, Failed: err != nil})
	}
}

// shared returns the own probe results that other hosts should learn.
func (p *pools) shared(now time.Duration) []core.ProbeResult {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []core.ProbeResult
	for id, r := range p.probes {
		if age := max(0, now-r.at); age < sharedLife {
			out = append(out, core.ProbeResult{Server: id, Age: age, Failed: r.failed, Health: r.health})
		}
	}
	return out
}

// learn takes in the probe results of another host of the domain.
func (p *pools) learn(now time.Duration, b core.Heartbeat) {
	if b.Host.Domain != p.self.Domain {
		return
	}
	for _, r := range b.ProbeResults {
		p.each(func(_ core.ServiceID, one *pool.Pool) {
			one.AddReport(now, pool.ProbeReport{Server: r.Server, Prober: b.Host.Name, Age: r.Age, Health: r.Health, Failed: r.Failed})
		})
	}
}

func runPools(d *duties, p *pools) {
	d.add(p.runWake)
	d.every("slots", slotPeriod, func(context.Context) error {
		p.tick()
		p.wake(p.timer.Now())
		return nil
	})
	d.every("probes", probePeriod, func(ctx context.Context) error {
		p.probe(ctx)
		return nil
	})
}

// slot is a lease as the request flow sees it.
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
		// The server notices a closed connection a little later than this
		// host gives the exchange up; until then its slot is taken.
		time.AfterFunc(noticeTime, func() { s.lease.Release(s.timer.Now(), outcome) })
		return
	}
	s.lease.Release(s.timer.Now(), outcome)
}

// drainedInFlight returns this host's requests in flight at the servers that
// a drain empties.
func (p *pools) drainedInFlight(d core.Drain) int64 {
	p.mu.RLock()
	own := p.own
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
