// Package timer implements core.Timer: Real follows the machine's clock and is
// used by running hosts, Manual follows a test's or a simulation's virtual
// time. Every runs a periodic task on either.
package timer

import (
	"sync"
	"time"

	"azurering/core"
)

// Real is a core.Timer on the machine's monotonic clock. It is safe for
// concurrent use.
type Real struct {
	start time.Time
}

// NewReal returns a timer whose time starts at zero now.
func NewReal() *Real { return &Real{start: time.Now()} }

// Now implements core.Timer.
func (r *Real) Now() time.Duration { return time.Since(r.start) }

// After implements core.Timer.
func (r *Real) After(d time.Duration) <-chan time.Duration {
	c := make(chan time.Duration, 1)
	time.AfterFunc(d, func() { c <- r.Now() })
	return c
}

// NewTicker implements core.Timer. It starts a goroutine that runs until Stop
// is called.
func (r *Real) NewTicker(_ string, period time.Duration) core.Ticker {
	t := &realTicks{c: make(chan time.Duration, 1), stop: make(chan struct{}), ticker: time.NewTicker(period)}
	go t.run(r)
	return t
}

type realTicks struct {
	c      chan time.Duration
	stop   chan struct{}
	once   sync.Once
	ticker *time.Ticker
}

func (t *realTicks) run(r *Real) {
	for {
		select {
		case <-t.stop:
			return
		case <-t.ticker.C:
			sendTick(t.c, r.Now())
		}
	}
}

func (t *realTicks) C() <-chan time.Duration { return t.c }

func (t *realTicks) Stop() {
	t.once.Do(func() {
		t.ticker.Stop()
		close(t.stop)
	})
}

// sendTick sends a tick to a channel of capacity one. It drops the tick if an
// earlier one has not been received yet.
func sendTick(c chan time.Duration, now time.Duration) {
	select {
	case c <- now:
	default:
	}
}
