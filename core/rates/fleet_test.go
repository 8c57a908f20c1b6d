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
	netOK              netMode = ""
	netLoseRequest     netMode = "lose-ask"
	netLoseResponse    netMode = "lose-answer"
	netDelayRequest    netMode = "late-ask"    // the request arrives up to 15 s later; its answer is used
	netDelayResponse   netMode = "late-answer" // the answer arrives up to 15 s later
	netFailThenDeliver netMode = "replay"      // the request fails, but arrives up to 15 s later
)

// fleet is a set of hosts with a table and a network in virtual time.
type fleet struct {
	timer            *timer.Manual
	net              fakes.Network
	table            fakes.Table
	rng              *rand.Rand
	arrivalRNG       *rand.Rand // only for arrivals, so that they are the same for each policy
	limits           share.Limits
	domains          []core.DomainID
	hosts            []*host
	seats            map[core.DomainID]*seat
	delayedEvents    []*delayedEvent
	configureLender  func(*share.LenderConfig)
	crossDomainLoans bool
	onArrival        func(core.WorkspaceID) // called for each arrival, if set
	ticks            int
}

// seat replaces core/seats: the previous seat holder may act until the
// handover, when the new one may start. That is the latest time that the seat
// protocol allows.
type seat struct {
	holder, previous *host
	epoch            uint64
	version          uint64
	previousEpoch    uint64
	previousVersion  uint64
	handover         time.Duration
}

// host is an entry host; start begins a new run of it.
type host struct {
	f           *fleet
	id          core.HostID
	domain      core.DomainID
	run         uint64
	peer        *fakes.Peer
	lender      *share.Lender
	borrower    *share.Borrower
	limiter     *rates.Limiter
	netMode     netMode
	storeFault  fakes.Fault // commits under FaultLostRequest still take effect, up to 15 s later
	pausedUntil time.Duration
	running     [2]*stepCall
	stopped     bool
	waiting     []*waitingRequest
}

type waitingRequest struct {
	workspace core.WorkspaceID
	ticket    *rates.Waiter
}

type delayedEvent struct {
	at   time.Duration
	do   func()
	wake chan struct{}
	step *stepCall
}

func newFleet(seed uint64, domains, perDomain int, limits share.Limits) *fleet {
	f := &fleet{timer: timer.NewManual(), rng: rand.New(rand.NewPCG(seed, 1)), arrivalRNG: rand.New(rand.NewPCG(seed, 2)), limits: limits, seats: map[core.DomainID]*seat{}, crossDomainLoans: true}
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
		f.seats[d].handover = 0
	}
	return f
}

// start begins a run of the host without state.
func (h *host) start() {
	h.run++
	h.stopped = false
	h.waiting = nil
	h.running = [2]*stepCall{}
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
	if h.f.configureLender != nil {
		h.f.configureLender(&cfg)
	}
	h.lender = share.NewLender(cfg)
	h.peer.Handle(core.KindLoanRequest, h.lender.Handle)
	limiter := h.limiter
	borrowerConfig := share.BorrowerConfig{
		Host: h.id, Incarnation: run, Domain: h.domain, Peers: hostPeers{h, h.peer, run}, Timer: h.f.timer,
		SeatHolder:     h.f.holderOf,
		OnLoansChanged: limiter.SetLoans,
		OnTokens:       limiter.AddTokens,
	}
	if h.f.crossDomainLoans {
		borrowerConfig.ForeignDomains = func() []core.DomainID { return h.f.others(h.domain) }
	}
	h.borrower = share.NewBorrower(borrowerConfig)
	limiter.SetDemandReporter(h.borrower)
	h.setLimits(h.f.limits)
}

func (h *host) setLimits(l share.Limits) {
	h.lender.SetLimits(l)
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
	if s.previous != nil && f.timer.Now() < s.handover {
		return s.previous.id, true
	}
	return s.holder.id, true
}

func (f *fleet) acting(h *host, run uint64) (uint64, bool) {
	s, now := f.seats[h.domain], f.timer.Now()
	if h.stopped || h.run != run {
		return 0, false
	}
	if s.holder == h && now >= s.handover {
		return s.epoch, true
	}
	return s.previousEpoch, s.previous == h && now < s.handover
}

func (f *fleet) check(h *host) (core.Write, bool) {
	s := f.seats[h.domain]
	w := core.Write{Kind: core.WriteCheck, Space: core.SpaceSeat, Key: string(h.domain), ExpectVersion: s.version}
	if s.holder != h {
		w.ExpectVersion = s.previousVersion
	}
	return w, true
}

// takeover assigns the seat of a domain to a host in one commit.
func (f *fleet) takeover(d core.DomainID, h *host) {
	s := f.seats[d]
	if f.timer.Now() < s.handover {
		return
	}
	write := core.Write{Kind: core.WritePut, Space: core.SpaceSeat, Key: string(d), ExpectVersion: s.version, Token: "t", Value: []byte(h.id)}
	if f.table.Commit(context.Background(), []core.Write{write}) != nil {
		return
	}
	s.previous, s.previousEpoch, s.previousVersion = s.holder, s.epoch, s.version
	if s.previous == h {
		s.previous = nil
	}
	s.holder, s.epoch, s.version, s.handover = h, s.epoch+1, s.version+1, f.timer.Now()+4400*time.Millisecond
}

// restart starts a new run of a host without state. If the host held its
// domain's seat, the new run takes the seat over in a new epoch.
func (f *fleet) restart(h *host) {
	h.stopped = true
	h.start()
	s := f.seats[h.domain]
	if s.previous == h {
		s.previous = nil
	}
	if s.holder == h {
		f.seats[h.domain].handover = min(s.handover, f.timer.Now())
		f.takeover(h.domain, h)
	}
}

// hostTable is the table as one host reaches it, with the host's store fault.
type hostTable struct{ h *host }

func (t hostTable) Get(ctx context.Context, s core.Space, key string) (core.Row, error) {
	if t.h.storeFault == fakes.FaultUnavailable {
		return core.Row{}, codes.New(codes.StoreDown, "test: store is down")
	}
	return t.h.f.table.Get(ctx, s, key)
}

func (t hostTable) List(ctx context.Context, s core.Space, after string, n int) ([]core.Row, error) {
	if t.h.storeFault == fakes.FaultUnavailable {
		return nil, codes.New(codes.StoreDown, "test: store is down")
	}
	return t.h.f.table.List(ctx, s, after, n)
}

func (t hostTable) Commit(ctx context.Context, writes []core.Write) error {
	switch t.h.storeFault {
	case fakes.FaultUnavailable:
		return codes.New(codes.StoreDown, "test: store is down")
	case fakes.FaultLostRequest:
		// A lost commit may still arrive later.
		t.h.f.runLater(func() { _ = t.h.f.table.Commit(ctx, writes) })
		return codes.New(codes.StoreUnknown, "test: commit delayed")
	case fakes.FaultLostResponse:
		if err := t.h.f.table.Commit(ctx, writes); err != nil {
			return err
		}
		return codes.New(codes.StoreUnknown, "test: commit answer lost")
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
	down := codes.New(codes.PeerDown, "test: no answer from the peer")
	switch p.h.netMode {
	case netLoseRequest:
		return nil, down
	case netLoseResponse:
		_, _ = p.call(ctx, to, m)
		return nil, down
	case netFailThenDeliver:
		p.h.f.runLater(func() { _, _ = p.call(ctx, to, m) })
		return nil, down
	case netDelayRequest:
		p.h.f.sleepRandom(ctx)
		return p.call(ctx, to, m)
	case netDelayResponse:
		answer, err := p.call(ctx, to, m)
		p.h.f.sleepRandom(ctx)
		return answer, err
	}
	return p.call(ctx, to, m)
}

// call fails for hosts that are paused.
func (p hostPeers) call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	for _, h := range p.h.f.hosts {
		if h.id == to && p.h.f.timer.Now() < h.pausedUntil {
			return nil, codes.New(codes.PeerDown, "test: host is paused")
		}
	}
	return p.peer.Call(ctx, to, m)
}

// randomDueTime returns a random time within the next 15 s.
func (f *fleet) randomDueTime() time.Duration {
	return f.timer.Now() + time.Duration(f.rng.Int64N(int64(15*time.Second)))
}

func (f *fleet) runLater(do func()) {
	f.delayedEvents = append(f.delayedEvents, &delayedEvent{at: f.randomDueTime(), do: do})
}

// stepCall is one call of Borrower.Step or Borrower.BorrowForeign in its own goroutine.
type stepCall struct {
	done    chan struct{}
	blocked chan struct{} // receives a value when the call sleeps in virtual time
}

type stepCallKey struct{}

func (f *fleet) sleepRandom(ctx context.Context) {
	run := ctx.Value(stepCallKey{}).(*stepCall)
	d := &delayedEvent{at: f.randomDueTime(), wake: make(chan struct{}), step: run}
	f.delayedEvents = append(f.delayedEvents, d)
	run.blocked <- struct{}{}
	<-d.wake
}

// wait returns when the call has ended or sleeps, so that the order of events
// is deterministic.
func (r *stepCall) wait() {
	select {
	case <-r.done:
	case <-r.blocked:
	}
}

func (h *host) step(slot int, do func(context.Context)) {
	if r := h.running[slot]; r != nil {
		select {
		case <-r.done:
		default:
			return
		}
	}
	run := &stepCall{done: make(chan struct{}), blocked: make(chan struct{})}
	h.running[slot] = run
	ctx := context.WithValue(context.Background(), stepCallKey{}, run)
	go func() { defer close(run.done); do(ctx) }()
	run.wait()
}

// release runs the delayed events that are due, one after the other.
func (f *fleet) release() {
	for {
		i := slices.IndexFunc(f.delayedEvents, func(d *delayedEvent) bool { return d.at <= f.timer.Now() })
		if i < 0 {
			return
		}
		d := f.delayedEvents[i]
		f.delayedEvents = slices.Delete(f.delayedEvents, i, i+1)
		if d.do != nil {
			d.do()
			continue
		}
		close(d.wake)
		d.step.wait()
	}
}

// loadFunc returns the offered requests per second of a workspace at a host.
type loadFunc func(now time.Duration, h *host, w core.WorkspaceID) float64

// advance moves time by one tick: control steps, then arrivals. onDecision is
// called for each decision of the hosts.
func (f *fleet) advance(workspaces []core.WorkspaceID, offered loadFunc, onDecision func(h *host, w core.WorkspaceID, ok bool)) {
	f.timer.Advance(tick)
	f.ticks++
	f.release()
	now := f.timer.Now()
	for i, h := range f.hosts {
		if now < h.pausedUntil {
			continue
		}
		if (f.ticks+i)%20 == 0 {
			h.lender.Step(context.Background())
		}
		if f.ticks%2 == 0 {
			h.step(0, h.borrower.Step)
			h.step(1, h.borrower.BorrowForeign)
		}
		h.limiter.ProcessQueue(now)
		h.collectDecisions(onDecision)
		if (f.ticks+i)%10 == 0 {
			h.limiter.ReportDemand(now)
		}
	}
	for _, h := range f.hosts {
		if now < h.pausedUntil {
			continue
		}
		for _, w := range workspaces {
			for range poisson(f.arrivalRNG, offered(now, h, w)*tick.Seconds()) {
				if f.onArrival != nil {
					f.onArrival(w)
				}
				t, err := h.limiter.Enqueue(now, w, rates.RequestWeight, time.Second)
				if err != nil {
					onDecision(h, w, false)
					continue
				}
				h.waiting = append(h.waiting, &waitingRequest{w, t})
			}
		}
		h.collectDecisions(onDecision)
	}
}

func (h *host) collectDecisions(onDecision func(h *host, w core.WorkspaceID, ok bool)) {
	h.waiting = slices.DeleteFunc(h.waiting, func(waiting *waitingRequest) bool {
		select {
		case err := <-waiting.ticket.Done():
			onDecision(h, waiting.workspace, err == nil)
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

// row reads a row without the faults of any host.
func (f *fleet) row(r core.Resource) (share.Row, bool) {
	row, err := f.table.Get(context.Background(), core.SpaceShare, string(r))
	if err != nil || row.Version == 0 {
		return share.Row{}, false
	}
	decoded, err := share.DecodeRow(row.Value)
	return decoded, err == nil
}

// referenceBucket is a fleet-wide token bucket that is drained by what the
// hosts admit. Its level falls below zero exactly if some window admitted more
// than burst + rate × window.
type referenceBucket struct {
	limit core.Amount
	level float64
	last  time.Duration
}

func (b *referenceBucket) refill(now time.Duration) {
	b.level = min(float64(b.limit.Burst), b.level+float64(b.limit.Rate)*(now-b.last).Seconds())
	b.last = now
}

// checker checks the invariants of one resource.
type checker struct {
	f             *fleet
	resource      core.Resource
	reference     referenceBucket
	lastSum       core.Amount
	lowestLevel   float64 // lowest level of the reference bucket
	admittedCount int64
}

func (f *fleet) checker(r core.Resource) *checker {
	l := f.limits.Rates[r].Amount
	return &checker{f: f, resource: r, reference: referenceBucket{limit: l, level: float64(l.Burst)}}
}

func (c *checker) admitted() {
	c.reference.refill(c.f.timer.Now())
	c.reference.level -= float64(rates.RequestWeight)
	c.lowestLevel = min(c.lowestLevel, c.reference.level)
	c.admittedCount++
}

// check returns an error for the first broken invariant.
func (c *checker) check() error {
	now := c.f.timer.Now()
	c.reference.refill(now)
	if c.lowestLevel < -1 {
		return fmt.Errorf("%s: a window admitted %.3f more than burst + rate × window", c.resource, -c.lowestLevel)
	}
	row, ok := c.f.row(c.resource)
	if !ok {
		return nil
	}
	lent := map[core.DomainID]core.Amount{}
	var held core.Amount
	for _, h := range c.f.hosts {
		for _, p := range h.borrower.Loans(c.resource, now) {
			lent[p.Lender] = lent[p.Lender].Add(p.Amount)
			held = held.Add(p.Amount)
		}
	}
	for d, a := range lent {
		if !a.Fits(row.Amounts[d]) {
			return fmt.Errorf("%s: loans %v of domain %s are above its amount %v", c.resource, a, d, row.Amounts[d])
		}
	}
	sum := row.Sum()
	if !sum.Fits(row.Limit) && !sum.Fits(c.lastSum) {
		return fmt.Errorf("%s: amounts grew from %v to %v above the limit %v", c.resource, c.lastSum, sum, row.Limit)
	}
	c.lastSum = sum
	c.followLimit(held, sum)
	return nil
}

// followLimit applies a changed limit to the reference bucket: a higher one at
// once, a lower one when amounts and loans fit it.
func (c *checker) followLimit(held, sum core.Amount) {
	l := c.f.limits.Rates[c.resource].Amount
	high := l.Max(c.reference.limit)
	c.reference.limit = high
	if l != high && held.Fits(l) && sum.Fits(l) {
		c.reference.limit = l
		c.reference.level = min(c.reference.level, float64(l.Burst))
	}
}
