package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/retry"
	"azurering/core/timer"
)

// All hosts together must stay inside the budget in each window, however
// many retries are wanted.
func TestHostsTogetherStayInsideBudget(t *testing.T) {
	const hosts, ratio, extra, window = 12, 0.2, 64.0, 10 * time.Second
	clock := timer.NewManual()
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*retry.Budget, hosts)
	for i := range budgets {
		budgets[i] = retry.New(retry.Config{Timer: clock, Ratio: ratio, MinRetries: extra, Window: window})
		budgets[i].SetHosts(hosts)
	}
	const step = 10 * time.Millisecond
	var requests, retries []float64
	for range 60 * int(time.Second/step) {
		clock.Advance(step)
		n, r := 0.0, 0.0
		// Requests come in bursts; each wants as many retries as it can get.
		burst := clock.Now()/(3*time.Second)%2 == 0
		for _, b := range budgets {
			if burst && random.Float64() < 0.1 {
				b.Deposit(core.ServiceID("s"))
				n++
			}
			for b.Withdraw("s") {
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
		require.LessOrEqual(t, r, ratio*n+extra, "window that ends at step %d", end)
	}
}

func TestBudgetAllowsSomeRetries(t *testing.T) {
	clock := timer.NewManual()
	b := retry.New(retry.Config{Timer: clock, Ratio: 0.2, MinRetries: 64})
	b.SetHosts(12)
	require.True(t, b.Withdraw("s"))
	for b.Withdraw("s") {
	}
	for range 20 {
		b.Deposit("s")
	}
	require.True(t, b.Withdraw("s"), "twenty requests earn a retry")
}
