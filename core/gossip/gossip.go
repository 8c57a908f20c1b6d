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
	// followTimeout is the time without a heartbeat after which another host of
	// the domain follows the store: two and a half heartbeat intervals. A needless
	// change of roles costs one call; a late one leaves the whole domain without
	// news.
	followTimeout = time.Second
	// remoteTimeout is the same for hosts of other domains. It is longer, to
	// cover the time until a new leader takes over there.
	remoteTimeout = 3 * time.Second
	// silenceTimeout is the time without a heartbeat after which a host does not
	// coordinate anything any more, and its demand is not reported.
	silenceTimeout = 30 * time.Second
	// reserveTimeout is the time without a heartbeat after which a host's part of
	// what all hosts may use together goes to the others. A host that is only
	// partitioned still uses its part, and regions lose each other for minutes. For a
	// host that said before that it is not ready, for example as it stops, it is
	// silenceTimeout.
	reserveTimeout = 10 * time.Minute
	// Every probeInterval-th heartbeat also goes to hosts that count as dead.
	probeInterval = 5
	// digestFanout is how many hosts of another domain receive each digest, so
	// that one arrives although the first has died and has not timed out yet.
	digestFanout = 2
)

// Heartbeat is the heartbeat of a host.
type Heartbeat struct {
	Host      core.HostID
	Domain    core.DomainID
	Address   string // IP address
	StartedMs uint64 // start of the process, in Unix milliseconds
	Seq       uint64 // heartbeats sent by this process so far
	Ready     bool   // the host accepts requests
	// StoreDown is set while the host cannot read the platform's store.
	StoreDown bool
	// Versions holds the version of the newest change of each followed table.
	Versions map[core.FeedTable]core.Version
	Demand   map[core.WorkspaceID]float64 // requests per second
	InFlight map[core.ServerID]int        // requests in flight
	// SpareTokens holds the rate tokens of each workspace that other hosts may
	// borrow.
	SpareTokens map[core.WorkspaceID]int
	// Age is the time between the arrival of the heartbeat at the sender of
	// a digest and the sending of the digest.
	Age time.Duration
}

// Digest is a message between hosts. It holds the heartbeat of its sender, or
// those of all live hosts of the sender's domain. In the second case the
// heartbeats carry no demand and no requests in flight, which the digest sums
// up, and the spare tokens of a workspace only for the host that has the
// most. The size of a digest therefore grows with the sum of the numbers of
// hosts, workspaces and servers, not with their products.
type Digest struct {
	Domain     core.DomainID // of the sender
	Forwarded  bool          // forwarded by a host of the receiver's domain
	Heartbeats []Heartbeat   // the sender's heartbeat comes first
	// Demand and InFlight are totals of the whole domain. They are empty in the
	// digest of a single host.
	Demand   map[core.WorkspaceID]float64
	InFlight map[core.ServerID]int
}

// Message is a digest and the IP addresses of its receivers.
type Message struct {
	Digest Digest
	To     []string
}

// Peer is the last heartbeat of another host, or its entry in the store's
// list if none has arrived yet.
type Peer struct {
	Heartbeat
	Alive bool
}

// Config configures a Members. Timer and Self are required.
type Config struct {
	Timer core.Timer
	// Self holds the name, domain and address of this host.
	Self Heartbeat
}

// Members is a host's view of the other entry hosts. It is safe for concurrent
// use.
type Members struct {
	cfg Config

	mu      sync.Mutex
	self    Heartbeat
	listed  bool // the store's list of hosts has been read
	peers   map[core.HostID]*peer
	domains map[core.DomainID]*domainTotals // totals of the other domains
}

// domainTotals holds the totals of another domain from its latest digest.
type domainTotals struct {
	sender   Heartbeat // heartbeat of the digest's sender
	received time.Duration
	demand   map[core.WorkspaceID]float64
	inFlight map[core.ServerID]int
}

type peer struct {
	Heartbeat
	seen     bool          // a heartbeat of the host has arrived
	lastSeen time.Duration // time of the last heartbeat, or when the host was listed
}

// New returns a view that knows no other hosts.
func New(cfg Config) *Members {
	return &Members{cfg: cfg, self: cfg.Self, peers: make(map[core.HostID]*peer), domains: make(map[core.DomainID]*domainTotals)}
}

// AddListed adds the hosts of the store's list that the view does not know yet.
func (v *Members) AddListed(list []Heartbeat) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listed = true
	for _, b := range list {
		if b.Host != v.self.Host && v.peers[b.Host] == nil {
			v.peers[b.Host] = &peer{Heartbeat: b, lastSeen: v.cfg.Timer.Now()}
		}
	}
}

// Receive records a received digest. It ignores heartbeats that are older than
// the last one of the same host. It returns the addresses of the hosts to
// which the caller must forward the digest, with Passed set.
func (v *Members) Receive(d Digest) []string {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range d.Heartbeats {
		v.update(now, b)
	}
	if d.Domain != v.self.Domain && len(d.Heartbeats) > 0 {
		v.updateTotals(now, d)
	}
	return v.forwardTargets(now, d.Domain, d.Forwarded)
}

// forwardTargets returns the addresses of the hosts of this host's domain to which
// it forwards a message from a domain.
func (v *Members) forwardTargets(now time.Duration, from core.DomainID, forwarded bool) []string {
	if forwarded || from == v.self.Domain || !v.isLeader(now) {
		return nil
	}
	return v.addresses(v.localPeers(now))
}

func (v *Members) update(now time.Duration, b Heartbeat) {
	if b.Host == v.self.Host || b.Host == "" {
		return
	}
	p := v.peers[b.Host]
	// A host whose clock was set back before it started again seems to have started
	// earlier. Its earlier process is silent then.
	if p != nil && p.seen && !b.newerThan(p.Heartbeat) && (b.StartedMs == p.StartedMs || now < p.lastSeen+remoteTimeout) {
		return
	}
	v.peers[b.Host] = &peer{Heartbeat: b, seen: true, lastSeen: now - b.Age}
}

// updateTotals records the totals of another domain.
func (v *Members) updateTotals(now time.Duration, d Digest) {
	from, old := d.Heartbeats[0], v.domains[d.Domain]
	if old != nil && from.Host == old.sender.Host && !from.newerThan(old.sender) {
		return
	}
	v.domains[d.Domain] = &domainTotals{sender: from, received: now, demand: d.Demand, inFlight: d.InFlight}
}

// newerThan reports whether b was sent after other, a heartbeat of the same
// host.
func (b *Heartbeat) newerThan(other Heartbeat) bool {
	return b.StartedMs > other.StartedMs || b.StartedMs == other.StartedMs && b.Seq > other.Seq
}

// Tick records this host's own heartbeat, sets its Seq and returns the
// messages to send.
func (v *Members) Tick(own Heartbeat) []Message {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	own.Seq = v.self.Seq + 1
	v.self = own
	messages := []Message{{Digest: Digest{Domain: own.Domain, Heartbeats: []Heartbeat{own}}, To: v.localTargets(now)}}
	if v.isLeader(now) {
		messages = append(messages, Message{Digest: v.digest(now), To: v.remoteTargets(now)})
	}
	return messages
}

// digest returns the digest of this host's domain.
func (v *Members) digest(now time.Duration) Digest {
	d := Digest{
		Domain: v.self.Domain, Heartbeats: []Heartbeat{v.self},
		Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.ServerID]int),
	}
	addDemand(d.Demand, v.self.Demand)
	addInFlight(d.InFlight, v.self.InFlight)
	for _, p := range v.peers {
		if p.Domain != v.self.Domain || !v.mayAct(now, p) {
			continue
		}
		addDemand(d.Demand, p.Demand)
		if !v.isAlive(now, p) {
			continue
		}
		addInFlight(d.InFlight, p.InFlight)
		b := p.Heartbeat
		b.Age = now - p.lastSeen
		d.Heartbeats = append(d.Heartbeats, b)
	}
	richest := make(map[core.WorkspaceID]int) // index of the heartbeat with the most spare tokens
	for i, b := range d.Heartbeats {
		for w, n := range b.SpareTokens {
			if best, ok := richest[w]; !ok || n > d.Heartbeats[best].SpareTokens[w] {
				richest[w] = i
			}
		}
	}
	spare := make([]map[core.WorkspaceID]int, len(d.Heartbeats))
	for w, i := range richest {
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

// localTargets returns the addresses of the hosts of this host's domain that
// get its heartbeat: live and newly listed ones always, dead ones now and
// then.
func (v *Members) localTargets(now time.Duration) []string {
	var list []*peer
	for _, p := range v.peers {
		if p.Domain == v.self.Domain && (v.isAlive(now, p) || v.isNew(now, p) || v.self.Seq%probeInterval == 0) {
			list = append(list, p)
		}
	}
	return v.addresses(list)
}

// remoteTargets returns the addresses of the hosts of other domains that get
// a digest: the first live hosts of each domain and newly listed ones. Of a
// domain without live hosts, one host is probed now and then.
func (v *Members) remoteTargets(now time.Duration) []string {
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
		case v.self.Seq%probeInterval == 0:
			// Probe a different host each time, since any of them may
			// recover first.
			list = append(list, hosts[int(v.self.Seq/probeInterval)%len(hosts)])
		}
		list = append(list, unseen...)
	}
	return v.addresses(list)
}

// addresses returns the sorted addresses of hosts.
func (v *Members) addresses(list []*peer) []string {
	addresses := make([]string, 0, len(list))
	for _, p := range list {
		addresses = append(addresses, p.Address)
	}
	sort.Strings(addresses)
	return addresses
}

func (v *Members) isAlive(now time.Duration, p *peer) bool {
	limit := remoteTimeout
	if p.Domain == v.self.Domain {
		limit = localTimeout
	}
	return p.seen && now < p.lastSeen+limit
}

// HasHeard reports whether a heartbeat of the process of a host that started at a time
// has arrived. From then on this host leaves it its part of what all hosts may use
// together.
func (v *Members) HasHeard(id core.HostID, startedMs uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[id]
	return p != nil && p.seen && p.StartedMs == startedMs
}

// HasHeardAll reports whether a heartbeat of each known host has arrived.
func (v *Members) HasHeardAll() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		if !p.seen {
			return false
		}
	}
	return true
}

// isNew reports whether a host was listed so recently that its first
// heartbeat may still be on its way.
func (v *Members) isNew(now time.Duration, p *peer) bool {
	return !p.seen && now < p.lastSeen+localTimeout
}

// IsLocal reports whether the host with an address is in this host's domain.
func (v *Members) IsLocal(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.peers {
		if p.Address == address {
			return p.Domain == v.self.Domain
		}
	}
	return false
}

// localPeers returns the other live hosts of this host's domain.
func (v *Members) localPeers(now time.Duration) []*peer {
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
func (v *Members) isLeader(now time.Duration) bool {
	for _, p := range v.localPeers(now) {
		if p.Host < v.self.Host {
			return false
		}
	}
	return true
}

// FollowsStore reports whether this host is to follow the store's tables for its
// domain. That holds if no host of the domain with a lower name, heard of
// within followTimeout, can read the store.
func (v *Members) FollowsStore() bool {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.localPeers(now) {
		if p.Host < v.self.Host && !p.StoreDown && now < p.lastSeen+followTimeout {
			return false
		}
	}
	return true
}

// Peers returns the other hosts, dead ones included, ordered by name.
func (v *Members) Peers() []Peer {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]Peer, 0, len(v.peers))
	for _, p := range v.peers {
		list = append(list, Peer{Heartbeat: p.Heartbeat, Alive: v.isAlive(now, p)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

// MaybeReadyHosts returns the names of the hosts of a domain that may be serving
// callers, sorted: the live and ready ones, those that were listed so recently that
// their first heartbeat may be on its way, and this host. It returns none until the
// store's list has been read, as this host may know only a part of the others.
func (v *Members) MaybeReadyHosts(d core.DomainID) []core.HostID {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.listed {
		return nil
	}
	var names []core.HostID
	if v.cfg.Self.Domain == d {
		names = append(names, v.cfg.Self.Host)
	}
	for _, p := range v.peers {
		if p.Domain == d && (p.Ready && v.isAlive(now, p) || v.isNew(now, p)) {
			names = append(names, p.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Totals sums up the reports of the other hosts.
type Totals struct {
	Demand   map[core.WorkspaceID]float64            // requests per second
	InFlight map[core.DomainID]map[core.ServerID]int // requests in flight, by the domain of the entry host
	Hosts    []core.HostID                           // other hosts that may admit requests, however long they are silent
	Complete bool                                    // the store's list has been read, so Hosts is complete
}

// mayAct reports whether a host may still act for others: it is alive, or it may only
// be partitioned or about to send its first heartbeat.
func (v *Members) mayAct(now time.Duration, p *peer) bool {
	return now < p.lastSeen+silenceTimeout && (p.seen || v.isNew(now, p))
}

// mayAdmit reports whether a host may still use its part of what all hosts may use
// together. A listed host may be cut off from this one since it started.
func (v *Members) mayAdmit(now time.Duration, p *peer) bool {
	if p.seen && !p.Ready {
		return now < p.lastSeen+silenceTimeout
	}
	return now < p.lastSeen+reserveTimeout
}

// Totals sums up the reports of the other hosts. A dead host still counts for the
// demand until 30 s after its last heartbeat (in another domain: after the domain's
// last digest), but not for the requests in flight.
func (v *Members) Totals() Totals {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	t := Totals{Complete: v.listed, Demand: make(map[core.WorkspaceID]float64), InFlight: make(map[core.DomainID]map[core.ServerID]int)}
	own := make(map[core.ServerID]int)
	for _, p := range v.peers {
		if v.mayAdmit(now, p) {
			t.Hosts = append(t.Hosts, p.Host)
		}
		if p.Domain != v.self.Domain || !v.mayAct(now, p) {
			continue
		}
		addDemand(t.Demand, p.Demand)
		if v.isAlive(now, p) {
			addInFlight(own, p.InFlight)
		}
	}
	t.InFlight[v.self.Domain] = own
	for domain, s := range v.domains {
		if now < s.received+silenceTimeout {
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
