package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/proxy"
	"azurering/core/space"
	"azurering/io/accept"
	"azurering/io/linger"
)

const (
	// maxPipelined bounds the queue of requests of a connection that wait for
	// their response to be written.
	maxPipelined   = 16
	readBufferSize = 8 << 10
	// The defaults apply to limits that the configuration does not set, and
	// until the first configuration arrives.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
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
	// isRegular is set while the caller sends one request at a time and reads the responses.
	// Only the goroutine of run uses it.
	isRegular bool
	// lastLong is the field complete of the last request whose reply may be long, or nil.
	// Only the goroutine of run uses it.
	lastLong  chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	exchanges chan *exchange

	mu       sync.Mutex
	inFlight int  // requests that were begun and whose response is not written yet
	closing  bool // the last response announces the close; no further request is read
	// closesIdle is set once the server closes: the idle timeout is closeDelay then.
	closesIdle bool
	endReason  EndReason
	// writeEnded is set once nothing more is written, and halfClosed if the sending side
	// was closed then.
	writeEnded, halfClosed bool
	// bodyStopped is set once the body of the last request is not read any more.
	bodyStopped bool
	phase       phase
	phaseSince  time.Time // or since the last progress of a body
	// writingSince is when the last write to the caller began, or zero while none is going
	// on.
	writingSince time.Time
	evicted      bool
	cutsWrites   bool // evicted while a write was blocked

	unread *space.Claim // memory for what the kernel holds unread
	isWide bool         // by widen; used by the goroutine that reads the body
	// answered has an item after a response was written.
	answered chan struct{}
	// served is closed when no goroutine reads requests or writes responses any more.
	served   chan struct{}
	opened   time.Time
	delivery linger.Progress // used by the goroutine that reads
}

// exchange is a request and its position in the order of responses.
type exchange struct {
	call       *core.Call
	reply      chan *core.Reply
	closeAfter bool // the connection closes after the response
	// after is the field complete of an earlier request of the connection: this one is
	// handled once it is closed. Nil means at once.
	after chan struct{}
	// complete is closed once the reply cannot break off any more. It is nil unless the
	// reply may be long.
	complete chan struct{}
	// interim stands for a 100 Continue response; call and reply are unset.
	interim bool
	claim   *space.Claim // memory of the request besides its body; nil for one that was rejected
}

func newConn(s *Server, raw net.Conn) *conn {
	unread := accept.Bound(raw, s.cfg.Unread)
	c := &conn{Conn: raw, server: s, unread: unread, header: &headerReader{Reader: raw, remaining: -1}, exchanges: make(chan *exchange, maxPipelined), answered: make(chan struct{}, 1), served: make(chan struct{}), opened: time.Now()}
	c.phase, c.phaseSince = phaseNew, c.opened
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
	close(c.served)
	c.cancel()
	c.end()
	c.unread.Release()
	c.server.remove(c)
}

// readLoop reads requests and starts serving them until the caller disconnects
// or the connection closes.
func (c *conn) readLoop() {
	for hasServed := false; ; hasServed = true {
		c.awaitTurn()
		limits := c.limits()
		c.isRegular = hasServed && c.reader.Buffered() == 0 && !c.hasInFlight()
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
		c.setOrder(x)
		c.exchanges <- x
		go c.serve(x)
		if x.closeAfter {
			// Requests pipelined behind this one are not served; the caller
			// sees the close and sends them again.
			c.watchForDisconnect()
			return
		}
	}
}

// awaitTurn waits for the responses to the requests of the connection while requests are
// short of memory, so that a connection has one at a time then.
func (c *conn) awaitTurn() {
	for c.server.cfg.Requests.IsShort() && c.hasInFlight() {
		select {
		case <-c.answered:
		case <-c.ctx.Done():
			return
		}
	}
}

// setOrder makes a request wait for the reply to the last one before it that may be long.
func (c *conn) setOrder(x *exchange) {
	x.after = c.lastLong
	if c.server.cfg.MayBeLong != nil && c.server.cfg.MayBeLong(x.call) {
		x.complete = make(chan struct{})
		c.lastLong = x.complete
	}
}

// serve handles a request and passes its response to the goroutine that writes.
func (c *conn) serve(x *exchange) {
	var reply *core.Reply
	if c.awaitEarlier(x) {
		reply = c.handle(x.call)
	} else {
		reply = proxy.ErrorReply(http.StatusServiceUnavailable, codes.NoCapacity, errNotHandled) // is not written
	}
	if x.call.Release != nil {
		x.call.Body = nil
		x.call.Release()
	}
	x.claim.Resize(requestBytes)
	if reply.BodyRest == nil {
		x.setComplete()
	}
	x.reply <- reply
}

// awaitEarlier waits until the earlier requests let a request be handled. It returns false
// if the connection ends before.
func (c *conn) awaitEarlier(x *exchange) bool {
	if x.after == nil {
		return true
	}
	select {
	case <-x.after:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// setComplete lets the requests be handled that wait for the reply.
func (x *exchange) setComplete() {
	if x.complete != nil {
		close(x.complete)
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
	c.phase, c.phaseSince = phaseReading, time.Now()
	return true
}
