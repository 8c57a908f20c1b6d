package bench_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/bench"
)

// Guards against steering that sends callers to a drained domain, leaves them
// without an answer or overloads a region, or whose 99th percentile latency
// is worse than the better baseline's, in any scenario of either deployment.
func TestPolicies(t *testing.T) {
	cfg := bench.PolicyConfig{Seed: 1, Seconds: 300}
	if os.Getenv("AZURERING_BENCH") != "" {
		cfg.Seconds = 900
	}
	results := bench.Policies(cfg)
	t.Log("\n" + bench.PolicyTable(results))
	for i := 0; i < len(results); i += 3 {
		steered, nearest, least := results[i], results[i+1], results[i+2]
		require.Zero(t, steered.Violations, "%s, %s", steered.Deployment, steered.Scenario)
		require.LessOrEqual(t, steered.P99, min(nearest.P99, least.P99), "%s, %s", steered.Deployment, steered.Scenario)
	}
}
