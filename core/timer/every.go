package timer

import (
	"context"
	"time"

	"azurering/core"
)

// Every calls step once per period, and whenever a value arrives on wake,
// until ctx is done. It calls step in the caller's goroutine. The first tick
// comes after one period. Ticks that pass while step runs are merged into one.
// Name is passed to t.NewTicker; Real and Manual ignore it. Wake may be nil.
func Every(ctx context.Context, t core.Timer, name string, period time.Duration, wake <-chan struct{}, step func(context.Context)) {
	ticks := t.NewTicker(name, period)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		case <-wake:
		}
		step(ctx)
	}
}
