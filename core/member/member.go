// Package member maintains one host's view of the entry hosts: which exist
// and which are alive. It implements a gossip membership protocol with
// failure detection and does no I/O. Its owner, the entry host's heartbeat
// loop in app/entry, calls Tick, sends the heartbeats that Tick asks for and
// passes received heartbeats to HandleHeartbeat.
//
// Each host exchanges heartbeats with a few neighbours. A host is declared
// dead only after two observers have received no heartbeat from it, or one
// observer that hears from none of the other hosts that it monitors.
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

// Config configures a View. Zero durations and counts select the defaults.
type Config struct {
	// Self is this host. Its incarnation should be higher after each start.
	// The view raises it when other hosts remember a higher one.
	Self core.Host
	// Timer provides the start time and must use the clock of the now
	// arguments. Without it the start time is zero.
	Timer core.Timer
	// Interval is the time between two rounds of heartbeats, 1 s by default.
	Interval time.Duration
	// SuspectAfter is the silence after which an observer suspects a host, 3 s by
	// default.
	SuspectAfter time.Duration
	// ConfirmAfter is how long a suspicion or a death report must stay unrefuted
	// before the host is declared dead, 3 s by default.
	ConfirmAfter time.Duration
	// MaxTickDelay is the delay of a tick beyond Interval above which this host
	// counts as paused and restarts its observations, 1 s by default.
	MaxTickDelay time.Duration
	// GossipFor is how long a change is gossiped, 60 s by default. A pause of at
	// least half of it is handled like a restart, because changes may have
	// been missed.
	GossipFor time.Duration
	// RetainDead is how long a dead host is remembered, 1 h by default. It should
	// exceed the longest usual partition: two sides that have removed each
	// other discover each other again only through the platform's list of hosts.
	RetainDead time.Duration
	// LocalNeighbours is the number of neighbours in the own domain, 3 by
	// default, and Neighbours that of all neighbours, LocalNeighbours+1 by
	// default. Neighbours should exceed LocalNeighbours, so that at least one
	// neighbour is in another domain.
	LocalNeighbours int
	Neighbours      int
	// MaxUpdates is the maximum number of recent changes in one heartbeat, 24 by
	// default.
	MaxUpdates int
	// TransferBatch is the maximum number of members added to one heartbeat to a
	// joining host, 64 by default.
	TransferBatch int
}

func (c Config) withDefaults() Config {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDuration(&c.Interval, time.Second)
	setDuration(&c.SuspectAfter, 3*time.Second)
	setDuration(&c.ConfirmAfter, 3*time.Second)
	setDuration(&c.MaxTickDelay, time.Second)
	setDuration(&c.GossipFor, time.Minute)
	setDuration(&c.RetainDead, time.Hour)
	setCount := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	setCount(&c.LocalNeighbours, 3)
	setCount(&c.Neighbours, c.LocalNeighbours+1)
	setCount(&c.MaxUpdates, 24)
	setCount(&c.TransferBatch, 64)
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

// TickResult is the result of Tick.
type TickResult struct {
	// Targets are the hosts to send a heartbeat to now.
	Targets []core.Host
	// Changes are the state changes since the last tick.
	Changes []Change
	// Paused reports that this host was paused and has restarted its
	// observations.
	Paused bool
}

// View is one host's view of all entry hosts. It starts no goroutine and is
// safe for concurrent use.
type View struct {
	mu    sync.Mutex
	cfg   Config
	self  core.Host
	hash  uint64
	peers map[core.HostID]*peer
	// peerList holds all peers for full transfers and for the repair
	// rotation.
	peerList      []*peer
	viewVersion   int // number of state changes so far
	peersByDomain map[core.DomainID][]*peer
	// tombstones holds the incarnations of removed hosts.
	tombstones map[core.HostID]tombstone

	// monitors holds the peers whose silence this host observes.
	monitors        map[core.HostID]*monitor
	suspects        map[core.HostID]*peer // peers with suspicions or a death report
	neighbours      []*peer
	neighboursStale bool // neighbours must be chosen again
	unreachable     []*peer
	nextUnreachable int

	// updates holds the changes to gossip: new ones first, then those least
	// recently sent.
	updates        *list.List
	updateByHost   map[core.HostID]*list.Element
	transfers      map[core.HostID]*transfer
	nextRepair     int
	heartbeatCount int
	changes        []Change
	random         *rand.Rand

	started       bool
	lastTick      time.Duration
	lastHeartbeat time.Duration
	rounds        int
	// This host asks for whole views from joinStart to joinUntil.
	joinUntil  time.Duration
	joinStart  time.Duration
	lastUpdate time.Duration
}

// tombstone remembers a removed host, so that stale gossip does not add it
// again.
type tombstone struct {
	incarnation uint64
	removedAt   time.Duration
}

// New returns a view that knows only its own host.
func New(cfg Config) *View {
	cfg = cfg.withDefaults()
	g := &View{
		cfg:           cfg,
		self:          cfg.Self,
		hash:          xxhash.Sum64String(string(cfg.Self.Name)),
		peers:         make(map[core.HostID]*peer),
		peersByDomain: make(map[core.DomainID][]*peer),
		tombstones:    make(map[core.HostID]tombstone),
		monitors:      make(map[core.HostID]*monitor),
		suspects:      make(map[core.HostID]*peer),
		updates:       list.New(),
		updateByHost:  make(map[core.HostID]*list.Element),
		transfers:     make(map[core.HostID]*transfer),
	}
	// The seed depends only on the host, so runs are reproducible.
	g.random = rand.New(rand.NewPCG(g.hash, cfg.Self.Incarnation))
	if cfg.Timer != nil {
		g.lastTick = cfg.Timer.Now()
	}
	g.joinStart = g.lastTick
	g.joinUntil = g.lastTick + cfg.GossipFor/2
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
// known only from the platform's list are suspect.
func (g *View) Hosts() []core.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]core.Host, 0, len(g.peerList)+1)
	all = append(all, g.self)
	for _, p := range g.peerList {
		all = append(all, p.host)
	}
	sortHosts(all)
	return all
}

// Live returns the live hosts of a domain, or of all domains if it is empty,
// sorted by name. Leaving and suspect hosts are not included.
func (g *View) Live(domain core.DomainID) []core.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var live []core.Host
	if g.self.State == core.HostLive && (domain == "" || domain == g.self.Domain) {
		live = append(live, g.self)
	}
	candidates := g.peerList
	if domain != "" {
		candidates = g.peersByDomain[domain]
	}
	for _, p := range candidates {
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

// Leave marks this host as leaving. The new state spreads with the next
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

// CancelLeave reverts Leave when the drain of this host is cancelled.
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

// Tick updates the observations and returns the heartbeats that are due. Its
// owner must call it at least once per Interval. If a call comes more than
// Config.MaxTickDelay late, the view restarts its observations, because this host
// itself was paused and the other hosts may not have been silent.
func (g *View) Tick(now time.Duration) TickResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	var plan TickResult
	if g.started && now-g.lastTick > g.cfg.Interval+g.cfg.MaxTickDelay {
		plan.Paused = true
		g.resetObservations(now, now-g.lastTick)
	}
	g.lastTick = now
	g.addOwnSuspicions(now)
	g.confirmDeaths(now)
	g.removeExpired(now)
	if now-g.joinStart >= 10*g.cfg.Interval && now-g.lastUpdate >= 3*g.cfg.Interval {
		g.joinUntil = min(g.joinUntil, now)
	}
	// A tenth of the interval tolerates ticks that come a little early.
	if !g.started || now-g.lastHeartbeat >= g.cfg.Interval-g.cfg.Interval/10 {
		g.started = true
		g.lastHeartbeat = now
		g.rounds++
		plan.Targets = g.heartbeatTargets(now)
	}
	plan.Changes = g.changes
	g.changes = nil
	return plan
}

// resetObservations restarts all observations after this host was paused.
func (g *View) resetObservations(now, pausedFor time.Duration) {
	for _, m := range g.monitors {
		m.lastHeard = now
		m.probed = false
	}
	for _, p := range g.suspects {
		clear(p.suspectedBy)
		if p.deathReported {
			p.reportedAt = now
		}
		g.updateState(now, p)
	}
	if pausedFor < g.cfg.GossipFor/2 {
		return
	}
	g.rejoin(now)
	for _, p := range g.peerList {
		p.verified, p.unreachableSince = false, now
		g.updateState(now, p)
	}
}

// rejoin asks the neighbours for their whole view. Until the transfer ends,
// this host's own death verdicts yield to their reports.
func (g *View) rejoin(now time.Duration) {
	g.joinStart, g.joinUntil = now, now+g.cfg.GossipFor/2
	g.updates.Init()
	clear(g.updateByHost)
	for _, p := range g.peerList {
		if p.dead {
			p.verified = false
		}
	}
	g.neighboursStale = true
	g.unreachable = nil
}
