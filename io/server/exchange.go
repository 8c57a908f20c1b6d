package server

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"azurering/io/socket"
)

const (
	// abandonTime is how long a server has to close the connection of an abandoned exchange.
	abandonTime = 2 * time.Second
	// resetDelay is how long a server may take to notice that a connection was reset: a few
	// round trips within a region.
	resetDelay = 200 * time.Millisecond
	// maxAbandonedBytes is how many bytes of the rest of a response are read in that time.
	// A server that sends more is still sending.
	maxAbandonedBytes = 64 << 10
)

// exchange is one request and its response on a connection.
type exchange struct {
	conn          *countedConn
	writtenBefore int64         // bytes written to the connection before
	ended         chan struct{} // closed once the server works on the request no longer
	endOnce       sync.Once
}

// begin starts an exchange.
func (c *countedConn) begin() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = &exchange{conn: c, writtenBefore: c.written, ended: make(chan struct{})}
	return c.exchange
}

// blockIfUnwritten reports whether no byte of the request was written, and if
// so makes all later writes fail: the transport may still write the request
// after the cancelled call has returned.
func (e *exchange) blockIfUnwritten() bool {
	c := e.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != e.writtenBefore {
		return false
	}
	c.writesBlocked = true
	return true
}

// finish notes that the whole response was read. The connection may be in use for the next
// exchange already.
func (e *exchange) finish() {
	e.conn.mu.Lock()
	if e.conn.exchange == e {
		e.conn.exchange = nil
	}
	e.conn.mu.Unlock()
	e.end()
}

func (e *exchange) end() { e.endOnce.Do(func() { close(e.ended) }) }

// abandon closes the sending side of the connection and waits until the server closes the
// other one, which it does when it works on the request no longer. A server that goes on
// sending, or does not react, gets a reset.
func (e *exchange) abandon() {
	defer e.end()
	conn := e.conn.Conn
	_ = conn.SetDeadline(time.Now()) // ends the reads and writes of the transport
	e.conn.readMu.Lock()
	defer e.conn.readMu.Unlock()
	if closeWrite(conn) == nil && awaitClose(conn) {
		_ = conn.Close()
		return
	}
	// The request may still be on its way to a server that cannot be reached.
	socket.Abort(conn)
	time.Sleep(resetDelay)
}

// closeWrite closes the sending side of a TCP or TLS connection.
func closeWrite(conn net.Conn) error {
	c, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return c.CloseWrite()
}

// awaitClose reports whether the other side closes or resets a connection in time.
func awaitClose(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(abandonTime))
	_, err := io.CopyN(io.Discard, conn, maxAbandonedBytes)
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}
