package member

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"azurering/core"
)

// repairEvery is the number of heartbeats per member that is repeated
// without a change. The slow round over all members repairs what lost
// heartbeats left different.
const repairEvery = 4

// suspectLimit bounds the suspicions in one heartbeat.
const suspectLimit = 24

// news is a change that is still passed on.
type news struct {
	name core.HostID
	sent int
	at   time.Duration
}

// transfer is the whole view on its way to a joining host.
type transfer struct {
	next, left int
	epoch      int // of the view when the transfer began
}

// limit is how many heartbeats carry one change. A change reaches all hosts
// after a number of rounds that grows with the logarithm of their number.
func (g *View) limit() int { return 3 * bits.Len(uint(len(g.order)+1)) }

func (g *View) enqueue(now time.Duration, name core.HostID, sent int) {
	if e := g.queued[name]; e != nil {
		g.recent.Remove(e)
	}
	g.queued[name] = g.recent.PushFront(&news{name: name, sent: sent, at: now})
}

func (g *View) joining(now time.Duration) bool { return now < g.joinTill }

// NewHeartbeat returns a heartbeat, or the answer to one, for the host to. Only the
// fields about membership are filled in. An empty host gives a beat that
// suits everyone.
func (g *View) NewHeartbeat(now time.Duration, to core.HostID) core.Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := core.Heartbeat{Host: g.self, Joining: g.joining(now)}
	if p := g.peers[to]; p != nil {
		if h, ok := p.reminder(); ok {
			b.Members = append(b.Members, h)
		}
	}
	b.Members = g.appendRecent(now, b.Members)
	b.Members = g.appendWindow(b.Members, to)
	g.beats++
	if g.beats%repairEvery == 0 && len(g.order) > 0 {
		g.repair++
		if h, ok := g.order[g.repair%len(g.order)].record(); ok {
			b.Members = append(b.Members, h)
		}
	}
	b.Suspects = g.suspicions(to)
	return b
}

// reminder tells a peer what it must refute: a report of its death, or a
// higher incarnation than its own.
func (p *peer) reminder() (core.Host, bool) {
	h := p.host
	switch {
	case p.dead && p.verified:
		h.State = core.HostDead
	case p.claimed:
		h.State, h.Incarnation = core.HostDead, p.claim
	case p.direct && p.last < p.host.Incarnation:
		h.State = p.declared
	default:
		return core.Host{}, false
	}
	return h, true
}

// record returns what may be told to others about the peer. Suspicions
// travel separately.
func (p *peer) record() (core.Host, bool) {
	h := p.host
	h.State = p.declared
	if p.dead {
		h.State = core.HostDead
	}
	if p.pending() && !p.dead {
		h.State, h.Incarnation = core.HostDead, p.claim
	}
	return h, p.verified
}

func (g *View) appendRecent(now time.Duration, members []core.Host) []core.Host {
	for range min(g.cfg.MaxUpdates, g.recent.Len()) {
		e := g.recent.Front()
		if e == nil {
			break
		}
		n := e.Value.(*news)
		h, ok := g.self, true
		if n.name != g.self.Name {
			p := g.peers[n.name]
			ok = p != nil
			if ok {
				h, ok = p.record()
			}
		}
		n.sent++
		if ok {
			members = append(members, h)
		}
		if !ok || n.sent >= g.limit() || now-n.at > g.cfg.GossipFor {
			g.recent.Remove(e)
			delete(g.queued, n.name)
			continue
		}
		g.recent.MoveToBack(e)
	}
	return members
}

// appendWindow adds the next part of the whole view for a joining host.
func (g *View) appendWindow(members []core.Host, to core.HostID) []core.Host {
	t := g.sync[to]
	if t == nil {
		return members
	}
	for n := 0; n < g.cfg.TransferBatch && t.left > 0 && len(g.order) > 0; n++ {
		t.left--
		t.next++
		if h, ok := g.order[t.next%len(g.order)].record(); ok {
			members = append(members, h)
		}
	}
	return members
}

// welcome begins or ends the transfer of the whole view to a host.
func (g *View) welcome(h core.Host, joining bool) {
	if !joining {
		delete(g.sync, h.Name)
		return
	}
	t := g.sync[h.Name]
	if t != nil && (t.left > 0 || t.epoch == g.epoch) {
		return
	}
	// Helpers start at different places, so that together they cover the
	// view sooner.
	start := 0
	if len(g.order) > 0 {
		start = g.random.IntN(len(g.order))
	}
	g.sync[h.Name] = &transfer{next: start, left: len(g.order), epoch: g.epoch}
}

func (g *View) suspicions(to core.HostID) []core.Suspicion {
	var out []core.Suspicion
	for _, name := range slices.Sorted(maps.Keys(g.open)) {
		p := g.open[name]
		if name == to {
			for _, by := range slices.Sorted(maps.Keys(p.votes)) {
				out = append(out, core.Suspicion{Host: name, Incarnation: p.host.Incarnation, Reporter: by})
			}
			continue
		}
		if _, own := p.votes[g.self.Name]; own && len(out) < suspectLimit {
			out = append(out, core.Suspicion{Host: name, Incarnation: p.host.Incarnation, Reporter: g.self.Name})
		}
	}
	return out
}

// HandleHeartbeat takes in a heartbeat or the answer to one: it calls Merge, Heard
// and Suspected and notes whether the sender is joining.
func (g *View) HandleHeartbeat(now time.Duration, b core.Heartbeat) {
	if b.Host.Name == "" || b.Host.Name == g.cfg.Self.Name {
		return
	}
	g.Merge(now, b.Host.Name, b.Members)
	g.RecordContact(now, b.Host)
	g.MergeSuspicions(now, b.Host.Name, b.Suspects)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.welcome(b.Host, b.Joining)
}
