package front

import (
	"time"

	"azurering/io/linger"
)

// EndReason says why a connection of a caller ended.
type EndReason string

// The reasons for which connections end.
const (
	EndAnswered  EndReason = "answered"  // the last response was written and announced the close
	EndBroken    EndReason = "broken"    // a response broke off because its server did
	EndRejected  EndReason = "rejected"  // a request could not be read
	EndIdle      EndReason = "idle"      // no request began within the idle timeout
	EndStopped   EndReason = "stopped"   // idle when the server closed
	EndCaller    EndReason = "caller"    // the caller disconnected
	EndUnwritten EndReason = "unwritten" // a response could not be written
)

// End describes how a connection of a caller ended.
type End struct {
	Address string // of the caller
	Reason  EndReason
	// Pending is what the kernel held when the connection was closed. It is unknown if
	// PendingErr is set.
	Pending    linger.Pending
	PendingErr error
	Age        time.Duration
}

// setEnd records why the connection ends. The first reason counts.
func (c *conn) setEnd(r EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason == "" {
		c.endReason = r
	}
}

// reportEnd calls OnEnd, once. It is called before the socket is closed.
func (c *conn) reportEnd() {
	if c.server.cfg.OnEnd == nil {
		return
	}
	c.mu.Lock()
	if c.reported {
		c.mu.Unlock()
		return
	}
	c.reported = true
	e := End{Address: c.RemoteAddr().String(), Reason: c.endReason, Age: time.Since(c.opened)}
	c.mu.Unlock()
	e.Pending, e.PendingErr = linger.ReadPending(c.Conn)
	e.Pending.Unread += c.reader.Buffered()
	c.server.cfg.OnEnd(e)
}
