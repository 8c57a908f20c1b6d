// Package linger ends TCP connections without losing what the peer has not received yet.
package linger

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"azurering/io/socket"
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

// ReadPending returns what the kernel holds of a connection. It fails if the connection
// is closed or has no socket.
func ReadPending(c net.Conn) (Pending, error) {
	var p Pending
	err := socket.Control(c, func(fd int) (err error) {
		if p.Unread, err = unix.IoctlGetInt(fd, unix.TIOCINQ); err != nil {
			return err
		}
		p.Unacked, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	return p, errors.Wrap(err, "linger: cannot read the queues of a connection")
}
