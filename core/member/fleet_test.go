package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"azurering/core"
	"azurering/core/member"
	"azurering/core/timer"
)

// fleet runs views in virtual time over a simulated network with message
// loss and partitions.
type fleet struct {
	timer    *timer.Manual
	random   *rand.Rand
	nodes    []*node
	byName   map[core.HostID]*node
	lossRate float64
	// partitioned reports whether two hosts cannot reach each other.
	partitioned func(a, b *node) bool
	messages    int
	bytes       int
	measure     bool
	encMode     cbor.EncMode
}

type node struct {
	name   core.HostID
	domain core.DomainID
	group  *member.View
	down   bool
	paused bool
	starts uint64
	// changes counts, by new state, the changes in this host's view.
	changes map[core.HostState]int
}

func newFleet(tb interface{ Helper() }, domains, perDomain int, seed uint64) *fleet {
	tb.Helper()
	f := &fleet{
		timer: timer.NewManual(), random: rand.New(rand.NewPCG(seed, 1)),
		byName: make(map[core.HostID]*node), partitioned: func(_, _ *node) bool { return false },
	}
	f.encMode, _ = cbor.CanonicalEncOptions().EncMode()
	for d := range domains {
		for h := range perDomain {
			n := &node{name: core.HostID(fmt.Sprintf("entry-%02d-%03d", d, h)), domain: core.DomainID(fmt.Sprintf("domain-%02d", d))}
			f.nodes = append(f.nodes, n)
			f.byName[n.name] = n
		}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	for _, n := range f.nodes {
		n.group.AddCandidates(f.timer.Now(), f.roster())
	}
	return f
}

func (f *fleet) roster() []core.Host {
	var all []core.Host
	for _, n := range f.nodes {
		all = append(all, core.Host{Name: n.name, Domain: n.domain, State: core.HostLive, CallerAddress: "127.0.0.1:7000", PeerAddress: "127.0.0.1:7001"})
	}
	return all
}

func (f *fleet) start(n *node) {
	n.starts++
	n.down, n.paused = false, false
	n.changes = make(map[core.HostState]int)
	n.group = member.New(member.Config{Timer: f.timer, Self: core.Host{
		Name: n.name, Domain: n.domain, Incarnation: n.starts * 1000,
		CallerAddress: "127.0.0.1:7000", PeerAddress: "127.0.0.1:7001",
	}})
}

// step advances time by one second, over which the hosts' ticks are spread.
func (f *fleet) step() {
	const slices = 10
	for slice := range slices {
		f.timer.Advance(time.Second / slices)
		for i, n := range f.nodes {
			if i%slices == slice && !n.down && !n.paused {
				f.tick(n)
			}
		}
	}
}

func (f *fleet) run(seconds int) {
	for range seconds {
		f.step()
	}
}

func (f *fleet) tick(n *node) {
	now := f.timer.Now()
	plan := n.group.Tick(now)
	for _, c := range plan.Changes {
		n.changes[c.Host.State]++
	}
	for _, to := range plan.Targets {
		f.exchange(n, f.byName[to.Name])
	}
}

func (f *fleet) exchange(n, to *node) {
	now := f.timer.Now()
	if !f.deliver(n, to, n.group.NewHeartbeat(now, to.name), to.group) {
		return
	}
	f.deliver(to, n, to.group.NewHeartbeat(now, n.name), n.group)
}

func (f *fleet) deliver(from, to *node, b core.Heartbeat, g *member.View) bool {
	f.messages++
	if f.measure {
		raw, _ := f.encMode.Marshal(cborShape(b))
		f.bytes += len(raw)
	}
	if to.down || to.paused || f.partitioned(from, to) || f.random.Float64() < f.lossRate {
		return false
	}
	g.HandleHeartbeat(f.timer.Now(), b)
	return true
}

// cborShape returns the heartbeat as nested arrays, the shape of its compact CBOR
// encoding.
func cborShape(b core.Heartbeat) any {
	host := func(h core.Host) any {
		return []any{string(h.Name), string(h.Domain), h.Incarnation, h.CallerAddress, h.PeerAddress, string(h.State)}
	}
	var members, suspects []any
	for _, h := range b.Members {
		members = append(members, host(h))
	}
	for _, s := range b.Suspects {
		suspects = append(suspects, []any{string(s.Host), s.Incarnation, string(s.Reporter)})
	}
	return []any{"beat", host(b.Host), members, suspects, b.Joining, b.ConfigVersion, b.WithdrawalDigest, int64(b.EvidenceAge), b.EvidenceFresh}
}

func (n *node) stateOf(of core.HostID) core.HostState {
	for _, h := range n.group.Hosts() {
		if h.Name == of {
			return h.State
		}
	}
	return ""
}

// wrongEntries counts the entries of running hosts' views that differ from
// the truth: a host should see exactly the running hosts live for which
// reachable holds.
func (f *fleet) wrongEntries(reachable func(viewer, of *node) bool) int {
	count := 0
	for _, n := range f.nodes {
		if n.down || n.paused {
			continue
		}
		live := make(map[core.HostID]bool)
		for _, h := range n.group.Live("") {
			live[h.Name] = true
		}
		for _, other := range f.nodes {
			expected := !other.down && !other.paused && reachable(n, other)
			if live[other.name] != expected {
				count++
			}
		}
	}
	return count
}

func anyPair(_, _ *node) bool { return true }

// converge runs until all views are right and returns the seconds it took, or
// limit if they are still wrong.
func (f *fleet) converge(reachable func(viewer, of *node) bool, limit int) int {
	for s := range limit {
		if f.wrongEntries(reachable) == 0 {
			return s
		}
		f.step()
	}
	return limit
}
