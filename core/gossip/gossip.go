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

// Heartbeat is what a host tells the others.
type Heartbeat struct {
	Host      core.HostID
	Domain    core.DomainID
	Address   string // IP address
	StartedMs uint64 // start of the process, Unix milliseconds
	Seq       uint64 // beats of this process so far
	Ready     bool   // takes requests
	// StoreDown says that the platform's store does not serve the host.
	StoreDown bool
	// Versions holds the version of the newest change of each followed table.
	Versions map[core.FeedTable]uint64
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.ServerID]int
	// SpareTokens holds the tokens of each workspace's rate that others may ask
	// for.
	SpareTokens map[core.WorkspaceID]int
	// Age is how long ago the sender of a digest heard the beat.
	Age time.Duration
}

// Digest is a message between hosts: the beat of its sender, or those of a
// whole domain. The beats of a domain come without their demand and work in
// flight, which the digest sums up, and with the spare tokens of those hosts
// only that have the most: so it grows with the hosts, the workspaces and the
// servers, and not with their products.
type Digest struct {
	Domain     core.DomainID // of the sender
	Forwarded  bool          // it was passed on by a host of the receiver's domain
	Heartbeats []Heartbeat   // that of the sender first
	// Demand and InFlight are those of the whole domain.
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.ServerID]int
}

// Message is a digest with the addresses that get it.
type Message struct {
	Digest Digest
	To     []string
}

// Peer is another host as this one sees it.
type Peer struct {
	Heartbeat
	Alive bool
}

// Config configures a View. Timer and Self are required.
type Config struct {
	Timer core.Timer
	// Self holds the name, domain and address of this host.
	Self Heartbeat
}

// Members is a host's view of the others. It is safe for concurrent use.
type Members struct {
	cfg Config

	mu     sync.Mutex
	self   Heartbeat
	listed bool // the store's list was read
	peers  map[core.HostID]*peer
	sums   map[core.DomainID]*sum // of the other domains
}

// sum is what the hosts of a domain report together.
type sum struct {
	from     Heartbeat // of the host that summed up
	at       time.Duration
	demand   map[core.WorkspaceID]float64
	inFlight map[core.ServerID]int
}

type peer struct {
	Heartbeat
	heard bool // a beat of the host arrived
	at    time.Duration
}

// New returns a view without other hosts.
func New(cfg Config) *Members {
	return &Members{cfg: cfg, self: cfg.Self, peers: make(map[core.HostID]*peer), sums: make(map[core.DomainID]*sum)}
}

// AddListed takes in the store's list of the hosts that may exist.
func (v *Members) AddListed(list []Heartbeat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = true
	for _, b := range list {
		if b.Host != v.self.Host && v.peers[b.Host] == nil {
			v.peers[b.Host] = &peer{Heartbeat: b, at: v.cfg.Timer.Now()}
		}
	}
}

// Receive takes in a digest and returns the addresses that it is to be passed
// on to. Beats that arrive late are ignored.
func (v *Members) Receive(d Digest) []string {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range d.Heartbeats {
		v.hear(now, b)
	}
	if d.Domain != v.self.Domain && len(d.Heartbeats) > 0 {
		v.hearSum(now, d)
	}
	if d.Forwarded || d.Domain == v.self.Domain || !v.leads(now) {
		return nil
	}
	return v.addresses(v.mates(now))
}

func (v *Members) hear(now time.Duration, b Heartbeat) {
	if b.Host == v.self.Host || b.Host == "" {
		return
	}
	p := v.peers[b.Host]
	if p != nil && p.heard && !b.follows(p.Heartbeat) {
		return
	}
	v.peers[b.Host] = &peer{Heartbeat: b, heard: true, at: now - b.Age}
}

// hearSum takes in the sums of another domain.
func (v *Members) hearSum(now time.Duration, d Digest) {
	from, old := d.Heartbeats[0], v.sums[d.Domain]
	if old != nil && from.Host == old.from.Host && !from.follows(old.from) {
		return
	}
	v.sums[d.Domain] = &sum{from: from, at: now, demand: d.Demand, inFlight: d.InFlight}
}

// follows reports whether a beat is later than another of the same host.
func (b *Heartbeat) follows(other Heartbeat) bool {
	return b.StartedMs > other.StartedMs || b.StartedMs == other.StartedMs && b.Seq > other.Seq
}

// Tick takes in this host's own beat and returns the messages to send.
func (v *Members) Tick(own Heartbeat) []Message {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	own.Seq = v.self.Seq + 1
	v.self = own
	messages := []Message{{Digest: Digest{Domain: own.Domain, Heartbeats: []Heartbeat{own}}, To: v.near(now)}}
	if v.leads(now) {
		messages = append(messages, Message{Digest: v.digest(now), To: v.far(now)})
	}
	return messages
}

// digest holds the beats of this host's domain, summed up.
func (v *Members) digest(now time.Duration) Digest {
	d := Digest{
		Domain: v.self.Domain, Heartbeats: []Heartbeat{v.self},
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
		b := p.Heartbeat
		b.Age = now - p.at
		d.Heartbeats = append(d.Heartbeats, b)
	}
	most := make(map[core.WorkspaceID]int) // which beat has the most tokens
	for i, b := range d.Heartbeats {
		for w, n := range b.SpareTokens {
			if first, ok := most[w]; !ok || n > d.Heartbeats[first].SpareTokens[w] {
				most[w] = i
			}
		}
	}
	spare := make([]map[core.WorkspaceID]int, len(d.Heartbeats))
	for w, i := range most {
		if spare[i] == nil {
			spare[i] = make(map[core.WorkspaceID]int)
		}
		spare[i][w] = d.Heartbeats[i].SpareTokens[w]
	}
	for i := range d.Heartbeats {
		d.Heartbeats[i].Demand, d.Heartbeats[i].InFlight, d.Heartbeats[i].SpareTokens = nil, nil, spare[i]
	}
	return d
}

// near returns the hosts of the own domain that get a beat.
func (v *Members) near(now time.Duration) []string {
	var list []*peer
	for _, p := range v.peers {
		if p.Domain == v.self.Domain && (v.alive(now, p) || v.isNew(now, p) || v.self.Seq%deadEvery == 0) {
			list = append(list, p)
		}
	}
	return v.addresses(list)
}

// far returns the hosts of other domains that get a digest: the first of
// each domain, or some of its hosts at times while it is silent.
func (v *Members) far(now time.Duration) []string {
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
		case v.self.Seq%deadEvery == 0:
			// A different host each time, as any of them may be back first.
			list = append(list, hosts[int(v.self.Seq/deadEvery)%len(hosts)])
		}
		list = append(list, fresh...)
	}
	return v.addresses(list)
}

// addresses returns the addresses of hosts in order.
func (v *Members) addresses(list []*peer) []string {
	addresses := make([]string, 0, len(list))
	for _, p := range list {
		addresses = append(addresses, p.Address)
	}
	sort.Strings(addresses)
	return addresses
}

func (v *Members) alive(now time.Duration, p *peer) bool {
	limit := farSilence
	if p.Domain == v.self.Domain {
		limit = silence
	}
	return p.heard && now < p.at+limit
}

// isNew reports whether a host was listed a moment ago and may not have had
// time for a beat.
func (v *Members) isNew(now time.Duration, p *peer) bool { return !p.heard && now < p.at+silence }

// mates returns the other hosts of the own domain that are alive.
func (v *Members) mates(now time.Duration) []*peer {
	var list []*peer
	for _, p := range v.peers {
		if p.Domain == v.self.Domain && v.alive(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// leads reports whether this host is the first of its domain.
func (v *Members) leads(now time.Duration) bool {
	for _, p := range v.mates(now) {
		if p.Host < v.self.Host {
			return false
		}
	}
	return true
}

// FollowsStore reports whether this host follows the store for its domain: it is
// the first of those that the store serves.
func (v *Members) FollowsStore() bool {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.mates(now) {
		if p.Host < v.self.Host && !p.StoreDown {
			return false
		}
	}
	return true
}

// Peers returns the other hosts in order of their names.
func (v *Members) Peers() []Peer {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		list = append(list, Peer{Heartbeat: p.Heartbeat, Alive: v.alive(now, p)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// ReadyHosts returns the hosts of a domain that are alive and ready, in order of
// their names. This host counts as ready.
func (v *Members) ReadyHosts(d core.DomainID) []core.HostID {
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

// NewestVersion returns the newest change of a table that another host reports, and
// the address of a host that has it: one of the own domain if there is one.
func (v *Members) NewestVersion(t core.FeedTable) (version uint64, address string) {
	return v.best(func(b *Heartbeat) uint64 { return b.Versions[t] }, true)
}

// Lender returns the address of the host that others may ask for tokens of a
// workspace: one of the own domain if there is one, and the one with the
// most. It is empty if no host has any.
func (v *Members) Lender(w core.WorkspaceID) string {
	_, address := v.best(func(b *Heartbeat) uint64 { return uint64(b.SpareTokens[w]) }, false)
	return address
}

// best returns the highest value that a live host reports, and its address.
// Either the value goes first or the own domain; then the order of names
// decides. Values of 0 do not count.
func (v *Members) best(value func(*Heartbeat) uint64, valueFirst bool) (most uint64, address string) {
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
		n := value(&p.Heartbeat)
		if n > 0 && v.alive(now, p) && (best == nil || better(p, n)) {
			best, most = p, n
		}
	}
	if best == nil {
		return 0, ""
	}
	return most, best.Address
}

// ClearSpare takes in that a host had no tokens of a workspace left. Its next beat
// tells whether it has some again.
func (v *Members) ClearSpare(w core.WorkspaceID, address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		if p.Address != address || p.SpareTokens[w] == 0 {
			continue
		}
		spare := make(map[core.WorkspaceID]int, len(p.SpareTokens))
		for name, n := range p.SpareTokens {
			if name != w {
				spare[name] = n
			}
		}
		p.SpareTokens = spare
	}
}

// Totals is what the other hosts report together.
type Totals struct {
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.DomainID]map[core.ServerID]int // by the domain of the host
	Hosts    []core.HostID                           // other hosts that may take requests
	Unseen   int                                     // how many of them have not sent a beat yet
	Complete bool                                    // the store's list was read, so that there are no more hosts
}

// counts reports whether a host may still admit requests: it is alive, or may
// only be cut off.
func (v *Members) counts(now time.Duration, p *peer) bool {
	return now < p.at+forget && (p.heard || v.isNew(now, p))
}

// Totals sums up what the other hosts report. Hosts that fell silent a
// short while ago count for demand, as they may only be cut off, but not for
// the requests in flight.
func (v *Members) Totals() Totals {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	t := Totals{Complete: v.listed, Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.DomainID]map[core.ServerID]int)}
	own := make(map[core.ServerID]int)
	for _, p := range v.peers {
		if !v.counts(now, p) {
			continue
		}
		t.Hosts = append(t.Hosts, p.Host)
		if !p.heard {
			t.Unseen++
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
