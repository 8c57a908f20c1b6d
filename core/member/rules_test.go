package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/member"
)

// Guards the rules of one view, without a fleet: the second observer, the
// limits of a sole verdict, refutation, the delay of death reports, and
// forgetting.
func TestRules(t *testing.T) {
	x := core.Host{Name: "x", Domain: "nemuro", Incarnation: 5, State: core.HostLive}
	y := core.Host{Name: "y", Domain: "kushiro", Incarnation: 5, State: core.HostLive}
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	view := func() *member.View {
		g := member.New(member.Config{Self: core.Host{Name: "me", Domain: "kushiro", Incarnation: 5}})
		g.RecordContact(0, x)
		g.RecordContact(0, y)
		g.Tick(0)
		return g
	}
	state := func(g *member.View, of core.HostID) core.HostState {
		for _, h := range g.Hosts() {
			if h.Name == of {
				return h.State
			}
		}
		return ""
	}
	pass := func(g *member.View, from, to int, heard ...core.Host) {
		for s := from; s <= to; s++ {
			for _, h := range heard {
				g.RecordContact(at(s), h)
			}
			g.Tick(at(s))
		}
	}
	t.Run("second observer", func(t *testing.T) {
		g := view()
		for range 8 {
			g.NewHeartbeat(0, "z") // passes on that x and y are there, until that is no news
		}
		pass(g, 1, 30, y)
		require.Equal(t, core.HostSuspect, state(g, "x"), "one observer must not decide")
		g.MergeSuspicions(at(30), "y", []core.Suspicion{{Host: "x", Incarnation: 5, Reporter: "y"}})
		pass(g, 31, 31, y)
		require.Equal(t, core.HostDead, state(g, "x"))
		dead := x
		dead.State = core.HostDead
		for range 3 {
			require.Contains(t, g.NewHeartbeat(at(31), "z").Members, dead, "a verdict is passed on")
		}
	})
	t.Run("long pause", func(t *testing.T) {
		g := view()
		pass(g, 1, 30, x, y)
		require.False(t, g.NewHeartbeat(at(30), "y").Joining)
		require.True(t, g.Tick(at(100)).Paused)
		require.True(t, g.NewHeartbeat(at(100), "y").Joining)
		require.Equal(t, core.HostSuspect, state(g, "x"), "what happened during the pause is not known")
		g.Merge(at(101), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"))
	})
	t.Run("relayed suspicion", func(t *testing.T) {
		g := view()
		pass(g, 1, 10, y)
		g.MergeSuspicions(at(10), "y", []core.Suspicion{{Host: "x", Incarnation: 5, Reporter: "me"}, {Host: "x", Incarnation: 5, Reporter: "z"}})
		pass(g, 11, 20, y)
		require.Equal(t, core.HostSuspect, state(g, "x"), "only first-hand suspicions count")
	})
	t.Run("sole verdict", func(t *testing.T) {
		g := view()
		pass(g, 1, 12)
		require.Equal(t, core.HostDead, state(g, "x"))
		for range 8 {
			require.NotContains(t, g.NewHeartbeat(at(12), "z").Members, core.Host{Name: "x", Domain: "nemuro", Incarnation: 5, State: core.HostDead})
		}
		g.Merge(at(13), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"), "a sole verdict yields to a report")
	})
	t.Run("refutation", func(t *testing.T) {
		g := view()
		g.MergeSuspicions(at(1), "y", []core.Suspicion{{Host: "me", Incarnation: 5, Reporter: "y"}})
		require.Equal(t, uint64(6), g.Self().Incarnation)
		g.Merge(at(1), "y", []core.Host{{Name: "me", Domain: "kushiro", Incarnation: 8, State: core.HostDead}})
		require.Equal(t, uint64(9), g.Self().Incarnation)
	})
	t.Run("refutation stays near", func(t *testing.T) {
		g := view()
		for range 8 {
			g.NewHeartbeat(0, "z")
		}
		pass(g, 1, 40, x, y) // until the host has joined
		newer := x
		newer.Incarnation = 6
		g.Merge(at(40), "y", []core.Host{newer})
		told := 0
		for range 4 {
			for _, h := range g.NewHeartbeat(at(40), "z").Members {
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
		for _, h := range g.Tick(0).Targets {
			near[h.Name] = true
		}
		silent := names[19]
		for i := 1; near[silent.Name]; i++ {
			silent = names[19-i]
		}
		own := core.Suspicion{Host: silent.Name, Incarnation: 1, Reporter: names[0].Name}
		for s := 1; s <= 11; s++ {
			for _, h := range names[1:] {
				if near[h.Name] {
					g.RecordContact(at(s), h)
				}
			}
			if s >= 6 {
				g.MergeSuspicions(at(s), "witness", []core.Suspicion{{Host: silent.Name, Incarnation: 1, Reporter: "witness"}})
			}
			g.Tick(at(s))
			if s == 7 {
				require.NotContains(t, g.NewHeartbeat(at(s), "z").Suspects, own)
			}
		}
		require.Contains(t, g.NewHeartbeat(at(11), "z").Suspects, own, "a host that hears of a suspicion observes the suspect itself")
	})
	t.Run("second transfer", func(t *testing.T) {
		g := view()
		pass(g, 1, 40, x, y)
		joiner := core.Heartbeat{Host: core.Host{Name: "z", Domain: "esashi", State: core.HostLive}, Joining: true}
		g.HandleHeartbeat(at(41), joiner)
		for range 12 {
			g.NewHeartbeat(at(41), "z")
		}
		g.Merge(at(42), "y", []core.Host{{Name: "new", Domain: "esashi", Incarnation: 1, State: core.HostLive}})
		g.HandleHeartbeat(at(42), joiner)
		require.Contains(t, g.NewHeartbeat(at(42), "z").Members, y, "a joining host gets a changed view again")
	})
	t.Run("partition over", func(t *testing.T) {
		g := view()
		pass(g, 1, 70, x, y)
		pass(g, 71, 75, y)
		g.MergeSuspicions(at(75), "y", []core.Suspicion{{Host: "x", Incarnation: 5, Reporter: "y"}})
		pass(g, 76, 80, y)
		require.Equal(t, core.HostDead, state(g, "x"))
		require.False(t, g.NewHeartbeat(at(80), "y").Joining)
		g.RecordContact(at(80), x)
		require.True(t, g.NewHeartbeat(at(80), "y").Joining, "a wrong verdict casts doubt on the others")
	})
	t.Run("own cut", func(t *testing.T) {
		g := view()
		pass(g, 1, 10, y)
		g.MergeSuspicions(at(10), "y", []core.Suspicion{{Host: "x", Incarnation: 5, Reporter: "y"}})
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

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
