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

// Guards against orders with issued keys that wait for the store, run
// twice, or lose their answer when the store returns.
func TestIssuedKeysRunWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a, b := l.boot("a", 1, nil), l.boot("b", 1, nil)
		l.table.SetFault(fakes.FaultUnavailable)
		var keys []string
		for i := range 60 {
			k := fmt.Sprintf("%s%d", a.orders.KeyPrefix(), i)
			keys = append(keys, k)
			first := l.ask(a, k, "x", time.Second, backendRuns)
			require.NoError(t, first.err)
			require.Equal(t, codes.OrderRunning, l.ask(b, k, "x", time.Second, backendRuns).code(), "the answer is not recorded yet")
			l.advance(10 * time.Second)
			repeat := l.ask(a, k, "x", time.Second, backendRuns)
			require.NoError(t, repeat.err)
			require.True(t, repeat.result.Replayed)
			require.Equal(t, codes.OrderMismatch, l.ask(a, k, "y", time.Second, backendRuns).code())
		}
		require.Equal(t, 60, a.orders.Stats().Pending)
		short, cancel := context.WithCancel(a.ctx)
		cancel()
		require.Error(t, a.orders.Drain(short), "answers are not recorded")
		drained := false
		go func() {
			drained = a.orders.Drain(a.ctx) == nil
		}()
		l.advance(time.Second)
		require.False(t, drained)
		l.table.SetFault(fakes.FaultNone)
		l.advance(5 * time.Second)
		require.True(t, drained)
		require.Zero(t, a.orders.Stats().Pending)
		for _, k := range keys {
			for _, h := range []*host{a, b} {
				repeat := l.ask(h, k, "x", time.Second, backendRuns)
				require.NoError(t, repeat.err)
				require.Equal(t, answerTo(k, "x"), string(repeat.result.Body))
			}
			require.Equal(t, 1, l.runs[k])
		}
		l.table.SetFault(fakes.FaultUnavailable)
		require.Equal(t, codes.OrderMismatch, l.ask(a, keys[0], "y", time.Second, backendRuns).code())
		l.stop()
	})
}

// Guards against a second run of an issued key after a lost answer, a death
// of its host, a restart, or the end of its period; and against a key that
// cannot be used again although its order did not run.
func TestIssuedKeysStayWithTheirRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		short := func(c *order.Config) { c.PrefixPeriod = time.Minute }
		a, b := l.boot("a", 1, short), l.boot("b", 1, short)
		prefix := a.orders.KeyPrefix()
		lost, refused, unused, unrecorded := prefix+"lost", prefix+"refused", prefix+"unused", prefix+"unrecorded"

		require.Equal(t, codes.OrderUnknown, l.ask(a, lost, "x", time.Second, backendLoses).code())
		require.Equal(t, codes.OrderUnknown, l.ask(a, lost, "x", time.Second, backendRuns).code())
		require.Equal(t, codes.OrderUnknown, l.ask(b, lost, "x", time.Second, backendRuns).code())
		require.Equal(t, codes.OrderNotRun, l.ask(a, refused, "x", time.Second, backendRefuses).code())
		require.NoError(t, l.ask(a, refused, "x", time.Second, backendRuns).err)
		slow := l.ask(a, prefix+"slow", "x", time.Second, backendSlow)
		require.Equal(t, codes.OrderRunning, l.ask(a, prefix+"slow", "x", time.Second, backendRuns).code())
		l.advance(4 * time.Second)
		require.NoError(t, slow.err)

		l.advance(time.Minute)
		require.NotEqual(t, prefix, a.orders.KeyPrefix())
		require.NoError(t, l.ask(a, prefix+"next", "x", time.Second, backendRuns).err, "a prefix is accepted for one period longer")
		require.NoError(t, l.ask(a, refused, "x", time.Second, backendRuns).err)
		b.cut = true
		require.Equal(t, codes.OrderRunning, l.ask(b, prefix+"next", "x", time.Second, backendRuns).code(), "a has claimed the key")
		l.advance(time.Minute)
		require.Equal(t, codes.OrderUnknown, l.ask(b, prefix+"next", "x", time.Second, backendRuns).code(), "a has forgotten old claims")
		b.cut = false
		require.Equal(t, codes.OrderExpired, l.ask(a, unused, "x", time.Second, backendRuns).code())
		require.NoError(t, l.ask(a, refused, "x", time.Second, backendRuns).err)
		require.Equal(t, codes.OrderUnknown, l.ask(a, lost, "x", time.Second, backendRuns).code())

		future := strings.Replace(a.orders.KeyPrefix(), "~2~", "~9~", 1) + "future"
		require.Equal(t, codes.OrderExpired, l.ask(a, future, "x", time.Second, backendRuns).code())

		fresh := a.orders.KeyPrefix() + "fresh"
		require.Equal(t, codes.OrderNotRun, l.ask(b, fresh, "x", time.Second, backendRuns).code())
		l.net.SetCut("a", "b", true)
		require.Equal(t, codes.OrderUnknown, l.ask(b, fresh, "x", time.Second, backendRuns).code())
		l.net.SetCut("a", "b", false)

		a.cut = true
		marked := a.orders.KeyPrefix() + "marked"
		require.Equal(t, codes.OrderUnknown, l.ask(a, marked, "x", time.Second, backendLoses).code())
		require.Equal(t, codes.OrderUnknown, l.ask(a, marked, "x", time.Second, backendRuns).code())
		l.advance(3 * time.Minute)
		require.Equal(t, codes.OrderRunning, l.ask(b, marked, "x", time.Second, backendRuns).code(), "a still records the key")
		unrecorded = a.orders.KeyPrefix() + "unrecorded"
		require.NoError(t, l.ask(a, unrecorded, "x", time.Second, backendRuns).err)
		require.Equal(t, codes.OrderRunning, l.ask(b, unrecorded, "x", time.Second, backendRuns).code())
		a.kill()
		synctest.Wait()
		require.Equal(t, codes.OrderUnknown, l.ask(b, unrecorded, "x", time.Second, backendRuns).code())
		a = l.boot("a", 2, short)
		require.Equal(t, codes.OrderUnknown, l.ask(a, unrecorded, "x", time.Second, backendRuns).code())
		require.Equal(t, codes.OrderUnknown, l.ask(b, unrecorded, "x", time.Second, backendRuns).code(), "a new run knows no keys of the old one")
		for k, n := range l.runs {
			require.Equal(t, 1, n, k)
		}
		l.stop()
	})
}

// Guards against a memory that grows without bound while answers cannot be
// recorded.
func TestPendingAnswersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLab(t)
		a := l.boot("a", 1, func(c *order.Config) { c.MaxUnrecordedBytes = 1000 })
		l.table.SetFault(fakes.FaultUnavailable)
		accepted := 0
		for i := range 100 {
			k := fmt.Sprintf("%s%d", a.orders.KeyPrefix(), i)
			if l.ask(a, k, "x", time.Second, backendRuns).err == nil {
				accepted++
			}
		}
		// An encoded answer takes a little over 100 bytes here.
		require.Equal(t, 9, accepted)
		l.table.SetFault(fakes.FaultNone)
		l.advance(5 * time.Second)
		require.NoError(t, l.ask(a, a.orders.KeyPrefix()+"next", "x", time.Second, backendRuns).err)
		l.stop()
	})
}

// Guards against an outage in which orders run twice, and shows how many
// orders run in it: three hosts take 2 orders a second during ten minutes
// without the store, with deadlines of 10 s. One host dies in the middle.
// Refused orders are tried again each minute at another host, and 2% of the
// answered ones are repeated at another host.
func TestOutageOfTenMinutes(t *testing.T) {
	accepted := make(map[bool]int)
	for _, issued := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			l := newLab(t)
			var waited int
			accepted[issued], waited = playOutage(l, issued)
			t.Logf("issued=%t: of 1200 orders %d ran during the outage, %d that waited ran after it", issued, accepted[issued], waited)
			l.heal()
			for k, n := range l.runs {
				require.Equal(t, 1, n, k)
			}
			require.Empty(t, l.judge())
			l.stop()
		})
	}
	require.Zero(t, accepted[false])
	require.Equal(t, 1200, accepted[true])
}

// playOutage returns how many orders ran during the outage, and how many
// waited for its end.
func playOutage(l *lab, issued bool) (ran, waited int) {
	hosts := []*host{l.boot("a", 1, nil), l.boot("b", 1, nil), l.boot("c", 1, nil)}
	l.table.SetFault(fakes.FaultUnavailable)
	again := make(map[int][]int) // orders to try again, by half second
	tries := make(map[int]int)
	start := func(n int) *ask {
		h := hosts[(n+tries[n])%len(hosts)]
		key := fmt.Sprintf("order-%d", n)
		if issued {
			// Earlier attempts were all refused as not run, so a new key is safe.
			key = h.orders.KeyPrefix() + fmt.Sprint(n)
		}
		tries[n]++
		return l.ask(h, key, "x", 10*time.Second, backendRuns)
	}
	asks := make(map[int]*ask)
	for step := range 1200 {
		if step == 600 {
			hosts[2].kill()
			hosts = hosts[:2]
		}
		for _, n := range append(again[step], step) {
			if a := asks[n]; a != nil && a.done && a.err == nil {
				l.ask(hosts[(n+1)%len(hosts)], a.key, "x", 10*time.Second, backendRuns)
				continue
			}
			asks[n] = start(n)
			if !asks[n].done || asks[n].err != nil || n%50 == 0 {
				again[step+120] = append(again[step+120], n)
			}
		}
		l.advance(500 * time.Millisecond)
	}
	ran = len(l.runs)
	l.table.SetFault(fakes.FaultNone)
	l.advance(10 * time.Second)
	return ran, len(l.runs) - ran
}
