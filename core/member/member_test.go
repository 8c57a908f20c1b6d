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
	// A fixed seed makes runs repeatable; the flags still override it.
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// Guards against a fleet that cannot find itself from the platform's list.
func TestStartFromList(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {1, 2}, {6, 2}, {10, 10}} {
		f := newFleet(t, size[0], size[1], 1)
		took := f.settle(all, 40)
		t.Logf("%d hosts in %d domains: %d s", size[0]*size[1], size[0], took)
		require.Less(t, took, 40, "%v", size)
		f.run(10)
		for _, n := range f.nodes {
			beats := n.group.Tick(f.timer.Now() + time.Second).Beats
			require.GreaterOrEqual(t, len(beats), min(4, len(f.nodes)-1), "%s lacks neighbours", n.name)
		}
	}
}

// Guards against hosts that keep the neighbours they chose while most of the
// platform's list was still unverified, so that some watch one host only and
// a domain does not watch its own hosts.
func TestNeighboursAfterStart(t *testing.T) {
	f := newFleet(t, 6, 4, 1)
	f.run(20)
	for _, n := range f.nodes {
		f.timer.Advance(time.Second)
		beats := n.group.Tick(f.timer.Now()).Beats
		for _, want := range n.group.Neighbours(n.group.Self()) {
			require.Contains(t, beats, want, "%s sends no heartbeat to its neighbour", n.name)
		}
	}
}

// Guards against a dead host that stays live in some view.
func TestDeadWithinBound(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, 6, 2, seed)
		f.run(20)
		f.nodes[seed].down = true
		require.LessOrEqual(t, f.settle(all, 30), 8, "seed %d: still live somewhere", seed)
		for f.timer.Now() < 32*time.Second {
			f.step()
		}
		// 3 s of silence and 3 s to confirm, up to a second of tick each; then
		// distant hosts wait 3 s for a refutation, up to a second of tick.
		for _, n := range f.nodes {
			if !n.down {
				require.Equal(t, core.HostDead, n.state(f.nodes[seed].name), "seed %d %s", seed, n.name)
			}
		}
	}
}

// Guards against an observer that blames others for its own pause.
func TestPausedObserver(t *testing.T) {
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
		require.Less(t, f.settle(all, 30), 30, "pause %d", pause)
		for _, other := range f.nodes {
			if other != n {
				require.Equal(t, core.HostLive, n.state(other.name))
			}
		}
	}
}

// Guards against views that stay split in a fleet in which most hosts don't
// contact each other.
func TestLargerPartitionHeals(t *testing.T) {
	f := newFleet(t, 10, 12, 3)
	f.run(60)
	side := func(n *node) bool { return n.domain < "domain-05" }
	f.cut = func(a, b *node) bool { return side(a) != side(b) }
	f.run(100)
	f.cut = func(_, _ *node) bool { return false }
	took := f.settle(all, 60)
	t.Logf("120 hosts cut in halves: healed in %d s", took)
	require.Less(t, took, 30)
}

// Guards against a host that misses what happened during its long pause,
// against a death that only the observers learn, and against a newcomer that
// learns only about those it talks to.
func TestLargerFleetLearns(t *testing.T) {
	f := newFleet(t, 5, 20, 17)
	f.run(45)
	f.nodes[7].paused = true
	f.run(12)
	f.nodes[50].down = true
	f.run(20)
	for _, n := range f.nodes {
		if !n.down && !n.paused {
			require.Equal(t, core.HostDead, n.state(f.nodes[50].name), n.name)
		}
	}
	f.run(120)
	f.nodes[7].paused = false
	f.run(15)
	require.NotEqual(t, core.HostLive, f.nodes[7].state(f.nodes[50].name))
	require.Zero(t, f.wrong(all))
	f.start(f.nodes[50])
	f.nodes[50].group.Roster(f.timer.Now(), f.list()[60:61])
	require.Less(t, f.settle(all, 20), 20)
}

// Guards the rules of one view, without a fleet: the second observer, the
// limits of a sole verdict, refutation, the delay of death reports, and
// forgetting.
func TestRules(t *testing.T) {
	x := core.Host{Name: "x", Domain: "nemuro", Incarnation: 5, State: core.HostLive}
	y := core.Host{Name: "y", Domain: "kushiro", Incarnation: 5, State: core.HostLive}
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	view := func() *member.Group {
		g := member.New(member.Config{Self: core.Host{Name: "me", Domain: "kushiro", Incarnation: 5}})
		g.Heard(0, x)
		g.Heard(0, y)
		g.Tick(0)
		return g
	}
	state := func(g *member.Group, of core.HostID) core.HostState {
		for _, h := range g.Hosts() {
			if h.Name == of {
				return h.State
			}
		}
		return ""
	}
	pass := func(g *member.Group, from, to int, heard ...core.Host) {
		for s := from; s <= to; s++ {
			for _, h := range heard {
				g.Heard(at(s), h)
			}
			g.Tick(at(s))
		}
	}
	t.Run("second observer", func(t *testing.T) {
		g := view()
		for range 8 {
			g.Beat(0, "z") // passes on that x and y are there, until that is no news
		}
		pass(g, 1, 30, y)
		require.Equal(t, core.HostSuspect, state(g, "x"), "one observer must not decide")
		g.Suspected(at(30), "y", []core.Suspicion{{Host: "x", Incarnation: 5, By: "y"}})
		pass(g, 31, 31, y)
		require.Equal(t, core.HostDead, state(g, "x"))
		dead := x
		dead.State = core.HostDead
		for range 3 {
			require.Contains(t, g.Beat(at(31), "z").Members, dead, "a verdict is passed on")
		}
	})
	t.Run("long pause", func(t *testing.T) {
		g := view()
		pass(g, 1, 30, x, y)
		require.False(t, g.Beat(at(30), "y").Joining)
		require.True(t, g.Tick(at(100)).Paused)
		require.True(t, g.Beat(at(100), "y").Joining)
		require.Equal(t, core.HostSuspect, state(g, "x"), "what happened during the pause is not known")
		g.Merge(at(101), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"))
	})
	t.Run("relayed suspicion", func(t *testing.T) {
		g := view()
		pass(g, 1, 10, y)
		g.Suspected(at(10), "y", []core.Suspicion{{Host: "x", Incarnation: 5, By: "me"}, {Host: "x", Incarnation: 5, By: "z"}})
		pass(g, 11, 20, y)
		require.Equal(t, core.HostSuspect, state(g, "x"), "only first-hand suspicions count")
	})
	t.Run("sole verdict", func(t *testing.T) {
		g := view()
		pass(g, 1, 12)
		require.Equal(t, core.HostDead, state(g, "x"))
		for range 8 {
			require.NotContains(t, g.Beat(at(12), "z").Members, core.Host{Name: "x", Domain: "nemuro", Incarnation: 5, State: core.HostDead})
		}
		g.Merge(at(13), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"), "a sole verdict yields to a report")
	})
	t.Run("refutation", func(t *testing.T) {
		g := view()
		g.Suspected(at(1), "y", []core.Suspicion{{Host: "me", Incarnation: 5, By: "y"}})
		require.Equal(t, uint64(6), g.Self().Incarnation)
		g.Merge(at(1), "y", []core.Host{{Name: "me", Domain: "kushiro", Incarnation: 8, State: core.HostDead}})
		require.Equal(t, uint64(9), g.Self().Incarnation)
	})
	t.Run("refutation stays near", func(t *testing.T) {
		g := view()
		for range 8 {
			g.Beat(0, "z")
		}
		pass(g, 1, 40, x, y) // until the host has joined
		newer := x
		newer.Incarnation = 6
		g.Merge(at(40), "y", []core.Host{newer})
		told := 0
		for range 4 {
			for _, h := range g.Beat(at(40), "z").Members {
				told += btoi(h.Name == "x")
			}
		}
		require.LessOrEqual(t, told, 1, "an incarnation alone is not passed on, but for the slow repair")
	})
	t.Run("recruited observer", func(t *testing.T) {
		names := staticFleet(10, 2)
		g := member.New(member.Config{Self: names[0]})
		g.Merge(0, "", names)
		near := make(map[core.HostID]bool)
		for _, h := range g.Tick(0).Beats {
			near[h.Name] = true
		}
		silent := names[19]
		for i := 1; near[silent.Name]; i++ {
			silent = names[19-i]
		}
		own := core.Suspicion{Host: silent.Name, Incarnation: 1, By: names[0].Name}
		for s := 1; s <= 11; s++ {
			for _, h := range names[1:] {
				if near[h.Name] {
					g.Heard(at(s), h)
				}
			}
			if s >= 6 {
				g.Suspected(at(s), "witness", []core.Suspicion{{Host: silent.Name, Incarnation: 1, By: "witness"}})
			}
			g.Tick(at(s))
			if s == 7 {
				require.NotContains(t, g.Beat(at(s), "z").Suspects, own)
			}
		}
		require.Contains(t, g.Beat(at(11), "z").Suspects, own, "a host that hears of a suspicion observes the suspect itself")
	})
	t.Run("second transfer", func(t *testing.T) {
		g := view()
		pass(g, 1, 40, x, y)
		joiner := core.Beat{Host: core.Host{Name: "z", Domain: "esashi", State: core.HostLive}, Joining: true}
		g.Receive(at(41), joiner)
		for range 12 {
			g.Beat(at(41), "z")
		}
		g.Merge(at(42), "y", []core.Host{{Name: "new", Domain: "esashi", Incarnation: 1, State: core.HostLive}})
		g.Receive(at(42), joiner)
		require.Contains(t, g.Beat(at(42), "z").Members, y, "a joining host gets a changed view again")
	})
	t.Run("partition over", func(t *testing.T) {
		g := view()
		pass(g, 1, 70, x, y)
		pass(g, 71, 75, y)
		g.Suspected(at(75), "y", []core.Suspicion{{Host: "x", Incarnation: 5, By: "y"}})
		pass(g, 76, 80, y)
		require.Equal(t, core.HostDead, state(g, "x"))
		require.False(t, g.Beat(at(80), "y").Joining)
		g.Heard(at(80), x)
		require.True(t, g.Beat(at(80), "y").Joining, "a wrong verdict casts doubt on the others")
	})
	t.Run("own cut", func(t *testing.T) {
		g := view()
		pass(g, 1, 10, y)
		g.Suspected(at(10), "y", []core.Suspicion{{Host: "x", Incarnation: 5, By: "y"}})
		pass(g, 11, 11, y)
		g.Merge(at(12), "y", []core.Host{x})
		require.Equal(t, core.HostDead, state(g, "x"), "a verdict of two does not yield to the same incarnation")
		g.Merge(at(12), "y", []core.Host{{Name: "me", Incarnation: 5, State: core.HostDead}})
		g.Merge(at(12), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"), "a host that was cut off must not insist on its verdicts")
	})
	t.Run("death report", func(t *testing.T) {
		g := view()
		pass(g, 1, 4, y)
		dead := x
		dead.State = core.HostDead
		g.Merge(at(4), "y", []core.Host{dead})
		require.Equal(t, core.HostSuspect, state(g, "x"))
		pass(g, 5, 6, y)
		require.Equal(t, core.HostSuspect, state(g, "x"), "a report must leave time to refute it")
		back := x
		back.Incarnation = 6
		g.Merge(at(6), "y", []core.Host{back})
		require.Equal(t, core.HostLive, state(g, "x"))
	})
	t.Run("forgotten", func(t *testing.T) {
		g := view()
		dead := x
		dead.State = core.HostDead
		pass(g, 1, 4, y)
		g.Merge(at(4), "y", []core.Host{dead})
		pass(g, 5, 3700, y)
		require.Empty(t, state(g, "x"))
		g.Merge(at(3701), "y", []core.Host{x})
		require.Empty(t, state(g, "x"), "stale gossip must not bring a dead host back")
		x.Incarnation = 6
		g.Merge(at(3701), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"))
	})
}

// Guards against a verdict by one observer: a host whose links to one
// other host are broken must stay alive for everyone.
func TestOneBrokenLink(t *testing.T) {
	f := newFleet(t, 6, 2, 5)
	f.run(20)
	x := f.nodes[0]
	for _, y := range f.nodes[1:] {
		for _, other := range f.nodes {
			clear(other.changes)
		}
		f.cut = func(a, b *node) bool { return a == x && b == y || a == y && b == x }
		f.run(30)
		for _, n := range f.nodes {
			require.Zero(t, n.changes[core.HostDead], "%s declared a host dead; broken link %s-%s", n.name, x.name, y.name)
		}
	}
}

// Guards against views that stay split after a partition, for cuts shorter
// and longer than changes are passed on, and in the presence of a host that
// died meanwhile.
func TestPartitionHeals(t *testing.T) {
	cuts := map[string]func(n *node) bool{
		"half":   func(n *node) bool { return n.domain < "domain-03" },
		"domain": func(n *node) bool { return n.domain == "domain-02" },
		"host":   func(n *node) bool { return n.name == "entry-01-001" },
	}
	for name, side := range cuts {
		for _, seconds := range []int{10, 45, 300} {
			f := newFleet(t, 6, 2, 7)
			f.run(20)
			f.cut = func(a, b *node) bool { return side(a) != side(b) }
			f.run(seconds)
			if seconds > 40 {
				require.Zero(t, f.wrong(func(a, b *node) bool { return side(a) == side(b) }), "%s cut %d s: a side is not seen alone", name, seconds)
			}
			f.nodes[11].down = true
			f.cut = func(_, _ *node) bool { return false }
			took := f.settle(all, 60)
			t.Logf("%s cut %d s: healed in %d s", name, seconds, took)
			require.Less(t, took, 60, "%s cut %d s", name, seconds)
		}
	}
}

// Guards against a live host that is declared dead because messages are
// lost, and against a dead one that isn't.
func TestLossyLinks(t *testing.T) {
	for _, loss := range []float64{0.01, 0.05, 0.10} {
		for seed := range uint64(3) {
			f := newFleet(t, 6, 2, seed)
			f.run(20)
			f.loss = loss
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
					require.Equal(t, core.HostDead, n.state(f.nodes[3].name), "loss %v seed %d", loss, seed)
				}
			}
		}
	}
}

// Guards against a restart, a leave or a rename of the domain that others
// don't learn, and against a dead host that stale gossip brings back.
func TestLeaveRestartForget(t *testing.T) {
	f := newFleet(t, 6, 2, 9)
	f.run(20)
	f.nodes[1].group.Leave(f.timer.Now())
	f.run(8)
	for _, n := range f.nodes {
		if n != f.nodes[1] {
			require.Equal(t, core.HostLeaving, n.state(f.nodes[1].name))
		}
	}
	f.nodes[1].down = true
	f.nodes[2].paused = true
	for _, n := range f.nodes {
		n.group.Roster(f.timer.Now(), nil)
	}
	f.run(3600 + 100)
	require.Empty(t, f.nodes[5].state(f.nodes[1].name), "a dead host was not forgotten")
	// The host that slept for an hour still lists the dead one as alive.
	f.nodes[2].paused = false
	f.run(60)
	for _, n := range f.nodes {
		if n != f.nodes[1] {
			require.NotEqual(t, core.HostLive, n.state(f.nodes[1].name), n.name)
		}
	}
	f.start(f.nodes[1])
	f.nodes[1].group.Roster(f.timer.Now(), f.list())
	require.Less(t, f.settle(all, 40), 40)
}

// Guards against the platform's list deciding who is alive.
func TestRosterOnlyHints(t *testing.T) {
	f := newFleet(t, 6, 2, 11)
	f.run(20)
	for _, n := range f.nodes {
		n.group.Roster(f.timer.Now(), []core.Host{{Name: "ghost", Domain: "domain-00", State: core.HostLive}})
	}
	f.byName["ghost"] = &node{name: "ghost", domain: "domain-00", down: true, group: member.New(member.Config{})}
	f.run(20)
	require.Zero(t, f.wrong(all), "hosts missing from the list must stay alive")
	for _, n := range f.nodes {
		require.Equal(t, core.HostSuspect, n.state("ghost"))
	}
}

// Guards against the death of a whole domain that has too few observers
// left for its hosts.
func TestDomainDies(t *testing.T) {
	f := newFleet(t, 5, 20, 13)
	f.run(30)
	for _, n := range f.nodes {
		n.down = n.domain == "domain-01"
	}
	took := f.settle(all, 60)
	t.Logf("20 hosts of one domain dead in all views after %d s", took)
	require.Less(t, took, 40)
}

// Guards against hosts that no chain of neighbours joins, and against a
// number of neighbours that grows with the fleet.
func TestOverlayConnected(t *testing.T) {
	for _, size := range [][2]int{{6, 2}, {3, 4}, {12, 1}, {2, 50}, {54, 106}} {
		names := staticFleet(size[0], size[1])
		viewer := member.New(member.Config{Self: core.Host{Name: "viewer", Domain: "elsewhere"}})
		viewer.Merge(0, "", names)
		links := make(map[core.HostID][]core.HostID)
		for _, self := range names {
			out := viewer.Neighbours(self)
			require.Len(t, out, 4)
			far := 0
			for _, h := range out {
				links[self.Name] = append(links[self.Name], h.Name)
				links[h.Name] = append(links[h.Name], self.Name)
				if h.Domain != self.Domain {
					far++
				}
			}
			require.Positive(t, far)
			require.Equal(t, min(3, size[1]-1), 4-far, "own domain first")
		}
		seen := map[core.HostID]bool{names[0].Name: true}
		queue := []core.HostID{names[0].Name}
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
		require.Len(t, seen, len(names), "%v", size)
	}
}

func staticFleet(domains, perDomain int) []core.Host {
	var names []core.Host
	for d := range domains {
		for h := range perDomain {
			names = append(names, core.Host{
				Name: core.HostID(fmt.Sprintf("entry-%02d-%03d", d, h)), Domain: core.DomainID(fmt.Sprintf("domain-%02d", d)),
				Incarnation: 1, State: core.HostLive, Caller: "10.0.0.1:7000", Peer: "10.0.0.1:7001",
			})
		}
	}
	return names
}

// Guards against faults in combination: after any sequence of them, views
// agree with the truth once the faults end, and no host is declared dead
// while at most one host is paused and links lose nothing.
func TestFaultSequences(t *testing.T) {
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
				f.cut = func(a, b *node) bool { return (a.domain == n.domain) != (b.domain == n.domain) }
			case "loss":
				f.loss = 0.1
			case "restart":
				f.start(n)
				n.group.Roster(f.timer.Now(), f.list())
			}
			f.run(rapid.IntRange(1, 70).Draw(t, "seconds"))
		}
		f.cut, f.loss = func(_, _ *node) bool { return false }, 0
		for _, n := range f.nodes {
			n.paused = false
		}
		if f.settle(all, 120) == 120 {
			t.Fatalf("%d entries are wrong 120 s after the last fault", f.wrong(all))
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
