package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/proxy"
)

const (
	// pipeline bounds the requests under way on one connection.
	pipeline = 16
	// keepBody bounds the request body that is read whole before the
	// request is passed on, so that it can be repeated.
	keepBody = 1 << 20
	// writeTimeout bounds the time without progress of an answer.
	writeTimeout = 10 * time.Second
	readBuffer   = 8 << 10
	// defaultIdle, defaultHeader and defaultHeaderBytes count before the
	// first configuration.
	defaultIdle        = 15 * time.Second
	defaultHeader      = 3 * time.Second
	defaultHeaderBytes = 16 << 10
)

var errHeaderLarge = errors.New("front: head of the request is too large")

// conn is one connection of a caller. One goroutine reads requests, one
// writes answers in order, and each request has one of its own.
type conn struct {
	net.Conn
	server *Server
	head   *headReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	turns  chan *turn

	mu      sync.Mutex
	busy    int // requests read and not answered
	closing bool
}

// turn is one request and the place of its answer.
type turn struct {
	call  *core.Call
	reply chan *core.Reply
	last  bool // the connection closes after the answer
	// interim asks for the word that the caller may send its body; there is
	// no request and no answer.
	interim bool
}

// headReader bounds the bytes of a request's head.
type headReader struct {
	io.Reader
	left int // negative: not bounded
}

func (h *headReader) Read(p []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeaderLarge
	}
	if h.left > 0 && len(p) > h.left {
		p = p[:h.left]
	}
	n, err := h.Reader.Read(p)
	if h.left > 0 {
		h.left -= n
	}
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, head: &headReader{Reader: raw}, turns: make(chan *turn, pipeline)}
	c.reader = bufio.NewReaderSize(c.head, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) limits() core.Limits {
	l := c.server.cfg.Limits()
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdle
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeader
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	return l
}

func (c *conn) run() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.readAll()
	close(c.turns)
	<-written
	c.cancel()
	_ = c.Close()
	c.server.forget(c)
}

// readAll reads requests until the caller leaves or the connection closes.
func (c *conn) readAll() {
	for {
		t, err := c.next()
		if err != nil {
			c.refuse(err)
			return
		}
		if t == nil {
			return
		}
		c.turns <- t
		go func() { t.reply <- c.server.cfg.Handle(c.ctx, t.call) }()
		if t.last || t.call.BodyRest != nil {
			// What follows was not read, so that the caller sends it again.
			c.watch(t)
			return
		}
	}
}

// watch notices that the caller leaves while its last request is under way.
// A body that is streamed is read by the request itself.
func (c *conn) watch(t *turn) {
	if t.call.BodyRest != nil {
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	c.head.left = -1
	_, err := io.Copy(io.Discard, c.reader)
	if c.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
		c.cancel()
	}
}

// next reads one request. It returns nil when the connection is to be
// closed without an answer.
func (c *conn) next() (*turn, error) {
	limits := c.limits()
	c.head.left = limits.MaxHeaderBytes + readBuffer
	if err := c.awaitByte(limits); err != nil {
		return nil, nil //nolint:nilerr // the caller left or was idle for too long
	}
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return nil, nil
	}
	c.busy++
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, readError(err)
	}
	c.head.left = -1
	call := &core.Call{
		Method: req.Method, Target: req.RequestURI, Host: req.Host, Header: req.Header, ContentLength: req.ContentLength,
		Arrived: c.server.cfg.Timer.Now(),
	}
	call.Path, _, _ = strings.Cut(call.Target, "?")
	if !strings.HasPrefix(call.Path, "/") {
		call.Path = req.URL.EscapedPath()
		call.Target = req.URL.RequestURI()
	}
	c.server.cfg.Dialect.ParseRequest(call)
	if err := c.readBody(call, req, limits); err != nil {
		return nil, err
	}
	last := req.Close || c.server.leaving.Load()
	return &turn{call: call, reply: make(chan *core.Reply, 1), last: last}, nil
}

// awaitByte waits for the first byte of a request. While requests are under
// way the connection is not idle.
func (c *conn) awaitByte(limits core.Limits) error {
	for {
		if !c.wait(limits.IdleTimeout) {
			return net.ErrClosed
		}
		_, err := c.reader.Peek(1)
		var timeout net.Error
		if err != nil && errors.As(err, &timeout) && timeout.Timeout() && c.isBusy() {
			continue
		}
		if err != nil {
			c.cancel()
		}
		return err
	}
}

// wait sets how long the next request may take to begin. It reports whether
// there may be one: a connection that is to be closed takes none, but is
// read while a request is under way, as its caller may leave.
func (c *conn) wait(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.busy == 0 {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(idle)) // a closed connection shows at the read
	return true
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy > 0
}

// readBody reads the body whole if it is small.
func (c *conn) readBody(call *core.Call, req *http.Request, limits core.Limits) error {
	if req.ContentLength == 0 {
		return nil
	}
	if limits.MaxBodyBytes > 0 && req.ContentLength > limits.MaxBodyBytes {
		return codes.New(codes.RequestTooLarge, "front: body is over %d bytes", limits.MaxBodyBytes)
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		c.turns <- &turn{interim: true} // behind the answers to earlier requests
	}
	_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(req.Body, keepBody))
	if err != nil {
		return readError(err)
	}
	call.Body = b.Bytes()
	if n == keepBody {
		call.BodyRest = req.Body
		return nil
	}
	call.ContentLength = n
	return nil
}

// readError gives a failed read its code. Callers that left get no answer.
func readError(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderLarge):
		return codes.Wrap(err, codes.RequestTooLarge, "front: request")
	case errors.As(err, &timeout) && timeout.Timeout():
		return codes.Wrap(err, codes.RequestSlow, "front: request was not sent in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return codes.Wrap(err, codes.OK, "front: caller left")
	}
	return codes.Wrap(err, codes.RequestBad, "front: request cannot be read")
}

// refusals of requests that were not read whole.
var refusals = map[codes.Code]int{
	codes.RequestTooLarge: http.StatusRequestEntityTooLarge,
	codes.RequestSlow:     http.StatusRequestTimeout,
	codes.RequestBad:      http.StatusBadRequest,
}

// refuse answers a request that was not read whole and ends the connection.
func (c *conn) refuse(err error) {
	code := codes.Of(err)
	status := refusals[code]
	if errors.Is(err, errHeaderLarge) {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	if status == 0 {
		c.cancel()
		return
	}
	c.server.cfg.Log.WithField("code", int(code)).WithError(err).Info("front: request was not read")
	t := &turn{reply: make(chan *core.Reply, 1), last: true}
	t.reply <- proxy.ErrorReply(status, code, err)
	c.turns <- t
}

// write writes the answers in the order of the requests.
func (c *conn) write() {
	for t := range c.turns {
		if t.interim {
			_, _ = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n") // a lost caller shows at the answer
			continue
		}
		reply := <-t.reply
		if c.ctx.Err() != nil {
			closeRest(reply)
			continue
		}
		last := t.last || c.isLast()
		if err := c.send(t, reply, last); err != nil {
			// The answer is cut, so the caller can't take it as whole.
			c.cancel()
			_ = c.Close()
			continue
		}
		c.mu.Lock()
		c.busy--
		c.closing = c.closing || last
		c.mu.Unlock()
		if last {
			c.finish()
		}
	}
}

// isLast reports whether the host is leaving and no other request of the
// connection is under way. No further one is read from then on.
func (c *conn) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || c.server.leaving.Load() && c.busy == 1
	return c.closing && c.busy == 1
}

// finish ends the connection after its last answer. Requests that were sent
// behind it are not answered.
func (c *conn) finish() {
	c.cancel()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// A close with unread bytes would reset the connection and could
		// take the answer with it.
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
}

// lingerTime is how long a caller has to close a connection after the last
// answer: a few round trips.
const lingerTime = 300 * time.Millisecond

// closeIdle closes the connection if no request is under way.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.busy == 0 {
		_ = c.SetReadDeadline(time.Now())
	}
}

func closeRest(r *core.Reply) {
	if r.BodyRest != nil {
		_ = r.BodyRest.Close()
	}
}

// send writes one answer. An error leaves it visibly incomplete.
func (c *conn) send(t *turn, r *core.Reply, last bool) error {
	defer closeRest(r)
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.Status) + " " + http.StatusText(r.Status) + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer does not fail
	if last {
		b.WriteString("Connection: close\r\n")
	}
	bodyless := t.call != nil && t.call.Method == http.MethodHead || r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	chunked := r.ContentLength < 0 && r.BodyRest != nil
	switch {
	case chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case !bodyless || r.ContentLength > 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	}
	b.WriteString("\r\n")
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if bodyless {
		_, err := c.Write(b.Bytes())
		return err
	}
	if !chunked {
		b.Write(r.Body)
		if _, err := c.Write(b.Bytes()); err != nil || r.BodyRest == nil {
			return err
		}
		return c.copyRest(r, func(p []byte) error { _, err := c.Write(p); return err })
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return err
	}
	if err := c.chunk(r.Body); err != nil {
		return err
	}
	if err := c.copyRest(r, c.chunk); err != nil {
		return err
	}
	_, err := io.WriteString(c.Conn, "0\r\n\r\n")
	return err
}

func (c *conn) chunk(p []byte) error {
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

// copyRest streams the rest of a body and fails if it is not whole.
func (c *conn) copyRest(r *core.Reply, write func([]byte) error) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.BodyRest.Read(buffer)
		if n > 0 {
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "front: answer of the server broke off")
		}
	}
}
