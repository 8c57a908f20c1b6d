package order_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/order"
)

// Guards against orders with issued keys that wait for the store, run twice,
// or lose their answer when the store returns.
func TestIssuedKeysRunWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a, b := sim.startHost("a", 1, nil), sim.startHost("b", 1, nil)
		sim.table.SetFault(fakes.FaultUnavailable)
		var keys []string
		for i := range 60 {
			k := fmt.Sprintf("%s%d", a.orders.KeyPrefix(), i)
			keys = append(keys, k)
			first := sim.submit(a, k, "x", time.Second, backendRuns)
			require.NoError(t, first.err)
			require.Equal(t, codes.OrderRunning, sim.submit(b, k, "x", time.Second, backendRuns).code(), "the answer is not recorded yet")
			sim.advance(10 * time.Second)
			repeat := sim.submit(a, k, "x", time.Second, backendRuns)
			require.NoError(t, repeat.err)
			require.True(t, repeat.result.Replayed)
			require.Equal(t, codes.OrderMismatch, sim.submit(a, k, "y", time.Second, backendRuns).code())
		}
		require.Equal(t, 60, a.orders.Stats().Pending)
		short, cancel := context.WithCancel(a.ctx)
		cancel()
		require.Error(t, a.orders.Drain(short), "answers are not recorded")
		drained := false
		go func() {
			drained = a.orders.Drain(a.ctx) == nil
		}()
		sim.advance(time.Second)
		require.False(t, drained)
		sim.table.SetFault(fakes.FaultNone)
		sim.advance(5 * time.Second)
		require.True(t, drained)
		require.Zero(t, a.orders.Stats().Pending)
		for _, k := range keys {
			for _, h := range []*host{a, b} {
				repeat := sim.submit(h, k, "x", time.Second, backendRuns)
				require.NoError(t, repeat.err)
				require.Equal(t, answerTo(k, "x"), string(repeat.result.Body))
			}
			require.Equal(t, 1, sim.runsByKey[k])
		}
		sim.table.SetFault(fakes.FaultUnavailable)
		require.Equal(t, codes.OrderMismatch, sim.submit(a, keys[0], "y", time.Second, backendRuns).code())
		sim.stop()
	})
}

// Guards against a second run of an issued key after a lost answer, a crash
// of its host, a restart, or the end of its period; and against a key that
// stays unusable although its order did not run.
func TestIssuedKeysStayWithTheirRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		short := func(c *order.Config) { c.PrefixPeriod = time.Minute }
		a, b := sim.startHost("a", 1, short), sim.startHost("b", 1, short)
		prefix := a.orders.KeyPrefix()
		lost, refused, unused, unrecorded := prefix+"lost", prefix+"refused", prefix+"unused", prefix+"unrecorded"

		require.Equal(t, codes.OrderUnknown, sim.submit(a, lost, "x", time.Second, backendAnswerLost).code())
		require.Equal(t, codes.OrderUnknown, sim.submit(a, lost, "x", time.Second, backendRuns).code())
		require.Equal(t, codes.OrderUnknown, sim.submit(b, lost, "x", time.Second, backendRuns).code())
		require.Equal(t, codes.OrderNotRun, sim.submit(a, refused, "x", time.Second, backendRefuses).code())
		require.NoError(t, sim.submit(a, refused, "x", time.Second, backendRuns).err)
		slow := sim.submit(a, prefix+"slow", "x", time.Second, backendSlow)
		require.Equal(t, codes.OrderRunning, sim.submit(a, prefix+"slow", "x", time.Second, backendRuns).code())
		sim.advance(4 * time.Second)
		require.NoError(t, slow.err)

		sim.advance(time.Minute)
		require.NotEqual(t, prefix, a.orders.KeyPrefix())
		require.NoError(t, sim.submit(a, prefix+"next", "x", time.Second, backendRuns).err, "a prefix is accepted for one period longer")
		require.NoError(t, sim.submit(a, refused, "x", time.Second, backendRuns).err)
		b.storeCut = true
		require.Equal(t, codes.OrderRunning, sim.submit(b, prefix+"next", "x", time.Second, backendRuns).code(), "a has claimed the key")
		sim.advance(time.Minute)
		require.Equal(t, codes.OrderUnknown, sim.submit(b, prefix+"next", "x", time.Second, backendRuns).code(), "a does not keep old claims")
		b.storeCut = false
		require.Equal(t, codes.OrderExpired, sim.submit(a, unused, "x", time.Second, backendRuns).code())
		require.NoError(t, sim.submit(a, refused, "x", time.Second, backendRuns).err)
		require.Equal(t, codes.OrderUnknown, sim.submit(a, lost, "x", time.Second, backendRuns).code())

		future := strings.Replace(a.orders.KeyPrefix(), "~2~", "~9~", 1) + "future"
		require.Equal(t, codes.OrderExpired, sim.submit(a, future, "x", time.Second, backendRuns).code())

		fresh := a.orders.KeyPrefix() + "fresh"
		require.Equal(t, codes.OrderNotRun, sim.submit(b, fresh, "x", time.Second, backendRuns).code())
		sim.net.SetCut("a", "b", true)
		require.Equal(t, codes.OrderUnknown, sim.submit(b, fresh, "x", time.Second, backendRuns).code())
		sim.net.SetCut("a", "b", false)

		a.storeCut = true
		marked := a.orders.KeyPrefix() + "marked"
		require.Equal(t, codes.OrderUnknown, sim.submit(a, marked, "x", time.Second, backendAnswerLost).code())
		require.Equal(t, codes.OrderUnknown, sim.submit(a, marked, "x", time.Second, backendRuns).code())
		sim.advance(3 * time.Minute)
		require.Equal(t, codes.OrderRunning, sim.submit(b, marked, "x", time.Second, backendRuns).code(), "a still records the key")
		unrecorded = a.orders.KeyPrefix() + "unrecorded"
		require.NoError(t, sim.submit(a, unrecorded, "x", time.Second, backendRuns).err)
		require.Equal(t, codes.OrderRunning, sim.submit(b, unrecorded, "x", time.Second, backendRuns).code())
		a.kill()
		synctest.Wait()
		require.Equal(t, codes.OrderUnknown, sim.submit(b, unrecorded, "x", time.Second, backendRuns).code())
		a = sim.startHost("a", 2, short)
		require.Equal(t, codes.OrderUnknown, sim.submit(a, unrecorded, "x", time.Second, backendRuns).code())
		require.Equal(t, codes.OrderUnknown, sim.submit(b, unrecorded, "x", time.Second, backendRuns).code(), "a new run knows no keys of the old one")
		for k, n := range sim.runsByKey {
			require.Equal(t, 1, n, k)
		}
		sim.stop()
	})
}

// Guards against unbounded memory use while answers cannot be recorded.
func TestPendingAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(t)
		a := sim.startHost("a", 1, func(c *order.Config) { c.MaxUnrecordedBytes = 1000 })
		sim.table.SetFault(fakes.FaultUnavailable)
		accepted := 0
		for i := range 100 {
			k := fmt.Sprintf("%s%d", a.orders.KeyPrefix(), i)
			if sim.submit(a, k, "x", time.Second, backendRuns).err == nil {
				accepted++
			}
		}
		// An encoded answer takes a little over 100 bytes here.
		require.Equal(t, 9, accepted)
		sim.table.SetFault(fakes.FaultNone)
		sim.advance(5 * time.Second)
		require.NoError(t, sim.submit(a, a.orders.KeyPrefix()+"next", "x", time.Second, backendRuns).err)
		sim.stop()
	})
}

// Guards against orders that run twice, or issued keys that do not run, in a
// store outage. Three hosts get 2 orders a second for ten minutes, with
// deadlines of 10 s; one host crashes in the middle. Refused orders are
// retried each minute at another host, and 2% of the answered ones are
// repeated there.
func TestOutageOfTenMinutes(t *testing.T) {
	accepted := make(map[bool]int)
	for _, issued := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimCluster(t)
			var waited int
			accepted[issued], waited = simulateOutage(sim, issued)
			t.Logf("issued=%t: of 1200 orders %d ran during the outage, %d that waited ran after it", issued, accepted[issued], waited)
			sim.clearFaults()
			for k, n := range sim.runsByKey {
				require.Equal(t, 1, n, k)
			}
			require.Empty(t, sim.checkInvariants())
			sim.stop()
		})
	}
	require.Zero(t, accepted[false])
	require.Equal(t, 1200, accepted[true])
}

// simulateOutage returns how many orders ran during the outage, and how many
// ran after it.
func simulateOutage(sim *simCluster, issued bool) (ran, waited int) {
	hosts := []*host{sim.startHost("a", 1, nil), sim.startHost("b", 1, nil), sim.startHost("c", 1, nil)}
	sim.table.SetFault(fakes.FaultUnavailable)
	retries := make(map[int][]int) // orders to try again, by step of half a second
	attemptCount := make(map[int]int)
	start := func(n int) *attempt {
		h := hosts[(n+attemptCount[n])%len(hosts)]
		key := fmt.Sprintf("order-%d", n)
		if issued {
			// Earlier attempts were all refused as not run, so a new key is safe.
			key = h.orders.KeyPrefix() + fmt.Sprint(n)
		}
		attemptCount[n]++
		return sim.submit(h, key, "x", 10*time.Second, backendRuns)
	}
	attempts := make(map[int]*attempt)
	for step := range 1200 {
		if step == 600 {
			hosts[2].kill()
			hosts = hosts[:2]
		}
		for _, n := range append(retries[step], step) {
			if a := attempts[n]; a != nil && a.done && a.err == nil {
				sim.submit(hosts[(n+1)%len(hosts)], a.key, "x", 10*time.Second, backendRuns)
				continue
			}
			attempts[n] = start(n)
			if !attempts[n].done || attempts[n].err != nil || n%50 == 0 {
				retries[step+120] = append(retries[step+120], n)
			}
		}
		sim.advance(500 * time.Millisecond)
	}
	ran = len(sim.runsByKey)
	sim.table.SetFault(fakes.FaultNone)
	sim.advance(10 * time.Second)
	return ran, len(sim.runsByKey) - ran
}
