// Package conns implements the pool of HTTP/1.1 connections to backend servers
// through which hosts forward requests. A connection carries one request at a
// time. The package never retries a request; its caller decides that by the send
// state of the error.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"azurering/core"
	"azurering/core/space"
	"azurering/io/socket"
)

const (
	// DialTimeout bounds the opening of a connection. It covers a round trip of
	// 24 ms between regions with a busy accept queue. It does not cover a lost
	// SYN: TCP retransmits it only after a second, and another server can respond
	// sooner.
	DialTimeout = 400 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 4
	// idleShare is the part of this host's share of a server's connections that may
	// be idle. The rest is for requests.
	idleShare = 0.5
	// healthCheckTimeout bounds a health check.
	healthCheckTimeout = 600 * time.Millisecond
	readBufferSize     = 8 << 10
	// streamBytes is the receive buffer of a connection to a server in bytes: what arrives at
	// 5 MB/s within a round trip of 24 ms between regions.
	streamBytes = 128 << 10
)

var errTooManyConns = errors.New("conns: too many open connections to servers")

// keepAlive detects a server that has become unreachable during a request.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Config configures a Pool. Timer and Dialect are required.
type Config struct {
	Timer   core.Timer
	Dialect core.HeaderCodec
	// Space holds the bodies of responses. Nil means without a bound.
	Space *space.Pool
	// Streams is the memory for what the kernel holds of bodies that are longer, while
	// callers read them. Nil means without a bound.
	Streams *space.Pool
	// MaxConns bounds the open connections to all servers together; 0 means no bound.
	MaxConns int
	// Dial opens connections. Nil means TCP with keep-alive probes and a limit
	// for unacknowledged data.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool is a pool of connections to backend servers and implements
// core.Backends. It is safe for concurrent use.
type Pool struct {
	cfg Config

	unacked func(net.Conn) (int, error) // readUnacked, or that of a test

	mu       sync.Mutex
	idle     map[core.ServerID][]*conn
	shares   map[core.ServerID]int // as of the last call of Trim
	extended map[*conn]extension
	numOpen  int
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
			return socket.ControlRaw(raw, func(fd int) error {
				// Without it, the kernel holds megabytes of an answer that a caller does not read.
				if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, streamBytes); err != nil {
					return errors.Wrap(err, "conns: cannot set SO_RCVBUF")
				}
				return setUnackedTimeout(unackedTimeout)(fd)
			})
		}}
		cfg.Dial = dialer.DialContext
	}
	return &Pool{cfg: cfg, unacked: readUnacked, idle: make(map[core.ServerID][]*conn), extended: make(map[*conn]extension)}
}

// Exchange implements core.Backends. If the reply has a Rest, the caller must
// close it. If the context ends before the response, the connection is closed.
func (p *Pool) Exchange(ctx context.Context, s core.Instance, c *core.Call, f core.ForwardInfo) (*core.Reply, core.ReplyMeta, error) {
	if !c.CanSend() {
		return nil, core.ReplyMeta{}, &core.SendError{State: core.SendNotSent, Cause: errBodyRead}
	}
	start := p.cfg.Timer.Now()
	header := p.cfg.Dialect.RequestHeader(c, f)
	x := &exchange{requestID: c.RequestID, request: &http.Request{Method: c.Method}, written: make(chan struct{}), done: make(chan result, 1)}
	x.deadline, _ = ctx.Deadline()
	if c.BodyRest != nil {
		x.stopBody = c.BodyRest.Stop
	}
	cn, err := p.acquire(ctx, s, x)
	connectTime := p.cfg.Timer.Now() - start
	if err != nil {
		return nil, core.ReplyMeta{ConnectTime: connectTime}, &core.SendError{State: core.SendNotSent, Cause: err}
	}
	if f.AtMostOnce {
		p.extendUnackedTimeout(cn, x)
	}
	reply, meta, err := p.roundTrip(ctx, cn, x, c, header)
	meta.ConnectTime, meta.BodySent = connectTime, x.bodySent
	return reply, meta, err
}

// roundTrip sends the request of an exchange and waits for the response.
func (p *Pool) roundTrip(ctx context.Context, cn *conn, x *exchange, c *core.Call, header http.Header) (*core.Reply, core.ReplyMeta, error) {
	release := stopBodyOnDone(ctx, c)
	err := cn.writeRequest(ctx, x, c, header)
	release()
	if err != nil {
		return p.handleWriteError(ctx, cn, x, err)
	}
	p.setWritten(cn, x)
	select {
	case r := <-x.done:
		return p.checkResult(r)
	case <-ctx.Done():
		cn.abandon()
		return nil, core.ReplyMeta{}, &core.SendError{State: core.SendUnknown, Cause: ctx.Err()}
	}
}

// handleWriteError ends an exchange whose request was not written completely. The
// server may have responded before it read all of it.
func (p *Pool) handleWriteError(ctx context.Context, cn *conn, x *exchange, err error) (*core.Reply, core.ReplyMeta, error) {
	select {
	case r := <-x.done:
		if r.err == nil {
			return p.checkResult(r)
		}
	case <-ctx.Done():
	case <-time.After(writeGrace):
	}
	cn.abandon()
	return nil, core.ReplyMeta{}, &core.SendError{State: core.SendUnknown, Cause: err}
}

// checkResult turns the result of an exchange into the return values of Exchange.
func (p *Pool) checkResult(r result) (*core.Reply, core.ReplyMeta, error) {
	if r.err != nil {
		return nil, r.meta, &core.SendError{State: core.SendUnknown, Cause: r.err}
	}
	if r.meta.NotExecuted {
		r.reply.Close()
		return nil, r.meta, &core.SendError{State: core.SendRefused, Cause: errors.Errorf("conns: server responded with status %d that it did not run the request", r.reply.Status)}
	}
	r.reply.Header = p.cfg.Dialect.ResponseHeader(r.reply.Header)
	return r.reply, r.meta, nil
}

// writeRequest sends the request of an exchange.
func (c *conn) writeRequest(ctx context.Context, x *exchange, call *core.Call, header http.Header) error {
	var b bytes.Buffer
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	chunked := call.ContentLength < 0
	switch {
	case chunked:
		header.Set("Transfer-Encoding", "chunked")
	case call.ContentLength > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead:
		header.Set("Content-Length", strconv.FormatInt(call.ContentLength, 10))
	}
	_ = header.Write(&b) // a bytes.Buffer does not fail
	b.WriteString("\r\n")
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetWriteDeadline(deadline)
	}
	if err := c.writeBody(x, &b, call, chunked); err != nil {
		return errors.Wrap(err, "conns: request was not sent completely")
	}
	close(x.written)
	return nil
}

// acquire claims an idle connection to the server for an exchange, or opens one. A
// request without an id gets a connection of its own: nothing else tells its response
// from a late copy of another.
func (p *Pool) acquire(ctx context.Context, s core.Instance, x *exchange) (*conn, error) {
	for x.requestID != "" {
		c := p.takeIdle(s)
		if c == nil {
			break
		}
		if c.claim(x) {
			return c, nil
		}
		c.shut()
	}
	if !p.reserve() {
		return nil, errTooManyConns
	}
	c, err := p.open(ctx, s, x)
	if err != nil {
		p.mu.Lock()
		p.numOpen--
		p.mu.Unlock()
		return nil, err
	}
	go c.readLoop()
	return c, nil
}

// reserve counts a connection that is about to be opened. It closes an idle one if there
// are too many, and returns false if none is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.MaxConns > 0 && p.numOpen >= p.cfg.MaxConns && !p.closeIdle() {
		return false
	}
	p.numOpen++
	return true
}

// closeIdle closes the idle connection that was used first at any server, and returns false
// if there is none. The caller holds p.mu.
func (p *Pool) closeIdle() bool {
	for id, list := range p.idle {
		if len(list) > 0 {
			list[0].shut()
			p.idle[id] = list[1:]
			return true
		}
	}
	return false
}

// open opens a connection for an exchange.
func (p *Pool) open(ctx context.Context, s core.Instance, x *exchange) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, "tcp", s.Address)
	if err != nil {
		return nil, errors.Wrap(err, "conns: cannot connect to the server")
	}
	head := &io.LimitedReader{R: raw, N: math.MaxInt64}
	return &conn{Conn: raw, pool: p, server: s, head: head, reader: bufio.NewReaderSize(head, readBufferSize), pending: x, lastID: x.requestID}, nil
}

// takeIdle removes and returns the idle connection that was used last, or nil. It
// closes connections that are expired or lead to an earlier start of the server.
func (p *Pool) takeIdle(s core.Instance) *conn {
	now := p.cfg.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		list := p.idle[s.Name]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		p.idle[s.Name] = list[:len(list)-1]
		if now < c.idleUntil && c.server.Address == s.Address && c.server.StartedMs == s.StartedMs {
			return c
		}
		c.shut()
	}
}

// putIdle adds a connection to the idle ones, or closes it if there are enough.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleUntil = p.cfg.Timer.Now() + c.idleTimeout
	list := p.idle[c.server.Name]
	if len(list) >= p.maxIdle(c.server.Name) {
		c.shut()
		return
	}
	p.idle[c.server.Name] = append(list, c)
}

// maxIdle returns how many connections to a server may stay idle.
func (p *Pool) maxIdle(id core.ServerID) int {
	share, ok := p.shares[id]
	if !ok {
		return maxIdlePerServer // listed since the last call of Trim
	}
	return int(min(maxIdlePerServer, idleShare*float64(share)))
}

// remove stops counting a closed connection and removes it from the idle ones.
func (p *Pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.numOpen--
	delete(p.extended, c)
	list := p.idle[c.server.Name]
	for i, other := range list {
		if other == c {
			p.idle[c.server.Name] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// Trim closes idle connections that have expired, that lead to servers without a share,
// or that are too many for it. shares has this host's share of the connections that
// each listed server accepts from all hosts together. The owner calls it about once a
// second.
func (p *Pool) Trim(shares map[core.ServerID]int) {
	now := p.cfg.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares = shares
	for id, list := range p.idle {
		_, listed := shares[id]
		var kept []*conn
		for i := len(list) - 1; i >= 0; i-- { // those used last come last
			if c := list[i]; listed && now < c.idleUntil && len(kept) < p.maxIdle(id) {
				kept = append(kept, c)
				continue
			}
			list[i].shut()
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		slices.Reverse(kept)
		p.idle[id] = kept
	}
}

// NumConns returns the number of open connections, idle or in use.
func (p *Pool) NumConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.numOpen
}

// CheckHealth implements core.Backends. It waits at most 600 ms.
func (p *Pool) CheckHealth(ctx context.Context, s core.Instance, path string) (bool, core.ReplyMeta, error) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	call := &core.Call{Method: http.MethodGet, Target: path, Host: s.Address, Header: http.Header{}}
	reply, meta, err := p.Exchange(ctx, s, call, core.ForwardInfo{Server: s.Name, TimeLeft: healthCheckTimeout})
	var refused *core.SendError
	if errors.As(err, &refused) && refused.State == core.SendRefused && meta.Instance == "" {
		// A server at capacity rejects health checks like any other request, so
		// it counts as healthy.
		return true, meta, nil
	}
	if err != nil {
		return false, meta, err
	}
	reply.Close()
	return reply.Status == http.StatusOK && meta.Instance == s.Name, meta, nil
}
