package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core/timer"
)

// A duty that misses its wake-up or goes on after its end would hold on to
// what its owner has given up.
func TestEveryStepsOnTickAndWakeUntilTheEnd(t *testing.T) {
	clock := timer.NewManual()
	ctx, cancel := context.WithCancel(context.Background())
	wake, steps, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		timer.Every(ctx, clock, "test", time.Second, wake, func(context.Context) { steps <- struct{}{} })
	}()
	wake <- struct{}{} // taken, so that the duty has subscribed
	<-steps
	clock.Advance(time.Second)
	<-steps
	cancel()
	<-done
	clock.Advance(time.Minute)
	select {
	case <-steps:
		require.Fail(t, "a step after the end")
	default:
	}
}
