package picker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
)

// randomLocalities returns localities in three groups with random slots and
// demand; some have no servers.
func randomLocalities(r *rand.Rand) map[string]*locality {
	list := make(map[string]*locality)
	for n := range 9 {
		a := &locality{group: fmt.Sprint(n % 3), demand: r.ExpFloat64() * 20}
		if r.IntN(5) > 0 {
			a.slots = float64(1 + r.IntN(60))
		}
		list[fmt.Sprint(n)] = a
	}
	return list
}

// Guards against overload from decisions that are made independently: when
// all localities send by their weights, none may exceed the common fill
// limit.
func TestSharesTogetherOverloadNoArea(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		list := randomLocalities(r)
		fill := normalizeDemand(list)
		got := make(map[string]float64)
		for own := range list {
			weights, all := slotWeights(own, list, fill), 0.0
			for name, w := range weights {
				all += w * list[name].slots
			}
			for name, w := range weights {
				got[name] += list[own].demand * w * list[name].slots / all
			}
		}
		for name, a := range list {
			require.LessOrEqual(t, got[name], fill*a.slots*1.02+0.02, "locality %s", name)
		}
	}
}

// Guards against sending away demand that fits, because traffic between
// localities is expensive.
func TestSharesKeepWhatFits(t *testing.T) {
	list := map[string]*locality{
		"a": {group: "x", slots: 10, demand: 2}, "b": {group: "x", slots: 10, demand: 9}, "c": {group: "y", slots: 40, demand: 10},
	}
	weights := slotWeights("a", list, 0.6)
	require.Greater(t, weights["a"], 100*(weights["b"]+weights["c"]))
	// Three busy slots too many: its neighbour takes them.
	weights = slotWeights("b", list, 0.6)
	require.InDelta(t, 6, 10*weights["b"], 0.1)
	require.InDelta(t, 3, 10*weights["a"], 0.1)
	require.Less(t, weights["c"], weights["a"]/100)
	// The neighbour needs its slots itself: the rest goes to the other group.
	list["a"].demand = 6
	weights = slotWeights("b", list, 0.6)
	require.InDelta(t, 3, 40*weights["c"], 0.1)
}

// Guards against NaN or infinite weights for a locality, or a service,
// without servers.
func TestSharesWithoutServers(t *testing.T) {
	list := map[string]*locality{"a": {group: "x"}, "b": {group: "y", slots: 5}}
	weights := slotWeights("a", list, normalizeDemand(list))
	require.NotContains(t, weights, "a")
	require.Positive(t, weights["b"])
	list["b"].slots = 0
	require.Empty(t, slotWeights("a", list, normalizeDemand(list)))
}

// Guards against oscillating demand that moves more than the cap on shifts
// between regions, 15% of the requests from one window of 2 s to the next.
func TestShiftStaysUnderItsCap(t *testing.T) {
	var d demand
	list := func() map[string]*locality {
		return map[string]*locality{
			"a": {group: "x", slots: 10, demand: d.busySlots["a"]}, "b": {group: "y", slots: 40, demand: d.busySlots["b"]},
		}
	}
	lastShare, now := 0.0, time.Duration(0)
	for step := range 100 {
		// The demand of a alternates between 8 and 16 busy slots every 40 s.
		load := 8.0
		if step/20%2 == 1 {
			load = 16
		}
		for range 5 { // heartbeats within two seconds
			now += 400 * time.Millisecond
			d.observe(now, map[core.DomainID]float64{"a": load, "b": 20})
		}
		localities := list()
		weights := slotWeights("a", localities, normalizeDemand(localities))
		remoteShare := 40 * weights["b"] / (40*weights["b"] + 10*weights["a"])
		if step > 0 {
			require.InDelta(t, lastShare, remoteShare, 0.15, "at %s", now)
		}
		lastShare = remoteShare
	}
}
