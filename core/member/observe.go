package member

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// recruits bounds the observations that a host begins because of other
// hosts' suspicions, and extras the heartbeats beyond the neighbours. Both
// keep the cost flat when a whole domain fails at once.
const (
	recruits = 16
	extras   = 24
)

// observe adds this host's own suspicions.
func (g *View) observe(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(g.watch)) {
		w := g.watch[name]
		p := w.peer
		if p.dead || w.till > 0 && now > w.till {
			delete(g.watch, name)
			continue
		}
		if _, own := p.votes[g.self.Name]; own || !p.verified || now-w.heard < g.cfg.SuspectAfter {
			continue
		}
		p.vote(now, g.self.Name)
		g.settle(now, p)
	}
}

// judge declares hosts dead.
func (g *View) judge(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(g.open)) {
		p := g.open[name]
		for by, at := range p.votes {
			if by != g.self.Name && now-at > g.cfg.SuspectAfter+g.cfg.ConfirmAfter {
				delete(p.votes, by)
			}
		}
		if p.pending() && now-p.claimedAt >= g.cfg.ConfirmAfter {
			g.bury(now, p, true)
			continue
		}
		at, own := p.votes[g.self.Name]
		switch {
		case !own || now-at < g.cfg.ConfirmAfter:
			g.settle(now, p)
		case len(p.votes) > 1:
			g.bury(now, p, true)
			g.enqueue(now, name, 0)
		case g.alone(now, p):
			// The verdict of a single observer stays on this host.
			g.bury(now, p, false)
		default:
			g.settle(now, p)
		}
	}
}

// alone reports whether this host hears nobody else who could observe p.
func (g *View) alone(now time.Duration, p *peer) bool {
	for _, w := range g.watch {
		if w.peer != p && g.fresh(now, w.peer) {
			return false
		}
	}
	return true
}

func (g *View) bury(now time.Duration, p *peer, verified bool) {
	p.dead, p.lostAt, p.verified = true, now, verified
	if p.claimed {
		p.host.Incarnation = max(p.host.Incarnation, p.claim)
	}
	p.claimed = false
	clear(p.votes)
	delete(g.watch, p.host.Name)
	g.settle(now, p)
}

// observed updates the observation of a peer that was heard.
func (g *View) observed(now time.Duration, p *peer) {
	name := p.host.Name
	w := g.watch[name]
	if w == nil {
		if g.chosenBy(p) {
			g.watch[name] = &watched{peer: p, heard: now}
		}
		return
	}
	w.heard = now
	if w.probed && w.till == 0 && !slices.Contains(g.targets, p) && !g.chosenBy(p) {
		delete(g.watch, name)
		return
	}
	w.probed = false
}

// MergeSuspicions takes in the suspicions that another host sent.
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
		g.suspected(now, from, s)
	}
}

func (g *View) suspected(now time.Duration, from core.HostID, s core.Suspicion) {
	p := g.peers[s.Host]
	if p == nil || p.dead || !p.verified {
		return
	}
	if s.Incarnation < p.host.Incarnation {
		// The sender missed the refutation: pass it on a few times.
		g.enqueue(now, s.Host, g.limit()-2*g.cfg.Neighbours)
		return
	}
	if s.Reporter != from {
		return
	}
	p.vote(now, s.Reporter)
	g.settle(now, p)
	if g.watch[s.Host] != nil || g.recruited() >= recruits {
		return
	}
	till := now + 2*(g.cfg.SuspectAfter+g.cfg.ConfirmAfter)
	g.watch[s.Host] = &watched{peer: p, heard: now, till: till}
}

func (g *View) recruited() int {
	n := 0
	for _, w := range g.watch {
		if w.till > 0 {
			n++
		}
	}
	return n
}

// beatTargets returns whom to send a heartbeat to: the neighbours, watched
// hosts that have been silent, suspects with their other observers, and
// now and then a host that was lost or is only listed.
func (g *View) beatTargets(now time.Duration) []core.Host {
	g.chooseTargets(now)
	picked := make(map[core.HostID]bool, len(g.targets)+4)
	var out []core.Host
	add := func(p *peer) {
		if p == nil || picked[p.host.Name] {
			return
		}
		picked[p.host.Name] = true
		out = append(out, p.host)
	}
	for _, p := range g.targets {
		add(p)
	}
	limit := len(out) + extras
	for _, name := range slices.Sorted(maps.Keys(g.watch)) {
		w := g.watch[name]
		if len(out) >= limit || now-w.heard < g.cfg.Interval*3/2 || picked[name] {
			continue
		}
		w.probed = true
		add(w.peer)
	}
	for _, name := range slices.Sorted(maps.Keys(g.open)) {
		p := g.open[name]
		if _, own := p.votes[g.self.Name]; !own || len(out) >= limit {
			continue
		}
		for _, other := range g.neighbours(p.host, p.hash) {
			add(other)
		}
	}
	for _, p := range g.lostTargets(len(out)) {
		add(p)
	}
	return out
}

// lostTargets returns candidates that are not alive in this view, in
// rotation: one listed candidate a round or one dead host every third
// round, and as many as are missing to the number of neighbours.
func (g *View) lostTargets(have int) []*peer {
	if len(g.lost) == 0 {
		return nil
	}
	want := max(g.cfg.Neighbours-have, 0)
	if want == 0 {
		p := g.lost[g.lostNext%len(g.lost)]
		if p.dead && g.rounds%3 != 0 {
			return nil
		}
		want = 1
	}
	var out []*peer
	for range min(want, len(g.lost)) {
		out = append(out, g.lost[g.lostNext%len(g.lost)])
		g.lostNext++
	}
	return out
}

func (g *View) chooseTargets(now time.Duration) {
	if !g.stale {
		return
	}
	g.stale = false
	g.targets = g.neighbours(g.self, g.hash)
	for _, p := range g.targets {
		w := g.watch[p.host.Name]
		if w == nil {
			g.watch[p.host.Name] = &watched{peer: p, heard: now}
			continue
		}
		w.till = 0
	}
}

// chosenBy reports whether p has this host as a neighbour, in this view.
func (g *View) chosenBy(p *peer) bool {
	self := &peer{host: g.self, hash: g.hash, verified: true}
	return slices.Contains(g.ranked(p.host, p.hash, self), self)
}

// Neighbours returns the hosts that a host exchanges heartbeats with in
// this view: up to Near hosts of its own domain with the highest scores, the
// rest from other domains, each from a different one as far as there are
// enough. The cost grows with the number of domains and the size of one
// domain, not with the number of hosts.
func (g *View) Neighbours(h core.Host) []core.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []core.Host
	for _, p := range g.neighbours(h, xxhash.Sum64String(string(h.Name))) {
		out = append(out, p.host)
	}
	return out
}

func (g *View) neighbours(h core.Host, hash uint64) []*peer {
	return g.ranked(h, hash, nil)
}

// ranked computes neighbours with an additional member, unless it is nil.
func (g *View) ranked(h core.Host, hash uint64, self *peer) []*peer {
	of := func(d core.DomainID) []*peer {
		if self != nil && self.host.Domain == d {
			return append(slices.Clip(g.domains[d]), self)
		}
		return g.domains[d]
	}
	out := best(hash, of(h.Domain), h.Name, g.cfg.LocalNeighbours)
	var domains []scored
	for d := range g.domains {
		if d != h.Domain {
			domains = append(domains, scored{score: mix(hash, xxhash.Sum64String(string(d))), domain: d})
		}
	}
	if self != nil && self.host.Domain != h.Domain && len(g.domains[self.host.Domain]) == 0 {
		d := self.host.Domain
		domains = append(domains, scored{score: mix(hash, xxhash.Sum64String(string(d))), domain: d})
	}
	sortScored(domains)
	for depth := 1; len(out) < g.cfg.Neighbours; depth++ {
		before := len(out)
		for _, d := range domains {
			picks := best(hash, of(d.domain), h.Name, depth)
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

// best returns the n reachable peers with the highest scores.
func best(hash uint64, peers []*peer, except core.HostID, n int) []*peer {
	var top []scored
	for _, p := range peers {
		if p.dead || !p.verified || p.host.Name == except {
			continue
		}
		s := scored{score: mix(hash, p.hash), peer: p}
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

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
