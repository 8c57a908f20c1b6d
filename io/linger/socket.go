// Package linger ends TCP connections without losing what the peer has not received yet.
package linger

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Pending is what the kernel holds of a connection, in bytes.
type Pending struct {
	// Unread has arrived and was not read. A close with unread bytes resets the
	// connection.
	Unread int
	// Unacked was written and has not been acknowledged by the peer's kernel. A reset
	// drops it.
	Unacked int
}

var errNoSocket = errors.New("linger: connection has no socket")

// ReadPending returns what the kernel holds of a connection. It fails if the connection
// is closed or has no socket.
func ReadPending(c net.Conn) (Pending, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Pending{}, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Pending{}, errors.Wrap(err, "linger: cannot access the socket")
	}
	var p Pending
	var callErr error
	if err := raw.Control(func(fd uintptr) {
		if p.Unread, callErr = unix.IoctlGetInt(int(fd), unix.TIOCINQ); callErr != nil {
			return
		}
		p.Unacked, callErr = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	}); err != nil {
		return Pending{}, errors.Wrap(err, "linger: cannot access the socket")
	}
	return p, errors.Wrap(callErr, "linger: cannot read the queues of the socket")
}
