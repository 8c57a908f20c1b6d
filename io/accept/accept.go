// Package accept bounds what the connections of a listener take: their number, and the
// memory of the kernel for what they have sent and the process has not read.
package accept

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"azurering/core/space"
	"azurering/io/socket"
)

const (
	// FullReadBuffer is the receive buffer of a connection in bytes: about the first window
	// that Linux offers. The kernel does not enlarge it by itself once it is set.
	FullReadBuffer = 64 << 10
	// SmallReadBuffer is the receive buffer in bytes of connections for which there is no
	// memory left. Short requests fit into it.
	SmallReadBuffer = 8 << 10
	// maxUnsent bounds, in bytes, what the kernel takes of an answer before the peer's
	// window has room for it. Answers to peers that read are sent as fast as without it.
	maxUnsent = 32 << 10
)

// SetQueue bounds the connections of a listener that wait to be accepted. The kernel holds
// what their peers have sent.
func SetQueue(l net.Listener, length int) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	err := socket.Control(tcp, func(fd int) error { return unix.Listen(fd, length) })
	return errors.Wrap(err, "accept: cannot bound the queue of a listener")
}

// Bound bounds the memory of the kernel for a connection that was accepted. The memory for
// a full receive buffer is taken of the pool; without it the connection gets a small one.
// The caller releases the claim when the connection has ended.
func Bound(c net.Conn, pool *space.Pool) *space.Claim {
	claim := pool.Claim()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return claim
	}
	size := SmallReadBuffer
	if claim.Take(FullReadBuffer) {
		size = FullReadBuffer
	}
	// Without these options, the defaults of the kernel apply.
	_ = tcp.SetReadBuffer(size)
	_ = socket.Control(tcp, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
	})
	return claim
}
