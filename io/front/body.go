package front

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/io/accept"
)

// minBodyRate is the rate in bytes per second at which a body must arrive, after a time
// of the idle timeout. It is that of the slowest links that callers have.
const minBodyRate = 4 << 10

// wideReadBuffer is the receive buffer in bytes for long bodies: what arrives at 30 MB/s
// within the round trip of 6 ms to callers.
const wideReadBuffer = 192 << 10

var errBodyTooLarge = errors.New("front: request body is over the size limit")

// bodyReader reads a request body. It fails when the body is over the limit, or arrives so
// slowly that the request cannot be served. It is used by one goroutine at a time.
type bodyReader struct {
	conn   *conn
	source io.Reader
	limits core.Limits
	begin  time.Time
	giveUp time.Time // when the caller's own timeout ends; zero if it sent none
	read   int64     // bytes
	marked int64     // value of read at the last progress
}

func newBodyReader(c *conn, source io.Reader, call *core.Call, limits core.Limits) *bodyReader {
	b := &bodyReader{conn: c, source: source, limits: limits, begin: time.Now()}
	if call.Timeout > 0 {
		b.giveUp = b.begin.Add(call.Timeout)
	}
	return b
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if limit := b.limits.MaxBodyBytes; limit > 0 {
		p = p[:min(int64(len(p)), limit-b.read+1)] // one more, to see that the body goes on
	}
	b.conn.setReadDeadline(b.deadline(time.Now()))
	n, err := b.source.Read(p)
	b.read += int64(n)
	if b.read >= b.marked+progressBytes {
		b.marked = b.read
		b.conn.recordBodyProgress()
	}
	if b.read > accept.FullReadBuffer {
		b.conn.widen()
	}
	if b.limits.MaxBodyBytes > 0 && b.read > b.limits.MaxBodyBytes {
		return n, codes.Wrap(errBodyTooLarge, codes.RequestTooLarge, "front: more than %d bytes of a request body arrived", b.limits.MaxBodyBytes)
	}
	return n, err
}

// deadline returns when the next bytes must have arrived.
func (b *bodyReader) deadline(now time.Time) time.Time {
	until := now.Add(b.limits.IdleTimeout)
	slow := b.begin.Add(b.limits.IdleTimeout + time.Duration(b.read)*time.Second/minBodyRate)
	for _, other := range []time.Time{slow, b.giveUp} {
		if !other.IsZero() && other.Before(until) {
			until = other
		}
	}
	return until
}

// widen lets more bytes of a long body be on the way, if there is memory for them.
func (c *conn) widen() {
	if c.isWide || !c.unread.Take(wideReadBuffer) {
		return
	}
	c.isWide = true
	c.setReadBuffer(wideReadBuffer)
}

// narrow undoes widen.
func (c *conn) narrow() {
	if !c.isWide {
		return
	}
	c.isWide = false
	c.setReadBuffer(accept.FullReadBuffer)
	c.unread.Resize(accept.FullReadBuffer)
}

func (c *conn) setReadBuffer(bytes int) {
	if b, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = b.SetReadBuffer(bytes) // it only changes how fast the caller can send
	}
}

// stopBody makes the reading of the body of the last request fail.
func (c *conn) stopBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyStopped = true
	_ = c.SetReadDeadline(time.Unix(0, 0))
}
