// Package gossip keeps the view that entry hosts have of one another from
// the beats that they send: which are alive, what they ask of each
// workspace's rate, what they have in flight, and how new their
// configuration is.
//
// The hosts of a failure domain send their beats to one another. One of them
// leads: it sends the beats of all of them to the other domains, and passes
// on what comes from there. So the traffic between domains grows with the
// hosts, not with their square.
package gossip

import (
	"sort"
	"sync"
	"time"

	"azurering/core"
)

const (
	// silence is the time without a beat after which a host of the own
	// domain counts as dead: four beats.
	silence = 1600 * time.Millisecond
	// farSilence is the same for other domains. It covers the time until
	// another host leads there.
	farSilence = 3 * time.Second
	// forget is the time without a beat after which a host's share of the
	// rates goes to others. A host that is only cut off still serves callers
	// with the share that it had.
	forget = 30 * time.Second
	// deadEvery is how many beats pass between two that are sent to hosts
	// that are silent.
	deadEvery = 5
	// receivers is how many hosts of a domain get the beats of another one,
	// so that they arrive while the first is dead and not yet silent.
	receivers = 2
)

// Beat is what a host tells the others.
type Beat struct {
	Host    core.HostID
	Domain  core.DomainID
	Address string // IP address
	Boot    uint64 // start of the process, Unix milliseconds
	Count   uint64 // beats of this process so far
	Ready   bool   // takes requests
	// Lost says that the platform's store does not serve the host.
	Lost bool
	// Changes holds the version of the newest change of each followed table.
	Changes  map[core.FeedTable]uint64
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.ServerID]int
	// Spare holds the tokens of each workspace's rate that others may ask
	// for.
	Spare map[core.WorkspaceID]int
	// Age is how long ago the sender of a digest heard the beat.
	Age time.Duration
}

// Digest is a message between hosts: the beat of its sender, or those of a
// whole domain. The beats of a domain come without their demand and work in
// flight, which the digest sums up, and with the spare tokens of those hosts
// only that have the most: so it grows with the hosts, the workspaces and the
// servers, and not with their products.
type Digest struct {
	Domain core.DomainID // of the sender
	Passed bool          // it was passed on by a host of the receiver's domain
	Beats  []Beat        // that of the sender first
	// Demand and InFlight are those of the whole domain.
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.ServerID]int
}

// Message is a digest with the addresses that get it.
type Message struct {
	Digest    Digest
	Addresses []string
}

// Peer is another host as this one sees it.
type Peer struct {
	Beat
	Alive bool
}

// Config configures a View. Timer and Self are required.
type Config struct {
	Timer core.Timer
	// Self holds the name, domain and address of this host.
	Self Beat
}

// View is a host's view of the others. It is safe for concurrent use.
type View struct {
	cfg Config

	mu     sync.Mutex
	self   Beat
	listed bool // the store's list was read
	peers  map[core.HostID]*peer
	sums   map[core.DomainID]*sum // of the other domains
}

// sum is what the hosts of a domain report together.
type sum struct {
	from     Beat // of the host that summed up
	at       time.Duration
	demand   map[core.WorkspaceID]float64
	inFlight map[core.ServerID]int
}

type peer struct {
	Beat
	heard bool // a beat of the host arrived
	at    time.Duration
}

// New returns a view without other hosts.
func New(cfg Config) *View {
	return &View{cfg: cfg, self: cfg.Self, peers: make(map[core.HostID]*peer), sums: make(map[core.DomainID]*sum)}
}

// Meet takes in the store's list of the hosts that may exist.
func (v *View) Meet(list []Beat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = true
	for _, b := range list {
		if b.Host != v.self.Host && v.peers[b.Host] == nil {
			v.peers[b.Host] = &peer{Beat: b, at: v.cfg.Timer.Now()}
		}
	}
}

// Hear takes in a digest and returns the addresses that it is to be passed
// on to. Beats that arrive late are ignored.
func (v *View) Hear(d Digest) []string {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range d.Beats {
		v.hear(now, b)
	}
	if d.Domain != v.self.Domain && len(d.Beats) > 0 {
		v.hearSum(now, d)
	}
	if d.Passed || d.Domain == v.self.Domain || !v.leads(now) {
		return nil
	}
	return v.addresses(v.mates(now))
}

func (v *View) hear(now time.Duration, b Beat) {
	if b.Host == v.self.Host || b.Host == "" {
		return
	}
	p := v.peers[b.Host]
	if p != nil && p.heard && !b.follows(p.Beat) {
		return
	}
	v.peers[b.Host] = &peer{Beat: b, heard: true, at: now - b.Age}
}

// hearSum takes in the sums of another domain.
func (v *View) hearSum(now time.Duration, d Digest) {
	from, old := d.Beats[0], v.sums[d.Domain]
	if old != nil && from.Host == old.from.Host && !from.follows(old.from) {
		return
	}
	v.sums[d.Domain] = &sum{from: from, at: now, demand: d.Demand, inFlight: d.InFlight}
}

// follows reports whether a beat is later than another of the same host.
func (b *Beat) follows(other Beat) bool {
	return b.Boot > other.Boot || b.Boot == other.Boot && b.Count > other.Count
}

// Tick takes in this host's own beat and returns the messages to send.
func (v *View) Tick(own Beat) []Message {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	own.Count = v.self.Count + 1
	v.self = own
	messages := []Message{{Digest: Digest{Domain: own.Domain, Beats: []Beat{own}}, Addresses: v.near(now)}}
	if v.leads(now) {
		messages = append(messages, Message{Digest: v.digest(now), Addresses: v.far(now)})
	}
	return messages
}

// digest holds the beats of this host's domain, summed up.
func (v *View) digest(now time.Duration) Digest {
	d := Digest{
		Domain: v.self.Domain, Beats: []Beat{v.self},
		Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.ServerID]int),
	}
	addDemand(d.Demand, v.self.Demand)
	addWork(d.InFlight, v.self.InFlight)
	for _, p := range v.peers {
		if p.Domain != v.self.Domain || !v.counts(now, p) {
			continue
		}
		addDemand(d.Demand, p.Demand)
		if !v.alive(now, p) {
			continue
		}
		addWork(d.InFlight, p.InFlight)
		b := p.Beat
		b.Age = now - p.at
		d.Beats = append(d.Beats, b)
	}
	most := make(map[core.WorkspaceID]int) // which beat has the most tokens
	for i, b := range d.Beats {
		for w, n := range b.Spare {
			if first, ok := most[w]; !ok || n > d.Beats[first].Spare[w] {
				most[w] = i
			}
		}
	}
	spare := make([]map[core.WorkspaceID]int, len(d.Beats))
	for w, i := range most {
		if spare[i] == nil {
			spare[i] = make(map[core.WorkspaceID]int)
		}
		spare[i][w] = d.Beats[i].Spare[w]
	}
	for i := range d.Beats {
		d.Beats[i].Demand, d.Beats[i].InFlight, d.Beats[i].Spare = nil, nil, spare[i]
	}
	return d
}

// near returns the hosts of the own domain that get a beat.
func (v *View) near(now time.Duration) []string {
	var list []*peer
	for _, p := range v.peers {
		if p.Domain == v.self.Domain && (v.alive(now, p) || v.isNew(now, p) || v.self.Count%deadEvery == 0) {
			list = append(list, p)
		}
	}
	return v.addresses(list)
}

// far returns the hosts of other domains that get a digest: the first of
// each domain, or some of its hosts at times while it is silent.
func (v *View) far(now time.Duration) []string {
	domains := make(map[core.DomainID][]*peer)
	for _, p := range v.peers {
		if p.Domain != v.self.Domain {
			domains[p.Domain] = append(domains[p.Domain], p)
		}
	}
	var list []*peer
	for _, hosts := range domains {
		sort.Slice(hosts, func(i, j int) bool { return hosts[i].Host < hosts[j].Host })
		var first, late, fresh []*peer
		for _, p := range hosts {
			switch {
			case p.heard && now < p.at+silence:
				first = append(first, p)
			case v.alive(now, p):
				late = append(late, p)
			case v.isNew(now, p):
				fresh = append(fresh, p)
			}
		}
		first = append(first, late...)
		switch {
		case len(first) > 0:
			list = append(list, first[:min(len(first), receivers)]...)
		case v.self.Count%deadEvery == 0:
			// A different host each time, as any of them may be back first.
			list = append(list, hosts[int(v.self.Count/deadEvery)%len(hosts)])
		}
		list = append(list, fresh...)
	}
	return v.addresses(list)
}

// addresses returns the addresses of hosts in order.
func (v *View) addresses(list []*peer) []string {
	addresses := make([]string, 0, len(list))
	for _, p := range list {
		addresses = append(addresses, p.Address)
	}
	sort.Strings(addresses)
	return addresses
}

func (v *View) alive(now time.Duration, p *peer) bool {
	limit := farSilence
	if p.Domain == v.self.Domain {
		limit = silence
	}
	return p.heard && now < p.at+limit
}

// isNew reports whether a host was listed a moment ago and may not have had
// time for a beat.
func (v *View) isNew(now time.Duration, p *peer) bool { return !p.heard && now < p.at+silence }

// mates returns the other hosts of the own domain that are alive.
func (v *View) mates(now time.Duration) []*peer {
	var list []*peer
	for _, p := range v.peers {
		if p.Domain == v.self.Domain && v.alive(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// leads reports whether this host is the first of its domain.
func (v *View) leads(now time.Duration) bool {
	for _, p := range v.mates(now) {
		if p.Host < v.self.Host {
			return false
		}
	}
	return true
}

// Follows reports whether this host follows the store for its domain: it is
// the first of those that the store serves.
func (v *View) Follows() bool {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.mates(now) {
		if p.Host < v.self.Host && !p.Lost {
			return false
		}
	}
	return true
}

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
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var names []core.HostID
	if v.cfg.Self.Domain == d {
		names = append(names, v.cfg.Self.Host)
	}
	for _, p := range v.peers {
		if p.Domain == d && p.Ready && v.alive(now, p) {
			names = append(names, p.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Newest returns the newest change of a table that another host reports, and
// the address of a host that has it: one of the own domain if there is one.
func (v *View) Newest(t core.FeedTable) (version uint64, address string) {
	return v.best(func(b *Beat) uint64 { return b.Changes[t] }, true)
}

// Spare returns the address of the host that others may ask for tokens of a
// workspace: one of the own domain if there is one, and the one with the
// most. It is empty if no host has any.
func (v *View) Spare(w core.WorkspaceID) string {
	_, address := v.best(func(b *Beat) uint64 { return uint64(b.Spare[w]) }, false)
	return address
}

// best returns the highest value that a live host reports, and its address.
// Either the value goes first or the own domain; then the order of names
// decides. Values of 0 do not count.
func (v *View) best(value func(*Beat) uint64, valueFirst bool) (most uint64, address string) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var best *peer
	better := func(p *peer, n uint64) bool {
		mate, other := p.Domain == v.cfg.Self.Domain, best.Domain == v.cfg.Self.Domain
		switch {
		case valueFirst && n != most:
			return n > most
		case mate != other:
			return mate
		case n != most:
			return n > most
		}
		return p.Host < best.Host
	}
	for _, p := range v.peers {
		n := value(&p.Beat)
		if n > 0 && v.alive(now, p) && (best == nil || better(p, n)) {
			best, most = p, n
		}
	}
	if best == nil {
		return 0, ""
	}
	return most, best.Address
}

// Spent takes in that a host had no tokens of a workspace left. Its next beat
// tells whether it has some again.
func (v *View) Spent(w core.WorkspaceID, address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		if p.Address != address || p.Spare[w] == 0 {
			continue
		}
		spare := make(map[core.WorkspaceID]int, len(p.Spare))
		for name, n := range p.Spare {
			if name != w {
				spare[name] = n
			}
		}
		p.Spare = spare
	}
}

// Totals is what the other hosts report together.
type Totals struct {
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.DomainID]map[core.ServerID]int // by the domain of the host
	Hosts    []core.HostID                           // other hosts that may take requests
	Unheard  int                                     // how many of them have not sent a beat yet
	Listed   bool                                    // the store's list was read, so that there are no more hosts
}

// counts reports whether a host may still admit requests: it is alive, or may
// only be cut off.
func (v *View) counts(now time.Duration, p *peer) bool {
	return now < p.at+forget && (p.heard || v.isNew(now, p))
}

// Totals sums up what the other hosts report. Hosts that fell silent a
// short while ago count for demand, as they may only be cut off, but not for
// the requests in flight.
func (v *View) Totals() Totals {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	t := Totals{Listed: v.listed, Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.DomainID]map[core.ServerID]int)}
	own := make(map[core.ServerID]int)
	for _, p := range v.peers {
		if !v.counts(now, p) {
			continue
		}
		t.Hosts = append(t.Hosts, p.Host)
		if !p.heard {
			t.Unheard++
		}
		if p.Domain != v.self.Domain {
			continue
		}
		addDemand(t.Demand, p.Demand)
		if v.alive(now, p) {
			addWork(own, p.InFlight)
		}
	}
	t.InFlight[v.self.Domain] = own
	for domain, s := range v.sums {
		if now < s.at+forget {
			addDemand(t.Demand, s.demand)
		}
		if now < s.at+farSilence {
			t.InFlight[domain] = s.inFlight
		}
	}
	return t
}

func addDemand(to, from map[core.WorkspaceID]float64) {
	for w, d := range from {
		to[w] += d
	}
}

func addWork(to, from map[core.ServerID]int) {
	for s, n := range from {
		to[s] += n
	}
}
