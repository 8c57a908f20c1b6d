// Package server talks to backend servers over HTTP.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
)

// dialer opens counted connections.
type dialer struct {
	net net.Dialer
	tls *tls.Config
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// dialTLS counts the bytes above TLS: those of the handshake are no part of
// a request.
func (d *dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	t := tls.Dialer{NetDialer: &d.net, Config: d.tls}
	conn, err := t.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

var errSealed = errors.New("server: connection was given up before the first byte")

// countedConn counts the bytes written, so that a failed request is known
// to have reached the wire or not.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. The count rises before the bytes are handed
// over, because a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal reports whether no byte was written since the given count, and if so
// prevents any later write: the transport may still have the request queued
// when a cancelled call has already returned.
func (c *countedConn) seal(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != since {
		return false
	}
	c.sealed = true
	return true
}
