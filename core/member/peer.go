package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// peer is what this host knows about another one.
type peer struct {
	// host.State is derived by settle from the other fields.
	host     core.Host
	hash     uint64
	declared core.HostState // live or leaving, as the host itself says
	// verified is false for hosts known only from the platform's list, and
	// for verdicts of which this host is not sure. Such an entry yields to a
	// report of the same incarnation.
	verified bool
	listed   bool // in the last list of the platform
	dead     bool
	lostAt   time.Duration // when it became dead or unverified
	// claimed says that others reported the death of incarnation claim.
	claimed   bool
	claim     uint64
	claimedAt time.Duration
	heard     time.Duration // last direct contact, if direct is set
	direct    bool
	last      uint64 // incarnation in the last direct contact
	votes     map[core.HostID]time.Duration
}

// watched is the observation of one peer by this host.
type watched struct {
	peer   *peer
	heard  time.Duration
	probed bool // a heartbeat was sent because of silence
	// till is the end of an observation begun because of another host's
	// suspicion, zero for the others.
	till time.Duration
}

func (g *View) add(now time.Duration, h core.Host, verified bool) *peer {
	p := &peer{
		host: h, hash: xxhash.Sum64String(string(h.Name)), declared: h.State,
		verified: verified, lostAt: now,
	}
	if p.declared != core.HostLeaving {
		p.declared = core.HostLive
	}
	p.host.State = ""
	g.peers[h.Name] = p
	g.order = append(g.order, p)
	g.domains[h.Domain] = append(g.domains[h.Domain], p)
	g.stale = true
	g.lost = nil
	g.settle(now, p)
	return p
}

func (g *View) remove(p *peer) {
	name := p.host.Name
	delete(g.peers, name)
	delete(g.watch, name)
	delete(g.open, name)
	delete(g.sync, name)
	same := func(other *peer) bool { return other == p }
	g.order = slices.DeleteFunc(g.order, same)
	g.domains[p.host.Domain] = slices.DeleteFunc(g.domains[p.host.Domain], same)
	if len(g.domains[p.host.Domain]) == 0 {
		delete(g.domains, p.host.Domain)
	}
	g.stale = true
	g.lost = nil
}

// vote records the suspicion of an observer.
func (p *peer) vote(now time.Duration, by core.HostID) {
	if p.votes == nil {
		p.votes = make(map[core.HostID]time.Duration)
	}
	p.votes[by] = now
}

// settle derives the state of a peer and records a change.
func (g *View) settle(now time.Duration, p *peer) {
	state := g.state(now, p)
	if len(p.votes) > 0 || p.claimed && !p.dead {
		g.open[p.host.Name] = p
	} else {
		delete(g.open, p.host.Name)
	}
	if state == p.host.State {
		return
	}
	was := p.host.State
	p.host.State = state
	g.changes = append(g.changes, Change{Host: p.host, Previous: was})
	g.epoch++
	g.lost = nil
	// Neighbours are chosen among confirmed hosts that are not dead.
	g.stale = true
}

func (g *View) state(now time.Duration, p *peer) core.HostState {
	switch {
	case p.dead:
		return core.HostDead
	case !p.verified:
		return core.HostSuspect
	case p.pending():
		return core.HostSuspect
	}
	if _, own := p.votes[g.self.Name]; own {
		return core.HostSuspect
	}
	if len(p.votes) > 0 && !g.fresh(now, p) {
		return core.HostSuspect
	}
	return p.declared
}

// pending reports whether a death report waits for a refutation. Direct
// contact after the report outweighs it.
func (p *peer) pending() bool {
	return p.claimed && (!p.direct || p.heard < p.claimedAt)
}

// fresh reports whether this host itself heard the peer lately.
func (g *View) fresh(now time.Duration, p *peer) bool {
	return p.direct && now-p.heard < g.cfg.SuspectAfter
}

// adopt takes over what a peer says about itself.
func (g *View) adopt(now time.Duration, p *peer, h core.Host) (news bool) {
	news = p.host.CallerAddress != h.CallerAddress || p.host.PeerAddress != h.PeerAddress || p.declared != h.State || p.dead || !p.verified || p.pending()
	if p.host.Domain != h.Domain {
		g.remove(p)
		g.add(now, h, true)
		return true
	}
	if h.Incarnation > p.host.Incarnation {
		clear(p.votes)
		if w := g.watch[h.Name]; w != nil {
			w.heard = now
			w.probed = false
		}
	}
	if p.claimed && h.Incarnation > p.claim {
		p.claimed = false
	}
	p.host.Incarnation = h.Incarnation
	p.host.CallerAddress, p.host.PeerAddress = h.CallerAddress, h.PeerAddress
	p.declared = h.State
	if p.declared != core.HostLeaving {
		p.declared = core.HostLive
	}
	p.dead = false
	if !p.verified {
		// An unverified host is no neighbour, so the choice may change.
		p.verified = true
		g.stale = true
	}
	g.settle(now, p)
	return news
}

// RecordContact records direct contact: a heartbeat of the host or its answer to
// one. It does not by itself undo a death report that others hold; the
// next heartbeat to the host tells it, and it refutes the report.
func (g *View) RecordContact(now time.Duration, h core.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hear(now, h)
}

func (g *View) hear(now time.Duration, h core.Host) {
	if h.Name == "" || h.Name == g.self.Name {
		return
	}
	p := g.peers[h.Name]
	news := p == nil
	if news {
		p = g.add(now, h, true)
		if t, ok := g.tombs[h.Name]; ok && t.incarnation >= h.Incarnation {
			p.claimed, p.claim, p.claimedAt = true, t.incarnation, now
		}
		delete(g.tombs, h.Name)
	}
	if p.dead && p.verified && h.Incarnation <= p.host.Incarnation+1 && now-g.joinFrom >= g.cfg.GossipFor {
		// The same run of a host declared dead: a partition has ended, and
		// other verdicts may be as wrong as this one.
		g.rejoin(now)
	}
	p.heard, p.direct, p.last = now, true, h.Incarnation
	delete(p.votes, g.self.Name)
	if h.Incarnation >= p.host.Incarnation {
		if p.dead && h.Incarnation == p.host.Incarnation && p.verified {
			p.claimed, p.claim, p.claimedAt = true, h.Incarnation, now
		}
		news = g.adopt(now, p, h) || news
		p = g.peers[h.Name]
		p.heard, p.direct, p.last = now, true, h.Incarnation
	}
	g.settle(now, p)
	g.observed(now, p)
	if news {
		g.enqueue(now, h.Name, 0)
	}
}

// Merge takes in membership changes passed on by another host. A host that
// lists itself asks that its entry be passed on.
func (g *View) Merge(now time.Duration, from core.HostID, hosts []core.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range hosts {
		switch {
		case h.Name == "":
		case h.Name == g.self.Name:
			g.mergeSelf(now, h)
		case h.State == core.HostDead:
			g.mergeDead(now, h)
		case h.State == core.HostLive || h.State == core.HostLeaving:
			g.mergeLive(now, h, h.Name == from)
		}
	}
}

// mergeSelf refutes what others believe about this host.
func (g *View) mergeSelf(now time.Duration, h core.Host) {
	dead := h.State == core.HostDead && h.Incarnation >= g.self.Incarnation
	if !dead && h.Incarnation <= g.self.Incarnation {
		return
	}
	g.self.Incarnation = h.Incarnation + 1
	if dead {
		// Others could not reach this host, so it could not reach them
		// either: its own verdicts about them are not sure.
		g.rejoin(now)
	}
	g.enqueue(now, g.self.Name, 0)
}

func (g *View) mergeDead(now time.Duration, h core.Host) {
	p := g.peers[h.Name]
	if p == nil || h.Incarnation < p.host.Incarnation {
		return
	}
	if p.dead {
		// After a partition both sides repeat their verdicts for a while.
		p.verified = p.verified || !g.joining(now)
		return
	}
	if p.claimed && p.claim >= h.Incarnation {
		return
	}
	p.claimed, p.claim, p.claimedAt = true, h.Incarnation, now
	if g.fresh(now, p) {
		// This host hears the peer: it tells the peer about the report and
		// does not pass the report on.
		p.heard = now
	} else {
		g.relay(now, h.Name)
	}
	g.settle(now, p)
}

func (g *View) mergeLive(now time.Duration, h core.Host, own bool) {
	p := g.peers[h.Name]
	if p == nil {
		if t, ok := g.tombs[h.Name]; ok && t.incarnation >= h.Incarnation {
			return
		}
		delete(g.tombs, h.Name)
		g.add(now, h, true)
		g.relay(now, h.Name)
		return
	}
	newer := h.Incarnation > p.host.Incarnation
	same := h.Incarnation == p.host.Incarnation
	if newer || same && (!p.verified || h.State == core.HostLeaving && p.declared == core.HostLive && !p.dead) {
		if p.claimed && h.Incarnation <= p.claim {
			return
		}
		// A higher incarnation alone is passed on only if the host asks for
		// it: on lossy links suspicions are refuted all the time.
		if g.adopt(now, p, h) || newer && own {
			g.relay(now, h.Name)
		}
	}
}

// relay passes on what another host reported. A joining host doesn't: what
// it learns is mostly old.
func (g *View) relay(now time.Duration, name core.HostID) {
	g.lastNews = now
	if !g.joining(now) {
		g.enqueue(now, name, 0)
	}
}

// AddCandidates takes in the platform's lagging list of hosts. It only adds
// candidates to contact: a listed host is not taken for alive, and a host
// that is missing from the list is not taken for dead.
func (g *View) AddCandidates(now time.Duration, hosts []core.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.order {
		p.listed = false
	}
	for _, h := range hosts {
		if h.Name == "" || h.Name == g.self.Name {
			continue
		}
		p := g.peers[h.Name]
		if p == nil {
			p = g.add(now, h, false)
		} else if !p.verified && !p.dead && p.host.Domain == h.Domain {
			p.host.CallerAddress, p.host.PeerAddress = h.CallerAddress, h.PeerAddress
			if h.State == core.HostLeaving {
				p.declared = core.HostLeaving
			}
		}
		p.listed = true
	}
}

// forget drops hosts that have been dead, or unconfirmed, for a long time.
// Their incarnation is kept for a day, so that stale reports don't bring
// them back.
func (g *View) forget(now time.Duration) {
	if g.lost == nil {
		g.lost = make([]*peer, 0, 8)
		for _, p := range g.order {
			if p.dead || !p.verified {
				g.lost = append(g.lost, p)
			}
		}
		g.random.Shuffle(len(g.lost), func(i, j int) { g.lost[i], g.lost[j] = g.lost[j], g.lost[i] })
	}
	for _, p := range slices.Clone(g.lost) {
		// A host without neighbours keeps all whom it could still contact.
		if p.listed || now-p.lostAt < g.cfg.RetainDead || len(g.targets) == 0 {
			continue
		}
		g.tombs[p.host.Name] = tomb{incarnation: p.host.Incarnation, at: now}
		g.remove(p)
	}
	if g.rounds%60 != 0 {
		return
	}
	for name, t := range g.tombs {
		if now-t.at > 24*g.cfg.RetainDead {
			delete(g.tombs, name)
		}
	}
}
