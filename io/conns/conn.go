package conns

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
)

const (
	// keepBody bounds the answer that is read whole before any of it goes to
	// the caller. It covers all answers but rare large downloads.
	keepBody = 1 << 20
	// strayAnswers bounds the answers to other requests that are skipped on
	// one connection.
	strayAnswers = 3
	// sentSlack is how long a write may take to return after the answer: the
	// turn of another goroutine on a busy host.
	sentSlack = 20 * time.Millisecond
	// idleMargin is taken off the time for which a server keeps an idle
	// connection, so that a request does not meet its close on the way.
	idleMargin = 0.6
	// idleDefault bounds the idle time if the server does not tell one.
	idleDefault = 4 * time.Second
)

var errStray = errors.New("conns: too many answers to other requests")

// conn is one connection to a server. It carries one request at a time. A
// goroutine reads from it all the time, so that a close or unasked bytes are
// noticed while it is idle.
type conn struct {
	net.Conn
	pool   *Pool
	server core.Instance
	reader *bufio.Reader

	mu        sync.Mutex
	pending   *exchange
	dead      bool
	idle      time.Duration // how long the connection may be idle
	idleUntil time.Duration
}

// exchange is one request on a connection.
type exchange struct {
	id      string
	request *http.Request // what http.ReadResponse needs to frame the answer
	sent    chan struct{} // closed when the request was written whole
	done    chan result
}

// written reports whether the request was written whole. An answer can arrive
// a moment before the write returns; one that comes before the request is
// read ends the connection.
func (x *exchange) written() bool {
	select {
	case <-x.sent:
		return true
	default:
	}
	select {
	case <-x.sent:
		return true
	case <-time.After(sentSlack):
		return false
	}
}

type result struct {
	reply *core.Reply
	meta  core.ReplyMeta
	err   error
}

// begin claims the connection for an exchange. It fails if the server closed
// the connection meanwhile.
func (c *conn) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.pending = x
	return true
}

// kill closes the connection for good.
func (c *conn) kill() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	_ = c.Close()
}

func (c *conn) read() {
	for {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		x := c.pending
		// Closed while idle, unasked bytes, or closed without an answer.
		over := x == nil || err != nil
		c.dead = c.dead || over
		c.mu.Unlock()
		if over {
			c.end(x, err)
			return
		}
		if !c.answer(x) {
			return
		}
	}
}

// end closes the connection and fails the exchange on it.
func (c *conn) end(x *exchange, err error) {
	c.kill()
	c.pool.forget(c)
	if x != nil {
		x.done <- result{err: errors.Wrap(err, "conns: connection ended before the answer")}
	}
}

// answer reads the answer of an exchange and reports whether the connection
// can be used again.
func (c *conn) answer(x *exchange) bool {
	resp, meta, stray, err := c.head(x)
	if err != nil {
		c.end(x, err)
		return false
	}
	body, whole, err := readUpTo(resp.Body, keepBody)
	if err != nil {
		c.end(x, err)
		return false
	}
	reply := &core.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body, ContentLength: resp.ContentLength}
	if !whole {
		reply.BodyRest = &rest{ReadCloser: resp.Body, conn: c}
		x.done <- result{reply: reply, meta: meta}
		// The rest of the body is read by its receiver, who closes the
		// connection afterwards.
		return false
	}
	reply.ContentLength = int64(len(body))
	written := x.written()
	c.mu.Lock()
	reusable := written && !stray && !resp.Close && c.reader.Buffered() == 0 && !c.dead
	c.pending = nil
	c.idle = idleTime(resp.Header)
	c.dead = c.dead || !reusable
	c.mu.Unlock()
	if reusable {
		c.pool.release(c)
	} else {
		_ = c.Close()
		c.pool.forget(c)
	}
	x.done <- result{reply: reply, meta: meta}
	return reusable
}

// head reads the head of the answer. Late answers to other requests are
// skipped; stray reports whether there were any.
func (c *conn) head(x *exchange) (resp *http.Response, meta core.ReplyMeta, stray bool, err error) {
	for range strayAnswers {
		resp, err = http.ReadResponse(c.reader, x.request)
		if err != nil {
			return nil, meta, stray, errors.Wrap(err, "conns: answer cannot be read")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		meta = c.pool.cfg.Dialect.ParseMeta(resp.StatusCode, resp.Header)
		if x.id == "" || meta.ID == x.id || meta.ID == "" && !meta.Stamped {
			return resp, meta, stray, nil
		}
		stray = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, meta, stray, errors.Wrap(err, "conns: answer to another request cannot be read")
		}
	}
	return nil, meta, stray, errStray
}

// readUpTo reads a body until its end or the limit.
func readUpTo(r io.Reader, limit int) (body []byte, whole bool, err error) {
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(r, int64(limit)))
	if err != nil {
		return nil, false, errors.Wrap(err, "conns: answer is not whole")
	}
	return b.Bytes(), n < int64(limit), nil
}

// idleTime reads how long the server keeps the connection open.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(s) * idleMargin * float64(time.Second))
		}
	}
	return idleDefault
}

// rest is the rest of a large body.
type rest struct {
	io.ReadCloser
	conn *conn
}

// Close implements io.Closer. The connection is not used again.
func (r *rest) Close() error {
	r.conn.kill()
	r.conn.pool.forget(r.conn)
	return nil
}
