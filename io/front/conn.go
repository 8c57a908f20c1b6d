package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/proxy"
	"azurering/io/linger"
)

const (
	// maxPipelined bounds the queue of requests of a connection that wait for
	// their response to be written.
	maxPipelined = 16
	// maxBufferedBody bounds, in bytes, the request body that is buffered before
	// the request is forwarded, so that the request can be retried. Less is buffered
	// while the bodies of other requests take the memory.
	maxBufferedBody = 1 << 20
	// maxJoinedBody is the size in bytes up to which a body is copied behind its head, to
	// be written in one call.
	maxJoinedBody = 64 << 10
	// writeTimeout bounds each write of a response.
	writeTimeout   = 10 * time.Second
	readBufferSize = 8 << 10
	// The defaults apply to limits that the configuration does not set, and
	// until the first configuration arrives.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
)

var (
	errHeaderTooLarge = errors.New("front: request header is over the size limit")
	errTruncated      = errors.New("front: response of the server is truncated")
)

// conn is a connection of a caller. One goroutine reads requests, one writes
// responses in order, and one per request serves it.
type conn struct {
	net.Conn
	server *Server
	header *headerReader
	reader *bufio.Reader
	// streamsBody is set if the body of the last request is read while the request is
	// served. Only the goroutine of run uses it.
	streamsBody bool
	ctx         context.Context
	cancel      context.CancelFunc
	exchanges   chan *exchange

	mu       sync.Mutex
	inFlight int  // requests that were begun and whose response is not written yet
	closing  bool // the last response announces the close; no further request is read
	// closesIdle is set once the server closes: the idle timeout is closeDelay then.
	closesIdle bool
	endReason  EndReason
	// writeEnded is set once nothing more is written, and halfClosed if the sending side
	// was closed then.
	writeEnded, halfClosed bool

	opened   time.Time
	delivery linger.Progress // used by the goroutine that reads
}

// exchange is a request and its position in the order of responses.
type exchange struct {
	call       *core.Call
	reply      chan *core.Reply
	closeAfter bool // the connection closes after the response
	// interim stands for a 100 Continue response; call and reply are unset.
	interim bool
}

// headerReader bounds the bytes that are read for a request header.
type headerReader struct {
	io.Reader
	remaining int // bytes; negative means unbounded
}

func (h *headerReader) Read(p []byte) (int, error) {
	if h.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if h.remaining > 0 && len(p) > h.remaining {
		p = p[:h.remaining]
	}
	n, err := h.Reader.Read(p)
	if h.remaining > 0 {
		h.remaining -= n
	}
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{Conn: raw, server: s, header: &headerReader{Reader: raw}, exchanges: make(chan *exchange, maxPipelined), opened: time.Now()}
	c.reader = bufio.NewReaderSize(c.header, readBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) limits() core.Limits {
	l := c.server.cfg.Limits()
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	return l
}

func (c *conn) run() {
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeLoop()
	}()
	c.readLoop()
	close(c.exchanges)
	<-writerDone
	c.cancel()
	c.end()
	c.server.remove(c)
}

// readLoop reads requests and starts serving them until the caller disconnects
// or the connection closes.
func (c *conn) readLoop() {
	for {
		limits := c.limits()
		c.header.remaining = limits.MaxHeaderBytes + readBufferSize
		if !c.awaitRequest(limits) {
			return
		}
		if !c.beginRequest() {
			c.watchForDisconnect()
			return
		}
		x, err := c.readRequest(limits)
		if err != nil {
			c.reject(err)
			return
		}
		c.streamsBody = x.call.BodyRest != nil
		c.exchanges <- x
		go func() {
			x.reply <- c.handle(x.call)
			if x.call.Release != nil {
				x.call.Body = nil
				x.call.Release()
			}
		}()
		if x.closeAfter {
			// Requests pipelined behind this one are not served; the caller
			// sees the close and sends them again.
			c.watchForDisconnect()
			return
		}
	}
}

// handle handles a call. A panic ends only this call, not the process with the calls
// of all other callers. A server may have run the request.
func (c *conn) handle(call *core.Call) (reply *core.Reply) {
	defer func() {
		if p := recover(); p != nil {
			err := codes.New(codes.Internal, "front: handling the request panicked: %v", p)
			c.server.cfg.Log.WithError(err).WithFields(logrus.Fields{
				"event": "panic", "id": call.RequestID, "stack": string(debug.Stack()),
			}).Error("front: a fault of the program ended a request")
			reply = proxy.ErrorReply(http.StatusBadGateway, codes.Internal, err)
		}
	}()
	return c.server.cfg.Handle(c.ctx, call)
}

// watchForDisconnect cancels the connection's requests if the caller disconnects
// before the last response is written. A streamed request body is read by the request
// itself, so it does nothing then.
func (c *conn) watchForDisconnect() {
	if c.streamsBody {
		return
	}
	c.setReadDeadline(time.Time{})
	c.header.remaining = -1
	_, _ = io.Copy(io.Discard, c.reader) // whatever it ends with, nothing more is read
	if !c.hasWriteEnded() {
		c.setEnd(EndCaller)
		c.cancel()
	}
}

// beginRequest counts a request whose first byte has arrived. It returns false if no
// further request is read.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.inFlight++
	return true
}

// readRequest reads a request whose first byte has arrived.
func (c *conn) readRequest(limits core.Limits) (*exchange, error) {
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil, classifyReadError(err)
	}
	c.header.remaining = -1
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
	// A streamed body is not always read to its end, where the next request begins.
	closeAfter := req.Close || c.server.shuttingDown.Load() || call.BodyRest != nil
	return &exchange{call: call, reply: make(chan *core.Reply, 1), closeAfter: closeAfter}, nil
}

// readBody buffers the request body up to maxBufferedBody bytes. A longer body
// continues in call.BodyRest.
func (c *conn) readBody(call *core.Call, req *http.Request, limits core.Limits) error {
	if req.ContentLength == 0 {
		return nil
	}
	if limits.MaxBodyBytes > 0 && req.ContentLength > limits.MaxBodyBytes {
		return codes.New(codes.RequestTooLarge, "front: request body is over the limit of %d bytes", limits.MaxBodyBytes)
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		c.exchanges <- &exchange{interim: true} // after the responses to earlier requests
	}
	c.setReadDeadline(time.Now().Add(limits.IdleTimeout))
	b, err := c.server.cfg.Space.Read(req.Body, maxBufferedBody, req.ContentLength)
	if err != nil {
		return classifyReadError(err)
	}
	call.Body, call.Release = b.Bytes, b.Release
	n := int64(len(b.Bytes))
	if !b.Whole && req.ContentLength != n {
		call.BodyRest = &core.BodyStream{Source: req.Body, Stop: func() { _ = c.SetReadDeadline(time.Unix(0, 0)) }}
		return nil
	}
	call.ContentLength = n
	return nil
}

// classifyReadError wraps a read error with its code. The code is OK if the
// caller disconnected, as it then gets no response.
func classifyReadError(err error) error {
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return codes.Wrap(err, codes.RequestTooLarge, "front: request was rejected")
	case errors.As(err, &timeout) && timeout.Timeout():
		return codes.Wrap(err, codes.RequestSlow, "front: request did not arrive within the time limit")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return codes.Wrap(err, codes.OK, "front: caller disconnected")
	}
	return codes.Wrap(err, codes.RequestBad, "front: request cannot be parsed")
}

// rejectStatus maps the codes of failed reads to the HTTP status of the response.
var rejectStatus = map[codes.Code]int{
	codes.RequestTooLarge: http.StatusRequestEntityTooLarge,
	codes.RequestSlow:     http.StatusRequestTimeout,
	codes.RequestBad:      http.StatusBadRequest,
}

// reject responds to a request that could not be read and ends the connection. It
// sends nothing if the caller disconnected.
func (c *conn) reject(err error) {
	if c.hasWriteEnded() {
		return // nothing more is written, and the read was ended because of that
	}
	code := codes.Of(err)
	status := rejectStatus[code]
	if errors.Is(err, errHeaderTooLarge) {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	if status == 0 {
		c.setEnd(EndCaller)
		c.cancel()
		return
	}
	c.setEnd(EndRejected)
	c.server.cfg.Log.WithField("code", int(code)).WithError(err).Info("front: request could not be read; rejecting it and closing the connection")
	x := &exchange{reply: make(chan *core.Reply, 1), closeAfter: true}
	x.reply <- proxy.ErrorReply(status, code, err)
	c.exchanges <- x
}

// writeLoop writes the responses in the order of the requests.
func (c *conn) writeLoop() {
	for x := range c.exchanges {
		if x.interim {
			_, _ = io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n") // an error shows up when the response is written
			continue
		}
		reply := <-x.reply
		if c.ctx.Err() != nil {
			reply.Close()
			continue
		}
		closeAfter := x.closeAfter || c.closesAfterResponse()
		err := c.writeResponse(x, reply, closeAfter)
		switch {
		case errors.Is(err, errTruncated):
			c.endWrite(EndBroken) // the end of the connection shows the caller that the response is truncated
			continue
		case err != nil:
			c.endWrite(EndUnwritten)
			continue
		}
		c.mu.Lock()
		c.inFlight--
		c.closing = c.closing || closeAfter
		if c.closesIdle && c.inFlight == 0 {
			c.setReadDeadlineLocked(time.Now().Add(closeDelay)) // the goroutine that reads has the idle timeout of before
		}
		c.mu.Unlock()
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
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
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

// streamRest writes the rest of a body. It fails if the rest is truncated.
func (c *conn) streamRest(r *core.Reply, write func([]byte) error) error {
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
			return errors.WithMessage(errTruncated, err.Error())
		}
	}
}
