// Package server sends requests and health probes to backend servers over
// HTTP/1.1. Entry hosts use it for servers of their own failure domain, and
// package relay uses it to reach other entry hosts.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
)

// dialer opens connections that count the bytes written.
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

// dialTLS returns a connection that counts the bytes before encryption, so
// that the TLS handshake does not count as part of a request.
func (d *dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	t := tls.Dialer{NetDialer: &d.net, Config: d.tls}
	conn, err := t.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

var errWritesBlocked = errors.New("server: request was abandoned before its first byte was written")

// countedConn counts the bytes written, so that a failed request can be
// classified as not sent or possibly sent.
type countedConn struct {
	net.Conn
	mu            sync.Mutex
	written       int64
	writesBlocked bool
}

// Write implements net.Conn. It counts the bytes before it writes them,
// because a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *countedConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// blockIfUnwritten reports whether writtenBytes is still equal to count, and if
// so makes all later writes fail: the transport may still write the request
// after the cancelled call has returned.
func (c *countedConn) blockIfUnwritten(count int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != count {
		return false
	}
	c.writesBlocked = true
	return true
}
