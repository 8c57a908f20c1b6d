// Package gossip tracks the entry hosts by the heartbeats that they send one
// another: which hosts are alive, their demand on each workspace's rate,
// their requests in flight, and the version of their configuration. Entry
// hosts use it to divide rates, to spread load and to choose the host from
// which to fetch configuration.
//
// The hosts of a failure domain send heartbeats to one another. One of them,
// the domain's leader, sends a digest of the domain's heartbeats to the other
// domains and forwards the digests that it receives to its own. The traffic
// between domains therefore grows linearly with the number of hosts, not
// quadratically.
package gossip

import (
	"sort"
	"sync"
	"time"

	"azurering/core"
)

const (
	// localTimeout is the time without a heartbeat after which a host of this
	// host's domain counts as dead: four heartbeat intervals.
	localTimeout = 1600 * time.Millisecond
	// remoteTimeout is the same for hosts of other domains. It is longer, to
	// cover the time until a new leader takes over there.
	remoteTimeout = 3 * time.Second
	// demandTimeout is the time without a heartbeat after which a host's
	// share of the rates goes to others. Until then it keeps its share,
	// because a host that is only partitioned still admits requests with it.
	demandTimeout = 30 * time.Second
	// probeInterval is the number of heartbeats between two that are sent to
	// hosts that count as dead.
	probeInterval = 5
	// digestFanout is how many hosts of another domain receive each digest, so
	// that one arrives although the first has died and has not timed out yet.
	digestFanout = 2
)

// Beat is the heartbeat of a host.
type Beat struct {
	Host    core.HostID
	Domain  core.DomainID
	Address string // IP address
	Boot    uint64 // start of the process, in Unix milliseconds
	Count   uint64 // heartbeats sent by this process so far
	Ready   bool   // the host accepts requests
	// Lost is set while the host cannot read the platform's store.
	Lost bool
	// Changes holds the version of the newest change of each followed table.
	Changes  map[core.FeedTable]uint64
	Demand   map[core.WorkspaceID]float64 // requests per second
	InFlight map[core.ServerID]int        // requests in flight
	// Spare holds the rate tokens of each workspace that other hosts may
	// borrow.
	Spare map[core.WorkspaceID]int
	// Age is the time between the arrival of the heartbeat at the sender of
	// a digest and the sending of the digest.
	Age time.Duration
}

// Digest is a message between hosts. It holds the heartbeat of its sender, or
// those of all hosts of the sender's domain. In the second case the
// heartbeats carry no demand and no requests in flight, which the digest sums
// up, and the spare tokens of a workspace only for the host that has the
// most. The size of a digest therefore grows with the sum of the numbers of
// hosts, workspaces and servers, not with their products.
type Digest struct {
	Domain core.DomainID // of the sender
	Passed bool          // forwarded by a host of the receiver's domain
	Beats  []Beat        // the sender's heartbeat comes first
	// Demand and InFlight are totals of the whole domain. They are nil in the
	// digest of a single host.
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.ServerID]int
}

// Message is a digest and the IP addresses of its receivers.
type Message struct {
	Digest    Digest
	Addresses []string
}

// Peer is the last heartbeat of another host, or its entry in the store's
// list if none has arrived yet.
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

// View is a host's view of the other entry hosts. It is safe for concurrent
// use.
type View struct {
	cfg Config

	mu      sync.Mutex
	self    Beat
	listed  bool // the store's list of hosts has been read
	peers   map[core.HostID]*peer
	domains map[core.DomainID]*domainTotals // totals of the other domains
}

// domainTotals holds the totals of another domain from its latest digest.
type domainTotals struct {
	sender   Beat // heartbeat of the digest's sender
	received time.Duration
	demand   map[core.WorkspaceID]float64
	inFlight map[core.ServerID]int
}

type peer struct {
	Beat
	seen     bool          // a heartbeat of the host has arrived
	lastSeen time.Duration // time of the last heartbeat, or when the host was listed
}

// New returns a view that knows no other hosts.
func New(cfg Config) *View {
	return &View{cfg: cfg, self: cfg.Self, peers: make(map[core.HostID]*peer), domains: make(map[core.DomainID]*domainTotals)}
}

// Meet adds the hosts of the store's list that the view does not know yet.
func (v *View) Meet(list []Beat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = true
	for _, b := range list {
		if b.Host != v.self.Host && v.peers[b.Host] == nil {
			v.peers[b.Host] = &peer{Beat: b, lastSeen: v.cfg.Timer.Now()}
		}
	}
}

// Hear records a received digest. It ignores heartbeats that are older than
// the last one of the same host. It returns the addresses of the hosts to
// which the caller must forward the digest, with Passed set.
func (v *View) Hear(d Digest) []string {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range d.Beats {
		v.update(now, b)
	}
	if d.Domain != v.self.Domain && len(d.Beats) > 0 {
		v.updateTotals(now, d)
	}
	if d.Passed || d.Domain == v.self.Domain || !v.isLeader(now) {
		return nil
	}
	return v.addresses(v.localPeers(now))
}

func (v *View) update(now time.Duration, b Beat) {
	if b.Host == v.self.Host || b.Host == "" {
		return
	}
	p := v.peers[b.Host]
	if p != nil && p.seen && !b.newerThan(p.Beat) {
		return
	}
	v.peers[b.Host] = &peer{Beat: b, seen: true, lastSeen: now - b.Age}
}

// updateTotals records the totals of another domain.
func (v *View) updateTotals(now time.Duration, d Digest) {
	from, old := d.Beats[0], v.domains[d.Domain]
	if old != nil && from.Host == old.sender.Host && !from.newerThan(old.sender) {
		return
	}
	v.domains[d.Domain] = &domainTotals{sender: from, received: now, demand: d.Demand, inFlight: d.InFlight}
}

// newerThan reports whether b was sent after other, a heartbeat of the same
// host.
func (b *Beat) newerThan(other Beat) bool {
	return b.Boot > other.Boot || b.Boot == other.Boot && b.Count > other.Count
}

// Tick records this host's own heartbeat, sets its Count and returns the
// messages to send.
func (v *View) Tick(own Beat) []Message {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	own.Count = v.self.Count + 1
	v.self = own
	messages := []Message{{Digest: Digest{Domain: own.Domain, Beats: []Beat{own}}, Addresses: v.localTargets(now)}}
	if v.isLeader(now) {
		messages = append(messages, Message{Digest: v.digest(now), Addresses: v.remoteTargets(now)})
	}
	return messages
}

// digest returns the digest of this host's domain.
func (v *View) digest(now time.Duration) Digest {
	d := Digest{
		Domain: v.self.Domain, Beats: []Beat{v.self},
		Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.ServerID]int),
	}
	addDemand(d.Demand, v.self.Demand)
	addInFlight(d.InFlight, v.self.InFlight)
	for _, p := range v.peers {
		if p.Domain != v.self.Domain || !v.mayAdmit(now, p) {
			continue
		}
		addDemand(d.Demand, p.Demand)
		if !v.isAlive(now, p) {
			continue
		}
		addInFlight(d.InFlight, p.InFlight)
		b := p.Beat
		b.Age = now - p.lastSeen
		d.Beats = append(d.Beats, b)
	}
	richest := make(map[core.WorkspaceID]int) // index of the heartbeat with the most spare tokens
	for i, b := range d.Beats {
		for w, n := range b.Spare {
			if best, ok := richest[w]; !ok || n > d.Beats[best].Spare[w] {
				richest[w] = i
			}
		}
	}
	spare := make([]map[core.WorkspaceID]int, len(d.Beats))
	for w, i := range richest {
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

// localTargets returns the addresses of the hosts of this host's domain that
// get its heartbeat: live and newly listed ones always, dead ones now and
// then.
func (v *View) localTargets(now time.Duration) []string {
	var list []*peer
	for _, p := range v.peers {
		if p.Domain == v.self.Domain && (v.isAlive(now, p) || v.isNew(now, p) || v.self.Count%probeInterval == 0) {
			list = append(list, p)
		}
	}
	return v.addresses(list)
}

// remoteTargets returns the addresses of the hosts of other domains that get
// a digest: the first live hosts of each domain and newly listed ones. Of a
// domain without live hosts, one host is probed now and then.
func (v *View) remoteTargets(now time.Duration) []string {
	domains := make(map[core.DomainID][]*peer)
	for _, p := range v.peers {
		if p.Domain != v.self.Domain {
			domains[p.Domain] = append(domains[p.Domain], p)
		}
	}
	var list []*peer
	for _, hosts := range domains {
		sort.Slice(hosts, func(i, j int) bool { return hosts[i].Host < hosts[j].Host })
		var recent, late, unseen []*peer
		for _, p := range hosts {
			switch {
			case p.seen && now < p.lastSeen+localTimeout:
				recent = append(recent, p)
			case v.isAlive(now, p):
				late = append(late, p)
			case v.isNew(now, p):
				unseen = append(unseen, p)
			}
		}
		recent = append(recent, late...)
		switch {
		case len(recent) > 0:
			list = append(list, recent[:min(len(recent), digestFanout)]...)
		case v.self.Count%probeInterval == 0:
			// Probe a different host each time, since any of them may
			// recover first.
			list = append(list, hosts[int(v.self.Count/probeInterval)%len(hosts)])
		}
		list = append(list, unseen...)
	}
	return v.addresses(list)
}

// addresses returns the sorted addresses of hosts.
func (v *View) addresses(list []*peer) []string {
	addresses := make([]string, 0, len(list))
	for _, p := range list {
		addresses = append(addresses, p.Address)
	}
	sort.Strings(addresses)
	return addresses
}

func (v *View) isAlive(now time.Duration, p *peer) bool {
	limit := remoteTimeout
	if p.Domain == v.self.Domain {
		limit = localTimeout
	}
	return p.seen && now < p.lastSeen+limit
}

// isNew reports whether a host was listed so recently that its first
// heartbeat may still be on its way.
func (v *View) isNew(now time.Duration, p *peer) bool {
	return !p.seen && now < p.lastSeen+localTimeout
}

// localPeers returns the other live hosts of this host's domain.
func (v *View) localPeers(now time.Duration) []*peer {
	var list []*peer
	for _, p := range v.peers {
		if p.Domain == v.self.Domain && v.isAlive(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// isLeader reports whether this host has the lowest name of the live hosts of
// its domain.
func (v *View) isLeader(now time.Duration) bool {
	for _, p := range v.localPeers(now) {
		if p.Host < v.self.Host {
			return false
		}
	}
	return true
}

// Follows reports whether this host is to follow the store's tables for its
// domain. That holds if no live host of the domain with a lower name can read
// the store.
func (v *View) Follows() bool {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.localPeers(now) {
		if p.Host < v.self.Host && !p.Lost {
			return false
		}
	}
	return true
}

// Peers returns the other hosts, dead ones included, ordered by name.
func (v *View) Peers() []Peer {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		list = append(list, Peer{Beat: p.Beat, Alive: v.isAlive(now, p)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// Mates returns the names of the live and ready hosts of a domain, sorted.
// This host always counts as ready.
func (v *View) Mates(d core.DomainID) []core.HostID {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var names []core.HostID
	if v.cfg.Self.Domain == d {
		names = append(names, v.cfg.Self.Host)
	}
	for _, p := range v.peers {
		if p.Domain == d && p.Ready && v.isAlive(now, p) {
			names = append(names, p.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Newest returns the version of the newest change of a table that another
// live host reports, and the address of a host that has it, preferably one of
// this host's domain. It returns 0 and "" if no host reports a change.
func (v *View) Newest(t core.FeedTable) (version uint64, address string) {
	return v.highest(func(b *Beat) uint64 { return b.Changes[t] }, true)
}

// Spare returns the address of the live host from which to borrow rate tokens
// of a workspace: the one with the most spare tokens, preferably of this
// host's domain. It returns "" if no host has any.
func (v *View) Spare(w core.WorkspaceID) string {
	_, address := v.highest(func(b *Beat) uint64 { return uint64(b.Spare[w]) }, false)
	return address
}

// highest returns the highest value that a live host reports, and its
// address. With valueFirst, a higher value is preferred to a host of this
// host's domain, otherwise the other way round; ties go to the lowest name.
// Values of 0 do not count.
func (v *View) highest(value func(*Beat) uint64, valueFirst bool) (most uint64, address string) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var best *peer
	better := func(p *peer, n uint64) bool {
		local, bestLocal := p.Domain == v.cfg.Self.Domain, best.Domain == v.cfg.Self.Domain
		switch {
		case valueFirst && n != most:
			return n > most
		case local != bestLocal:
			return local
		case n != most:
			return n > most
		}
		return p.Host < best.Host
	}
	for _, p := range v.peers {
		n := value(&p.Beat)
		if n > 0 && v.isAlive(now, p) && (best == nil || better(p, n)) {
			best, most = p, n
		}
	}
	if best == nil {
		return 0, ""
	}
	return most, best.Address
}

// Spent records that the host with an address had no tokens of a workspace
// left. Spare does not return the host again until its next heartbeat reports
// spare tokens.
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

// Totals sums up the reports of the other hosts.
type Totals struct {
	Demand   map[core.WorkspaceID]float64            // requests per second
	InFlight map[core.DomainID]map[core.ServerID]int // requests in flight, by the domain of the entry host
	Hosts    []core.HostID                           // other hosts that may admit requests
	Unheard  int                                     // how many of Hosts have not sent a heartbeat yet
	Listed   bool                                    // the store's list has been read, so Hosts is complete
}

// mayAdmit reports whether a host may still admit requests: it is alive, or
// it may only be partitioned or about to send its first heartbeat.
func (v *View) mayAdmit(now time.Duration, p *peer) bool {
	return now < p.lastSeen+demandTimeout && (p.seen || v.isNew(now, p))
}

// Totals sums up the reports of the other hosts. A host that timed out less
// than 30 s ago still counts for the demand, since it may only be
// partitioned, but not for the requests in flight.
func (v *View) Totals() Totals {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	t := Totals{Listed: v.listed, Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.DomainID]map[core.ServerID]int)}
	own := make(map[core.ServerID]int)
	for _, p := range v.peers {
		if !v.mayAdmit(now, p) {
			continue
		}
		t.Hosts = append(t.Hosts, p.Host)
		if !p.seen {
			t.Unheard++
		}
		if p.Domain != v.self.Domain {
			continue
		}
		addDemand(t.Demand, p.Demand)
		if v.isAlive(now, p) {
			addInFlight(own, p.InFlight)
		}
	}
	t.InFlight[v.self.Domain] = own
	for domain, s := range v.domains {
		if now < s.received+demandTimeout {
			addDemand(t.Demand, s.demand)
		}
		if now < s.received+remoteTimeout {
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

func addInFlight(to, from map[core.ServerID]int) {
	for s, n := range from {
		to[s] += n
	}
}
