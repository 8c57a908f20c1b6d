// Package gossip keeps the view that entry hosts have of one another from
// the beats that they send: which are alive, what they ask of each
// workspace's rate, what they have in flight, and how new their
// configuration is.
package gossip

import (
	"sort"
	"sync"
	"time"

	"azurering/core"
)

const (
	// silence is the time without a beat after which a host is not named to
	// callers any more: four beats.
	silence = 1600 * time.Millisecond
	// forget is the time without a beat after which a host's share of the
	// rates goes to others. A host that is only cut off still serves callers
	// with the share that it had.
	forget = 30 * time.Second
	// deadEvery is how many beats a silent host misses out on between two
	// that are sent to it.
	deadEvery = 5
)

// Beat is what a host tells the others.
type Beat struct {
	Host    core.HostID
	Domain  core.DomainID
	Address string // IP address
	Boot    uint64 // start of the process, Unix milliseconds
	Count   uint64 // beats of this process so far
	Ready   bool   // takes requests
	// Changes holds the version of the newest change of each followed table.
	Changes  map[core.FeedTable]uint64
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.ServerID]int
}

// Peer is another host as this one sees it.
type Peer struct {
	Beat
	Alive bool
}

// Config configures a View. Timer and Self are required.
type Config struct {
	Timer core.Timer
	// Self holds the name, domain, address and boot of this host.
	Self Beat
}

// View is a host's view of the others. It is safe for concurrent use.
type View struct {
	cfg Config

	mu    sync.Mutex
	peers map[core.HostID]*peer
	count uint64
}

type peer struct {
	Beat
	heard bool // a beat of the host arrived
	at    time.Duration
}

// New returns a view without other hosts.
func New(cfg Config) *View {
	return &View{cfg: cfg, peers: make(map[core.HostID]*peer)}
}

// Meet takes in that a host may exist, from the store's list.
func (v *View) Meet(b Beat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if b.Host == v.cfg.Self.Host || v.peers[b.Host] != nil {
		return
	}
	v.peers[b.Host] = &peer{Beat: b, at: v.cfg.Timer.Now()}
}

// Hear takes in a beat. Beats that arrive late are ignored.
func (v *View) Hear(b Beat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if b.Host == v.cfg.Self.Host || b.Host == "" {
		return
	}
	p := v.peers[b.Host]
	if p != nil && p.heard && (b.Boot < p.Boot || b.Boot == p.Boot && b.Count <= p.Count) {
		return
	}
	v.peers[b.Host] = &peer{Beat: b, heard: true, at: v.cfg.Timer.Now()}
}

// Targets returns the addresses to send the next beat to. Silent hosts get
// only some of the beats.
func (v *View) Targets() (count uint64, addresses []string) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.count++
	for _, p := range v.peers {
		if v.alive(now, p) || !p.heard && now < p.at+silence || v.count%deadEvery == 0 {
			addresses = append(addresses, p.Address)
		}
	}
	sort.Strings(addresses)
	return v.count, addresses
}

func (v *View) alive(now time.Duration, p *peer) bool { return p.heard && now < p.at+silence }

// Peers returns the other hosts in order of their names.
func (v *View) Peers() []Peer {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		list = append(list, Peer{Beat: p.Beat, Alive: v.alive(now, p)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// Mates returns the hosts of a domain that are alive and ready, in order of
// their names. This host counts as ready.
func (v *View) Mates(d core.DomainID) []core.HostID {
	var names []core.HostID
	for _, p := range v.Peers() {
		if p.Alive && p.Ready && p.Domain == d {
			names = append(names, p.Host)
		}
	}
	if v.cfg.Self.Domain == d {
		names = append(names, v.cfg.Self.Host)
		sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	}
	return names
}

// Totals is what the other hosts report together.
type Totals struct {
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.ServerID]int
	Hosts    int // other hosts that may take requests
	Unheard  int // those of them without a beat yet
}

// Totals sums up what the other hosts report. Hosts that fell silent a
// short while ago count for demand, as they may only be cut off, but not for
// the requests in flight.
func (v *View) Totals() Totals {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	t := Totals{Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.ServerID]int)}
	for _, p := range v.peers {
		if now >= p.at+forget || !p.heard && now >= p.at+silence {
			continue
		}
		t.Hosts++
		if !p.heard {
			t.Unheard++
		}
		for w, d := range p.Demand {
			t.Demand[w] += d
		}
		if !v.alive(now, p) {
			continue
		}
		for s, n := range p.InFlight {
			t.InFlight[s] += n
		}
	}
	return t
}
