package gossip_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/gossip"
	"azurering/core/timer"
)

func view(clock core.Timer) *gossip.View {
	return gossip.New(gossip.Config{Timer: clock, Self: gossip.Beat{Host: "b", Domain: "d", Address: "10.0.0.2"}})
}

func beat(host core.HostID, boot, count uint64) gossip.Beat {
	return gossip.Beat{
		Host: host, Domain: "d", Address: "10.0.0." + string(host), Boot: boot, Count: count, Ready: true,
		Demand: map[core.WorkspaceID]float64{"w": 3}, InFlight: map[core.ServerID]int{"s": 2},
	}
}

func alive(v *gossip.View) []core.HostID {
	var names []core.HostID
	for _, p := range v.Peers() {
		if p.Alive {
			names = append(names, p.Host)
		}
	}
	return names
}

// A host that was killed must not be named to callers for long.
func TestSilentHostIsNotAlive(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	v.Hear(beat("a", 1, 1))
	require.Equal(t, []core.HostID{"a"}, alive(v))
	require.Equal(t, []core.HostID{"a", "b"}, v.Mates("d"))
	clock.Advance(2 * time.Second)
	require.Empty(t, alive(v))
	require.Equal(t, []core.HostID{"b"}, v.Mates("d"))
}

// A host that is only cut off goes on with its share of the rates, so that
// others must not take it; the work that it had in flight is over.
func TestSilentHostKeepsItsDemand(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	v.Hear(beat("a", 1, 1))
	clock.Advance(5 * time.Second)
	got := v.Totals()
	require.InDelta(t, 3, got.Demand["w"], 1e-9)
	require.Empty(t, got.InFlight)
	require.Equal(t, 1, got.Hosts)
	clock.Advance(30 * time.Second)
	require.Zero(t, v.Totals().Hosts)
}

func TestLateBeatsAreIgnored(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	v.Hear(beat("a", 2, 5))
	for _, old := range []gossip.Beat{beat("a", 2, 4), beat("a", 1, 9)} {
		old.Ready = false
		v.Hear(old)
		require.True(t, v.Peers()[0].Ready)
	}
	again := beat("a", 3, 1) // a new run of the host
	again.Ready = false
	v.Hear(again)
	require.False(t, v.Peers()[0].Ready)
}

// A listed host counts as unheard until its first beat, and no longer than
// a live one could stay silent.
func TestListedHostIsUnheard(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	v.Meet(beat("a", 1, 0))
	v.Meet(beat("b", 1, 0)) // this host itself
	require.Equal(t, 1, v.Totals().Unheard)
	require.Empty(t, alive(v))
	_, targets := v.Targets()
	require.Equal(t, []string{"10.0.0.a"}, targets)
	v.Hear(beat("a", 1, 1))
	require.Zero(t, v.Totals().Unheard)
	v.Meet(beat("c", 1, 0))
	clock.Advance(2 * time.Second)
	require.Equal(t, 1, v.Totals().Hosts)
}

// Silent hosts get some beats, so that they are heard again after a cut.
func TestSilentHostGetsSomeBeats(t *testing.T) {
	clock := timer.NewManual()
	v := view(clock)
	v.Hear(beat("a", 1, 1))
	clock.Advance(time.Minute)
	sent := 0
	for range 20 {
		_, targets := v.Targets()
		sent += len(targets)
	}
	require.Equal(t, 4, sent)
}
