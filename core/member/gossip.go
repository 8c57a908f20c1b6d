package member

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"azurering/core"
)

// One heartbeat in repairEvery also carries the record of one member, in
// rotation, although it has not changed. This repairs differences between
// views that lost heartbeats have caused.
const repairEvery = 4

// maxSuspicions is the maximum number of this host's suspicions in one
// heartbeat.
const maxSuspicions = 24

// update is a change that is still gossiped.
type update struct {
	host      core.HostID
	sendCount int
	queuedAt  time.Duration
}

// transfer tracks the transfer of the whole view to a joining host.
type transfer struct {
	next, remaining int
	viewVersion     int // of the view when the transfer began
}

// retransmitLimit is the number of heartbeats that carry one change. The
// number of rounds until a change has reached all hosts grows with the
// logarithm of their number.
func (g *View) retransmitLimit() int { return 3 * bits.Len(uint(len(g.peerList)+1)) }

func (g *View) enqueue(now time.Duration, host core.HostID, sendCount int) {
	if e := g.updateByHost[host]; e != nil {
		g.updates.Remove(e)
	}
	g.updateByHost[host] = g.updates.PushFront(&update{host: host, sendCount: sendCount, queuedAt: now})
}

func (g *View) joining(now time.Duration) bool { return now < g.joinUntil }

// NewHeartbeat returns a heartbeat, or the answer to one, for the host to. It sets
// only the fields about membership and counts as one transmission of the
// changes in it. If to is empty, the heartbeat contains nothing specific to a
// receiver.
func (g *View) NewHeartbeat(now time.Duration, to core.HostID) core.Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := core.Heartbeat{Host: g.self, Joining: g.joining(now)}
	if p := g.peers[to]; p != nil {
		if h, ok := p.refutationRequest(); ok {
			b.Members = append(b.Members, h)
		}
	}
	b.Members = g.appendUpdates(now, b.Members)
	b.Members = g.appendTransfer(b.Members, to)
	g.heartbeatCount++
	if g.heartbeatCount%repairEvery == 0 && len(g.peerList) > 0 {
		g.nextRepair++
		if h, ok := g.peerList[g.nextRepair%len(g.peerList)].gossipRecord(); ok {
			b.Members = append(b.Members, h)
		}
	}
	b.Suspects = g.suspicions(to)
	return b
}

// refutationRequest returns a record that makes a peer raise its incarnation:
// a report of its death, or an incarnation higher than its own.
func (p *peer) refutationRequest() (core.Host, bool) {
	h := p.host
	switch {
	case p.dead && p.verified:
		h.State = core.HostDead
	case p.deathReported:
		h.State, h.Incarnation = core.HostDead, p.reportedIncarnation
	case p.contacted && p.contactIncarnation < p.host.Incarnation:
		h.State = p.declaredState
	default:
		return core.Host{}, false
	}
	return h, true
}

// gossipRecord returns the peer's record as other hosts may receive it, or
// false if the entry is unverified. Suspicions are sent separately.
func (p *peer) gossipRecord() (core.Host, bool) {
	h := p.host
	h.State = p.declaredState
	if p.dead {
		h.State = core.HostDead
	}
	if p.deathPending() && !p.dead {
		h.State, h.Incarnation = core.HostDead, p.reportedIncarnation
	}
	return h, p.verified
}

// appendUpdates adds the changes that are due and drops those that were sent
// often enough or are older than Config.GossipFor.
func (g *View) appendUpdates(now time.Duration, members []core.Host) []core.Host {
	for range min(g.cfg.MaxUpdates, g.updates.Len()) {
		e := g.updates.Front()
		if e == nil {
			break
		}
		n := e.Value.(*update)
		h, ok := g.self, true
		if n.host != g.self.Name {
			p := g.peers[n.host]
			ok = p != nil
			if ok {
				h, ok = p.gossipRecord()
			}
		}
		n.sendCount++
		if ok {
			members = append(members, h)
		}
		if !ok || n.sendCount >= g.retransmitLimit() || now-n.queuedAt > g.cfg.GossipFor {
			g.updates.Remove(e)
			delete(g.updateByHost, n.host)
			continue
		}
		g.updates.MoveToBack(e)
	}
	return members
}

// appendTransfer adds the next part of the whole view for a joining host.
func (g *View) appendTransfer(members []core.Host, to core.HostID) []core.Host {
	t := g.transfers[to]
	if t == nil {
		return members
	}
	for n := 0; n < g.cfg.TransferBatch && t.remaining > 0 && len(g.peerList) > 0; n++ {
		t.remaining--
		t.next++
		if h, ok := g.peerList[t.next%len(g.peerList)].gossipRecord(); ok {
			members = append(members, h)
		}
	}
	return members
}

// updateTransfer starts or ends the transfer of the whole view to a host.
func (g *View) updateTransfer(h core.Host, joining bool) {
	if !joining {
		delete(g.transfers, h.Name)
		return
	}
	t := g.transfers[h.Name]
	if t != nil && (t.remaining > 0 || t.viewVersion == g.viewVersion) {
		return
	}
	// Senders start at random places, so that together they cover the view
	// sooner.
	start := 0
	if len(g.peerList) > 0 {
		start = g.random.IntN(len(g.peerList))
	}
	g.transfers[h.Name] = &transfer{next: start, remaining: len(g.peerList), viewVersion: g.viewVersion}
}

// suspicions returns this host's own suspicions, and all suspicions about the
// receiver so that it can refute them.
func (g *View) suspicions(to core.HostID) []core.Suspicion {
	var out []core.Suspicion
	for _, name := range slices.Sorted(maps.Keys(g.suspects)) {
		p := g.suspects[name]
		if name == to {
			for _, by := range slices.Sorted(maps.Keys(p.suspectedBy)) {
				out = append(out, core.Suspicion{Host: name, Incarnation: p.host.Incarnation, Reporter: by})
			}
			continue
		}
		if _, suspectedBySelf := p.suspectedBy[g.self.Name]; suspectedBySelf && len(out) < maxSuspicions {
			out = append(out, core.Suspicion{Host: name, Incarnation: p.host.Incarnation, Reporter: g.self.Name})
		}
	}
	return out
}

// HandleHeartbeat processes a heartbeat or the answer to one: it calls Merge,
// RecordContact and MergeSuspicions and records whether the sender is joining.
func (g *View) HandleHeartbeat(now time.Duration, b core.Heartbeat) {
	if b.Host.Name == "" || b.Host.Name == g.cfg.Self.Name {
		return
	}
	g.Merge(now, b.Host.Name, b.Members)
	g.RecordContact(now, b.Host)
	g.MergeSuspicions(now, b.Host.Name, b.Suspects)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateTransfer(b.Host, b.Joining)
}
