// Package member tracks which entry hosts exist and which of them are
// alive. It is decision code without I/O: its owner calls Tick, sends the
// heartbeats that Tick asks for and hands in what arrives.
//
// Hosts watch each other over an overlay of a few links per host. A host is
// declared dead only after two observers, or all that exist, have missed it.
package member

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// Config configures a Group. Zero durations and counts mean the defaults.
type Config struct {
	// Self is this host. Its incarnation should grow with each start; the
	// group raises it when other hosts remember a higher one.
	Self core.Host
	// Timer gives the time of the start. Without it the start is zero.
	Timer core.Timer
	// Interval is the time between two rounds of heartbeats, 1 s by default.
	Interval time.Duration
	// SuspectAfter is the silence after which an observer suspects a host, 3 s by
	// default.
	SuspectAfter time.Duration
	// ConfirmAfter is how long a suspicion or a death report must stay unrefuted,
	// 3 s by default.
	ConfirmAfter time.Duration
	// MaxTickDelay is how much a tick may be late before observations restart, 1 s
	// by default.
	MaxTickDelay time.Duration
	// GossipFor is how long a change is passed on, 60 s by default. A pause of
	// half of it or more counts as a restart, because changes may have been
	// missed.
	GossipFor time.Duration
	// RetainDead is how long a dead host is remembered, 1 h by default. It should
	// exceed the longest usual partition: two sides that have forgotten each
	// other meet again only through the platform's list.
	RetainDead time.Duration
	// LocalNeighbours and Links are the number of neighbours in the own domain and in
	// all, 3 and 4 by default. Links exceeds Near, so at least one neighbour
	// is in another domain.
	LocalNeighbours int
	Neighbours      int
	// MaxUpdates bounds the recent changes in one heartbeat, 24 by default.
	MaxUpdates int
	// TransferBatch bounds the members in one heartbeat to a joining host, 64 by
	// default.
	TransferBatch int
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&c.Interval, time.Second)
	set(&c.SuspectAfter, 3*time.Second)
	set(&c.ConfirmAfter, 3*time.Second)
	set(&c.MaxTickDelay, time.Second)
	set(&c.GossipFor, time.Minute)
	set(&c.RetainDead, time.Hour)
	count := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	count(&c.LocalNeighbours, 3)
	count(&c.Neighbours, c.LocalNeighbours+1)
	count(&c.MaxUpdates, 24)
	count(&c.TransferBatch, 64)
	if c.Self.State == "" {
		c.Self.State = core.HostLive
	}
	return c
}

// Change is a change of a host's state in this host's view.
type Change struct {
	Host     core.Host
	Previous core.HostState // empty for a host that was not known
}

// TickResult is what Tick decided.
type TickResult struct {
	// Targets are the hosts to send a heartbeat to now.
	Targets []core.Host
	// Changes are the state changes since the last tick.
	Changes []Change
	// Paused says that this host itself was paused and restarted its
	// observations.
	Paused bool
}

// View is one host's view of all entry hosts. It starts no goroutine and
// is safe for concurrent use.
type View struct {
	mu    sync.Mutex
	cfg   Config
	self  core.Host
	hash  uint64
	peers map[core.HostID]*peer
	// order lists all peers for full transfers and for the slow repair of
	// lost changes.
	order   []*peer
	epoch   int // counts changes of state
	domains map[core.DomainID][]*peer
	tombs   map[core.HostID]tomb

	watch    map[core.HostID]*watched
	open     map[core.HostID]*peer // hosts with suspicions or death reports
	targets  []*peer
	stale    bool // targets must be chosen again
	lost     []*peer
	lostNext int

	recent  *list.List
	queued  map[core.HostID]*list.Element
	sync    map[core.HostID]*transfer
	repair  int
	beats   int
	changes []Change
	random  *rand.Rand

	started  bool
	lastTick time.Duration
	lastBeat time.Duration
	rounds   int
	joinTill time.Duration
	joinFrom time.Duration
	lastNews time.Duration
}

type tomb struct {
	incarnation uint64
	at          time.Duration
}

// New returns a group that knows only its own host.
func New(cfg Config) *View {
	cfg = cfg.withDefaults()
	g := &View{
		cfg:     cfg,
		self:    cfg.Self,
		hash:    xxhash.Sum64String(string(cfg.Self.Name)),
		peers:   make(map[core.HostID]*peer),
		domains: make(map[core.DomainID][]*peer),
		tombs:   make(map[core.HostID]tomb),
		watch:   make(map[core.HostID]*watched),
		open:    make(map[core.HostID]*peer),
		recent:  list.New(),
		queued:  make(map[core.HostID]*list.Element),
		sync:    make(map[core.HostID]*transfer),
	}
	// The seed depends only on the host, so a run can be repeated.
	g.random = rand.New(rand.NewPCG(g.hash, cfg.Self.Incarnation))
	if cfg.Timer != nil {
		g.lastTick = cfg.Timer.Now()
	}
	g.joinFrom = g.lastTick
	g.joinTill = g.lastTick + cfg.GossipFor/2
	g.enqueue(g.lastTick, g.self.Name, 0)
	return g
}

// Self returns this host with its current incarnation and state.
func (g *View) Self() core.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.self
}

// Hosts returns all known hosts, this one included, sorted by name. Hosts
// that are only listed by the platform are suspect.
func (g *View) Hosts() []core.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]core.Host, 0, len(g.order)+1)
	all = append(all, g.self)
	for _, p := range g.order {
		all = append(all, p.host)
	}
	sortHosts(all)
	return all
}

// Live returns the live hosts of a domain, or of all domains if it is
// empty, sorted by name. Leaving and suspect hosts are left out.
func (g *View) Live(domain core.DomainID) []core.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []core.Host
	if g.self.State == core.HostLive && (domain == "" || domain == g.self.Domain) {
		live = append(live, g.self)
	}
	from := g.order
	if domain != "" {
		from = g.domains[domain]
	}
	for _, p := range from {
		if p.host.State == core.HostLive {
			live = append(live, p.host)
		}
	}
	sortHosts(live)
	return live
}

func sortHosts(hosts []core.Host) {
	slices.SortFunc(hosts, func(a, b core.Host) int {
		if a.Name < b.Name {
			return -1
		}
		if a.Name > b.Name {
			return 1
		}
		return 0
	})
}

// Leave marks this host as leaving. The mark spreads with the next
// heartbeats.
func (g *View) Leave(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.State == core.HostLeaving {
		return
	}
	g.self.State = core.HostLeaving
	g.self.Incarnation++
	g.enqueue(now, g.self.Name, 0)
}

// CancelLeave takes Leave back, when a drain of this host is resumed.
func (g *View) CancelLeave(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.self.State != core.HostLeaving {
		return
	}
	g.self.State = core.HostLive
	g.self.Incarnation++
	g.enqueue(now, g.self.Name, 0)
}

// Tick runs the observations. Its owner calls it at least once per
// interval; a call that comes late by more than Config.Pause restarts the
// observations, because the silence was then this host's own.
func (g *View) Tick(now time.Duration) TickResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	var plan TickResult
	if g.started && now-g.lastTick > g.cfg.Interval+g.cfg.MaxTickDelay {
		plan.Paused = true
		g.restart(now, now-g.lastTick)
	}
	g.lastTick = now
	g.observe(now)
	g.judge(now)
	g.forget(now)
	if now-g.joinFrom >= 10*g.cfg.Interval && now-g.lastNews >= 3*g.cfg.Interval {
		g.joinTill = min(g.joinTill, now)
	}
	// A tenth of the interval allows for ticks that come a little early.
	if !g.started || now-g.lastBeat >= g.cfg.Interval-g.cfg.Interval/10 {
		g.started = true
		g.lastBeat = now
		g.rounds++
		plan.Targets = g.beatTargets(now)
	}
	plan.Changes = g.changes
	g.changes = nil
	return plan
}

// restart begins all observations anew after this host was paused.
func (g *View) restart(now, gap time.Duration) {
	for _, w := range g.watch {
		w.heard = now
		w.probed = false
	}
	for _, p := range g.open {
		clear(p.votes)
		if p.claimed {
			p.claimedAt = now
		}
		g.settle(now, p)
	}
	if gap < g.cfg.GossipFor/2 {
		return
	}
	g.rejoin(now)
	for _, p := range g.order {
		p.verified, p.lostAt = false, now
		g.settle(now, p)
	}
}

// rejoin asks the neighbours for their whole view. This host's own death
// verdicts then yield to what they say.
func (g *View) rejoin(now time.Duration) {
	g.joinFrom, g.joinTill = now, now+g.cfg.GossipFor/2
	g.recent.Init()
	clear(g.queued)
	for _, p := range g.order {
		if p.dead {
			p.verified = false
		}
	}
	g.stale = true
	g.lost = nil
}
