package fanout_test

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"azurering/core/fanout"
)

// raise sets a to n if n is greater.
func raise(a *atomic.Int64, n int64) {
	for {
		old := a.Load()
		if n <= old || a.CompareAndSwap(old, n) {
			return
		}
	}
}

// Guards against calls that are left out, run twice, or run more at once
// than allowed.
func TestEach(t *testing.T) {
	for _, limit := range []int{0, 1, 3, 100} {
		var busy, most atomic.Int64
		done := make([]atomic.Int64, 50)
		fanout.Each(limit, len(done), func(i int) {
			raise(&most, busy.Add(1))
			done[i].Add(1)
			busy.Add(-1)
		})
		for i := range done {
			require.EqualValues(t, 1, done[i].Load())
		}
		require.LessOrEqual(t, most.Load(), int64(max(1, limit)))
	}
}
