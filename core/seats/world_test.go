package seats_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sort"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/keys"
	"azurering/core/seats"
	"azurering/core/timer"
)

const (
	bound  = 4 * time.Second
	margin = bound / 10
	// timeStep is the true time between two checks; a host ticks in every other
	// step.
	timeStep = 500 * time.Millisecond
	// keyCount is the number of keys; the last one is never withdrawn.
	keyCount = 8
)

// simulation runs hosts with clocks of different speeds against one table and
// one network in a single goroutine, so a run depends only on its inputs.
type simulation struct {
	now           time.Duration // true time
	table         *fakes.Table
	net           *fakes.Network
	domains       []core.DomainID
	hosts         map[core.HostID]*simHost
	names         []core.HostID
	lastHeard     map[[2]core.HostID]time.Duration // true time at which the first host last heard the second
	cut           map[[2]core.HostID]bool
	storeDown     bool                         // the table is down for all hosts
	lateCommits   []func()                     // commits that have not reached the table yet
	acceptedAt    map[core.KeyID]time.Duration // true time at which a withdrawal was accepted
	ended         map[core.HostID]bool         // hosts that Config.Decommissioned reports
	stallDepth    int                          // calls that currently stall; a stall in a stall is ignored
	noRemoteBeats bool                         // no heartbeats between domains
	callTimeout   time.Duration
	parallel      int    // concurrent calls to peers; 1 makes a run repeatable
	skipChecks    bool   // for measurements with many hosts
	onStall       func() // called when a stall begins
	fatalf        func(format string, args ...any)
}

// simHost is one run of a simulated entry host.
type simHost struct {
	core.Host
	sim           *simulation
	clock         *timer.Manual
	speed         float64
	peer          simPeer
	seat          *seats.Seat
	keys          *keys.Keys
	evidence      *seats.Evidence
	dead          bool
	paused        bool
	storeCut      bool          // the host cannot reach the table
	logUnreadable bool          // the host cannot read the log of withdrawals
	waiting       bool          // the host waits for a call that stalls
	commitFault   string        // fault of the next commit, or empty
	stallFor      time.Duration // true time for which the next call to the table stalls
	stallSpace    core.Space    // if set, only calls to this space stall
	answerDelay   time.Duration // true time by which the next answer of delayKind is late
	delayKind     core.MessageKind
	delayPeer     core.HostID // if set, only answers of this host are late
	callsHang     bool        // calls to the table and to peers end only with their context
	frozenInStall bool        // the host answers no messages during a stall
	reads         map[core.Space]int
	withdrawn     map[core.KeyID]bool
	watches       map[core.KeyID]*keys.Watch
}

func bearer(id core.KeyID) string { return "secret-" + string(id) }

func keyName(i int) core.KeyID { return core.KeyID("key-0" + string(rune('0'+i))) }

func newSimulation(domains, perDomain int, fail func(string, ...any)) *simulation {
	sim := &simulation{
		table: &fakes.Table{}, net: &fakes.Network{}, hosts: map[core.HostID]*simHost{}, lastHeard: map[[2]core.HostID]time.Duration{},
		cut: map[[2]core.HostID]bool{}, acceptedAt: map[core.KeyID]time.Duration{}, ended: map[core.HostID]bool{}, fatalf: fail, parallel: 1,
	}
	for d := range domains {
		sim.domains = append(sim.domains, core.DomainID(string(rune('a'+d))))
	}
	for _, d := range sim.domains {
		for i := range perDomain {
			sim.start(core.HostID(fmt.Sprintf("%s%d", d, i+1)), d)
		}
	}
	return sim
}

// start starts a host, or a new run of it. Clock speeds are within 4.5% of
// true time; two clocks then differ by less than the margin of 10%.
func (sim *simulation) start(name core.HostID, d core.DomainID) *simHost {
	inc := uint64(1)
	if old := sim.hosts[name]; old != nil {
		inc = old.Incarnation + 1
	} else {
		sim.names = append(sim.names, name)
		sort.Slice(sim.names, func(i, j int) bool { return sim.names[i] < sim.names[j] })
	}
	speeds := []float64{0.955, 1.045, 1}
	h := &simHost{
		Host: core.Host{Name: name, Domain: d, Incarnation: inc, State: core.HostLive}, sim: sim, clock: timer.NewManual(),
		speed: speeds[(int(name[len(name)-1])+int(inc))%3], reads: map[core.Space]int{},
		withdrawn: map[core.KeyID]bool{}, watches: map[core.KeyID]*keys.Watch{},
	}
	h.peer = simPeer{sim.net.Peer(name), h, &sync.Mutex{}, map[core.MessageKind]int{}, map[core.HostID]int{}}
	sim.hosts[name] = h
	sim.net.SetDown(name, false)
	domains := func() []core.DomainID { return sim.domains }
	h.evidence = seats.NewEvidence(seats.EvidenceConfig{
		Timer: h.clock, FreshnessBound: bound, Domains: domains,
		HasApplied:   func(version, withdrawn uint64) bool { return version <= 1 && h.keys.ContainsSet(withdrawn) },
		AppliedState: func() (uint64, uint64) { return 1, h.keys.Digest() },
	})
	var err error
	h.seat, err = seats.New(seats.Config{
		Host: h.Host, Table: simTable{h}, Peers: h.peer, Timer: h.clock, Evidence: h.evidence, Domains: domains, MaxConcurrentCalls: sim.parallel, CallTimeout: sim.callTimeout,
		LocalHosts:     func() []core.Host { return sim.live(h, d) },
		RemoteHosts:    func(d core.DomainID) []core.Host { return sim.live(h, d) },
		Decommissioned: func(h core.HostID) bool { return sim.ended[h] },
		CatchUp: func(ctx context.Context, from core.HostID, _, _ uint64) error {
			return h.keys.Pull(ctx, from)
		},
	})
	sim.must(err)
	h.keys, err = keys.New(keys.Config{
		Host: h.Host, Table: simTable{h}, Peers: h.peer, Timer: h.clock, Seat: h.seat, Evidence: h.evidence, Domains: domains, MaxConcurrentCalls: sim.parallel, CallTimeout: sim.callTimeout,
		Neighbours: func() []core.HostID { return sim.neighbours(h) },
	})
	sim.must(err)
	var list []core.Key
	for i := range keyCount {
		list = append(list, core.Key{Name: keyName(i), Workspace: "ws", Hash: sha256.Sum256([]byte(bearer(keyName(i))))})
	}
	h.keys.SetKeys(list)
	h.peer.Handle(core.KindHeartbeat, func(context.Context, core.HostID, core.Message) (core.Message, error) { return h.beat(), nil })
	return h
}

func (sim *simulation) must(err error) {
	if err != nil {
		sim.fatalf("set-up: %v", err)
	}
}

// live returns the hosts of domain d that are live in the membership of h,
// which lags by up to five seconds.
func (sim *simulation) live(h *simHost, d core.DomainID) []core.Host {
	var out []core.Host
	for _, n := range sim.names {
		heardAt, ok := sim.lastHeard[[2]core.HostID{h.Name, n}]
		if o := sim.hosts[n]; o.Domain == d && (n == h.Name || (ok && sim.now-heardAt < 5*time.Second)) {
			out = append(out, o.Host)
		}
	}
	return out
}

// neighbours returns the hosts to which h sends heartbeats: those of its own
// domain, or three of them with skipChecks, and one of another domain.
func (sim *simulation) neighbours(h *simHost) []core.HostID {
	var out []core.HostID
	for _, o := range sim.live(h, h.Domain) {
		if o.Name != h.Name {
			out = append(out, o.Name)
		}
	}
	if n := len(out); sim.skipChecks && n > 3 {
		at := int(h.Name[len(h.Name)-1]) * int(h.Name[len(h.Name)-2]) * 7
		out = []core.HostID{out[at%n], out[(at*31+17)%n], out[(at*13+5)%n]}
	}
	for _, d := range sim.domains {
		if hosts := sim.live(h, d); !sim.noRemoteBeats && d != h.Domain && len(hosts) > 0 {
			return append(out, hosts[0].Name)
		}
	}
	return out
}

// hostSet returns the given hosts as a set.
func hostSet(names ...core.HostID) map[core.HostID]bool {
	out := map[core.HostID]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}

func (h *simHost) beat() core.Heartbeat {
	var b core.Heartbeat
	h.evidence.FillHeartbeat(h.clock.Now(), &b)
	h.keys.FillHeartbeat(&b)
	return b
}

func (h *simHost) up() bool { return !h.dead && !h.paused && !h.waiting }

// tick runs one round of an entry host: seat, keys, configuration, heartbeats.
func (h *simHost) tick() {
	ctx := context.Background()
	_ = h.seat.Tick(ctx)
	_ = h.keys.Tick(ctx)
	if started := h.clock.Now(); h.seat.ShouldPoll() {
		if _, err := (simTable{h}).Get(ctx, core.SpaceConfig, "head"); err == nil {
			h.evidence.RecordStoreRead(core.SpaceConfig, started)
		}
	}
	for _, n := range h.sim.neighbours(h) {
		asked := h.clock.Now()
		m, err := h.peer.Call(ctx, n, core.Heartbeat{})
		if err != nil {
			continue
		}
		b := m.(core.Heartbeat)
		h.keys.ObserveHeartbeat(n, b)
		if !h.evidence.MergeHeartbeat(asked, b) && h.keys.Pull(ctx, n) == nil {
			h.evidence.MergeHeartbeat(asked, b)
		}
	}
}

// advance moves true time by d and checks the rules at each time step. Hosts
// that are up tick once per second.
func (sim *simulation) advance(d time.Duration) {
	for ; d > 0; d -= timeStep {
		sim.now += min(d, timeStep)
		for _, n := range sim.names {
			h := sim.hosts[n]
			h.clock.Advance(time.Duration(float64(min(d, timeStep)) * h.speed))
			for _, o := range sim.names {
				if o := sim.hosts[o]; h.up() && o.up() && !sim.cut[[2]core.HostID{n, o.Name}] {
					sim.lastHeard[[2]core.HostID{n, o.Name}] = sim.now
				}
			}
		}
		sim.check()
		for i, n := range sim.names {
			if h := sim.hosts[n]; h.up() && int(sim.now/timeStep)%2 == i%2 {
				h.tick()
				sim.checkHost(h)
			}
		}
	}
}

// check verifies on all hosts the rules that must always hold.
func (sim *simulation) check() {
	for _, n := range sim.names {
		sim.checkHost(sim.hosts[n])
	}
}

// checkHost verifies the rules after a change on one host.
func (sim *simulation) checkHost(h *simHost) {
	if sim.skipChecks || h.dead {
		return
	}
	for i := range keyCount {
		sim.checkKey(h, keyName(i))
	}
	epoch, ok := h.seat.Acting()
	for _, n := range sim.names {
		o := sim.hosts[n]
		if !ok || o == h || o.dead || o.Domain != h.Domain {
			continue
		}
		if _, alsoActing := o.seat.Acting(); alsoActing {
			sim.fatalf("at %v hosts %s and %s act for domain %s (epoch %d)", sim.now, o.Name, h.Name, h.Domain, epoch)
		}
	}
}

func (sim *simulation) checkKey(h *simHost, id core.KeyID) {
	if h.keys.IsWithdrawn(id) {
		h.withdrawn[id] = true
	} else if h.withdrawn[id] {
		sim.fatalf("at %v host %s has lost the withdrawal of %s", sim.now, h.Name, id)
	}
	acceptedAt, accepted := sim.acceptedAt[id]
	expired := accepted && sim.now > acceptedAt+bound+margin
	if _, _, err := h.keys.Check(bearer(id)); err == nil {
		if expired {
			sim.fatalf("at %v host %s admits %s, withdrawn at %v", sim.now, h.Name, id, acceptedAt)
		}
		if h.watches[id] == nil || h.watches[id].Err() != nil {
			h.watches[id] = h.keys.Watch(id)
		}
	}
	if expired && h.watches[id] != nil && h.watches[id].Err() == nil {
		sim.fatalf("at %v a stream of %s still runs on host %s, withdrawn at %v", sim.now, id, h.Name, acceptedAt)
	}
}

func (sim *simulation) withdraw(h *simHost, id core.KeyID) (keys.Report, error) {
	r, err := h.keys.Withdraw(context.Background(), core.Withdrawal{Key: id})
	if _, ok := sim.acceptedAt[id]; r.Accepted && !ok {
		sim.acceptedAt[id] = sim.now
	}
	return r, err
}

func (sim *simulation) setCut(a, b core.HostID, cut bool) {
	sim.net.SetCut(a, b, cut)
	sim.cut[[2]core.HostID{a, b}], sim.cut[[2]core.HostID{b, a}] = cut, cut
}

// isolate cuts or restores all links between the hosts of the set and the
// others.
func (sim *simulation) isolate(group map[core.HostID]bool, cut bool) {
	for _, a := range sim.names {
		for _, b := range sim.names {
			if group[a] != group[b] {
				sim.setCut(a, b, cut)
			}
		}
	}
}

func (sim *simulation) kill(h *simHost) {
	h.dead = true
	sim.net.SetDown(h.Name, true)
}

func (sim *simulation) pause(h *simHost, paused bool) {
	h.paused = paused
	sim.net.SetDown(h.Name, paused || h.dead)
}

// acting returns the acting holder of a domain, or nil.
func (sim *simulation) acting(d core.DomainID) *simHost {
	for _, n := range sim.names {
		if h := sim.hosts[n]; !h.dead && h.Domain == d {
			if _, ok := h.seat.Acting(); ok {
				return h
			}
		}
	}
	return nil
}

// heal ends all faults and starts the hosts that are down.
func (sim *simulation) heal() {
	sim.storeDown = false
	sim.isolate(nil, false)
	for _, a := range sim.names {
		for _, b := range sim.names {
			sim.setCut(a, b, false)
		}
		h := sim.hosts[a]
		h.storeCut, h.logUnreadable, h.commitFault, h.stallFor, h.answerDelay = false, false, "", 0, 0
		sim.pause(h, false)
		if h.dead {
			sim.start(a, h.Domain)
		}
	}
	sim.applyLateCommits()
}

// applyLateCommits lets delayed commits reach the table.
func (sim *simulation) applyLateCommits() {
	late := sim.lateCommits
	sim.lateCommits = nil
	for _, f := range late {
		f()
	}
}

// simPeer is a host's connection to its peers. It counts the messages that the
// host sends and delays answers.
type simPeer struct {
	*fakes.Peer
	h         *simHost
	mu        *sync.Mutex
	sent      map[core.MessageKind]int
	attestsTo map[core.HostID]int // number of attest messages per receiver
}

func (p simPeer) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	p.mu.Lock()
	p.sent[m.Kind()]++
	if m.Kind() == core.KindAttest {
		p.attestsTo[to]++
	}
	p.mu.Unlock()
	if p.h.answerDelay > 0 && p.h.delayKind == m.Kind() && (p.h.delayPeer == "" || p.h.delayPeer == to) {
		answer, err := p.Peer.Call(ctx, to, m)
		d := p.h.answerDelay
		p.h.answerDelay = 0
		p.h.waitFor(d)
		return answer, err
	}
	if p.h.callsHang {
		<-ctx.Done()
		return nil, codes.New(codes.PeerDown, "sim: no answer")
	}
	return p.Peer.Call(ctx, to, m)
}

// simTable is the table as one host reaches it, with that host's faults.
type simTable struct{ h *simHost }

// stall lets time pass in the simulation if a call to the space is to stall.
func (s simTable) stall(space core.Space) {
	h := s.h
	if h.stallFor == 0 || (h.stallSpace != "" && h.stallSpace != space) {
		return
	}
	d := h.stallFor
	h.stallFor = 0
	h.waitFor(d)
}

// waitFor lets time pass in the simulation while the host waits for an answer.
// With frozenInStall the host answers no messages in that time.
func (h *simHost) waitFor(d time.Duration) {
	sim := h.sim
	if sim.stallDepth > 0 || h.dead {
		return
	}
	sim.stallDepth++
	if sim.onStall != nil {
		sim.onStall()
	}
	h.waiting = true
	sim.net.SetDown(h.Name, h.frozenInStall)
	sim.advance(d)
	h.waiting = false
	sim.net.SetDown(h.Name, h.dead || h.paused)
	sim.stallDepth--
}

func (s simTable) countRead(space core.Space) {
	s.h.peer.mu.Lock()
	defer s.h.peer.mu.Unlock()
	s.h.reads[space]++
}

func (s simTable) available(ctx context.Context) error {
	if s.h.callsHang {
		<-ctx.Done()
	}
	if s.h.sim.storeDown || s.h.storeCut || s.h.callsHang {
		return codes.New(codes.StoreDown, "sim: table is down")
	}
	return nil
}

func (s simTable) Get(ctx context.Context, space core.Space, key string) (core.Row, error) {
	s.countRead(space)
	if err := s.available(ctx); err != nil {
		return core.Row{}, err
	}
	row, err := s.h.sim.table.Get(ctx, space, key)
	s.stall(space)
	return row, err
}

func (s simTable) List(ctx context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	s.countRead(space)
	if err := s.available(ctx); err != nil || (s.h.logUnreadable && space == core.SpaceWithdrawn) {
		return nil, codes.New(codes.StoreDown, "sim: list cannot be read")
	}
	rows, err := s.h.sim.table.List(ctx, space, after, limit)
	s.stall(space)
	return rows, err
}

func (s simTable) Commit(ctx context.Context, writes []core.Write) error {
	if err := s.available(ctx); err != nil {
		return err
	}
	sim, fault := s.h.sim, s.h.commitFault
	if fault != "" {
		s.h.commitFault = ""
	}
	unknown := codes.New(codes.StoreUnknown, "sim: no answer")
	switch fault {
	case "before": // the host stalls before the commit takes effect
		s.stall(writes[0].Space)
	case "late": // the commit reaches the table when applyLateCommits is called
		sim.lateCommits = append(sim.lateCommits, func() { _ = sim.table.Commit(ctx, writes) })
		return unknown
	case "lost": // the commit never takes effect
		return unknown
	case "unanswered": // the commit takes effect but its answer is lost
		_ = sim.table.Commit(ctx, writes)
		return unknown
	}
	err := sim.table.Commit(ctx, writes)
	s.stall(writes[0].Space)
	return err
}
