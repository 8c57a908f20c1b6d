package member

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// maxTemporaryMonitors limits the monitors that a host starts because of
// other hosts' suspicions, maxExtraHeartbeats the heartbeats beyond the
// neighbours. Both limit the cost when a whole domain fails at once.
const (
	maxTemporaryMonitors = 16
	maxExtraHeartbeats   = 24
)

// addOwnSuspicions suspects the monitored peers that have been silent for too
// long and drops expired monitors.
func (g *View) addOwnSuspicions(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(g.monitors)) {
		m := g.monitors[name]
		p := m.peer
		if p.dead || m.expiresAt > 0 && now > m.expiresAt {
			delete(g.monitors, name)
			continue
		}
		if _, suspectedBySelf := p.suspectedBy[g.self.Name]; suspectedBySelf || !p.verified || now-m.lastHeard < g.cfg.SuspectAfter {
			continue
		}
		p.addSuspicion(now, g.self.Name)
		g.updateState(now, p)
	}
}

// confirmDeaths declares suspects and reported hosts dead, and drops
// suspicions of other hosts that they have not renewed.
func (g *View) confirmDeaths(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(g.suspects)) {
		p := g.suspects[name]
		for by, at := range p.suspectedBy {
			if by != g.self.Name && now-at > g.cfg.SuspectAfter+g.cfg.ConfirmAfter {
				delete(p.suspectedBy, by)
			}
		}
		if p.deathPending() && now-p.reportedAt >= g.cfg.ConfirmAfter {
			g.markDead(now, p, true)
			continue
		}
		at, suspectedBySelf := p.suspectedBy[g.self.Name]
		switch {
		case !suspectedBySelf || now-at < g.cfg.ConfirmAfter:
			g.updateState(now, p)
		case len(p.suspectedBy) > 1:
			g.markDead(now, p, true)
			g.enqueue(now, name, 0)
		case g.soleObserver(now, p):
			// The verdict of a single observer is not gossiped.
			g.markDead(now, p, false)
		default:
			g.updateState(now, p)
		}
	}
}

// soleObserver reports whether this host hears no other host that could
// observe p.
func (g *View) soleObserver(now time.Duration, p *peer) bool {
	for _, m := range g.monitors {
		if m.peer != p && g.recentlyHeard(now, m.peer) {
			return false
		}
	}
	return true
}

// markDead declares a peer dead. An unverified verdict yields to a report
// that the peer is alive.
func (g *View) markDead(now time.Duration, p *peer, verified bool) {
	p.dead, p.unreachableSince, p.verified = true, now, verified
	if p.deathReported {
		p.host.Incarnation = max(p.host.Incarnation, p.reportedIncarnation)
	}
	p.deathReported = false
	clear(p.suspectedBy)
	delete(g.monitors, p.host.Name)
	g.updateState(now, p)
}

// updateMonitor updates the monitor of a peer after direct contact. It starts
// one if the peer has this host as a neighbour, and ends one that neither
// side needs.
func (g *View) updateMonitor(now time.Duration, p *peer) {
	name := p.host.Name
	m := g.monitors[name]
	if m == nil {
		if g.isNeighbourOf(p) {
			g.monitors[name] = &monitor{peer: p, lastHeard: now}
		}
		return
	}
	m.lastHeard = now
	if m.probed && m.expiresAt == 0 && !slices.Contains(g.neighbours, p) && !g.isNeighbourOf(p) {
		delete(g.monitors, name)
		return
	}
	m.probed = false
}

// MergeSuspicions processes the suspicions that another host sent. This host
// refutes those about itself by raising its incarnation.
func (g *View) MergeSuspicions(now time.Duration, from core.HostID, suspicions []core.Suspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range suspicions {
		if s.Reporter == g.self.Name {
			continue
		}
		if s.Host == g.self.Name {
			if s.Incarnation >= g.self.Incarnation {
				g.self.Incarnation = s.Incarnation + 1
			}
			continue
		}
		g.handleSuspicion(now, from, s)
	}
}

// handleSuspicion records a first-hand suspicion and starts to observe the
// suspect, unless too many temporary monitors run.
func (g *View) handleSuspicion(now time.Duration, from core.HostID, s core.Suspicion) {
	p := g.peers[s.Host]
	if p == nil || p.dead || !p.verified {
		return
	}
	if s.Incarnation < p.host.Incarnation {
		// The sender missed the refutation: gossip it again a few times.
		g.enqueue(now, s.Host, g.retransmitLimit()-2*g.cfg.Neighbours)
		return
	}
	if s.Reporter != from {
		return
	}
	p.addSuspicion(now, s.Reporter)
	g.updateState(now, p)
	if g.monitors[s.Host] != nil || g.temporaryMonitors() >= maxTemporaryMonitors {
		return
	}
	expiresAt := now + 2*(g.cfg.SuspectAfter+g.cfg.ConfirmAfter)
	g.monitors[s.Host] = &monitor{peer: p, lastHeard: now, expiresAt: expiresAt}
}

func (g *View) temporaryMonitors() int {
	n := 0
	for _, m := range g.monitors {
		if m.expiresAt > 0 {
			n++
		}
	}
	return n
}

// heartbeatTargets returns the hosts to send a heartbeat to: the neighbours,
// silent monitored hosts, other observers of the hosts that this one
// suspects, and at intervals a host that is dead or unverified.
func (g *View) heartbeatTargets(now time.Duration) []core.Host {
	g.refreshNeighbours(now)
	selected := make(map[core.HostID]bool, len(g.neighbours)+4)
	var out []core.Host
	add := func(p *peer) {
		if p == nil || selected[p.host.Name] {
			return
		}
		selected[p.host.Name] = true
		out = append(out, p.host)
	}
	for _, p := range g.neighbours {
		add(p)
	}
	limit := len(out) + maxExtraHeartbeats
	for _, name := range slices.Sorted(maps.Keys(g.monitors)) {
		m := g.monitors[name]
		if len(out) >= limit || now-m.lastHeard < g.cfg.Interval*3/2 || selected[name] {
			continue
		}
		m.probed = true
		add(m.peer)
	}
	for _, name := range slices.Sorted(maps.Keys(g.suspects)) {
		p := g.suspects[name]
		if _, suspectedBySelf := p.suspectedBy[g.self.Name]; !suspectedBySelf || len(out) >= limit {
			continue
		}
		for _, other := range g.neighboursOf(p.host, p.hash) {
			add(other)
		}
	}
	for _, p := range g.unreachableTargets(len(out)) {
		add(p)
	}
	return out
}

// unreachableTargets returns dead and unverified hosts to try, in rotation. If
// fewer than Config.Neighbours targets are selected, it returns as many as
// bring them up to that number. Otherwise it returns one: an unverified host
// in any round, or a dead one in every third.
func (g *View) unreachableTargets(selected int) []*peer {
	if len(g.unreachable) == 0 {
		return nil
	}
	count := max(g.cfg.Neighbours-selected, 0)
	if count == 0 {
		p := g.unreachable[g.nextUnreachable%len(g.unreachable)]
		if p.dead && g.rounds%3 != 0 {
			return nil
		}
		count = 1
	}
	var out []*peer
	for range min(count, len(g.unreachable)) {
		out = append(out, g.unreachable[g.nextUnreachable%len(g.unreachable)])
		g.nextUnreachable++
	}
	return out
}

// refreshNeighbours chooses the neighbours again after a change and monitors
// them.
func (g *View) refreshNeighbours(now time.Duration) {
	if !g.neighboursStale {
		return
	}
	g.neighboursStale = false
	g.neighbours = g.neighboursOf(g.self, g.hash)
	for _, p := range g.neighbours {
		m := g.monitors[p.host.Name]
		if m == nil {
			g.monitors[p.host.Name] = &monitor{peer: p, lastHeard: now}
			continue
		}
		m.expiresAt = 0
	}
}

// isNeighbourOf reports whether p has this host as a neighbour, according to
// this view.
func (g *View) isNeighbourOf(p *peer) bool {
	self := &peer{host: g.self, hash: g.hash, verified: true}
	return slices.Contains(g.rankNeighbours(p.host, p.hash, self), self)
}

// Neighbours returns the hosts that a host exchanges heartbeats with
// according to this view: up to Config.LocalNeighbours hosts of its own domain with the
// highest rendezvous hashing scores, the rest from other domains, each from a
// different one as far as there are enough. The cost grows with the number of
// domains and the size of one domain, not with the number of hosts.
func (g *View) Neighbours(h core.Host) []core.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []core.Host
	for _, p := range g.neighboursOf(h, xxhash.Sum64String(string(h.Name))) {
		out = append(out, p.host)
	}
	return out
}

func (g *View) neighboursOf(h core.Host, hash uint64) []*peer {
	return g.rankNeighbours(h, hash, nil)
}

// rankNeighbours computes the neighbours of a host as if extra were a peer
// too, unless it is nil.
func (g *View) rankNeighbours(h core.Host, hash uint64, extra *peer) []*peer {
	peersIn := func(d core.DomainID) []*peer {
		if extra != nil && extra.host.Domain == d {
			return append(slices.Clip(g.peersByDomain[d]), extra)
		}
		return g.peersByDomain[d]
	}
	out := topPeers(hash, peersIn(h.Domain), h.Name, g.cfg.LocalNeighbours)
	var domains []scored
	for d := range g.peersByDomain {
		if d != h.Domain {
			domains = append(domains, scored{score: hashPair(hash, xxhash.Sum64String(string(d))), domain: d})
		}
	}
	if extra != nil && extra.host.Domain != h.Domain && len(g.peersByDomain[extra.host.Domain]) == 0 {
		d := extra.host.Domain
		domains = append(domains, scored{score: hashPair(hash, xxhash.Sum64String(string(d))), domain: d})
	}
	sortScored(domains)
	for depth := 1; len(out) < g.cfg.Neighbours; depth++ {
		before := len(out)
		for _, d := range domains {
			picks := topPeers(hash, peersIn(d.domain), h.Name, depth)
			if len(picks) == depth && len(out) < g.cfg.Neighbours {
				out = append(out, picks[depth-1])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

type scored struct {
	score  uint64
	domain core.DomainID
	peer   *peer
}

func sortScored(s []scored) {
	slices.SortFunc(s, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		if a.score < b.score {
			return 1
		}
		return 0
	})
}

// topPeers returns up to n verified peers that are not dead, with the highest
// scores first.
func topPeers(hash uint64, peers []*peer, exclude core.HostID, n int) []*peer {
	var top []scored
	for _, p := range peers {
		if p.dead || !p.verified || p.host.Name == exclude {
			continue
		}
		s := scored{score: hashPair(hash, p.hash), peer: p}
		if len(top) == n && s.score <= top[n-1].score {
			continue
		}
		if len(top) < n {
			top = append(top, s)
		} else {
			top[n-1] = s
		}
		for i := len(top) - 1; i > 0 && top[i].score > top[i-1].score; i-- {
			top[i], top[i-1] = top[i-1], top[i]
		}
	}
	out := make([]*peer, 0, len(top)+n)
	for _, s := range top {
		out = append(out, s.peer)
	}
	return out
}

func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
