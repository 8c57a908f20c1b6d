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
	frame  = 500 * time.Millisecond
	// checkedKeys is the number of keys; the last one is never withdrawn.
	checkedKeys = 8
)

// world runs hosts with clocks of different speed against one table and one
// network in a single goroutine, so a run depends only on its inputs.
type world struct {
	now      time.Duration // true time
	table    *fakes.Table
	net      *fakes.Network
	domains  []core.DomainID
	hosts    map[core.HostID]*host
	names    []core.HostID
	heard    map[[2]core.HostID]time.Duration
	cut      map[[2]core.HostID]bool
	down     bool // the store
	late     []func()
	accepted map[core.KeyID]time.Duration
	gone     map[core.HostID]bool
	depth    int
	quiet    bool // no heartbeats between domains
	timeout  time.Duration
	parallel int    // peer calls under way at once; 1 keeps a run repeatable
	lax      bool   // skips the checks, for measurements of many hosts
	onStall  func() // called when a stall begins
	fail     func(format string, args ...any)
}

// host is one run of an entry host.
type host struct {
	core.Host
	w       *world
	clock   *timer.Manual
	speed   float64
	peer    simPeer
	seat    *seats.Seat
	keys    *keys.Keys
	ev      *seats.Evidence
	dead    bool
	paused  bool
	noDB    bool
	noLog   bool // the log of withdrawals cannot be read
	busy    bool
	commit  string        // fault of the next commit
	stall   time.Duration // length of the next call to the table
	slow    core.Space    // if set, only calls to this space stall
	lag     time.Duration // how late the next answer of lagKind arrives
	lagKind core.MessageKind
	lagTo   core.HostID // if set, only its answers are late
	hang    bool        // calls to the table and to peers end only with their context
	frozen  bool        // the stalled host answers no messages
	reads   map[core.Space]int
	known   map[core.KeyID]bool
	watch   map[core.KeyID]*keys.Watch
}

func bearer(id core.KeyID) string { return "secret-" + string(id) }

func keyName(i int) core.KeyID { return core.KeyID("key-0" + string(rune('0'+i))) }

func newWorld(domains, perDomain int, fail func(string, ...any)) *world {
	w := &world{
		table: &fakes.Table{}, net: &fakes.Network{}, hosts: map[core.HostID]*host{}, heard: map[[2]core.HostID]time.Duration{},
		cut: map[[2]core.HostID]bool{}, accepted: map[core.KeyID]time.Duration{}, gone: map[core.HostID]bool{}, fail: fail, parallel: 1,
	}
	for d := range domains {
		w.domains = append(w.domains, core.DomainID(string(rune('a'+d))))
	}
	for _, d := range w.domains {
		for i := range perDomain {
			w.start(core.HostID(fmt.Sprintf("%s%d", d, i+1)), d)
		}
	}
	return w
}

// start starts a host, or a new run of it. Speeds lie within 4.5% of true
// time, which the margin of 10% must cover.
func (w *world) start(name core.HostID, d core.DomainID) *host {
	inc := uint64(1)
	if old := w.hosts[name]; old != nil {
		inc = old.Incarnation + 1
	} else {
		w.names = append(w.names, name)
		sort.Slice(w.names, func(i, j int) bool { return w.names[i] < w.names[j] })
	}
	speeds := []float64{0.955, 1.045, 1}
	h := &host{
		Host: core.Host{Name: name, Domain: d, Incarnation: inc, State: core.HostLive}, w: w, clock: timer.NewManual(),
		speed: speeds[(int(name[len(name)-1])+int(inc))%3], reads: map[core.Space]int{},
		known: map[core.KeyID]bool{}, watch: map[core.KeyID]*keys.Watch{},
	}
	h.peer = simPeer{w.net.Peer(name), h, &sync.Mutex{}, map[core.MessageKind]int{}, map[core.HostID]int{}}
	w.hosts[name] = h
	w.net.SetDown(name, false)
	domains := func() []core.DomainID { return w.domains }
	h.ev = seats.NewEvidence(seats.EvidenceConfig{
		Timer: h.clock, FreshnessBound: bound, Domains: domains,
		HasApplied:   func(version, withdrawn uint64) bool { return version <= 1 && h.keys.ContainsSet(withdrawn) },
		AppliedState: func() (uint64, uint64) { return 1, h.keys.Digest() },
	})
	var err error
	h.seat, err = seats.New(seats.Config{
		Host: h.Host, Table: simTable{h}, Peers: h.peer, Timer: h.clock, Evidence: h.ev, Domains: domains, MaxConcurrentCalls: w.parallel, CallTimeout: w.timeout,
		LocalHosts:     func() []core.Host { return w.live(h, d) },
		RemoteHosts:    func(d core.DomainID) []core.Host { return w.live(h, d) },
		Decommissioned: func(h core.HostID) bool { return w.gone[h] },
		CatchUp: func(ctx context.Context, from core.HostID, _, _ uint64) error {
			return h.keys.Pull(ctx, from)
		},
	})
	w.must(err)
	h.keys, err = keys.New(keys.Config{
		Host: h.Host, Table: simTable{h}, Peers: h.peer, Timer: h.clock, Seat: h.seat, Evidence: h.ev, Domains: domains, MaxConcurrentCalls: w.parallel, CallTimeout: w.timeout,
		Neighbours: func() []core.HostID { return w.neighbours(h) },
	})
	w.must(err)
	var list []core.Key
	for i := range checkedKeys {
		list = append(list, core.Key{Name: keyName(i), Workspace: "ws", Hash: sha256.Sum256([]byte(bearer(keyName(i))))})
	}
	h.keys.SetKeys(list)
	h.peer.Handle(core.KindHeartbeat, func(context.Context, core.HostID, core.Message) (core.Message, error) { return h.beat(), nil })
	return h
}

func (w *world) must(err error) {
	if err != nil {
		w.fail("set-up: %v", err)
	}
}

// live is a membership that lags by up to five seconds.
func (w *world) live(h *host, d core.DomainID) []core.Host {
	var out []core.Host
	for _, n := range w.names {
		at, ok := w.heard[[2]core.HostID{h.Name, n}]
		if o := w.hosts[n]; o.Domain == d && (n == h.Name || (ok && w.now-at < 5*time.Second)) {
			out = append(out, o.Host)
		}
	}
	return out
}

// neighbours are the hosts of the own domain and one host of another.
func (w *world) neighbours(h *host) []core.HostID {
	var out []core.HostID
	for _, o := range w.live(h, h.Domain) {
		if o.Name != h.Name {
			out = append(out, o.Name)
		}
	}
	if n := len(out); w.lax && n > 3 {
		at := int(h.Name[len(h.Name)-1]) * int(h.Name[len(h.Name)-2]) * 7
		out = []core.HostID{out[at%n], out[(at*31+17)%n], out[(at*13+5)%n]}
	}
	for _, d := range w.domains {
		if hosts := w.live(h, d); !w.quiet && d != h.Domain && len(hosts) > 0 {
			return append(out, hosts[0].Name)
		}
	}
	return out
}

// group returns the named hosts as a set.
func group(names ...core.HostID) map[core.HostID]bool {
	out := map[core.HostID]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}

func (h *host) beat() core.Heartbeat {
	var b core.Heartbeat
	h.ev.FillHeartbeat(h.clock.Now(), &b)
	h.keys.FillHeartbeat(&b)
	return b
}

func (h *host) up() bool { return !h.dead && !h.paused && !h.busy }

// tick is one round of an entry host: seat, keys, configuration, heartbeats.
func (h *host) tick() {
	ctx := context.Background()
	_ = h.seat.Tick(ctx)
	_ = h.keys.Tick(ctx)
	if started := h.clock.Now(); h.seat.ShouldPoll() {
		if _, err := (simTable{h}).Get(ctx, core.SpaceConfig, "head"); err == nil {
			h.ev.RecordStoreRead(core.SpaceConfig, started)
		}
	}
	for _, n := range h.w.neighbours(h) {
		asked := h.clock.Now()
		m, err := h.peer.Call(ctx, n, core.Heartbeat{})
		if err != nil {
			continue
		}
		b := m.(core.Heartbeat)
		h.keys.ObserveHeartbeat(n, b)
		if !h.ev.MergeHeartbeat(asked, b) && h.keys.Pull(ctx, n) == nil {
			h.ev.MergeHeartbeat(asked, b)
		}
	}
}

// advance moves true time and checks the rules at each frame. Hosts that are
// up tick once per second.
func (w *world) advance(d time.Duration) {
	for ; d > 0; d -= frame {
		w.now += min(d, frame)
		for _, n := range w.names {
			h := w.hosts[n]
			h.clock.Advance(time.Duration(float64(min(d, frame)) * h.speed))
			for _, o := range w.names {
				if o := w.hosts[o]; h.up() && o.up() && !w.cut[[2]core.HostID{n, o.Name}] {
					w.heard[[2]core.HostID{n, o.Name}] = w.now
				}
			}
		}
		w.check()
		for i, n := range w.names {
			if h := w.hosts[n]; h.up() && int(w.now/frame)%2 == i%2 {
				h.tick()
				w.checkHost(h)
			}
		}
	}
}

// check verifies the rules that must hold at every moment, on all hosts.
func (w *world) check() {
	for _, n := range w.names {
		w.checkHost(w.hosts[n])
	}
}

// checkHost verifies the rules after something changed on one host.
func (w *world) checkHost(h *host) {
	if w.lax || h.dead {
		return
	}
	for i := range checkedKeys {
		w.checkKey(h, keyName(i))
	}
	epoch, ok := h.seat.Acting()
	for _, n := range w.names {
		o := w.hosts[n]
		if !ok || o == h || o.dead || o.Domain != h.Domain {
			continue
		}
		if _, both := o.seat.Acting(); both {
			w.fail("at %v hosts %s and %s act for domain %s (epoch %d)", w.now, o.Name, h.Name, h.Domain, epoch)
		}
	}
}

func (w *world) checkKey(h *host, id core.KeyID) {
	if h.keys.IsWithdrawn(id) {
		h.known[id] = true
	} else if h.known[id] {
		w.fail("at %v host %s has forgotten the withdrawal of %s", w.now, h.Name, id)
	}
	at, accepted := w.accepted[id]
	over := accepted && w.now > at+bound+margin
	if _, _, err := h.keys.Check(bearer(id)); err == nil {
		if over {
			w.fail("at %v host %s admits %s, withdrawn at %v", w.now, h.Name, id, at)
		}
		if h.watch[id] == nil || h.watch[id].Err() != nil {
			h.watch[id] = h.keys.Watch(id)
		}
	}
	if over && h.watch[id] != nil && h.watch[id].Err() == nil {
		w.fail("at %v a stream of %s still runs on host %s, withdrawn at %v", w.now, id, h.Name, at)
	}
}

func (w *world) withdraw(h *host, id core.KeyID) (keys.Report, error) {
	r, err := h.keys.Withdraw(context.Background(), core.Withdrawal{Key: id})
	if _, ok := w.accepted[id]; r.Accepted && !ok {
		w.accepted[id] = w.now
	}
	return r, err
}

func (w *world) setCut(a, b core.HostID, cut bool) {
	w.net.SetCut(a, b, cut)
	w.cut[[2]core.HostID{a, b}], w.cut[[2]core.HostID{b, a}] = cut, cut
}

// isolate cuts or heals all links between the named hosts and the others.
func (w *world) isolate(group map[core.HostID]bool, cut bool) {
	for _, a := range w.names {
		for _, b := range w.names {
			if group[a] != group[b] {
				w.setCut(a, b, cut)
			}
		}
	}
}

func (w *world) kill(h *host) {
	h.dead = true
	w.net.SetDown(h.Name, true)
}

func (w *world) pause(h *host, paused bool) {
	h.paused = paused
	w.net.SetDown(h.Name, paused || h.dead)
}

// acting returns the acting host of a domain.
func (w *world) acting(d core.DomainID) *host {
	for _, n := range w.names {
		if h := w.hosts[n]; !h.dead && h.Domain == d {
			if _, ok := h.seat.Acting(); ok {
				return h
			}
		}
	}
	return nil
}

// heal ends all faults and starts all hosts.
func (w *world) heal() {
	w.down = false
	w.isolate(nil, false)
	for _, a := range w.names {
		for _, b := range w.names {
			w.setCut(a, b, false)
		}
		h := w.hosts[a]
		h.noDB, h.noLog, h.commit, h.stall, h.lag = false, false, "", 0, 0
		w.pause(h, false)
		if h.dead {
			w.start(a, h.Domain)
		}
	}
	w.landLate()
}

func (w *world) landLate() {
	late := w.late
	w.late = nil
	for _, f := range late {
		f()
	}
}

// simPeer counts the messages that a host sends.
type simPeer struct {
	*fakes.Peer
	h    *host
	mu   *sync.Mutex
	sent map[core.MessageKind]int
	to   map[core.HostID]int // attest messages per receiver
}

func (p simPeer) Call(ctx context.Context, to core.HostID, m core.Message) (core.Message, error) {
	p.mu.Lock()
	p.sent[m.Kind()]++
	if m.Kind() == core.KindAttest {
		p.to[to]++
	}
	p.mu.Unlock()
	if p.h.lag > 0 && p.h.lagKind == m.Kind() && (p.h.lagTo == "" || p.h.lagTo == to) {
		answer, err := p.Peer.Call(ctx, to, m)
		d := p.h.lag
		p.h.lag = 0
		p.h.wait(d)
		return answer, err
	}
	if p.h.hang {
		<-ctx.Done()
		return nil, codes.New(codes.PeerDown, "sim: no answer")
	}
	return p.Peer.Call(ctx, to, m)
}

// simTable is the table as one host reaches it.
type simTable struct{ h *host }

// wait lets the world run on while the host waits for the table.
func (s simTable) wait(space core.Space) {
	h := s.h
	if h.stall == 0 || (h.slow != "" && h.slow != space) {
		return
	}
	d := h.stall
	h.stall = 0
	h.wait(d)
}

// wait lets the world run on while the host waits for an answer. A frozen
// host is paused in that time.
func (h *host) wait(d time.Duration) {
	w := h.w
	if w.depth > 0 || h.dead {
		return
	}
	w.depth++
	if w.onStall != nil {
		w.onStall()
	}
	h.busy = true
	w.net.SetDown(h.Name, h.frozen)
	w.advance(d)
	h.busy = false
	w.net.SetDown(h.Name, h.dead || h.paused)
	w.depth--
}

func (s simTable) count(space core.Space) {
	s.h.peer.mu.Lock()
	defer s.h.peer.mu.Unlock()
	s.h.reads[space]++
}

func (s simTable) reach(ctx context.Context) error {
	if s.h.hang {
		<-ctx.Done()
	}
	if s.h.w.down || s.h.noDB || s.h.hang {
		return codes.New(codes.StoreDown, "sim: table is down")
	}
	return nil
}

func (s simTable) Get(ctx context.Context, space core.Space, key string) (core.Row, error) {
	s.count(space)
	if err := s.reach(ctx); err != nil {
		return core.Row{}, err
	}
	row, err := s.h.w.table.Get(ctx, space, key)
	s.wait(space)
	return row, err
}

func (s simTable) List(ctx context.Context, space core.Space, after string, limit int) ([]core.Row, error) {
	s.count(space)
	if err := s.reach(ctx); err != nil || (s.h.noLog && space == core.SpaceWithdrawn) {
		return nil, codes.New(codes.StoreDown, "sim: list cannot be read")
	}
	rows, err := s.h.w.table.List(ctx, space, after, limit)
	s.wait(space)
	return rows, err
}

func (s simTable) Commit(ctx context.Context, writes []core.Write) error {
	if err := s.reach(ctx); err != nil {
		return err
	}
	w, fault := s.h.w, s.h.commit
	if fault != "" {
		s.h.commit = ""
	}
	unknown := codes.New(codes.StoreUnknown, "sim: no answer")
	switch fault {
	case "before": // the host stalls before the commit takes effect
		s.wait(writes[0].Space)
	case "late": // the commit takes effect much later
		w.late = append(w.late, func() { _ = w.table.Commit(ctx, writes) })
		return unknown
	case "lost":
		return unknown
	case "unanswered":
		_ = w.table.Commit(ctx, writes)
		return unknown
	}
	err := w.table.Commit(ctx, writes)
	s.wait(writes[0].Space)
	return err
}
