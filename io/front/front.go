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
)

// Config configures a Server. All fields are required.
type Config struct {
	Timer   core.Timer
	Dialect core.HeaderCodec
	// Handle handles a call and returns the reply. It is called concurrently.
	// The context is canceled when the caller disconnects.
	Handle func(ctx context.Context, c *core.Call) *core.Reply
	// Limits returns the limits for requests in force. Zero values mean the
	// defaults of this package; a zero BodyBytes means no limit.
	Limits func() core.Limits
	Log    logrus.FieldLogger
}

// Server accepts and serves connections of callers. It is safe for concurrent
// use.
type Server struct {
	cfg          Config
	shuttingDown atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	closed   bool
}

// New returns a server that accepts connections once Run is called.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]bool)}
}

// acceptRetryDelay is the pause after a failed accept, for example when the
// process has run out of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections and returns when the listener is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.cfg.Log.WithError(err).Warn("front: accept failed; retrying")
			<-s.cfg.Timer.After(acceptRetryDelay)
			continue
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.run()
	}
}

// CloseAfterResponse makes each connection close after its requests in flight. New
// connections are still accepted.
func (s *Server) CloseAfterResponse() { s.shuttingDown.Store(true) }

// Close calls Leave and closes the listener and all idle connections. Other
// connections close after their requests in flight. It does not wait for them.
func (s *Server) Close() {
	s.CloseAfterResponse()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.closeIdle()
	}
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
