package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
)

const (
	// maxJoinedBody is the size in bytes up to which a body is copied behind its head, to
	// be written in one call.
	maxJoinedBody = 64 << 10
	// writeTimeout bounds each write of a response.
	writeTimeout = 10 * time.Second
)

var (
	errTruncated  = errors.New("front: response of the server is truncated")
	errNotHandled = errors.New("front: connection ended before the request was handled")
)

// writeLoop writes the responses in the order of the requests.
func (c *conn) writeLoop() {
	for x := range c.exchanges {
		if x.interim {
			c.beginWriting()
			_, _ = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows up when the response is written
			c.endWriting()
			continue
		}
		reply := <-x.reply
		if c.ctx.Err() != nil {
			reply.Close()
			x.claim.Release()
			continue
		}
		closeAfter := x.closeAfter || c.closesAfterResponse()
		isStreamed := reply.BodyRest != nil
		err := c.writeResponse(x, reply, closeAfter)
		c.endWriting()
		x.claim.Release()
		switch {
		case errors.Is(err, errTruncated):
			c.endWrite(EndBroken) // the end of the connection shows the caller that the response is truncated
			continue
		case err != nil:
			c.endWrite(EndUnwritten)
			continue
		}
		if isStreamed {
			x.setComplete()
		}
		c.mu.Lock()
		c.inFlight--
		c.closing = c.closing || closeAfter
		if c.closesIdle && c.inFlight == 0 {
			c.setReadDeadlineLocked(time.Now().Add(closeDelay)) // the goroutine that reads has the idle timeout of before
		}
		c.mu.Unlock()
		select {
		case c.answered <- struct{}{}:
		default: // the goroutine that reads has not seen the last one
		}
		if closeAfter {
			c.endWrite(EndAnswered)
		}
	}
}

// closesAfterResponse reports whether the connection closes after the response to
// the only request in flight. From then on no further request is read.
func (c *conn) closesAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || c.server.shuttingDown.Load() && c.inFlight == 1
	return c.closing && c.inFlight == 1
}

// writeResponse writes a response and closes it. After an error the response
// is incomplete, and the caller can tell by its length or chunks.
func (c *conn) writeResponse(x *exchange, r *core.Reply, closeAfter bool) error {
	defer r.Close()
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer does not fail
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	hasNoBody := x.call != nil && x.call.Method == http.MethodHead || r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	isChunked := r.ContentLength < 0 && r.BodyRest != nil
	switch {
	case isChunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case !hasNoBody || r.ContentLength > 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	c.beginWriting()
	if hasNoBody {
		_, err := c.Write(b.Bytes())
		return err
	}
	if !isChunked {
		if err := c.writeHeadAndBody(&b, r.Body); err != nil || r.BodyRest == nil {
			return err
		}
		r.ReleaseBody() // the rest may take long
		return c.streamRest(r, func(p []byte) error { _, err := c.Write(p); return err })
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return err
	}
	if err := c.writeChunk(r.Body); err != nil {
		return err
	}
	r.ReleaseBody()
	if err := c.streamRest(r, c.writeChunk); err != nil {
		return err
	}
	_, err := io.WriteString(c.Conn, "0\r\n\r\n")
	return err
}

// writeHeadAndBody writes a short body together with the head.
func (c *conn) writeHeadAndBody(head *bytes.Buffer, body []byte) error {
	if len(body) <= maxJoinedBody {
		head.Write(body)
		body = nil
	}
	if _, err := c.Write(head.Bytes()); err != nil || len(body) == 0 {
		return err
	}
	_, err := c.Write(body)
	return err
}

func (c *conn) writeChunk(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	if _, err := io.WriteString(c.Conn, strconv.FormatInt(int64(len(p)), 16)+"\r\n"); err != nil {
		return err
	}
	if _, err := c.Write(p); err != nil {
		return err
	}
	_, err := io.WriteString(c.Conn, "\r\n")
	return err
}

// streamRest writes the rest of a body. It fails if the rest is truncated. A caller that
// disconnects ends the wait for it.
func (c *conn) streamRest(r *core.Reply, write func([]byte) error) error {
	stop := context.AfterFunc(c.ctx, func() { _ = r.BodyRest.Close() })
	defer stop()
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.BodyRest.Read(buffer)
		if n > 0 {
			c.beginWriting()
			if err := write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithMessage(errTruncated, err.Error())
		}
	}
}

// beginWriting sets the deadline of a write that follows.
func (c *conn) beginWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutsWrites {
		return
	}
	c.writingSince = time.Now()
	_ = c.SetWriteDeadline(c.writingSince.Add(writeTimeout)) // an error shows up in the write
}

// endWriting is called after a response.
func (c *conn) endWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
	c.phaseSince = time.Now()
}
