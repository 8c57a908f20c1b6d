package rates_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/rates"
	"azurering/core/share"
	"azurering/core/timer"
)

// tick is the step of virtual time in fleet tests.
const tick = 50 * time.Millisecond

// netMode is a fault of the messages that a host sends.
type netMode string

const (
	netOK         netMode = ""
	netLoseAsk    netMode = "lose-ask"
	netLoseAnswer netMode = "lose-answer"
	netLateAsk    netMode = "late-ask"    // the ask arrives up to 15 s later, its answer is used
	netLateAnswer netMode = "late-answer" // the answer arrives up to 15 s later
	netReplay     netMode = "replay"      // the ask fails, but arrives up to 15 s later
)

// fleet is a whole system in virtual time.
type fleet struct {
	timer   *timer.Manual
	net     fakes.Network
	table   fakes.Table
	rng     *rand.Rand
	arrive  *rand.Rand // arrivals only, so that they are the same for each policy
	limits  share.Limits
	domains []core.DomainID
	hosts   []*host
	seats   map[core.DomainID]*seat
	late    []*delayed
	keeper  func(*share.LenderConfig)
	borrow  bool
	arrived func(core.WorkspaceID) // told each arrival, if set
	ticks   int
}

// seat is a stand-in for core/seats: the old holder may act until the new
// one does, the latest that the right to act allows.
type seat struct {
	holder, old *host
	epoch       uint64
	version     uint64
	oldEpoch    uint64
	oldVersion  uint64
	from        time.Duration
}

// host is one run of an entry host.
type host struct {
	f       *fleet
	id      core.HostID
	domain  core.DomainID
	run     uint64
	peer    *fakes.Peer
	keeper  *share.Lender
	holder  *share.Borrower
	limiter *rates.Limiter
	mode    netMode
	fault   fakes.Fault
	paused  time.Duration
	busy    [2]*stepRun
	stopped bool
	waiting []*wait
}

type wait struct {
	w core.WorkspaceID
	t *rates.Waiter
}

type delayed struct {
	at   time.Duration
	do   func()
	c    chan struct{}
	step *stepRun
}

func newFleet(seed uint64, domains, perDomain int, limits share.Limits) *fleet {
	f := &fleet{timer: timer.NewManual(), rng: rand.New(rand.NewPCG(seed, 1)), arrive: rand.New(rand.NewPCG(seed, 2)), limits: limits, seats: map[core.DomainID]*seat{}, borrow: true}
	for d := range domains {
		name := core.DomainID(fmt.Sprintf("d%d", d))
		f.domains = append(f.domains, name)
		f.seats[name] = &seat{}
		for h := range perDomain {
			f.hosts = append(f.hosts, &host{f: f, id: core.HostID(fmt.Sprintf("%s-h%d", name, h)), domain: name})
		}
	}
	return f
}

func (f *fleet) start() *fleet {
	for _, h := range f.hosts {
		h.start()
	}
	for i, d := range f.domains {
		f.takeover(d, f.hosts[i*len(f.hosts)/len(f.domains)])
		f.seats[d].from = 0
	}
	return f
}

// start makes a run of the host without state.
func (h *host) start() {
	h.run++
	h.stopped = false
	h.waiting = nil
	h.busy = [2]*stepRun{}
	h.peer = h.f.net.Peer(h.id)
	h.limiter = rates.NewLimiter(rates.LimiterConfig{Timer: h.f.timer})
	run := h.run
	cfg := share.LenderConfig{
		Domain: h.domain, Table: hostTable{h}, Timer: h.f.timer,
		ActingEpoch: func() (uint64, bool) { return h.f.acting(h, run) },
		SeatCheck:   func() (core.Write, bool) { return h.f.check(h) },
		DomainOf:    h.f.domainOf,
		NewToken:    func() string { return fmt.Sprint(h.f.rng.Uint64()) },
	}
	if h.f.keeper != nil {
		h.f.keeper(&cfg)
	}
	h.keeper = share.NewLender(cfg)
	h.peer.Handle(core.KindLoanRequest, h.keeper.Handle)
	lim := h.limiter
	hc := share.BorrowerConfig{
		Host: h.id, Incarnation: run, Domain: h.domain, Peers: hostPeers{h, h.peer, run}, Timer: h.f.timer,
		SeatHolder:     h.f.holderOf,
		OnLoansChanged: lim.SetLoans,
		OnTokens:       lim.AddTokens,
	}
	if h.f.borrow {
		hc.ForeignDomains = func() []core.DomainID { return h.f.others(h.domain) }
	}
	h.holder = share.NewBorrower(hc)
	lim.SetDemandReporter(h.holder)
	h.setLimits(h.f.limits)
}

func (h *host) setLimits(l share.Limits) {
	h.keeper.SetLimits(l)
	h.limiter.SetLimits(l)
}

func (f *fleet) others(d core.DomainID) []core.DomainID {
	var list []core.DomainID
	i := slices.Index(f.domains, d)
	for n := 1; n < len(f.domains); n++ {
		list = append(list, f.domains[(i+n)%len(f.domains)])
	}
	return list
}

func (f *fleet) domainOf(id core.HostID) (core.DomainID, bool) {
	for _, h := range f.hosts {
		if h.id == id {
			return h.domain, true
		}
	}
	return "", false
}

func (f *fleet) holderOf(d core.DomainID) (core.HostID, bool) {
	s := f.seats[d]
	if s.old != nil && f.timer.Now() < s.from {
		return s.old.id, true
	}
	return s.holder.id, true
}

func (f *fleet) acting(h *host, run uint64) (uint64, bool) {
	s, now := f.seats[h.domain], f.timer.Now()
	if h.stopped || h.run != run {
		return 0, false
	}
	if s.holder == h && now >= s.from {
		return s.epoch, true
	}
	return s.oldEpoch, s.old == h && now < s.from
}

func (f *fleet) check(h *host) (core.Write, bool) {
	s := f.seats[h.domain]
	w := core.Write{Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(h.domain), ExpectVersion: s.version}
	if s.holder != h {
		w.ExpectVersion = s.oldVersion
	}
	return w, true
}

// takeover gives the seat of a domain to a host, as one commit.
func (f *fleet) takeover(d core.DomainID, h *host) {
	s := f.seats[d]
	if f.timer.Now() < s.from {
		return
	}
	write := core.Write{Kind: core.WritePut, Space: core.SpaceSeat, Key: string(d), ExpectVersion: s.version, Token: "t", Value: []byte(h.id)}
	if f.table.Commit(context.Background(), []core.Write{write}) != nil {
		return
	}
	s.old, s.oldEpoch, s.oldVersion = s.holder, s.epoch, s.version
	if s.old == h {
		s.old = nil
	}
	s.holder, s.epoch, s.version, s.from = h, s.epoch+1, s.version+1, f.timer.Now()+4400*time.Millisecond
}

// restart replaces a host by one without state. A seat holder loses its
// seat to the next host of its domain.
func (f *fleet) restart(h *host) {
	h.stopped = true
	h.start()
	s := f.seats[h.domain]
	if s.old == h {
		s.old = nil
	}
	if s.holder == h {
		f.seats[h.domain].from = min(s.from, f.timer.Now())
		f.takeover(h.domain, h)
	}
}

// hostTable is the table as one host reaches it.
type hostTable struct{ h *host }

func (t hostTable) Get(ctx context.Context, s core.Space, key string) (core.Row, error) {
	if t.h.fault == fakes.FaultUnavailable {
		return core.Row{}, codes.New(codes.StoreDown, "test: store down")
	}
	return t.h.f.table.Get(ctx, s, key)
}

func (t hostTable) List(ctx context.Context, s core.Space, after string, n int) ([]core.Row, error) {
	if t.h.fault == fakes.FaultUnavailable {
		return nil, codes.New(codes.StoreDown, "test: store down")
	}
	return t.h.f.table.List(ctx, s, after, n)
}

func (t hostTable) Commit(ctx context.Context, writes []core.Write) error {
	switch t.h.fault {
	case fakes.FaultUnavailable:
		return codes.New(codes.StoreDown, "test: store down")
	case fakes.FaultLostRequest:
		// A lost commit may still arrive later.
		t.h.f.later(func() { _ = t.h.f.table.Commit(ctx, writes) })
		return codes.New(codes.StoreUnknown, "test: commit delayed")
	case fakes.FaultLostResponse:
		if err := t.h.f.table.Commit(ctx, writes); err != nil {
			return err
		}
		return codes.New(codes.StoreUnknown, "test: answer lost")
	}
	return t.h.f.table.Commit(ctx, writes)
}

// hostPeers applies the network mode of a host to its messages.
type hostPeers struct {
	h    *host
	peer *fakes.Peer
	run  uint64
}

func (p hostPeers) Handle(k core.MessageKind, h core.MessageHandler) { p.peer.Handle(k, h) }

func (p hostPeers) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	down := codes.New(codes.PeerDown, "test: no answer")
	switch p.h.mode {
	case netLoseAsk:
		return nil, down
	case netLoseAnswer:
		_, _ = p.call(ctx, to, m)
		return nil, down
	case netReplay:
		p.h.f.later(func() { _, _ = p.call(ctx, to, m) })
		return nil, down
	case netLateAsk:
		p.h.f.sleep(ctx)
		return p.call(ctx, to, m)
	case netLateAnswer:
		answer, err := p.call(ctx, to, m)
		p.h.f.sleep(ctx)
		return answer, err
	}
	return p.call(ctx, to, m)
}

// call reaches hosts that are not paused.
func (p hostPeers) call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	for _, h := range p.h.f.hosts {
		if h.id == to && p.h.f.timer.Now() < h.paused {
			return nil, codes.New(codes.PeerDown, "test: host is paused")
		}
	}
	return p.peer.Call(ctx, to, m)
}

func (f *fleet) delay() time.Duration {
	return f.timer.Now() + time.Duration(f.rng.Int64N(int64(15*time.Second)))
}

func (f *fleet) later(do func()) { f.late = append(f.late, &delayed{at: f.delay(), do: do}) }

// stepRun is one call of a step of a Holder, in its own goroutine.
type stepRun struct {
	done    chan struct{}
	blocked chan struct{} // signalled when the step sleeps in virtual time
}

type stepKey struct{}

func (f *fleet) sleep(ctx context.Context) {
	run := ctx.Value(stepKey{}).(*stepRun)
	d := &delayed{at: f.delay(), c: make(chan struct{}), step: run}
	f.late = append(f.late, d)
	run.blocked <- struct{}{}
	<-d.c
}

// wait returns when the step has ended or sleeps, so that the order of
// events stays fixed.
func (r *stepRun) wait() {
	select {
	case <-r.done:
	case <-r.blocked:
	}
}

func (h *host) step(slot int, do func(context.Context)) {
	if r := h.busy[slot]; r != nil {
		select {
		case <-r.done:
		default:
			return
		}
	}
	run := &stepRun{done: make(chan struct{}), blocked: make(chan struct{})}
	h.busy[slot] = run
	ctx := context.WithValue(context.Background(), stepKey{}, run)
	go func() { defer close(run.done); do(ctx) }()
	run.wait()
}

// release carries out what was delayed until now, one after the other.
func (f *fleet) release() {
	for {
		i := slices.IndexFunc(f.late, func(d *delayed) bool { return d.at <= f.timer.Now() })
		if i < 0 {
			return
		}
		d := f.late[i]
		f.late = slices.Delete(f.late, i, i+1)
		if d.do != nil {
			d.do()
			continue
		}
		close(d.c)
		d.step.wait()
	}
}

// load is the offered requests per second of a workspace at a host.
type load func(now time.Duration, h *host, w core.WorkspaceID) float64

// advance moves one tick: control steps, then arrivals. got is told each
// decision of the hosts.
func (f *fleet) advance(names []core.WorkspaceID, offered load, got func(h *host, w core.WorkspaceID, ok bool)) {
	f.timer.Advance(tick)
	f.ticks++
	f.release()
	now := f.timer.Now()
	for i, h := range f.hosts {
		if now < h.paused {
			continue
		}
		if (f.ticks+i)%20 == 0 {
			h.keeper.Step(context.Background())
		}
		if f.ticks%2 == 0 {
			h.step(0, h.holder.Step)
			h.step(1, h.holder.BorrowForeign)
		}
		h.limiter.ProcessQueue(now)
		h.collect(got)
		if (f.ticks+i)%10 == 0 {
			h.limiter.ReportDemand(now)
		}
	}
	for _, h := range f.hosts {
		if now < h.paused {
			continue
		}
		for _, w := range names {
			for range poisson(f.arrive, offered(now, h, w)*tick.Seconds()) {
				if f.arrived != nil {
					f.arrived(w)
				}
				t, err := h.limiter.Enqueue(now, w, rates.RequestWeight, time.Second)
				if err != nil {
					got(h, w, false)
					continue
				}
				h.waiting = append(h.waiting, &wait{w, t})
			}
		}
		h.collect(got)
	}
}

func (h *host) collect(got func(h *host, w core.WorkspaceID, ok bool)) {
	h.waiting = slices.DeleteFunc(h.waiting, func(x *wait) bool {
		select {
		case err := <-x.t.Done():
			got(h, x.w, err == nil)
			return true
		default:
			return false
		}
	})
}

func poisson(rng *rand.Rand, mean float64) int {
	if mean <= 0 {
		return 0
	}
	n, p, stop := 0, 1.0, math.Exp(-mean)
	for {
		p *= rng.Float64()
		if p <= stop {
			return n
		}
		n++
	}
}

// row reads a row past all faults.
func (f *fleet) row(r core.Resource) (share.Row, bool) {
	row, err := f.table.Get(context.Background(), core.SpaceShare, string(r))
	if err != nil || row.Version == 0 {
		return share.Row{}, false
	}
	decoded, err := share.DecodeRow(row.Value)
	return decoded, err == nil
}

// bound is a fleet-wide token bucket that is drained by what the hosts
// admit. It falls below zero exactly if some window held more than burst +
// rate × window.
type bound struct {
	limit core.Amount
	level float64
	last  time.Duration
}

func (b *bound) refill(now time.Duration) {
	b.level = min(float64(b.limit.Burst), b.level+float64(b.limit.Rate)*(now-b.last).Seconds())
	b.last = now
}

// checker holds the invariants of one resource.
type checker struct {
	f     *fleet
	r     core.Resource
	bound bound
	sum   core.Amount
	low   float64 // lowest level of the bound
	all   int64
}

func (f *fleet) checker(r core.Resource) *checker {
	l := f.limits.Rates[r].Amount
	return &checker{f: f, r: r, bound: bound{limit: l, level: float64(l.Burst)}}
}

func (c *checker) admitted() {
	c.bound.refill(c.f.timer.Now())
	c.bound.level -= float64(rates.RequestWeight)
	c.low = min(c.low, c.bound.level)
	c.all++
}

// check returns the first broken invariant.
func (c *checker) check() error {
	now := c.f.timer.Now()
	c.bound.refill(now)
	if c.low < -1 {
		return fmt.Errorf("%s: a window admitted %.3f more than burst + rate × window", c.r, -c.low)
	}
	row, ok := c.f.row(c.r)
	if !ok {
		return nil
	}
	lent := map[core.DomainID]core.Amount{}
	var held core.Amount
	for _, h := range c.f.hosts {
		for _, p := range h.holder.Loans(c.r, now) {
			lent[p.Lender] = lent[p.Lender].Add(p.Amount)
			held = held.Add(p.Amount)
		}
	}
	for d, a := range lent {
		if !a.Fits(row.Amounts[d]) {
			return fmt.Errorf("%s: loans %v of domain %s are above its amount %v", c.r, a, d, row.Amounts[d])
		}
	}
	sum := row.Sum()
	if !sum.Fits(row.Limit) && !sum.Fits(c.sum) {
		return fmt.Errorf("%s: amounts grew from %v to %v above the limit %v", c.r, c.sum, sum, row.Limit)
	}
	c.sum = sum
	c.follow(held, sum)
	return nil
}

// follow moves the bound to a new limit: a higher one at once, a lower one
// when amounts and loans fit it.
func (c *checker) follow(held, sum core.Amount) {
	l := c.f.limits.Rates[c.r].Amount
	high := l.Max(c.bound.limit)
	c.bound.limit = high
	if l != high && held.Fits(l) && sum.Fits(l) {
		c.bound.limit = l
		c.bound.level = min(c.bound.level, float64(l.Burst))
	}
}
