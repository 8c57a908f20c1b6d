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
// classified as not sent or possibly sent. If it is closed during an exchange,
// it waits for the server to end the exchange.
type countedConn struct {
	net.Conn
	readMu sync.Mutex // held during a read

	mu            sync.Mutex
	written       int64
	writesBlocked bool
	exchange      *exchange // in progress, or nil
	serverClosed  bool      // the server has closed or reset the connection
	closed        bool
}

// Write implements net.Conn. It counts the bytes before it writes them,
// because a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	switch {
	case c.writesBlocked:
		c.mu.Unlock()
		return 0, errWritesBlocked
	case c.closed:
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.serverClosed = true
	}
	return n, err
}

func (c *countedConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close implements net.Conn. If an exchange is in progress, only the sending
// side is closed at once.
func (c *countedConn) Close() error {
	c.mu.Lock()
	e, wasClosed := c.exchange, c.closed
	mayRun := e != nil && c.written > e.writtenBefore && !c.serverClosed
	c.closed, c.exchange = true, nil
	c.mu.Unlock()
	switch {
	case wasClosed:
		return nil
	case mayRun:
		go e.abandon()
		return nil
	case e != nil:
		e.end()
	}
	return c.Conn.Close()
}
