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

// The intervals and limits of app/entry.
const (
	heartbeatInterval = 500 * time.Millisecond
	seatInterval      = 500 * time.Millisecond
	pollInterval      = time.Second
	loanInterval      = 100 * time.Millisecond
	maxHolderQueries  = 3                // hosts of another domain that are asked who holds its seat
	holderLifetime    = 10 * time.Second // of a found seat holder of another domain
)

// fleetHost is the control plane of one entry host, wired as in app/entry.
type fleetHost struct {
	core.Host
	domainIndex int
	fleet       *Fleet
	peers       fleetPeers
	view        *member.View
	log         *config.Log
	evidence    *seats.Evidence
	seat        *seats.Seat
	keys        *keys.Keys
	lender      *share.Lender
	borrower    *share.Borrower
	pushes      []queuedPush

	sent, received map[string]tally
	reads, writes  map[core.Space]tally // by space; Bytes counts rows
}

func lostMessageError(to core.HostID) error {
	return codes.New(codes.PeerDown, "bench: simulated loss of a message to host %s or of its answer", to)
}

func (f *Fleet) addHost(self core.Host) error {
	h := &fleetHost{Host: self, domainIndex: len(f.hosts) / f.cfg.PerDomain, fleet: f}
	h.resetCounters()
	h.peers = fleetPeers{Peer: f.net.Peer(self.Name), host: h, mu: &sync.Mutex{}}
	h.view = member.New(member.Config{Self: self, Timer: f.timer, Interval: heartbeatInterval})
	h.log = config.New(config.Config{
		Table: fleetTable{h}, Objects: &f.objects, Codec: wire.Codec{}, Peers: h.peers, PushTargets: h.neighbours, OnApply: h.apply,
	})
	h.evidence = seats.NewEvidence(seats.EvidenceConfig{Timer: f.timer, Domains: h.domains, HasApplied: h.isUpToDate, AppliedState: h.appliedState})
	var err error
	h.seat, err = seats.New(seats.Config{
		Host: self, Table: fleetTable{h}, Peers: h.peers, Timer: f.timer, Evidence: h.evidence, MaxConcurrentCalls: 1,
		LocalHosts: func() []core.Host { return h.view.Live(self.Domain) },
		RemoteHosts: func(d core.DomainID) []core.Host {
			live := h.view.Live(d)
			return live[:min(len(live), maxHolderQueries)]
		},
		Domains: h.domains, CatchUp: h.catchUp,
	})
	if err != nil {
		return err
	}
	h.keys, err = keys.New(keys.Config{
		Host: self, Table: fleetTable{h}, Peers: h.peers, Timer: f.timer, Seat: h.seat, Evidence: h.evidence, MaxConcurrentCalls: 1,
		Domains: h.domains, Neighbours: h.neighbours,
	})
	if err != nil {
		return err
	}
	h.setUpShares()
	h.peers.Handle(core.KindHeartbeat, func(context.Context, core.HostID, core.Message) (core.Message, error) { return core.Heartbeat{}, nil })
	f.hosts = append(f.hosts, h)
	f.byName[self.Name] = h
	return nil
}

// setUpShares sets up shares and loans. As in app/entry, each host requests a
// part of each workspace's rate and of the slots of its domain's servers.
func (h *fleetHost) setUpShares() {
	f := h.fleet
	h.lender = share.NewLender(share.LenderConfig{
		Domain: h.Domain, Table: fleetTable{h}, Timer: f.timer, ActingEpoch: h.seat.Acting, SeatCheck: h.seat.Fence,
		DomainOf: func(id core.HostID) (core.DomainID, bool) {
			o := f.byName[id]
			return o.Domain, o != nil
		},
	})
	h.peers.Handle(core.KindLoanRequest, h.lender.Handle)
	h.borrower = share.NewBorrower(share.BorrowerConfig{
		Host: h.Name, Incarnation: h.Incarnation, Domain: h.Domain, Peers: h.peers, Timer: f.timer, HandleLocal: h.lender.Grant,
		SeatHolder: func(core.DomainID) (core.HostID, bool) {
			holder, _ := h.seat.Holder()
			return holder, holder != ""
		},
	})
	for _, w := range f.sheet.Workspaces {
		h.borrower.SetDemand(core.RateResource(w.Name), core.Amount{Rate: w.Rate / int64(2*f.cfg.Domains*f.cfg.PerDomain), Burst: 1000})
	}
	for _, s := range f.sheet.Servers {
		if s.Domain == h.Domain {
			h.borrower.SetDemand(core.SlotsResource(s.Name), core.Amount{Slots: int64((s.Slots + f.cfg.PerDomain - 1) / f.cfg.PerDomain)})
		}
	}
}

func (h *fleetHost) resetCounters() {
	h.sent, h.received = make(map[string]tally), make(map[string]tally)
	h.reads, h.writes = make(map[core.Space]tally), make(map[core.Space]tally)
}

func (h *fleetHost) neighbours() []core.HostID {
	var names []core.HostID
	for _, o := range h.view.Neighbours(h.view.Self()) {
		names = append(names, o.Name)
	}
	return names
}

func (h *fleetHost) domains() []core.DomainID { return sheet.Domains(h.log.Current().Sheet) }

func (h *fleetHost) isUpToDate(version, withdrawn uint64) bool {
	return h.log.Current().Version >= version && h.keys.ContainsSet(withdrawn)
}

func (h *fleetHost) appliedState() (version, withdrawn uint64) {
	return h.log.Current().Version, h.keys.Digest()
}

func (h *fleetHost) apply(s config.State) {
	h.fleet.recordApply(s)
	h.keys.SetKeys(s.Sheet.Keys)
	h.lender.SetLimits(share.LimitsOf(s.Version, s.Sheet))
}

func (h *fleetHost) catchUp(ctx context.Context, from core.HostID, version, withdrawn uint64) error {
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

// schedule starts the periodic work of host i of n. The start times are spread
// over each interval so that the hosts do not tick in lockstep.
func (h *fleetHost) schedule(i, n int) {
	f, ctx := h.fleet, context.Background()
	phase := func(period time.Duration) time.Duration { return period * time.Duration(i*7919%n) / time.Duration(n) }
	f.every(phase(heartbeatInterval), heartbeatInterval, h.sendHeartbeats)
	f.every(phase(seatInterval), seatInterval, func() {
		_ = h.seat.Tick(ctx) // the next tick retries
		h.sendPushes()
	})
	f.every(phase(pollInterval), pollInterval, h.poll)
	f.every(phase(pollInterval), pollInterval, func() {
		_ = h.keys.Tick(ctx)
		h.lender.Step(ctx)
	})
	f.every(phase(loanInterval), loanInterval, func() { h.borrower.Step(ctx) })
}

func (h *fleetHost) poll() {
	if !h.seat.ShouldPoll() {
		return
	}
	started := h.fleet.timer.Now()
	if h.fleet.cfg.PeersOnly && h.log.Current().Version > 0 {
		h.evidence.RecordStoreRead(core.SpaceConfig, started)
		return
	}
	if h.log.Poll(context.Background()) == nil {
		h.evidence.RecordStoreRead(core.SpaceConfig, started)
	}
	h.sendPushes()
}

// forwardWithdrawals ticks the keys soon if they have withdrawals to forward,
// instead of at the next regular tick, as app/entry does.
func (h *fleetHost) forwardWithdrawals() {
	select {
	case <-h.keys.Wake():
		h.fleet.after(sameDomainDelay, func() { _ = h.keys.Tick(context.Background()) })
	default:
	}
}

// makeHeartbeat returns a heartbeat to a host. Within the domain it carries one
// probe result, since at the design size a domain has fewer backend servers
// than hosts.
func (h *fleetHost) makeHeartbeat(to *fleetHost) core.Heartbeat {
	now := h.fleet.timer.Now()
	b := h.view.NewHeartbeat(now, to.Name)
	h.evidence.FillHeartbeat(now, &b)
	h.keys.FillHeartbeat(&b)
	b.Loads = []core.DomainLoad{{Domain: h.Domain, Free: 200, Total: 300}}
	if to.Domain == h.Domain && h.fleet.cfg.Servers > 0 {
		b.ProbeResults = []core.ProbeResult{{Server: "server-0001", Age: 700 * time.Millisecond, Health: core.Health{Ready: true, Load: 0.5}}}
	}
	return b
}

func (h *fleetHost) sendHeartbeats() {
	f := h.fleet
	for _, to := range h.view.Tick(f.timer.Now()).Targets {
		target, sentAt := f.byName[to.Name], f.timer.Now()
		b := h.makeHeartbeat(target)
		f.countMessage(h, target, b)
		if f.loseMessage() {
			continue
		}
		f.after(f.delay(h, target), func() { h.deliverHeartbeat(target, sentAt, b) })
	}
}

// deliverHeartbeat delivers a heartbeat that was sent at sentAt, and returns the
// target's answer to h.
func (h *fleetHost) deliverHeartbeat(target *fleetHost, sentAt time.Duration, b core.Heartbeat) {
	f := h.fleet
	target.receiveHeartbeat(h, b)
	answer := target.makeHeartbeat(h)
	f.countMessage(target, h, answer)
	if f.loseMessage() {
		return
	}
	f.after(f.delay(target, h), func() {
		h.receiveHeartbeat(target, answer)
		if target.Domain == h.Domain {
			h.evidence.MergeHeartbeat(sentAt, answer)
		}
	})
}

func (h *fleetHost) receiveHeartbeat(from *fleetHost, b core.Heartbeat) {
	f := h.fleet
	h.view.HandleHeartbeat(f.timer.Now(), b)
	h.keys.ObserveHeartbeat(from.Name, b)
	h.forwardWithdrawals()
	h.log.ObserveVersion(b.ConfigVersion)
	if h.isUpToDate(b.ConfigVersion, b.WithdrawalDigest) {
		return
	}
	f.after(2*f.delay(h, from), func() {
		if !h.isUpToDate(b.ConfigVersion, b.WithdrawalDigest) {
			_ = h.catchUp(context.Background(), from.Name, b.ConfigVersion, b.WithdrawalDigest)
		}
		h.sendPushes()
	})
}

// fleetTable implements core.Table and counts the store calls of one host.
type fleetTable struct{ host *fleetHost }

func (t fleetTable) countCall(m map[core.Space]tally, space core.Space, rows int) {
	if t.host.fleet.counting {
		m[space] = m[space].plus(tally{Count: 1, Bytes: rows})
	}
}

// Get implements core.Table.
func (t fleetTable) Get(ctx context.Context, space core.Space, key string) (core.Row, error) {
	t.countCall(t.host.reads, space, 1)
	return t.host.fleet.table.Get(ctx, space, key)
}

// List implements core.Table.
func (t fleetTable) List(ctx context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	rows, err := t.host.fleet.table.List(ctx, space, after, limit)
	t.countCall(t.host.reads, space, len(rows))
	return rows, err
}

// Commit implements core.Table.
func (t fleetTable) Commit(ctx context.Context, writes []core.Write) error {
	t.countCall(t.host.writes, writes[0].Space, len(writes))
	return t.host.fleet.table.Commit(ctx, writes)
}
