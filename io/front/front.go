// Package front implements the HTTP/1.1 server that accepts the callers'
// connections at the edge.
//
// Pipelined requests of a connection are served concurrently and answered in
// order. A goroutine keeps reading from each connection, so that a disconnect
// of the caller cancels its requests in flight.
package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/space"
	"azurering/io/linger"
	"azurering/io/socket"
)

// Config configures a Server. Timer, Dialect, Handle, Limits
// and Log are required.
type Config struct {
	Timer   core.Timer
	Dialect core.HeaderCodec
	// Handle handles a call and returns the reply. It is called concurrently.
	// The context is canceled when the caller disconnects.
	Handle func(ctx context.Context, c *core.Call) *core.Reply
	// MayBeLong reports whether the reply to a call may have a body that is too long to be
	// buffered. Requests that are pipelined behind such a call are handled after its reply:
	// if that breaks off, the connection ends, and theirs would be lost. Nil means that no
	// reply is.
	MayBeLong func(*core.Call) bool
	// Limits returns the limits for requests in force. Zero values mean the
	// defaults of this package; a zero BodyBytes means no limit.
	Limits func() core.Limits
	// Space holds the bodies of requests, and Requests what else a request takes. Nil means
	// without a bound.
	Space, Requests *space.Pool
	// Unread is the memory for what the kernel holds of callers' connections unread. Nil
	// means without a bound.
	Unread *space.Pool
	// MaxConns bounds the open connections. When there are more, those that make the least
	// progress are closed. 0 means no bound.
	MaxConns int
	// Closer ends connections. Nil means one with the defaults.
	Closer *linger.Closer
	// OnEnd, if set, is called when a connection ends. It must not block.
	OnEnd func(End)
	// OnReject, if set, is called when a request cannot be read. It must not block.
	OnReject func(Rejection)
	Log      logrus.FieldLogger
}

// Rejection describes a request that was rejected because it could not be read.
type Rejection struct {
	Address string // of the caller
	Code    codes.Code
	Err     error
}

// Server accepts and serves connections of callers. It is safe for concurrent
// use.
type Server struct {
	cfg          Config
	shuttingDown atomic.Bool
	// evictCloser ends evicted connections, which make room for others.
	evictCloser *linger.Closer

	mu       sync.Mutex
	listener net.Listener
	served   chan struct{} // closed when Serve returns
	conns    map[*conn]bool
	closed   bool
	// reclaimed is when connections were last evicted for their memory, by the highest rank.
	reclaimed map[rank]time.Time
}

// New returns a server that accepts connections once Run is called.
func New(cfg Config) *Server {
	if cfg.Closer == nil {
		cfg.Closer = linger.New(linger.Config{})
	}
	evictCloser := linger.New(linger.Config{Stall: evictLinger, Quiet: evictLinger, Limit: evictLinger})
	return &Server{cfg: cfg, evictCloser: evictCloser, conns: make(map[*conn]bool), reclaimed: make(map[rank]time.Time)}
}

const (
	// acceptRetryDelay is the pause after a failed accept, for example when the
	// process has run out of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// acceptWarnInterval is the shortest time between two warnings about that.
	acceptWarnInterval = time.Second
	// closeDelay is how long a server that closes still accepts connections and
	// reads from idle ones: about two round trips between regions, as requests may
	// be on their way.
	closeDelay = 100 * time.Millisecond
	// evictLinger is the time for the last response of an evicted connection to reach the
	// caller.
	evictLinger = 250 * time.Millisecond
	// A new connection waits for admitAttempts times admitInterval for others to end. Callers
	// wait for a second before they try another host.
	admitAttempts = 50
	admitInterval = 10 * time.Millisecond
)

// Serve accepts connections and returns when the listener is closed.
func (s *Server) Serve(l net.Listener) {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.listener, s.served = l, served
	s.mu.Unlock()
	var lastWarning time.Time
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil && s.isClosed() {
			_ = l.Close()
			return
		}
		if err != nil {
			if time.Since(lastWarning) > acceptWarnInterval {
				lastWarning = time.Now()
				s.cfg.Log.WithError(err).Warn("front: accept failed; retrying")
			}
			<-s.cfg.Timer.After(acceptRetryDelay)
			continue
		}
		if c := s.admit(raw); c != nil {
			go c.run()
		}
	}
}

// admit adds a connection, once there is room for it. Until then, others wait in the queue
// of the listener. It closes the connection and returns nil if there is no room in time.
func (s *Server) admit(raw net.Conn) *conn {
	for range admitAttempts {
		if c := s.add(raw); c != nil {
			return c
		}
		<-s.cfg.Timer.After(admitInterval)
	}
	if report := s.cfg.OnEnd; report != nil {
		report(End{Address: raw.RemoteAddr().String(), Reason: EndRefused, PendingErr: errNotServed})
	}
	socket.Abort(raw)
	return nil
}

// add adds a connection, or returns nil if there are too many.
func (s *Server) add(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.makeRoom() {
		return nil
	}
	c := newConn(s, raw)
	s.conns[c] = true
	if s.closed {
		c.closeIdle()
	}
	return c
}

// CloseAfterResponse makes each connection close after its requests in flight. New
// connections are still accepted.
func (s *Server) CloseAfterResponse() { s.shuttingDown.Store(true) }

// Close calls CloseAfterResponse and, after closeDelay, closes the listener and all
// connections that are still idle. Other connections close after their requests in
// flight. It waits for the listener, but not for connections.
func (s *Server) Close() {
	s.CloseAfterResponse()
	s.mu.Lock()
	s.closed = true
	listener, served := s.listener, s.served
	for c := range s.conns {
		c.closeIdle()
	}
	s.mu.Unlock()
	if listener == nil {
		return
	}
	// Closing the listener at once would reset connections that wait to be accepted.
	if l, ok := listener.(interface{ SetDeadline(time.Time) error }); !ok || l.SetDeadline(time.Now().Add(closeDelay)) != nil {
		_ = listener.Close()
	}
	<-served
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// NumConns returns the number of open connections.
func (s *Server) NumConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
