// Package front serves callers over HTTP/1.1.
//
// Requests that a caller sends on one connection before it has an answer are
// served side by side and answered in order. A goroutine reads from the
// connection all the time, so that a caller that leaves is noticed while its
// requests are under way.
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
	// Handle runs one call and returns its answer. The context ends when the
	// caller leaves.
	Handle func(ctx context.Context, c *core.Call) *core.Reply
	// Limits returns what callers may send.
	Limits func() core.Limits
	Log    logrus.FieldLogger
}

// Server accepts connections of callers. It is safe for concurrent use.
type Server struct {
	cfg     Config
	leaving atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]bool
	closed   bool
}

// New returns a server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]bool)}
}

// acceptPause is the pause after a failed accept, as when descriptors run
// out.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
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
			s.cfg.Log.WithError(err).Warn("front: connection was not accepted")
			<-s.cfg.Timer.After(acceptPause)
			continue
		}
		c := newConn(s, raw)
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go c.run()
	}
}

// CloseAfterResponse makes all further answers the last ones of their connections.
func (s *Server) CloseAfterResponse() { s.leaving.Store(true) }

// Close closes the listener and all connections without a request under
// way. Others close after their answers.
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

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
