package fanout_test

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core/fanout"
)

// storeMax sets a to n if n is greater.
func storeMax(a *atomic.Int64, n int64) {
	for {
		old := a.Load()
		if n <= old || a.CompareAndSwap(old, n) {
			return
		}
	}
}

// Guards against calls that are skipped or made twice, and against more
// concurrent calls than the limit.
func TestEachCallsOnceWithinLimit(t *testing.T) {
	for _, limit := range []int{0, 1, 3, 100} {
		var running, peak atomic.Int64
		calls := make([]atomic.Int64, 50)
		fanout.Each(limit, len(calls), func(i int) {
			storeMax(&peak, running.Add(1))
			calls[i].Add(1)
			running.Add(-1)
		})
		for i := range calls {
			require.EqualValues(t, 1, calls[i].Load())
		}
		require.LessOrEqual(t, peak.Load(), int64(max(1, limit)))
	}
}
