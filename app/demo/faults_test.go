package demo

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a run that ends while a host is still being stopped: the last line of
// the stop would race with the reader of the output.
func TestRunOfFaultsWaitsForStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped := false
		f := &faultInjector{out: io.Discard, duration: time.Second}
		f.stops.Go(func() {
			time.Sleep(time.Minute)
			stopped = true
		})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		f.run(ctx)
		require.True(t, stopped)
	})
}
