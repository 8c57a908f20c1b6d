package core

import "time"

// Timer is the timer service. Parts read local monotonic time from it and
// subscribe to periodic ticks. It is safe for concurrent use.
type Timer interface {
	// Now returns the monotonic time since the service started.
	Now() time.Duration
	// NewTicker returns ticks of the given period. A subscriber that is
	// late gets one tick for all that it missed.
	NewTicker(name string, period time.Duration) Ticker
	// After returns a channel that gets the time once, d from now.
	After(d time.Duration) <-chan time.Duration
}

// Ticker is one subscription to the timer service.
type Ticker interface {
	// C returns the channel on which ticks arrive.
	C() <-chan time.Duration
	// Stop ends the subscription. It may be called more than once.
	Stop()
}
