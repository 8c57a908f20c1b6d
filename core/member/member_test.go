package member_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"azurering/core"
	"azurering/core/member"
)

func init() {
	// A fixed seed makes runs reproducible; the flags still override it.
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Guards against a fleet whose hosts do not find each other from the
// platform's list alone.
func TestFleetConvergesFromRoster(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {1, 2}, {6, 2}, {10, 10}} {
		f := newFleet(t, size[0], size[1], 1)
		took := f.converge(anyPair, 40)
		t.Logf("%d hosts in %d domains: %d s", size[0]*size[1], size[0], took)
		require.Less(t, took, 40, "%v", size)
		f.run(10)
		for _, n := range f.nodes {
			targets := n.group.Tick(f.timer.Now() + time.Second).Targets
			require.GreaterOrEqual(t, len(targets), min(4, len(f.nodes)-1), "%s lacks neighbours", n.name)
		}
	}
}

// Guards against hosts that keep the neighbours they chose while most of the
// platform's list was still unverified. Some hosts would then watch only one
// other, and a domain would not watch its own hosts.
func TestBeatsReachAllNeighbours(t *testing.T) {
	f := newFleet(t, 6, 4, 1)
	f.run(20)
	for _, n := range f.nodes {
		f.timer.Advance(time.Second)
		targets := n.group.Tick(f.timer.Now()).Targets
		for _, neighbour := range n.group.Neighbours(n.group.Self()) {
			require.Contains(t, targets, neighbour, "%s sends no heartbeat to its neighbour", n.name)
		}
	}
}

// Guards against a dead host that stays live in some view.
func TestDeathDetectedWithinBound(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, 6, 2, seed)
		f.run(20)
		f.nodes[seed].down = true
		require.LessOrEqual(t, f.converge(anyPair, 30), 8, "seed %d: still live somewhere", seed)
		for f.timer.Now() < 32*time.Second {
			f.step()
		}
		// Observers need 3 s of silence and 3 s to confirm, each rounded up
		// to the next tick. Other hosts then wait 3 s for a refutation, also
		// rounded up.
		for _, n := range f.nodes {
			if !n.down {
				require.Equal(t, core.HostDead, n.stateOf(f.nodes[seed].name), "seed %d %s", seed, n.name)
			}
		}
	}
}

// Guards against a host that, after a pause of its own, takes the silence for
// the failure of others.
func TestPausedHostSuspectsNobody(t *testing.T) {
	for _, pause := range []int{2, 3, 5, 8, 40} {
		f := newFleet(t, 6, 2, 3)
		f.run(20)
		n := f.nodes[4]
		for _, other := range f.nodes {
			clear(other.changes)
		}
		n.paused = true
		f.run(pause)
		n.paused = false
		f.step()
		require.Zero(t, n.changes[core.HostDead], "pause %d: the paused host declared others dead", pause)
		if pause < 30 {
			require.Zero(t, n.changes[core.HostSuspect], "pause %d: the paused host suspected others", pause)
		}
		require.Less(t, f.converge(anyPair, 30), 30, "pause %d", pause)
		for _, other := range f.nodes {
			if other != n {
				require.Equal(t, core.HostLive, n.stateOf(other.name))
			}
		}
	}
}

// Guards against views that stay split after a partition of a fleet in which
// most hosts do not contact each other.
func TestLargeFleetHealsAfterPartition(t *testing.T) {
	f := newFleet(t, 10, 12, 3)
	f.run(60)
	side := func(n *node) bool { return n.domain < "domain-05" }
	f.partitioned = func(a, b *node) bool { return side(a) != side(b) }
	f.run(100)
	f.partitioned = func(_, _ *node) bool { return false }
	took := f.converge(anyPair, 60)
	t.Logf("120 hosts cut in halves: healed in %d s", took)
	require.Less(t, took, 30)
}

// Guards against a host that misses a death during its long pause, a death
// that only the observers learn of, and a restarted host that learns only of
// the hosts it contacts.
func TestLargeFleetConverges(t *testing.T) {
	f := newFleet(t, 5, 20, 17)
	f.run(45)
	f.nodes[7].paused = true
	f.run(12)
	f.nodes[50].down = true
	f.run(20)
	for _, n := range f.nodes {
		if !n.down && !n.paused {
			require.Equal(t, core.HostDead, n.stateOf(f.nodes[50].name), n.name)
		}
	}
	f.run(120)
	f.nodes[7].paused = false
	f.run(15)
	require.NotEqual(t, core.HostLive, f.nodes[7].stateOf(f.nodes[50].name))
	require.Zero(t, f.wrongEntries(anyPair))
	f.start(f.nodes[50])
	f.nodes[50].group.AddCandidates(f.timer.Now(), f.roster()[60:61])
	require.Less(t, f.converge(anyPair, 20), 20)
}

// Guards against a death verdict by a single observer: a host that loses its
// link to one other host must stay alive for everyone.
func TestBrokenLinkDeclaresNobodyDead(t *testing.T) {
	f := newFleet(t, 6, 2, 5)
	f.run(20)
	x := f.nodes[0]
	for _, y := range f.nodes[1:] {
		for _, other := range f.nodes {
			clear(other.changes)
		}
		f.partitioned = func(a, b *node) bool { return a == x && b == y || a == y && b == x }
		f.run(30)
		for _, n := range f.nodes {
			require.Zero(t, n.changes[core.HostDead], "%s declared a host dead; broken link %s-%s", n.name, x.name, y.name)
		}
	}
}

// Guards against views that stay split after a partition. Cuts are shorter
// and longer than the time for which changes are gossiped, and a host dies
// meanwhile.
func TestViewsConvergeAfterPartition(t *testing.T) {
	cuts := map[string]func(n *node) bool{
		"half":   func(n *node) bool { return n.domain < "domain-03" },
		"domain": func(n *node) bool { return n.domain == "domain-02" },
		"host":   func(n *node) bool { return n.name == "entry-01-001" },
	}
	for name, side := range cuts {
		for _, seconds := range []int{10, 45, 300} {
			f := newFleet(t, 6, 2, 7)
			f.run(20)
			f.partitioned = func(a, b *node) bool { return side(a) != side(b) }
			f.run(seconds)
			if seconds > 40 {
				require.Zero(t, f.wrongEntries(func(a, b *node) bool { return side(a) == side(b) }), "%s cut %d s: a view differs from the hosts of its own side", name, seconds)
			}
			f.nodes[11].down = true
			f.partitioned = func(_, _ *node) bool { return false }
			took := f.converge(anyPair, 60)
			t.Logf("%s cut %d s: healed in %d s", name, seconds, took)
			require.Less(t, took, 60, "%s cut %d s", name, seconds)
		}
	}
}

// Guards against a live host that is declared dead because messages are lost,
// and against a dead host that is not.
func TestLossyLinksDeclareOnlyDeadHosts(t *testing.T) {
	for _, loss := range []float64{0.01, 0.05, 0.10} {
		for seed := range uint64(3) {
			f := newFleet(t, 6, 2, seed)
			f.run(20)
			f.lossRate = loss
			for _, n := range f.nodes {
				clear(n.changes)
			}
			f.run(300)
			dead := 0
			for _, n := range f.nodes {
				dead += n.changes[core.HostDead]
			}
			require.Zero(t, dead, "loss %v seed %d", loss, seed)
			f.nodes[3].down = true
			f.run(20)
			for _, n := range f.nodes {
				if !n.down {
					require.Equal(t, core.HostDead, n.stateOf(f.nodes[3].name), "loss %v seed %d", loss, seed)
				}
			}
		}
	}
}

// Guards against a leave, a return or a restart that other hosts do not learn
// of, and against a dead host that stale gossip adds again.
func TestLeaveAndRestartSpread(t *testing.T) {
	f := newFleet(t, 6, 2, 9)
	f.run(20)
	f.nodes[1].group.Leave(f.timer.Now())
	f.run(8)
	for _, n := range f.nodes {
		if n != f.nodes[1] {
			require.Equal(t, core.HostLeaving, n.stateOf(f.nodes[1].name))
		}
	}
	f.nodes[1].group.CancelLeave(f.timer.Now())
	f.run(8)
	require.Zero(t, f.wrongEntries(anyPair), "a host that returns must be live everywhere")
	f.nodes[1].group.Leave(f.timer.Now())
	f.run(8)
	f.nodes[1].down = true
	f.nodes[2].paused = true
	for _, n := range f.nodes {
		n.group.AddCandidates(f.timer.Now(), nil)
	}
	f.run(3600 + 100)
	require.Empty(t, f.nodes[5].stateOf(f.nodes[1].name), "a dead host was not forgotten")
	// The host that was paused for an hour still lists the dead one as alive.
	f.nodes[2].paused = false
	f.run(60)
	for _, n := range f.nodes {
		if n != f.nodes[1] {
			require.NotEqual(t, core.HostLive, n.stateOf(f.nodes[1].name), n.name)
		}
	}
	f.start(f.nodes[1])
	f.nodes[1].group.AddCandidates(f.timer.Now(), f.roster())
	require.Less(t, f.converge(anyPair, 40), 40)
}

// Guards against the platform's list deciding which hosts are alive.
func TestRosterDoesNotDecideLiveness(t *testing.T) {
	f := newFleet(t, 6, 2, 11)
	f.run(20)
	for _, n := range f.nodes {
		n.group.AddCandidates(f.timer.Now(), []core.Host{{Name: "ghost", Domain: "domain-00", State: core.HostLive}})
	}
	f.byName["ghost"] = &node{name: "ghost", domain: "domain-00", down: true, group: member.New(member.Config{})}
	f.run(20)
	require.Zero(t, f.wrongEntries(anyPair), "hosts missing from the list must stay alive")
	for _, n := range f.nodes {
		require.Equal(t, core.HostSuspect, n.stateOf("ghost"))
	}
}

// Guards against a domain whose hosts fail together, so that few of their
// observers are left, and stay live in some view.
func TestDomainFailureDetected(t *testing.T) {
	f := newFleet(t, 5, 20, 13)
	f.run(30)
	for _, n := range f.nodes {
		n.down = n.domain == "domain-01"
	}
	took := f.converge(anyPair, 60)
	t.Logf("20 hosts of one domain dead in all views after %d s", took)
	require.Less(t, took, 40)
}

// Guards against neighbour links that leave the fleet disconnected, and
// against a number of neighbours that grows with the fleet.
func TestOverlayConnected(t *testing.T) {
	for _, size := range [][2]int{{6, 2}, {3, 4}, {12, 1}, {2, 50}, {54, 106}} {
		hosts := staticHosts(size[0], size[1])
		viewer := member.New(member.Config{Self: core.Host{Name: "viewer", Domain: "elsewhere"}})
		viewer.Merge(0, "", hosts)
		links := make(map[core.HostID][]core.HostID)
		for _, self := range hosts {
			out := viewer.Neighbours(self)
			require.Len(t, out, 4)
			remote := 0
			for _, h := range out {
				links[self.Name] = append(links[self.Name], h.Name)
				links[h.Name] = append(links[h.Name], self.Name)
				if h.Domain != self.Domain {
					remote++
				}
			}
			require.Positive(t, remote)
			require.Equal(t, min(3, size[1]-1), 4-remote, "neighbours of the own domain are preferred")
		}
		seen := map[core.HostID]bool{hosts[0].Name: true}
		queue := []core.HostID{hosts[0].Name}
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			for _, h := range links[next] {
				if !seen[h] {
					seen[h] = true
					queue = append(queue, h)
				}
			}
		}
		require.Len(t, seen, len(hosts), "%v", size)
	}
}

func staticHosts(domains, perDomain int) []core.Host {
	var hosts []core.Host
	for d := range domains {
		for h := range perDomain {
			hosts = append(hosts, core.Host{
				Name: core.HostID(fmt.Sprintf("entry-%02d-%03d", d, h)), Domain: core.DomainID(fmt.Sprintf("domain-%02d", d)),
				Incarnation: 1, State: core.HostLive, CallerAddress: "10.0.0.1:7000", PeerAddress: "10.0.0.1:7001",
			})
		}
	}
	return hosts
}

// Guards against combinations of faults after which views stay wrong: once
// the faults end, all views must agree with the truth.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3, 4, rapid.Uint64().Draw(t, "seed"))
		f.run(15)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			n := f.nodes[rapid.IntRange(0, 11).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"kill", "pause", "cut", "loss", "restart"}).Draw(t, "fault") {
			case "kill":
				n.down = true
			case "pause":
				n.paused = true
			case "cut":
				f.partitioned = func(a, b *node) bool { return (a.domain == n.domain) != (b.domain == n.domain) }
			case "loss":
				f.lossRate = 0.1
			case "restart":
				f.start(n)
				n.group.AddCandidates(f.timer.Now(), f.roster())
			}
			f.run(rapid.IntRange(1, 70).Draw(t, "seconds"))
		}
		f.partitioned, f.lossRate = func(_, _ *node) bool { return false }, 0
		for _, n := range f.nodes {
			n.paused = false
		}
		if f.converge(anyPair, 120) == 120 {
			t.Fatalf("%d entries are wrong 120 s after the last fault", f.wrongEntries(anyPair))
		}
	})
}
