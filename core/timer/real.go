// Package timer implements the timer service in real time and in manual
// (virtual) time.
package timer

import (
	"sync"
	"time"

	"azurering/core"
)

// Real is the timer service on the machine's monotonic clock. It is safe
// for concurrent use.
type Real struct {
	start time.Time
}

// NewReal returns a timer service that starts at zero now.
func NewReal() *Real { return &Real{start: time.Now()} }

// Now implements core.Timer.
func (r *Real) Now() time.Duration { return time.Since(r.start) }

// After implements core.Timer.
func (r *Real) After(d time.Duration) <-chan time.Duration {
	c := make(chan time.Duration, 1)
	time.AfterFunc(d, func() { c <- r.Now() })
	return c
}

// NewTicker implements core.Timer. It starts one goroutine, which ends with
// Stop.
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
			offer(t.c, r.Now())
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

// offer puts a tick into a channel of length one and drops it if an earlier
// tick still waits there.
func offer(c chan time.Duration, now time.Duration) {
	select {
	case c <- now:
	default:
	}
}
