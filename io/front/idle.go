package front

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
)

// awaitRequest waits for the first byte of a request, and returns false if none comes.
// The idle timeout does not apply while requests are in flight or their responses are
// being delivered.
func (c *conn) awaitRequest(limits core.Limits) bool {
	for c.setIdleDeadline(limits.IdleTimeout) {
		_, err := c.reader.Peek(1)
		if err == nil {
			return true
		}
		var timeout net.Error
		timedOut := errors.As(err, &timeout) && timeout.Timeout()
		if timedOut && (c.hasInFlight() || c.server.cfg.Closer.Delivering(c.Conn, &c.delivery)) {
			continue
		}
		c.setEnd(c.idleEndReason(timedOut))
		c.cancel()
		return false
	}
	return false
}

// setIdleDeadline sets the time by which the next request must begin. It returns
// false if reading must stop: a closing connection takes no more requests, but
// is read while one is in flight, to detect a disconnect.
func (c *conn) setIdleDeadline(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeEnded || c.evicted || c.closing && c.inFlight == 0 {
		return false
	}
	if c.closesIdle {
		idle = closeDelay
	}
	c.setReadDeadlineLocked(time.Now().Add(idle))
	return true
}

func (c *conn) hasInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight > 0
}

// idleEndReason returns why the wait for a request ended.
func (c *conn) idleEndReason(timedOut bool) EndReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !timedOut:
		return EndCaller
	case c.closesIdle:
		return EndStopped
	}
	return EndIdle
}

// closeIdle closes the connection once no request is in flight and none arrives within
// closeDelay.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesIdle = true
	if c.inFlight == 0 {
		c.setReadDeadlineLocked(time.Now().Add(closeDelay))
	}
}
