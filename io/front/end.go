package front

import (
	"time"

	"github.com/pkg/errors"

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
	EndEvicted   EndReason = "evicted"   // closed in favor of others, for its place or its memory
	EndRefused   EndReason = "refused"   // not served, as all others were being served
)

var errNotServed = errors.New("front: connection was not served")

// End describes how a connection of a caller ended.
type End struct {
	Address string // of the caller
	Reason  EndReason
	// Pending is what the kernel held when the connection was closed. It is unknown if
	// PendingErr is set.
	Pending    linger.Pending
	PendingErr error
	Age        time.Duration
	Lingered   time.Duration // from the end of the last response to the close
}

// setEnd records why the connection ends. The first reason counts.
func (c *conn) setEnd(r EndReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endReason == "" {
		c.endReason = r
	}
}

// endWrite is called after the last write, and makes the goroutine that reads stop, so
// that the connection ends. Requests pipelined behind the last response get none.
func (c *conn) endWrite(r EndReason) {
	c.setEnd(r)
	c.cancel()
	halfClosed := false
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && r != EndUnwritten {
		halfClosed = w.CloseWrite() == nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeEnded, c.halfClosed, c.phaseSince = true, halfClosed, time.Now()
	_ = c.SetReadDeadline(time.Unix(0, 0))
}

func (c *conn) hasWriteEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeEnded
}

// setReadDeadline sets the read deadline, unless reading must end.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadlineLocked(t)
}

// setReadDeadlineLocked is setReadDeadline with c.mu held.
func (c *conn) setReadDeadlineLocked(t time.Time) {
	if !c.writeEnded && !c.bodyStopped && !c.evicted {
		_ = c.SetReadDeadline(t) // an error shows up in the read
	}
}

// end closes the connection, once nothing is read or written any more. The caller may
// not have received all responses yet, and may go on sending until it has.
func (c *conn) end() {
	start := time.Now()
	if c.halfClosed {
		closer := c.server.cfg.Closer
		if c.isEvicted() {
			closer = c.server.evictCloser
		}
		closer.Drain(c.Conn)
	}
	if report := c.server.cfg.OnEnd; report != nil {
		e := End{Address: c.RemoteAddr().String(), Reason: c.endReason, Age: time.Since(c.opened), Lingered: time.Since(start)}
		e.Pending, e.PendingErr = linger.ReadPending(c.Conn)
		report(e)
	}
	_ = c.Close()
}
