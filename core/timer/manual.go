package timer

import (
	"sync"
	"time"

	"azurering/core"
)

// Manual is a timer service whose time moves only by Advance. It is meant
// for tests and safe for concurrent use.
type Manual struct {
	mu     sync.Mutex
	now    time.Duration
	ticks  []*manualTicks
	alarms []alarm
}

type alarm struct {
	at time.Duration
	c  chan time.Duration
}

// NewManual returns a manual timer service at time zero.
func NewManual() *Manual { return &Manual{} }

// Now implements core.Timer.
func (m *Manual) Now() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves time forward by d and fires what became due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += d
	for _, t := range m.ticks {
		t.fire(m.now)
	}
	m.fireAlarms()
}

func (m *Manual) fireAlarms() {
	var rest []alarm
	for _, a := range m.alarms {
		if a.at <= m.now {
			a.c <- m.now
			continue
		}
		rest = append(rest, a)
	}
	m.alarms = rest
}

// After implements core.Timer.
func (m *Manual) After(d time.Duration) <-chan time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := make(chan time.Duration, 1)
	m.alarms = append(m.alarms, alarm{at: m.now + d, c: c})
	m.fireAlarms()
	return c
}

// NewTicker implements core.Timer.
func (m *Manual) NewTicker(_ string, period time.Duration) core.Ticker {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTicks{timer: m, c: make(chan time.Duration, 1), period: period, next: m.now + period}
	m.ticks = append(m.ticks, t)
	return t
}

type manualTicks struct {
	timer  *Manual
	c      chan time.Duration
	period time.Duration
	next   time.Duration
}

func (t *manualTicks) fire(now time.Duration) {
	if now < t.next {
		return
	}
	offer(t.c, now)
	t.next = now + t.period
}

func (t *manualTicks) C() <-chan time.Duration { return t.c }

func (t *manualTicks) Stop() {
	t.timer.mu.Lock()
	defer t.timer.mu.Unlock()
	for i, other := range t.timer.ticks {
		if other == t {
			t.timer.ticks = append(t.timer.ticks[:i], t.timer.ticks[i+1:]...)
			return
		}
	}
}
