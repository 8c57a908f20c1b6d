package timer

import (
	"context"
	"time"

	"azurering/core"
)

// Every calls step once a period, and whenever something arrives on wake,
// until the context ends. It runs in the caller's goroutine. A nil wake never
// wakes it.
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
