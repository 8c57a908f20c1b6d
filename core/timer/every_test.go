package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core/timer"
)

// A periodic task that misses a wake-up acts too late, and one that runs on
// after its context was canceled acts for an owner that has stopped.
func TestEveryStepsOnTickAndWakeUntilTheEnd(t *testing.T) {
	clock := timer.NewManual()
	ctx, cancel := context.WithCancel(context.Background())
	wake, steps, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		timer.Every(ctx, clock, "test", time.Second, wake, func(context.Context) { steps <- struct{}{} })
	}()
	wake <- struct{}{} // once it is received, Every has subscribed
	<-steps
	clock.Advance(time.Second)
	<-steps
	cancel()
	<-done
	clock.Advance(time.Minute)
	select {
	case <-steps:
		require.Fail(t, "step was called after the context was canceled")
	default:
	}
}
