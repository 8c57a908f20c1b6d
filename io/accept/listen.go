package accept

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"azurering/core/space"
	"azurering/io/socket"
)

// Config configures a listener. Max is required.
type Config struct {
	// Max bounds the open connections. When there is one more, the one that has moved no
	// bytes for the longest time is closed.
	Max int
	// Unread is the memory for what the kernel holds unread. Nil means without a bound.
	Unread *space.Pool
	// OnEvict, if set, is called when a connection is closed in favor of another. It must
	// not block.
	OnEvict func()
}

// Limit returns a listener whose TCP connections are bounded. It is safe for concurrent use.
func Limit(inner net.Listener, cfg Config) net.Listener {
	return &listener{Listener: inner, cfg: cfg, conns: make(map[*Conn]bool)}
}

type listener struct {
	net.Listener
	cfg Config

	mu    sync.Mutex
	conns map[*Conn]bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		if c := l.add(tcp); c != nil {
			return c, nil
		}
	}
}

// add adds a connection, or closes it and returns nil if all others are in use.
func (l *listener) add(tcp *net.TCPConn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.cfg.Max {
		victim := l.stalest()
		if l.cfg.OnEvict != nil {
			l.cfg.OnEvict()
		}
		if victim == nil {
			socket.Abort(tcp)
			return nil
		}
		delete(l.conns, victim)
		socket.Abort(victim.TCPConn)
	}
	c := &Conn{TCPConn: tcp, listener: l, claim: Bound(tcp, l.cfg.Unread)}
	c.touch()
	l.conns[c] = true
	return c
}

// stalest returns the connection that has moved no bytes for the longest time, apart from
// those in use, or nil. The caller holds l.mu.
func (l *listener) stalest() *Conn {
	var found *Conn
	for c := range l.conns {
		if !c.inUse.Load() && (found == nil || c.moved.Load() < found.moved.Load()) {
			found = c
		}
	}
	return found
}

// Conn is a connection of a listener of Limit.
type Conn struct {
	*net.TCPConn
	listener *listener
	claim    *space.Claim
	moved    atomic.Int64 // when bytes were last read or written, in Unix nanoseconds
	inUse    atomic.Bool
	closed   sync.Once
}

func (c *Conn) touch() { c.moved.Store(time.Now().UnixNano()) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if n > 0 {
		c.touch()
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.conns, c)
		c.claim.Release()
	})
	return c.TCPConn.Close()
}
