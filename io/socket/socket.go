// Package socket gives access to what package net does not offer of TCP sockets.
package socket

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

var errNoSocket = errors.New("socket: connection has no socket")

// Control calls f with the file descriptor of a connection or listener. It fails if that is
// closed or has none, or if f does.
func Control(c any, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket: cannot access the socket")
	}
	return ControlRaw(raw, f)
}

// ControlRaw is Control for a socket that is not connected yet.
func ControlRaw(raw syscall.RawConn, f func(fd int) error) error {
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return errors.Wrap(err, "socket: cannot access the socket")
	}
	return callErr
}

// AbortOnClose makes the close of a connection drop what was not delivered, which the kernel
// would keep otherwise. The connection may be a TLS one.
func AbortOnClose(c net.Conn) {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Abort closes a connection and drops what was not delivered.
func Abort(c net.Conn) {
	AbortOnClose(c)
	_ = c.Close()
}
