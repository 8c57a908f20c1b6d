package linger

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Listener returns a listener whose TCP connections linger when they are closed. Their
// Close returns at once.
func (l *Closer) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, closer: l}
}

// NumConns returns the number of connections of listeners that were closed and linger.
func (l *Closer) NumConns() int { return int(l.conns.Load()) }

type listener struct {
	net.Listener
	closer *Closer
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(tcpConn); ok && err == nil {
		return &conn{tcpConn: tcp, closer: l.closer}, nil
	}
	return c, err
}

// tcpConn is a *net.TCPConn, or a connection that wraps one.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// conn is a connection of a listener. After Close only Drain reads from it.
type conn struct {
	tcpConn
	closer *Closer

	mu     sync.Mutex
	closed bool
}

// NetConn returns the connection of the listener below.
func (c *conn) NetConn() net.Conn { return c.tcpConn }

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return c.tcpConn.Read(p)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.unlessClosed(t, c.tcpConn.SetDeadline) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.unlessClosed(t, c.tcpConn.SetReadDeadline)
}

// unlessClosed sets a deadline, but not that of Drain.
func (c *conn) unlessClosed(t time.Time, set func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return set(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	_ = c.tcpConn.SetDeadline(time.Unix(0, 0)) // ends reads and writes that block
	c.closer.conns.Add(1)
	go func() {
		defer c.closer.conns.Add(-1)
		if c.CloseWrite() == nil { // otherwise the peer has reset the connection
			c.closer.Drain(c.tcpConn)
		}
		_ = c.tcpConn.Close()
	}()
	return nil
}
