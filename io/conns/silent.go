package conns

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"azurering/core"
	"azurering/io/socket"
)

const (
	// unackedTimeout is the TCP_USER_TIMEOUT of connections. It allows for a few
	// retransmissions, which begin after 200 ms.
	unackedTimeout = 1200 * time.Millisecond
	// atMostOnceUnackedTimeout replaces it for requests that must not run again.
	// Their deadlines end them sooner.
	atMostOnceUnackedTimeout = time.Hour
)

// setUnackedTimeout returns a function that bounds how long data sent on a socket may
// stay unacknowledged.
func setUnackedTimeout(d time.Duration) func(fd int) error {
	return func(fd int) error {
		err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		return errors.Wrap(err, "conns: cannot set TCP_USER_TIMEOUT")
	}
}

// readUnacked returns the number of segments sent on a connection that the other side
// has not acknowledged.
func readUnacked(c net.Conn) (n int, err error) {
	err = socket.Control(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return errors.Wrap(err, "conns: cannot read TCP_INFO")
		}
		n = int(info.Unacked)
		return nil
	})
	return n, err
}

// extension is the state of a connection whose unacknowledged data may wait for long.
type extension struct {
	exchange  *exchange     // its request
	isWritten bool          // the whole request was sent
	writtenAt time.Duration // when it was
	reported  bool          // by SilentServers
}

// extendUnackedTimeout lets the connection outlive the silence of its server, for a
// request that must not run again: it may be running there, and its answer may still
// come. Without TCP_INFO the connection ends as for other requests, because nothing
// else would tell that the server is silent.
func (p *Pool) extendUnackedTimeout(c *conn, x *exchange) {
	if _, err := p.unacked(c.Conn); err != nil {
		return
	}
	if socket.Control(c.Conn, setUnackedTimeout(atMostOnceUnackedTimeout)) != nil {
		return // the connection has been closed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extended[c] = extension{exchange: x}
}

// setWritten records that the whole request of an exchange was sent. The answer may
// have arrived already, and the connection may have another exchange.
func (p *Pool) setWritten(c *conn, x *exchange) {
	now := p.cfg.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.extended[c]; e.exchange == x {
		e.isWritten, e.writtenAt = true, now
		p.extended[c] = e
	}
}

// resetUnackedTimeout undoes extendUnackedTimeout.
func (p *Pool) resetUnackedTimeout(c *conn) {
	p.mu.Lock()
	_, ok := p.extended[c]
	delete(p.extended, c)
	p.mu.Unlock()
	if ok {
		_ = socket.Control(c.Conn, setUnackedTimeout(unackedTimeout)) // fails only if the connection has been closed
	}
}

// SilentServers returns the servers that have not acknowledged a whole request for
// unackedTimeout, on connections that wait all the same because the request must not
// run again. It reports each request once. The owner calls it several times a second.
func (p *Pool) SilentServers() []core.Instance {
	now := p.cfg.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []core.Instance
	seen := make(map[core.ServerID]bool)
	for c, e := range p.extended {
		if e.reported || !e.isWritten || now < e.writtenAt+unackedTimeout {
			continue
		}
		n, err := p.unacked(c.Conn)
		if err != nil {
			delete(p.extended, c) // closed
			continue
		}
		if n == 0 {
			continue
		}
		e.reported = true
		p.extended[c] = e
		if !seen[c.server.Name] {
			seen[c.server.Name] = true
			list = append(list, c.server)
		}
	}
	return list
}
