package core

import "time"

// Timer provides local monotonic time and periodic ticks. Tests replace it by
// one that they advance. It is safe for concurrent use.
type Timer interface {
	// Now returns the monotonic time since the timer started.
	Now() time.Duration
	// NewTicker returns ticks of the given period. Ticks that a slow
	// subscriber missed are merged into one. The name identifies the
	// subscription in diagnostics.
	NewTicker(name string, period time.Duration) Ticker
	// After returns a channel that receives the time once, after d.
	After(d time.Duration) <-chan time.Duration
}

// Ticker is a subscription to a Timer.
type Ticker interface {
	// C returns the channel on which ticks arrive.
	C() <-chan time.Duration
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
