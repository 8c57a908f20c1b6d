package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
)

// randomAreas returns areas in three groups with random slots and work; some
// have no servers.
func randomAreas(r *rand.Rand) map[string]*area {
	list := make(map[string]*area)
	for n := range 9 {
		a := &area{group: fmt.Sprint(n % 3), work: r.ExpFloat64() * 20}
		if r.IntN(5) > 0 {
			a.slots = float64(1 + r.IntN(60))
		}
		list[fmt.Sprint(n)] = a
	}
	return list
}

// If all areas send what their weights say, none may be filled beyond the
// level that all accept: the areas decide without asking one another.
func TestSharesTogetherOverloadNoArea(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		list := randomAreas(r)
		fill := spread(list)
		got := make(map[string]float64)
		for own := range list {
			weights, all := shares(own, list, fill), 0.0
			for name, w := range weights {
				all += w * list[name].slots
			}
			for name, w := range weights {
				got[name] += list[own].work * w * list[name].slots / all
			}
		}
		for name, a := range list {
			require.LessOrEqual(t, got[name], fill*a.slots*1.02+0.02, "area %s", name)
		}
	}
}

// What an area has room for must not leave it, as bytes between areas cost.
func TestSharesKeepWhatFits(t *testing.T) {
	list := map[string]*area{
		"a": {group: "x", slots: 10, work: 2}, "b": {group: "x", slots: 10, work: 9}, "c": {group: "y", slots: 40, work: 10},
	}
	weights := shares("a", list, 0.6)
	require.Greater(t, weights["a"], 100*(weights["b"]+weights["c"]))
	// Three busy slots too many: its neighbour takes them.
	weights = shares("b", list, 0.6)
	require.InDelta(t, 6, 10*weights["b"], 0.1)
	require.InDelta(t, 3, 10*weights["a"], 0.1)
	require.Less(t, weights["c"], weights["a"]/100)
	// The neighbour needs its slots itself: the rest goes to the other group.
	list["a"].work = 6
	weights = shares("b", list, 0.6)
	require.InDelta(t, 3, 40*weights["c"], 0.1)
}

// An area without servers, and a service without any, must not make a weight
// that is no number.
func TestSharesWithoutServers(t *testing.T) {
	list := map[string]*area{"a": {group: "x"}, "b": {group: "y", slots: 5}}
	weights := shares("a", list, spread(list))
	require.NotContains(t, weights, "a")
	require.Positive(t, weights["b"])
	list["b"].slots = 0
	require.Empty(t, shares("a", list, spread(list)))
}

// Demand that swings must not move more than the cap on shifts between
// regions allows, 15% of the requests from one window of 2 s to the next.
func TestShiftStaysUnderItsCap(t *testing.T) {
	var d demand
	list := func() map[string]*area {
		return map[string]*area{
			"a": {group: "x", slots: 10, work: d.work["a"]}, "b": {group: "y", slots: 40, work: d.work["b"]},
		}
	}
	before, now := 0.0, time.Duration(0)
	for step := range 100 {
		// Demand of a doubles at once, and back, every 40 s.
		load := 8.0
		if step/20%2 == 1 {
			load = 16
		}
		for range 5 { // beats of two seconds
			now += 400 * time.Millisecond
			d.observe(now, map[core.DomainID]float64{"a": load, "b": 20})
		}
		areas := list()
		weights := shares("a", areas, spread(areas))
		away := 40 * weights["b"] / (40*weights["b"] + 10*weights["a"])
		if step > 0 {
			require.InDelta(t, before, away, 0.15, "at %s", now)
		}
		before = away
	}
}
