package rates_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/rates"
	"azurering/core/share"
	"azurering/core/timer"
)

func limiterFor(cfg rates.LimiterConfig, names ...core.WorkspaceID) *rates.Limiter {
	l := rates.NewLimiter(cfg)
	limits := share.Limits{Version: 1, Rates: map[core.Resource]share.Limit{}}
	for _, n := range names {
		limits.Rates[core.RateResource(n)] = share.Limit{}
	}
	l.SetLimits(limits)
	return l
}

func loan(rate, burst int64, until time.Duration) []share.Loan {
	return []share.Loan{{Lender: "d", Amount: core.Amount{Rate: rate, Burst: burst}, ExpiresAt: until}}
}

// Guards against a bucket that admits more than its loans allow, or less,
// over any sequence of loans, expiries and requests. The model refills in
// steps of a millisecond.
func TestBucketAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limiterFor(rates.LimiterConfig{}, "w")
		var parts []share.Loan
		var now time.Duration
		tokens := 0.0 // thousandths of a request
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			wait := rapid.IntRange(0, 4000).Draw(t, "ms")
			for range wait {
				held := share.SumLoans(parts, now)
				now += time.Millisecond
				tokens += float64(held.Rate) / 1000
				// An expiry at now ends the loan's burst as well.
				tokens = min(tokens, float64(held.Burst), float64(share.SumLoans(parts, now).Burst))
			}
			if rapid.Bool().Draw(t, "loan") {
				parts = parts[:0:0]
				for i := range rapid.IntRange(0, 3).Draw(t, "parts") {
					a := core.Amount{Rate: rapid.Int64Range(0, 50).Draw(t, "rate") * 1000, Burst: rapid.Int64Range(0, 9000).Draw(t, "burst")}
					until := now + time.Duration(rapid.IntRange(-10, 5000).Draw(t, "until"))*time.Millisecond
					parts = append(parts, share.Loan{Lender: core.DomainID(fmt.Sprint(i)), Amount: a, ExpiresAt: until})
				}
				l.SetLoans(now, "rate/w", parts)
				tokens = min(tokens, float64(share.SumLoans(parts, now).Burst))
			}
			weight := rapid.Int64Range(1, 3000).Draw(t, "weight")
			err := l.Admit(now, "w", weight)
			if diff := tokens - float64(weight); diff > 0.01 || diff < -0.01 {
				require.Equal(t, tokens >= float64(weight), err == nil, "at %s with %.3f tokens for %d", now, tokens, weight)
			}
			if err == nil {
				tokens -= float64(weight)
			}
		}
	})
}

// Guards against a retry-after that is not true: a request after that time
// is admitted, and one just before it is not.
func TestRetryAfterIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, 1_000_000).Draw(t, "rate")
		weight := rapid.Int64Range(1, 5000).Draw(t, "weight")
		for _, early := range []time.Duration{0, 1} {
			l := limiterFor(rates.LimiterConfig{}, "w")
			l.SetLoans(0, "rate/w", loan(rate, 5000, 1<<62))
			var r *rates.RefusedError
			require.ErrorAs(t, l.Admit(0, "w", weight), &r)
			require.Equal(t, codes.RateExceeded, codes.Of(r))
			err := l.Admit(r.RetryAfter-early, "w", weight)
			require.Equal(t, early == 0, err == nil)
		}
	})
}

// Guards against unclear answers to bad input.
func TestAdmitRefusesBadInput(t *testing.T) {
	l := limiterFor(rates.LimiterConfig{}, "w")
	require.Equal(t, codes.NoConfig, codes.Of(l.Admit(0, "other", rates.RequestWeight)))
	require.Equal(t, codes.RequestBad, codes.Of(l.Admit(0, "w", 0)))
	_, err := l.Enqueue(0, "w", -1, time.Second)
	require.Equal(t, codes.RequestBad, codes.Of(err))
	require.Equal(t, codes.NoConfig, codes.Of(l.AdmitResource(0, "shift/1", rates.RequestWeight)))
	require.Equal(t, rates.Stats{}, l.Stats("w"))
}

// Guards against a large workspace that starves small ones: with room for
// one request at a time, workspaces that always have one waiting get the
// same number of turns as one with a full queue.
func TestQueueIsFair(t *testing.T) {
	room := 0
	gate := func() bool {
		if room == 0 {
			return false
		}
		room--
		return true
	}
	names := []core.WorkspaceID{"big", "a", "b"}
	l := limiterFor(rates.LimiterConfig{HasCapacity: gate, MaxWait: time.Hour, MaxQueued: 100}, names...)
	for _, w := range names {
		l.SetLoans(0, core.RateResource(w), loan(1_000_000, 1_000_000, 1<<62))
	}
	now := time.Second
	waiting := map[core.WorkspaceID]*rates.Waiter{}
	push := func(w core.WorkspaceID) {
		ticket, err := l.Enqueue(now, w, rates.RequestWeight, time.Hour)
		require.NoError(t, err)
		waiting[w] = ticket
	}
	for range 150 {
		push("big")
	}
	require.Equal(t, uint64(50), l.Stats("big").Refused, "the queue is not bounded")
	for range 90 {
		for _, w := range names[1:] {
			if waiting[w] == nil {
				push(w)
			}
		}
		room = 1
		l.ProcessQueue(now)
		for _, w := range names[1:] {
			select {
			case err := <-waiting[w].Done():
				require.NoError(t, err)
				waiting[w] = nil
			default:
			}
		}
	}
	for _, w := range names {
		require.InDelta(t, 30, l.Stats(w).Admitted, 2, "workspace %s", w)
	}
	require.Equal(t, uint64(52), l.Stats("big").Refused, "a full queue makes room for the small ones")
}

// Guards against requests that overtake those of their workspace, waits
// beyond the bound, and tokens that are lost to cancelled requests.
func TestWaitForTokens(t *testing.T) {
	l := limiterFor(rates.LimiterConfig{}, "w")
	l.SetLoans(0, "rate/w", loan(1000, 2000, time.Minute))
	first, err := l.Enqueue(0, "w", rates.RequestWeight, time.Second)
	require.NoError(t, err)
	second, err := l.Enqueue(0, "w", rates.RequestWeight, time.Second)
	require.NoError(t, err)
	require.Error(t, l.Admit(time.Second, "w", rates.RequestWeight), "overtook a waiting request")
	l.ProcessQueue(time.Second - 1)
	require.Empty(t, first.Done())
	l.Cancel(second)
	l.ProcessQueue(time.Second)
	require.Error(t, <-first.Done(), "past its bound")
	require.NoError(t, l.Admit(time.Second, "w", rates.RequestWeight), "the token is still there")
}

// Guards against tokens of a lender that raise the bucket above its burst,
// or that do not reach waiting requests.
func TestAddTokens(t *testing.T) {
	l := limiterFor(rates.LimiterConfig{}, "w")
	l.SetLoans(0, "rate/w", loan(1, 1000, time.Minute))
	ticket, err := l.Enqueue(0, "w", 3*rates.RequestWeight, time.Second)
	require.NoError(t, err)
	l.AddTokens(0, "rate/w", 5000)
	require.NoError(t, <-ticket.Done())
	require.NoError(t, l.Admit(0, "w", 1000))
	require.Error(t, l.Admit(0, "w", 1), "tokens above the burst were kept")
}

// Guards against Wait that ignores its context or never returns.
func TestWait(t *testing.T) {
	clock := timer.NewManual()
	l := limiterFor(rates.LimiterConfig{Timer: clock}, "w")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, codes.RequestDeadline, codes.Of(l.Wait(ctx, "w", rates.RequestWeight, time.Second)))
	l.SetLoans(0, "rate/w", loan(1_000_000, 1000, time.Minute))
	clock.Advance(time.Second)
	require.NoError(t, l.Wait(context.Background(), "w", rates.RequestWeight, time.Second))
}

// BenchmarkAdmit measures one admission out of many workspaces in turn.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{8, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			names := make([]core.WorkspaceID, n)
			for i := range names {
				names[i] = core.WorkspaceID(fmt.Sprint("w", i))
			}
			l := limiterFor(rates.LimiterConfig{}, names...)
			for _, w := range names {
				l.SetLoans(0, core.RateResource(w), loan(1<<40, 1<<40, 1<<62))
			}
			b.ReportAllocs()
			now := time.Second
			for i := 0; b.Loop(); i++ {
				now += time.Microsecond
				if err := l.Admit(now, names[i%n], rates.RequestWeight); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
