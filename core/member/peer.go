package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// peer is what this host knows about another one.
type peer struct {
	// host.State is derived from the other fields by updateState.
	host          core.Host
	hash          uint64
	declaredState core.HostState // live or leaving, as the host itself reports
	// verified is false for hosts known only from the platform's list, and
	// for death verdicts that this host is not sure of. An unverified entry
	// yields to a report of the same incarnation.
	verified         bool
	listed           bool // in the platform's last list
	dead             bool
	unreachableSince time.Duration // time when it became dead or unverified
	// deathReported is set if others reported the death of
	// reportedIncarnation.
	deathReported       bool
	reportedIncarnation uint64
	reportedAt          time.Duration
	lastContact         time.Duration // valid if contacted
	contacted           bool
	contactIncarnation  uint64 // incarnation at the last direct contact
	suspectedBy         map[core.HostID]time.Duration
}

// monitor is the observation of one peer by this host.
type monitor struct {
	peer      *peer
	lastHeard time.Duration
	probed    bool // a heartbeat was sent because the peer was silent
	// expiresAt is the end of a temporary monitor, which was started because
	// of another host's suspicion, and zero for other monitors.
	expiresAt time.Duration
}

func (g *View) addPeer(now time.Duration, h core.Host, verified bool) *peer {
	p := &peer{
		host: h, hash: xxhash.Sum64String(string(h.Name)), declaredState: h.State,
		verified: verified, unreachableSince: now,
	}
	if p.declaredState != core.HostLeaving {
		p.declaredState = core.HostLive
	}
	p.host.State = ""
	g.peers[h.Name] = p
	g.peerList = append(g.peerList, p)
	g.peersByDomain[h.Domain] = append(g.peersByDomain[h.Domain], p)
	g.neighboursStale = true
	g.unreachable = nil
	g.updateState(now, p)
	return p
}

func (g *View) removePeer(p *peer) {
	name := p.host.Name
	delete(g.peers, name)
	delete(g.monitors, name)
	delete(g.suspects, name)
	delete(g.transfers, name)
	isPeer := func(other *peer) bool { return other == p }
	g.peerList = slices.DeleteFunc(g.peerList, isPeer)
	g.peersByDomain[p.host.Domain] = slices.DeleteFunc(g.peersByDomain[p.host.Domain], isPeer)
	if len(g.peersByDomain[p.host.Domain]) == 0 {
		delete(g.peersByDomain, p.host.Domain)
	}
	g.neighboursStale = true
	g.unreachable = nil
}

// addSuspicion records the suspicion of an observer.
func (p *peer) addSuspicion(now time.Duration, by core.HostID) {
	if p.suspectedBy == nil {
		p.suspectedBy = make(map[core.HostID]time.Duration)
	}
	p.suspectedBy[by] = now
}

// updateState derives the state of a peer and records a change.
func (g *View) updateState(now time.Duration, p *peer) {
	state := g.computeState(now, p)
	if len(p.suspectedBy) > 0 || p.deathReported && !p.dead {
		g.suspects[p.host.Name] = p
	} else {
		delete(g.suspects, p.host.Name)
	}
	if state == p.host.State {
		return
	}
	previous := p.host.State
	p.host.State = state
	g.changes = append(g.changes, Change{Host: p.host, Previous: previous})
	g.viewVersion++
	g.unreachable = nil
	// Neighbours are chosen among verified hosts that are not dead.
	g.neighboursStale = true
}

func (g *View) computeState(now time.Duration, p *peer) core.HostState {
	switch {
	case p.dead:
		return core.HostDead
	case !p.verified:
		return core.HostSuspect
	case p.deathPending():
		return core.HostSuspect
	}
	if _, suspectedBySelf := p.suspectedBy[g.self.Name]; suspectedBySelf {
		return core.HostSuspect
	}
	if len(p.suspectedBy) > 0 && !g.recentlyHeard(now, p) {
		return core.HostSuspect
	}
	return p.declaredState
}

// deathPending reports whether a death report awaits a refutation. Direct
// contact after the report overrides it.
func (p *peer) deathPending() bool {
	return p.deathReported && (!p.contacted || p.lastContact < p.reportedAt)
}

// recentlyHeard reports whether this host itself heard from the peer within
// Config.SuspectAfter.
func (g *View) recentlyHeard(now time.Duration, p *peer) bool {
	return p.contacted && now-p.lastContact < g.cfg.SuspectAfter
}

// applyRecord applies a record that a peer published about itself. It reports
// whether anything but the incarnation changed.
func (g *View) applyRecord(now time.Duration, p *peer, h core.Host) (changed bool) {
	changed = p.host.CallerAddress != h.CallerAddress || p.host.PeerAddress != h.PeerAddress || p.declaredState != h.State || p.dead || !p.verified || p.deathPending()
	if p.host.Domain != h.Domain {
		g.removePeer(p)
		g.addPeer(now, h, true)
		return true
	}
	if h.Incarnation > p.host.Incarnation {
		clear(p.suspectedBy)
		if m := g.monitors[h.Name]; m != nil {
			m.lastHeard = now
			m.probed = false
		}
	}
	if p.deathReported && h.Incarnation > p.reportedIncarnation {
		p.deathReported = false
	}
	p.host.Incarnation = h.Incarnation
	p.host.CallerAddress, p.host.PeerAddress = h.CallerAddress, h.PeerAddress
	p.declaredState = h.State
	if p.declaredState != core.HostLeaving {
		p.declaredState = core.HostLive
	}
	p.dead = false
	if !p.verified {
		// Unverified hosts are no neighbours, so the choice may change.
		p.verified = true
		g.neighboursStale = true
	}
	g.updateState(now, p)
	return changed
}

// RecordContact records direct contact: a heartbeat of the host or its answer to one.
// This does not undo a death report that other hosts hold. The next heartbeat
// to the host contains the report, and the host refutes it.
func (g *View) RecordContact(now time.Duration, h core.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handleContact(now, h)
}

func (g *View) handleContact(now time.Duration, h core.Host) {
	if h.Name == "" || h.Name == g.self.Name {
		return
	}
	p := g.peers[h.Name]
	changed := p == nil
	if changed {
		p = g.addPeer(now, h, true)
		if t, ok := g.tombstones[h.Name]; ok && t.incarnation >= h.Incarnation {
			p.deathReported, p.reportedIncarnation, p.reportedAt = true, t.incarnation, now
		}
		delete(g.tombstones, h.Name)
	}
	if p.dead && p.verified && h.Incarnation <= p.host.Incarnation+1 && now-g.joinStart >= g.cfg.GossipFor {
		// The host was declared dead but has not restarted: a partition has
		// ended, and other verdicts may be wrong as well.
		g.rejoin(now)
	}
	p.lastContact, p.contacted, p.contactIncarnation = now, true, h.Incarnation
	delete(p.suspectedBy, g.self.Name)
	if h.Incarnation >= p.host.Incarnation {
		if p.dead && h.Incarnation == p.host.Incarnation && p.verified {
			p.deathReported, p.reportedIncarnation, p.reportedAt = true, h.Incarnation, now
		}
		changed = g.applyRecord(now, p, h) || changed
		p = g.peers[h.Name]
		p.lastContact, p.contacted, p.contactIncarnation = now, true, h.Incarnation
	}
	g.updateState(now, p)
	g.updateMonitor(now, p)
	if changed {
		g.enqueue(now, h.Name, 0)
	}
}

// Merge applies membership changes that the host from gossiped. A host that
// includes its own entry asks for it to be gossiped further.
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
		// either, and its own verdicts about them may be wrong.
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
	if p.deathReported && p.reportedIncarnation >= h.Incarnation {
		return
	}
	p.deathReported, p.reportedIncarnation, p.reportedAt = true, h.Incarnation, now
	if g.recentlyHeard(now, p) {
		// This host hears from the peer: it sends the report to the peer and
		// does not gossip it.
		p.lastContact = now
	} else {
		g.relay(now, h.Name)
	}
	g.updateState(now, p)
}

func (g *View) mergeLive(now time.Duration, h core.Host, fromSelf bool) {
	p := g.peers[h.Name]
	if p == nil {
		if t, ok := g.tombstones[h.Name]; ok && t.incarnation >= h.Incarnation {
			return
		}
		delete(g.tombstones, h.Name)
		g.addPeer(now, h, true)
		g.relay(now, h.Name)
		return
	}
	newer := h.Incarnation > p.host.Incarnation
	sameIncarnation := h.Incarnation == p.host.Incarnation
	if newer || sameIncarnation && (!p.verified || h.State == core.HostLeaving && p.declaredState == core.HostLive && !p.dead) {
		if p.deathReported && h.Incarnation <= p.reportedIncarnation {
			return
		}
		// A higher incarnation alone is gossiped only if the host itself sent
		// it, because on lossy links suspicions are refuted all the time.
		if g.applyRecord(now, p, h) || newer && fromSelf {
			g.relay(now, h.Name)
		}
	}
}

// relay gossips what another host reported. A joining host does not, since
// most of what it learns is old.
func (g *View) relay(now time.Duration, name core.HostID) {
	g.lastUpdate = now
	if !g.joining(now) {
		g.enqueue(now, name, 0)
	}
}

// AddCandidates processes the platform's list of hosts, which may be out of date. It
// only adds hosts to contact: a listed host is not taken for alive, and a
// host missing from the list is not taken for dead.
func (g *View) AddCandidates(now time.Duration, hosts []core.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peerList {
		p.listed = false
	}
	for _, h := range hosts {
		if h.Name == "" || h.Name == g.self.Name {
			continue
		}
		p := g.peers[h.Name]
		if p == nil {
			p = g.addPeer(now, h, false)
		} else if !p.verified && !p.dead && p.host.Domain == h.Domain {
			p.host.CallerAddress, p.host.PeerAddress = h.CallerAddress, h.PeerAddress
			if h.State == core.HostLeaving {
				p.declaredState = core.HostLeaving
			}
		}
		p.listed = true
	}
}

// removeExpired removes hosts that have been dead or unverified for
// Config.RetainDead and that the platform no longer lists. A tombstone keeps
// their incarnation for 24 times as long, so that stale gossip does not add
// them again.
func (g *View) removeExpired(now time.Duration) {
	if g.unreachable == nil {
		g.unreachable = make([]*peer, 0, 8)
		for _, p := range g.peerList {
			if p.dead || !p.verified {
				g.unreachable = append(g.unreachable, p)
			}
		}
		g.random.Shuffle(len(g.unreachable), func(i, j int) { g.unreachable[i], g.unreachable[j] = g.unreachable[j], g.unreachable[i] })
	}
	for _, p := range slices.Clone(g.unreachable) {
		// Without neighbours this host keeps all that it could still contact.
		if p.listed || now-p.unreachableSince < g.cfg.RetainDead || len(g.neighbours) == 0 {
			continue
		}
		g.tombstones[p.host.Name] = tombstone{incarnation: p.host.Incarnation, removedAt: now}
		g.removePeer(p)
	}
	if g.rounds%60 != 0 {
		return
	}
	for name, t := range g.tombstones {
		if now-t.removedAt > 24*g.cfg.RetainDead {
			delete(g.tombstones, name)
		}
	}
}
