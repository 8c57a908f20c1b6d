package bench

import (
	"context"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/config"
	"azurering/core/keys"
	"azurering/core/member"
	"azurering/core/seats"
	"azurering/core/share"
	"azurering/core/sheet"
	"azurering/io/wire"
)

// The periods of app/entry.
const (
	capacBeat  = 500 * time.Millisecond
	capacSeat  = 500 * time.Millisecond
	capacPoll  = time.Second
	capacAsk   = 100 * time.Millisecond
	capacAsks  = 3 // hosts of another domain that may be asked for its holder
	capacFound = 10 * time.Second
)

// capacHost is the control part of one entry host, wired as app/entry does.
type capacHost struct {
	core.Host
	domain int
	fleet  *Fleet
	peers  capacPeers
	group  *member.View
	log    *config.Log
	ev     *seats.Evidence
	seat   *seats.Seat
	keys   *keys.Keys
	keeper *share.Lender
	holder *share.Borrower
	pushes []capacPush

	sent, received map[string]capacTally
	reads, writes  map[core.Space]capacTally // calls, and rows as Bytes
}

func capacLost(to core.HostID) error {
	return codes.New(codes.PeerDown, "bench: message to host %s was lost", to)
}

func (f *Fleet) boot(self core.Host) error {
	h := &capacHost{Host: self, domain: len(f.hosts) / f.cfg.PerDomain, fleet: f}
	h.reset()
	h.peers = capacPeers{Peer: f.net.Peer(self.Name), host: h, mu: &sync.Mutex{}}
	h.group = member.New(member.Config{Self: self, Timer: f.timer, Interval: capacBeat})
	h.log = config.New(config.Config{
		Table: capacTable{h}, Objects: &f.objects, Codec: wire.Codec{}, Peers: h.peers, PushTargets: h.neighbours, OnApply: h.apply,
	})
	h.ev = seats.NewEvidence(seats.EvidenceConfig{Timer: f.timer, Domains: h.domains, HasApplied: h.covers, AppliedState: h.inForce})
	var err error
	h.seat, err = seats.New(seats.Config{
		Host: self, Table: capacTable{h}, Peers: h.peers, Timer: f.timer, Evidence: h.ev, MaxConcurrentCalls: 1,
		LocalHosts: func() []core.Host { return h.group.Live(self.Domain) },
		RemoteHosts: func(d core.DomainID) []core.Host {
			live := h.group.Live(d)
			return live[:min(len(live), capacAsks)]
		},
		Domains: h.domains, CatchUp: h.catchUp,
	})
	if err != nil {
		return err
	}
	h.keys, err = keys.New(keys.Config{
		Host: self, Table: capacTable{h}, Peers: h.peers, Timer: f.timer, Seat: h.seat, Evidence: h.ev, MaxConcurrentCalls: 1,
		Domains: h.domains, Neighbours: h.neighbours,
	})
	if err != nil {
		return err
	}
	h.lend()
	h.peers.Handle(core.KindHeartbeat, func(context.Context, core.HostID, core.Message) (core.Message, error) { return core.Heartbeat{}, nil })
	f.hosts = append(f.hosts, h)
	f.byName[self.Name] = h
	return nil
}

// lend sets up shares and loans. Each host wants a part of each workspace's
// rate and its part of the slots of the domain's servers, as app/entry does.
func (h *capacHost) lend() {
	f := h.fleet
	h.keeper = share.NewLender(share.LenderConfig{
		Domain: h.Domain, Table: capacTable{h}, Timer: f.timer, ActingEpoch: h.seat.Acting, SeatCheck: h.seat.Fence,
		DomainOf: func(id core.HostID) (core.DomainID, bool) {
			o := f.byName[id]
			return o.Domain, o != nil
		},
	})
	h.peers.Handle(core.KindLoanRequest, h.keeper.Handle)
	h.holder = share.NewBorrower(share.BorrowerConfig{
		Host: h.Name, Incarnation: h.Incarnation, Domain: h.Domain, Peers: h.peers, Timer: f.timer, HandleLocal: h.keeper.Grant,
		SeatHolder: func(core.DomainID) (core.HostID, bool) {
			holder, _ := h.seat.Holder()
			return holder, holder != ""
		},
	})
	for _, w := range f.sheet.Workspaces {
		h.holder.SetDemand(core.RateResource(w.Name), core.Amount{Rate: w.Rate / int64(2*f.cfg.Domains*f.cfg.PerDomain), Burst: 1000})
	}
	for _, s := range f.sheet.Servers {
		if s.Domain == h.Domain {
			h.holder.SetDemand(core.SlotsResource(s.Name), core.Amount{Slots: int64((s.Slots + f.cfg.PerDomain - 1) / f.cfg.PerDomain)})
		}
	}
}

func (h *capacHost) reset() {
	h.sent, h.received = make(map[string]capacTally), make(map[string]capacTally)
	h.reads, h.writes = make(map[core.Space]capacTally), make(map[core.Space]capacTally)
}

func (h *capacHost) neighbours() []core.HostID {
	var names []core.HostID
	for _, o := range h.group.Neighbours(h.group.Self()) {
		names = append(names, o.Name)
	}
	return names
}

func (h *capacHost) domains() []core.DomainID { return sheet.Domains(h.log.Current().Sheet) }

func (h *capacHost) covers(version, withdrawn uint64) bool {
	return h.log.Current().Version >= version && h.keys.ContainsSet(withdrawn)
}

func (h *capacHost) inForce() (version, withdrawn uint64) {
	return h.log.Current().Version, h.keys.Digest()
}

func (h *capacHost) apply(s config.State) {
	h.fleet.applyHook(s)
	h.keys.SetKeys(s.Sheet.Keys)
	h.keeper.SetLimits(share.LimitsOf(s.Version, s.Sheet))
}

func (h *capacHost) catchUp(ctx context.Context, from core.HostID, version, withdrawn uint64) error {
	h.log.ObserveVersion(version)
	if h.log.Current().Version < version {
		if err := h.log.Pull(ctx, from); err != nil {
			return err
		}
	}
	if h.keys.ContainsSet(withdrawn) {
		return nil
	}
	return h.keys.Pull(ctx, from)
}

// schedule starts the duties. The hosts' ticks are spread over their
// periods.
func (h *capacHost) schedule(i, n int) {
	f, ctx := h.fleet, context.Background()
	phase := func(period time.Duration) time.Duration { return period * time.Duration(i*7919%n) / time.Duration(n) }
	f.every(phase(capacBeat), capacBeat, h.round)
	f.every(phase(capacSeat), capacSeat, func() {
		_ = h.seat.Tick(ctx) // the next tick tries again
		h.flush()
	})
	f.every(phase(capacPoll), capacPoll, h.poll)
	f.every(phase(capacPoll), capacPoll, func() {
		_ = h.keys.Tick(ctx)
		h.keeper.Step(ctx)
	})
	f.every(phase(capacAsk), capacAsk, func() { h.holder.Step(ctx) })
}

func (h *capacHost) poll() {
	if !h.seat.ShouldPoll() {
		return
	}
	started := h.fleet.timer.Now()
	if h.fleet.cfg.PeersOnly && h.log.Current().Version > 0 {
		h.ev.RecordStoreRead(core.SpaceConfig, started)
		return
	}
	if h.log.Poll(context.Background()) == nil {
		h.ev.RecordStoreRead(core.SpaceConfig, started)
	}
	h.flush()
}

// poke forwards news of withdrawals soon, as app/entry does.
func (h *capacHost) poke() {
	select {
	case <-h.keys.Wake():
		h.fleet.after(capacNear, func() { _ = h.keys.Tick(context.Background()) })
	default:
	}
}

// fill returns a heartbeat, with one probe for hosts of the own domain: at
// the design size a domain has fewer backend servers than hosts.
func (h *capacHost) fill(to *capacHost) core.Heartbeat {
	now := h.fleet.timer.Now()
	b := h.group.NewHeartbeat(now, to.Name)
	h.ev.FillHeartbeat(now, &b)
	h.keys.FillHeartbeat(&b)
	b.Loads = []core.DomainLoad{{Domain: h.Domain, Free: 200, Total: 300}}
	if to.Domain == h.Domain && h.fleet.cfg.Servers > 0 {
		b.ProbeResults = []core.ProbeResult{{Server: "server-0001", Age: 700 * time.Millisecond, Health: core.Health{Ready: true, Load: 0.5}}}
	}
	return b
}

func (h *capacHost) round() {
	f := h.fleet
	for _, to := range h.group.Tick(f.timer.Now()).Targets {
		target, asked := f.byName[to.Name], f.timer.Now()
		b := h.fill(target)
		f.count(h, target, b)
		if f.lost() {
			continue
		}
		f.after(f.delay(h, target), func() { h.answered(target, asked, b) })
	}
}

// answered delivers a heartbeat and sends the answer back.
func (h *capacHost) answered(target *capacHost, asked time.Duration, b core.Heartbeat) {
	f := h.fleet
	target.receive(h, b)
	answer := target.fill(h)
	f.count(target, h, answer)
	if f.lost() {
		return
	}
	f.after(f.delay(target, h), func() {
		h.receive(target, answer)
		if target.Domain == h.Domain {
			h.ev.MergeHeartbeat(asked, answer)
		}
	})
}

func (h *capacHost) receive(from *capacHost, b core.Heartbeat) {
	f := h.fleet
	h.group.HandleHeartbeat(f.timer.Now(), b)
	h.keys.ObserveHeartbeat(from.Name, b)
	h.poke()
	h.log.ObserveVersion(b.ConfigVersion)
	if h.covers(b.ConfigVersion, b.WithdrawalDigest) {
		return
	}
	f.after(2*f.delay(h, from), func() {
		if !h.covers(b.ConfigVersion, b.WithdrawalDigest) {
			_ = h.catchUp(context.Background(), from.Name, b.ConfigVersion, b.WithdrawalDigest)
		}
		h.flush()
	})
}

// capacTable counts the store calls of one host.
type capacTable struct{ host *capacHost }

func (t capacTable) note(m map[core.Space]capacTally, space core.Space, rows int) {
	if t.host.fleet.counting {
		m[space] = m[space].plus(capacTally{Count: 1, Bytes: rows})
	}
}

// Get implements core.Table.
func (t capacTable) Get(ctx context.Context, space core.Space, key string) (core.Row, error) {
	t.note(t.host.reads, space, 1)
	return t.host.fleet.table.Get(ctx, space, key)
}

// List implements core.Table.
func (t capacTable) List(ctx context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	rows, err := t.host.fleet.table.List(ctx, space, after, limit)
	t.note(t.host.reads, space, len(rows))
	return rows, err
}

// Commit implements core.Table.
func (t capacTable) Commit(ctx context.Context, writes []core.Write) error {
	t.note(t.host.writes, writes[0].Space, len(writes))
	return t.host.fleet.table.Commit(ctx, writes)
}
