package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/retry"
	"azurering/core/timer"
)

// When servers fail, every host wants as many retries as it can get. In no
// window may all hosts together exceed the budget, in small fleets and in those in
// which the part of a host is less than one retry, and also if the hosts need no
// retries for a while and then all at once.
func TestHostsTogetherStayInsideBudget(t *testing.T) {
	for _, c := range []struct {
		hosts  int
		extra  float64
		demand float64 // probability that a host gets a request in 10 ms of a burst
	}{
		{12, 64, 0.1},
		{8, 56, 0.1},
		{81, 202, 0.1},
		{81, 202, 0.001},
		{76, 192, 0},
		{40, 64, 0},
		{100, 64, 0.01},
		{300, 64, 0.1},
		{300, 64, 0},
		{1000, 640, 0.001},
	} {
		for _, pause := range []time.Duration{0, 4 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprintf("%d hosts, demand %v, pause %v", c.hosts, c.demand, pause), func(t *testing.T) {
				checkBudget(t, c.hosts, c.extra, c.demand, pause)
			})
		}
	}
}

func checkBudget(t *testing.T, hosts int, extra, demand float64, pause time.Duration) {
	t.Helper()
	const ratio, window = 0.2, 10 * time.Second
	clock := timer.NewManual()
	random, earning := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4))
	budgets := make([]*retry.Budget, hosts)
	for i := range budgets {
		budgets[i] = retry.New(retry.Config{Timer: clock, Ratio: ratio, MinRetries: extra, Window: window, Random: earning.Float64})
		budgets[i].SetHosts(hosts)
	}
	const step = 10 * time.Millisecond
	var requests, retries []float64
	for range 60 * int(time.Second/step) {
		clock.Advance(step)
		n, r := 0.0, 0.0
		// Requests come in bursts. Each host takes all the retries it can get, in a
		// second after each pause.
		burst := clock.Now()/(3*time.Second)%2 == 0
		for _, b := range budgets {
			if burst && random.Float64() < demand {
				b.Deposit(core.ServiceID("s"))
				n++
			}
			for clock.Now()%(pause+time.Second) >= pause && b.Withdraw("s") {
				r++
			}
		}
		requests, retries = append(requests, n), append(retries, r)
	}
	width := int(window / step)
	for end := width; end <= len(requests); end++ {
		n, r := 0.0, 0.0
		for i := end - width; i < end; i++ {
			n += requests[i]
			r += retries[i]
		}
		require.LessOrEqual(t, r, ratio*n+extra, "window ending at step %d", end)
	}
}

// Guards against a large fleet in which no host can retry, although its requests
// earn retries.
func TestHostsOfALargeFleetRetry(t *testing.T) {
	const hosts, requests = 300, 200
	clock := timer.NewManual()
	random := rand.New(rand.NewPCG(5, 6))
	retries := 0
	for range hosts {
		b := retry.New(retry.Config{Timer: clock, Ratio: 0.2, MinRetries: 64, Random: random.Float64})
		b.SetHosts(hosts)
		for range requests {
			b.Deposit("s")
			if b.Withdraw("s") {
				retries++
			}
		}
	}
	require.InDelta(t, 0.15*hosts*requests, retries, 0.03*hosts*requests)
}

// Guards against hosts that have just started, do not know of one another yet, and
// each take the whole budget.
func TestHostsThatStartTogetherStayInsideBudget(t *testing.T) {
	const hosts, extra = 12, 64.0
	clock := timer.NewManual()
	budgets := make([]*retry.Budget, hosts)
	retries := 0.0
	withdraw := func() {
		for _, b := range budgets {
			for b.Withdraw("s") {
				retries++
			}
		}
	}
	for i := range budgets {
		budgets[i] = retry.New(retry.Config{Timer: clock, Ratio: 0.2, MinRetries: extra})
	}
	withdraw()
	clock.Advance(time.Second)
	withdraw()
	for _, b := range budgets {
		b.SetHosts(hosts)
	}
	withdraw()
	require.LessOrEqual(t, retries, extra)
	require.GreaterOrEqual(t, retries, float64(hosts), "a host that knows the others has a part")
}

// A budget that is spent must fill again with new requests, or retries would
// stay blocked after a failure.
func TestRequestsRefillBudget(t *testing.T) {
	clock := timer.NewManual()
	b := retry.New(retry.Config{Timer: clock, Ratio: 0.2, MinRetries: 64})
	b.SetHosts(12)
	require.True(t, b.Withdraw("s"))
	for b.Withdraw("s") {
	}
	for range 20 {
		b.Deposit("s")
	}
	require.True(t, b.Withdraw("s"), "twenty requests must add at least one retry")
}
