package conns

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/io/socket"
)

const (
	// maxBufferedBody bounds, in bytes, the response body that is buffered before
	// any of it goes to the caller. Only large downloads are longer. Less is buffered
	// while the bodies of other requests take the memory.
	maxBufferedBody = 1 << 20
	// maxHeadBytes bounds the head of a response. A damaged server may send one
	// without end.
	maxHeadBytes = 256 << 10
	// maxStrayResponses bounds the responses that are read for one request:
	// interim ones, stray ones to other requests, and its own.
	maxStrayResponses = 3
	// writeGrace is how long a write may take to return after the response has
	// arrived, or a response to arrive after a write has failed, because on a busy host
	// another goroutine may run first.
	writeGrace = 20 * time.Millisecond
	// idleFraction is the part of a server's keep-alive timeout during which an
	// idle connection is used, so that a request does not cross the server's
	// close of the connection.
	idleFraction = 0.6
	// defaultIdleTimeout applies if the server sends no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
)

var (
	errTooManyStray   = errors.New("conns: too many interim responses or responses to other requests")
	errNotStamped     = errors.New("conns: successful response lacks the stamp of a backend server")
	errTooManyStreams = errors.New("conns: too many long bodies wait for callers that do not read them")
	errNoResponse     = errors.New("conns: bytes from the server do not open an HTTP/1 response")
)

// conn is a connection to a server. It carries one request at a time. A goroutine
// keeps reading from it, so that a close or unsolicited bytes are detected while
// it is idle.
type conn struct {
	net.Conn
	pool   *Pool
	server core.Instance
	head   *io.LimitedReader // below reader; bounds the bytes that are read for a head
	reader *bufio.Reader

	mu          sync.Mutex
	pending     *exchange
	lastID      string // request id of the last exchange
	closed      bool
	idleTimeout time.Duration // how long the connection may stay idle
	idleUntil   time.Duration
}

// exchange is a request on a connection and the channel for its result.
type exchange struct {
	requestID string        // empty for a health check, and if the caller sent none
	request   *http.Request // tells http.ReadResponse how the response is framed
	written   chan struct{} // closed once the request is written completely
	bodySent  int64         // bytes of the body that were written; set by the goroutine that writes the request
	deadline  time.Time     // of the request, or zero
	stopBody  func()        // ends the reading of the body from the caller; nil if the body is in memory
	done      chan result
}

// wasWritten reports whether the request was written completely. It waits up to
// writeGrace, as a response can arrive just before the write returns. After a
// response to a request that is not written, the connection can't be reused.
func (x *exchange) wasWritten() bool {
	select {
	case <-x.written:
		return true
	default:
	}
	select {
	case <-x.written:
		return true
	case <-time.After(writeGrace):
		return false
	}
}

type result struct {
	reply *core.Reply
	meta  core.ReplyMeta
	err   error
}

// claim assigns the connection to an exchange. It returns false if the connection
// was closed in the meantime, or if its last exchange had the same request id: a late
// copy of that response could not be told from the next one.
func (c *conn) claim(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.lastID == x.requestID {
		return false
	}
	c.pending, c.lastID = x, x.requestID
	return true
}

// shut closes the connection and marks it as closed.
func (c *conn) shut() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.Close()
}

// abandon closes the connection of an exchange that has failed or is given up. What the
// kernel still holds of its request is dropped: it would reach the server when that can be
// reached again, long after the caller was told how the request ended.
func (c *conn) abandon() {
	socket.AbortOnClose(c.Conn)
	c.shut()
}

func (c *conn) readLoop() {
	// A response on which the parser panics ends its exchange, not the process.
	defer func() {
		if p := recover(); p != nil {
			c.mu.Lock()
			x := c.pending
			c.mu.Unlock()
			c.fail(x, errors.Errorf("conns: reading the response panicked: %v; %s", p, debug.Stack()))
		}
	}()
	for {
		_, err := c.reader.Peek(1)
		c.mu.Lock()
		x := c.pending
		// Closed while idle, unsolicited bytes, or closed without a response.
		isClosed := x == nil || err != nil
		c.closed = c.closed || isClosed
		c.mu.Unlock()
		if isClosed {
			c.fail(x, err)
			return
		}
		if !c.readResponse(x) {
			return
		}
	}
}

// fail closes the connection and fails the exchange on it, if any.
func (c *conn) fail(x *exchange, err error) {
	if x == nil {
		c.shut()
		c.pool.remove(c)
		return
	}
	c.abandon()
	c.pool.remove(c)
	x.done <- result{err: errors.Wrap(err, "conns: no complete response from the server")}
}

// readResponse reads the response of an exchange and reports whether readLoop
// continues, because the connection can be reused.
func (c *conn) readResponse(x *exchange) bool {
	resp, meta, hadStray, err := c.readHeader(x)
	if err != nil {
		c.fail(x, err)
		return false
	}
	body, err := c.pool.cfg.Space.Read(resp.Body, maxBufferedBody, resp.ContentLength)
	if err != nil {
		c.fail(x, errors.Wrap(err, "conns: response body is truncated"))
		return false
	}
	reply := &core.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body.Bytes, ContentLength: resp.ContentLength, Release: body.Release}
	if !body.Whole {
		claim := c.pool.cfg.Streams.Claim()
		if !claim.Take(streamBytes) {
			body.Release()
			c.fail(x, errTooManyStreams)
			return false
		}
		reply.BodyRest = &streamedBody{ReadCloser: resp.Body, conn: c, claim: claim, deadline: x.deadline}
		x.done <- result{reply: reply, meta: meta}
		// The receiver of the reply reads the rest of the body and closes the
		// connection afterwards.
		return false
	}
	reply.ContentLength = int64(len(body.Bytes))
	wasWritten := x.wasWritten()
	c.mu.Lock()
	isReusable := wasWritten && !hadStray && !resp.Close && c.reader.Buffered() == 0 && !c.closed && x.requestID != ""
	c.pending = nil
	c.idleTimeout = keepAliveTimeout(resp.Header)
	c.closed = c.closed || !isReusable
	c.mu.Unlock()
	if isReusable {
		c.pool.resetUnackedTimeout(c)
		c.pool.putIdle(c)
	} else {
		if !wasWritten && x.stopBody != nil {
			x.stopBody()
		}
		c.pool.remove(c)
	}
	x.done <- result{reply: reply, meta: meta}
	if !isReusable {
		// The result comes first: closing the connection makes the writing of the
		// request fail.
		_ = c.Close()
	}
	return isReusable
}

// readHeader reads the status line and header of the response. It skips interim
// responses and late responses to other requests; hadStray reports whether there
// were any of the latter. A response belongs to the request whose id it repeats. One
// without an id belongs to the only request of its connection, or to none.
func (c *conn) readHeader(x *exchange) (resp *http.Response, meta core.ReplyMeta, hadStray bool, err error) {
	for range maxStrayResponses {
		c.head.N = maxHeadBytes
		resp, err = http.ReadResponse(c.reader, x.request)
		c.head.N = math.MaxInt64
		if err != nil {
			return nil, meta, hadStray, errors.Wrap(err, "conns: response cannot be parsed")
		}
		if isInterim(resp) {
			continue
		}
		if resp.ProtoMajor != 1 || !core.IsFinalStatus(resp.StatusCode) {
			// What follows has no known meaning either.
			return nil, meta, hadStray, errors.WithMessagef(errNoResponse, "%.40q", resp.Proto+" "+resp.Status)
		}
		meta = c.pool.cfg.Dialect.ParseMeta(resp.StatusCode, resp.Header)
		if meta.ID == x.requestID && x.requestID != "" && !meta.Stamped && resp.StatusCode < http.StatusMultipleChoices {
			return nil, meta, hadStray, errNotStamped
		}
		if meta.ID == x.requestID {
			return resp, meta, hadStray, nil
		}
		hadStray = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, meta, hadStray, errors.Wrap(err, "conns: body of a response to another request cannot be read")
		}
	}
	return nil, meta, hadStray, errTooManyStray
}

// isInterim reports whether a response comes before the final one. Such a response has no
// body. After a 101 the connection would not carry HTTP any more.
func isInterim(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK &&
		resp.StatusCode != http.StatusSwitchingProtocols && resp.Header.Get("Content-Length") == "" && len(resp.TransferEncoding) == 0
}

// keepAliveTimeout returns how long the connection may stay idle, from the
// server's Keep-Alive header.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(float64(s) * idleFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
