// Package conns keeps connections to backend servers and carries one request
// at a time over each. It never repeats a request by itself.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"azurering/core"
)

const (
	// dialTimeout covers a round trip between regions of 24 ms with a busy
	// accept queue. A packet that opens a connection and is lost is only
	// repeated after a second, by which time another server has answered.
	dialTimeout = 400 * time.Millisecond
	// sendTimeout ends a connection whose packets are not acknowledged: a
	// few retransmissions at 200 ms and more.
	sendTimeout = 1200 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 4
	// checkTimeout bounds a health check.
	checkTimeout = 600 * time.Millisecond
	readBuffer   = 8 << 10
)

// keepAlive notices a server that fell silent while it works on a request.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// Config configures a Pool. Timer and Dialect are required.
type Config struct {
	Timer   core.Timer
	Dialect core.HeaderCodec
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool implements core.Backends. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[core.ServerID][]*conn
	open int
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		dialer := &net.Dialer{KeepAliveConfig: keepAlive, Control: setSendTimeout}
		cfg.Dial = dialer.DialContext
	}
	return &Pool{cfg: cfg, idle: make(map[core.ServerID][]*conn)}
}

// setSendTimeout bounds how long sent bytes may stay unacknowledged.
func setSendTimeout(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "conns: socket")
	}
	return errors.Wrap(set, "conns: send time-out")
}

// Exchange implements core.Backends.
func (p *Pool) Exchange(ctx context.Context, s core.Instance, c *core.Call, f core.ForwardInfo) (*core.Reply, core.ReplyMeta, error) {
	header := p.cfg.Dialect.RequestHeader(c, f)
	x := &exchange{id: c.RequestID, request: &http.Request{Method: c.Method}, sent: make(chan struct{}), done: make(chan result, 1)}
	link, err := p.acquire(ctx, s, x)
	if err != nil {
		return nil, core.ReplyMeta{}, &core.SendError{State: core.SendNotSent, Cause: err}
	}
	if err := link.write(ctx, x, c, header); err != nil {
		return p.unwritten(link, x, err)
	}
	select {
	case r := <-x.done:
		return p.finish(r)
	case <-ctx.Done():
		link.kill()
		return nil, core.ReplyMeta{}, &core.SendError{State: core.SendUnknown, Cause: ctx.Err()}
	}
}

// unwritten ends an exchange whose request was not written whole. The server
// may have answered before it read all of it.
func (p *Pool) unwritten(link *conn, x *exchange, err error) (*core.Reply, core.ReplyMeta, error) {
	select {
	case r := <-x.done:
		if r.err == nil {
			return p.finish(r)
		}
	default:
	}
	link.kill()
	return nil, core.ReplyMeta{}, &core.SendError{State: core.SendUnknown, Cause: err}
}

func (p *Pool) finish(r result) (*core.Reply, core.ReplyMeta, error) {
	if r.err != nil {
		return nil, r.meta, &core.SendError{State: core.SendUnknown, Cause: r.err}
	}
	if r.meta.NotExecuted {
		if r.reply.BodyRest != nil {
			_ = r.reply.BodyRest.Close()
		}
		return nil, r.meta, &core.SendError{State: core.SendRefused, Cause: errors.Errorf("conns: server refused with %d", r.reply.Status)}
	}
	r.reply.Header = p.cfg.Dialect.ResponseHeader(r.reply.Header)
	return r.reply, r.meta, nil
}

// write sends the request of an exchange.
func (c *conn) write(ctx context.Context, x *exchange, call *core.Call, header http.Header) error {
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
	if err := c.writeBody(&b, call, chunked); err != nil {
		return errors.Wrap(err, "conns: request was not sent whole")
	}
	close(x.sent)
	return nil
}

func (c *conn) writeBody(head *bytes.Buffer, call *core.Call, chunked bool) error {
	if !chunked {
		head.Write(call.Body)
		if _, err := c.Write(head.Bytes()); err != nil || call.BodyRest == nil {
			return err
		}
		_, err := io.Copy(c, call.BodyRest)
		return err
	}
	if len(call.Body) > 0 {
		head.WriteString(strconv.FormatInt(int64(len(call.Body)), 16) + "\r\n")
		head.Write(call.Body)
		head.WriteString("\r\n")
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	if call.BodyRest != nil {
		if err := writeChunks(c, call.BodyRest); err != nil {
			return err
		}
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err
}

func writeChunks(w io.Writer, r io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Read(buffer)
		if n > 0 {
			chunk := append([]byte(strconv.FormatInt(int64(n), 16)+"\r\n"), buffer[:n]...)
			if _, err := w.Write(append(chunk, "\r\n"...)); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// acquire returns an idle connection to the server or opens one.
func (p *Pool) acquire(ctx context.Context, s core.Instance, x *exchange) (*conn, error) {
	for {
		c := p.takeIdle(s)
		if c == nil {
			break
		}
		if c.begin(x) {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.cfg.Dial(ctx, "tcp", s.Address)
	if err != nil {
		return nil, errors.Wrap(err, "conns: server cannot be reached")
	}
	c := &conn{Conn: raw, pool: p, server: s, reader: bufio.NewReaderSize(raw, readBuffer), pending: x}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	go c.read()
	return c, nil
}

// takeIdle returns the connection that was used last, if it leads to the
// same boot of the server.
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
		c.kill()
	}
}

// release makes a connection idle.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleUntil = p.cfg.Timer.Now() + c.idle
	list := p.idle[c.server.Name]
	if len(list) >= maxIdle {
		c.kill()
		return
	}
	p.idle[c.server.Name] = append(list, c)
}

// forget takes a closed connection out of the idle ones.
func (p *Pool) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	list := p.idle[c.server.Name]
	for i, other := range list {
		if other == c {
			p.idle[c.server.Name] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// CloseExpired closes connections that were idle for too long and those to servers
// that are not listed any more. It is called about once a second.
func (p *Pool) CloseExpired(listed map[core.ServerID]bool) {
	now := p.cfg.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if listed[id] && now < c.idleUntil {
				kept = append(kept, c)
				continue
			}
			c.kill()
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

// NumConns returns the number of open connections.
func (p *Pool) NumConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CheckHealth implements core.Backends.
func (p *Pool) CheckHealth(ctx context.Context, s core.Instance, path string) (bool, core.ReplyMeta, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	call := &core.Call{Method: http.MethodGet, Target: path, Host: s.Address, Header: http.Header{}}
	reply, meta, err := p.Exchange(ctx, s, call, core.ForwardInfo{Server: s.Name, TimeLeft: checkTimeout})
	var refused *core.SendError
	if errors.As(err, &refused) && refused.State == core.SendRefused && meta.Instance == "" {
		// A server that is full refuses health checks like any other request.
		return true, meta, nil
	}
	if err != nil {
		return false, meta, err
	}
	return reply.Status == http.StatusOK && meta.Instance == s.Name, meta, nil
}
