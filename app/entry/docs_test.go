package entry_test

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

func metricNames(t *testing.T, pattern string, paths ...string) map[string]bool {
	t.Helper()
	out := make(map[string]bool)
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, m := range regexp.MustCompile(pattern).FindAllSubmatch(raw, -1) {
			out[string(m[1])] = true
		}
	}
	return out
}

// Guards against a metric that the operators' page lacks, and against one that
// the page still lists after the code dropped it.
func TestPageListsAllMetrics(t *testing.T) {
	declared := metricNames(t, `"(azurering_[a-z_]+)"`, "gauges.go", "../../io/metric/metric.go")
	require.NotEmpty(t, declared)
	require.Equal(t, declared, metricNames(t, "(?m)^\\| `(azurering_[a-z_]+)` \\|", "../../docs/OPERATE.md"))
}
