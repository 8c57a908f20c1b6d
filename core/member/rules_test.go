package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/member"
)

// Guards the rules of a single view: deaths need a second observer, the
// verdict of a sole observer is not gossiped, suspicions and death reports
// can be refuted in time, and dead hosts are removed.
func TestGroupRules(t *testing.T) {
	x := core.Host{Name: "x", Domain: "nemuro", Incarnation: 5, State: core.HostLive}
	y := core.Host{Name: "y", Domain: "kushiro", Incarnation: 5, State: core.HostLive}
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	newView := func() *member.View {
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
	advance := func(g *member.View, from, to int, heard ...core.Host) {
		for s := from; s <= to; s++ {
			for _, h := range heard {
				g.RecordContact(at(s), h)
			}
			g.Tick(at(s))
		}
	}
	t.Run("death needs a second observer", func(t *testing.T) {
		g := newView()
		for range 8 {
			g.NewHeartbeat(0, "z") // sends the entries of x and y until they are no longer gossiped
		}
		advance(g, 1, 30, y)
		require.Equal(t, core.HostSuspect, state(g, "x"), "one observer must not decide")
		g.MergeSuspicions(at(30), "y", []core.Suspicion{{Host: "x", Incarnation: 5, Reporter: "y"}})
		advance(g, 31, 31, y)
		require.Equal(t, core.HostDead, state(g, "x"))
		dead := x
		dead.State = core.HostDead
		for range 3 {
			require.Contains(t, g.NewHeartbeat(at(31), "z").Members, dead, "a confirmed death is gossiped")
		}
	})
	t.Run("long pause resets the view", func(t *testing.T) {
		g := newView()
		advance(g, 1, 30, x, y)
		require.False(t, g.NewHeartbeat(at(30), "y").Joining)
		require.True(t, g.Tick(at(100)).Paused)
		require.True(t, g.NewHeartbeat(at(100), "y").Joining)
		require.Equal(t, core.HostSuspect, state(g, "x"), "states are unknown after a long pause")
		g.Merge(at(101), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"))
	})
	t.Run("relayed suspicion does not count", func(t *testing.T) {
		g := newView()
		advance(g, 1, 10, y)
		g.MergeSuspicions(at(10), "y", []core.Suspicion{{Host: "x", Incarnation: 5, Reporter: "me"}, {Host: "x", Incarnation: 5, Reporter: "z"}})
		advance(g, 11, 20, y)
		require.Equal(t, core.HostSuspect, state(g, "x"), "only first-hand suspicions count")
	})
	t.Run("sole verdict is not gossiped", func(t *testing.T) {
		g := newView()
		advance(g, 1, 12)
		require.Equal(t, core.HostDead, state(g, "x"))
		for range 8 {
			require.NotContains(t, g.NewHeartbeat(at(12), "z").Members, core.Host{Name: "x", Domain: "nemuro", Incarnation: 5, State: core.HostDead})
		}
		g.Merge(at(13), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"), "a sole verdict yields to a report")
	})
	t.Run("refutation raises the incarnation", func(t *testing.T) {
		g := newView()
		g.MergeSuspicions(at(1), "y", []core.Suspicion{{Host: "me", Incarnation: 5, Reporter: "y"}})
		require.Equal(t, uint64(6), g.Self().Incarnation)
		g.Merge(at(1), "y", []core.Host{{Name: "me", Domain: "kushiro", Incarnation: 8, State: core.HostDead}})
		require.Equal(t, uint64(9), g.Self().Incarnation)
	})
	t.Run("incarnation alone is not gossiped", func(t *testing.T) {
		g := newView()
		for range 8 {
			g.NewHeartbeat(0, "z")
		}
		advance(g, 1, 40, x, y) // until the host has joined
		newer := x
		newer.Incarnation = 6
		g.Merge(at(40), "y", []core.Host{newer})
		sent := 0
		for range 4 {
			for _, h := range g.NewHeartbeat(at(40), "z").Members {
				sent += boolToInt(h.Name == "x")
			}
		}
		require.LessOrEqual(t, sent, 1, "an incarnation alone is gossiped only by the repair rotation")
	})
	t.Run("suspicion starts another observer", func(t *testing.T) {
		hosts := staticHosts(10, 2)
		g := member.New(member.Config{Self: hosts[0]})
		g.Merge(0, "", hosts)
		neighbours := make(map[core.HostID]bool)
		for _, h := range g.Tick(0).Targets {
			neighbours[h.Name] = true
		}
		silent := hosts[19]
		for i := 1; neighbours[silent.Name]; i++ {
			silent = hosts[19-i]
		}
		ownSuspicion := core.Suspicion{Host: silent.Name, Incarnation: 1, Reporter: hosts[0].Name}
		for s := 1; s <= 11; s++ {
			for _, h := range hosts[1:] {
				if neighbours[h.Name] {
					g.RecordContact(at(s), h)
				}
			}
			if s >= 6 {
				g.MergeSuspicions(at(s), "witness", []core.Suspicion{{Host: silent.Name, Incarnation: 1, Reporter: "witness"}})
			}
			g.Tick(at(s))
			if s == 7 {
				require.NotContains(t, g.NewHeartbeat(at(s), "z").Suspects, ownSuspicion)
			}
		}
		require.Contains(t, g.NewHeartbeat(at(11), "z").Suspects, ownSuspicion, "a host that receives a suspicion observes the suspect itself")
	})
	t.Run("changed view is transferred again", func(t *testing.T) {
		g := newView()
		advance(g, 1, 40, x, y)
		joiner := core.Heartbeat{Host: core.Host{Name: "z", Domain: "esashi", State: core.HostLive}, Joining: true}
		g.HandleHeartbeat(at(41), joiner)
		for range 12 {
			g.NewHeartbeat(at(41), "z")
		}
		g.Merge(at(42), "y", []core.Host{{Name: "new", Domain: "esashi", Incarnation: 1, State: core.HostLive}})
		g.HandleHeartbeat(at(42), joiner)
		require.Contains(t, g.NewHeartbeat(at(42), "z").Members, y, "a joining host gets a changed view again")
	})
	t.Run("end of a partition starts a rejoin", func(t *testing.T) {
		g := newView()
		advance(g, 1, 70, x, y)
		advance(g, 71, 75, y)
		g.MergeSuspicions(at(75), "y", []core.Suspicion{{Host: "x", Incarnation: 5, Reporter: "y"}})
		advance(g, 76, 80, y)
		require.Equal(t, core.HostDead, state(g, "x"))
		require.False(t, g.NewHeartbeat(at(80), "y").Joining)
		g.RecordContact(at(80), x)
		require.True(t, g.NewHeartbeat(at(80), "y").Joining, "after a wrong verdict the others must be verified again")
	})
	t.Run("verdicts yield after an own partition", func(t *testing.T) {
		g := newView()
		advance(g, 1, 10, y)
		g.MergeSuspicions(at(10), "y", []core.Suspicion{{Host: "x", Incarnation: 5, Reporter: "y"}})
		advance(g, 11, 11, y)
		g.Merge(at(12), "y", []core.Host{x})
		require.Equal(t, core.HostDead, state(g, "x"), "a verdict of two observers does not yield to the same incarnation")
		g.Merge(at(12), "y", []core.Host{{Name: "me", Incarnation: 5, State: core.HostDead}})
		g.Merge(at(12), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"), "verdicts of a host that was itself cut off must yield to reports")
	})
	t.Run("death report can be refuted", func(t *testing.T) {
		g := newView()
		advance(g, 1, 4, y)
		dead := x
		dead.State = core.HostDead
		g.Merge(at(4), "y", []core.Host{dead})
		require.Equal(t, core.HostSuspect, state(g, "x"))
		advance(g, 5, 6, y)
		require.Equal(t, core.HostSuspect, state(g, "x"), "a report must leave time to refute it")
		back := x
		back.Incarnation = 6
		g.Merge(at(6), "y", []core.Host{back})
		require.Equal(t, core.HostLive, state(g, "x"))
	})
	t.Run("stale gossip does not restore a forgotten host", func(t *testing.T) {
		g := newView()
		dead := x
		dead.State = core.HostDead
		advance(g, 1, 4, y)
		g.Merge(at(4), "y", []core.Host{dead})
		advance(g, 5, 3700, y)
		require.Empty(t, state(g, "x"))
		g.Merge(at(3701), "y", []core.Host{x})
		require.Empty(t, state(g, "x"), "stale gossip must not bring a dead host back")
		x.Incarnation = 6
		g.Merge(at(3701), "y", []core.Host{x})
		require.Equal(t, core.HostLive, state(g, "x"))
	})
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
