package linger

import (
	"net"
	"sync/atomic"
	"time"
)

// The defaults of Config.
const (
	// DefaultStall allows for a few retransmissions on a lossy link, which back off from
	// 0.2 s.
	DefaultStall = 3 * time.Second
	DefaultQuiet = 2 * time.Second
	// DefaultLimit is the time for the largest send buffer of Linux, 4 MB, at about
	// 0.3 MB/s.
	DefaultLimit = 15 * time.Second
)

// pollInterval is how often the progress of a connection is looked at.
const pollInterval = 200 * time.Millisecond

// Config configures a Closer. Durations that are not positive mean the defaults.
type Config struct {
	// Stall bounds the time without progress while the peer has not acknowledged all.
	Stall time.Duration
	// Quiet bounds the time for which the peer neither sends nor closes after it has
	// acknowledged all.
	Quiet time.Duration
	// Limit bounds the time in all.
	Limit time.Duration
}

// Closer ends TCP connections whose last bytes may still be on the way. It is safe for
// concurrent use.
type Closer struct {
	cfg   Config
	conns atomic.Int64 // of listeners, closed and lingering
}

// New returns a Closer.
func New(cfg Config) *Closer {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&cfg.Stall, DefaultStall)
	setDefault(&cfg.Quiet, DefaultQuiet)
	setDefault(&cfg.Limit, DefaultLimit)
	return &Closer{cfg: cfg}
}

// Drain drops what the peer still sends on a connection whose sending side is closed,
// until the peer closes its side or a bound of the configuration is reached. The caller
// closes the connection afterwards. No other goroutine may set its read deadline.
//
// Without it, a connection that is closed with unread input, or on which input arrives
// after the close, is reset, and the peer loses what has not been delivered to it.
func (l *Closer) Drain(c net.Conn) {
	start := time.Now()
	progress := Progress{}
	progress.Update(c, start)
	buffer := make([]byte, 2<<10)
	for {
		_ = c.SetReadDeadline(time.Now().Add(pollInterval)) // an error shows up in the read
		n, err := c.Read(buffer)
		if err != nil && !isTimeout(err) {
			return
		}
		now := time.Now()
		if n > 0 {
			progress.Changed = now
		}
		progress.Update(c, now)
		if now.Sub(start) > l.cfg.Limit || now.Sub(progress.Changed) > l.patience(progress) {
			return
		}
	}
}

func (l *Closer) patience(p Progress) time.Duration {
	if p.Unacked > 0 {
		return l.cfg.Stall
	}
	return l.cfg.Quiet
}

// Delivering reports whether the peer still receives what was written to a connection:
// some of it is not acknowledged, and within the configuration's Stall some was. p holds
// the state between calls for the same connection.
func (l *Closer) Delivering(c net.Conn, p *Progress) bool {
	now := time.Now()
	p.Update(c, now)
	return p.Unacked > 0 && now.Sub(p.Changed) <= l.cfg.Stall
}

// Progress is how much of what was written to a connection has been delivered. The zero
// value is the beginning.
type Progress struct {
	Unacked int       // bytes; 0 if it is not known
	Changed time.Time // when Unacked last changed
}

// Update reads the state of a connection.
func (p *Progress) Update(c net.Conn, now time.Time) {
	pending, err := ReadPending(c)
	if err != nil {
		pending.Unacked = 0 // only the bounds in time are left
	}
	if pending.Unacked != p.Unacked || p.Changed.IsZero() {
		p.Unacked, p.Changed = pending.Unacked, now
	}
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}
