package logs

import (
	"sync"
	"time"
)

// limitedLines is how many lines a Limiter allows in a second.
const limitedLines = 5

// Limiter bounds the log lines about events that may come by the thousand, such as refused
// connections. The zero value is ready to use. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	begin   time.Time // of the current second
	allowed int       // lines in it
	skipped int       // events without a line since the last line
}

// Allow reports whether an event may have a line, and how many had none since the last line.
func (l *Limiter) Allow() (skipped int, ok bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.begin) >= time.Second {
		l.begin, l.allowed = now, 0
	}
	if l.allowed == limitedLines {
		l.skipped++
		return 0, false
	}
	l.allowed++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
