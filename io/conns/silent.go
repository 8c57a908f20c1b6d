package conns

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"azurering/core"
)

const (
	// unackedTimeout is the TCP_USER_TIMEOUT of connections. It allows for a few
	// retransmissions, which begin after 200 ms.
	unackedTimeout = 1200 * time.Millisecond
	// atMostOnceUnackedTimeout replaces it for requests that must not run again.
	// Their deadlines end them sooner.
	atMostOnceUnackedTimeout = time.Hour
	// lostProbes is the number of keep-alive probes in flight from which on at least
	// one of them had no reply for keepAlive.Interval.
	lostProbes = 2
)

var errNotTCP = errors.New("conns: connection has no socket")

// socket calls f with the file descriptor of a connection.
func socket(c net.Conn, f func(fd int) error) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errNotTCP
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "conns: cannot access the socket")
	}
	return rawSocket(raw, f)
}

func rawSocket(raw syscall.RawConn, f func(fd int) error) error {
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = f(int(fd)) }); err != nil {
		return errors.Wrap(err, "conns: cannot access the socket")
	}
	return callErr
}

// setUnackedTimeout returns a function that bounds how long data sent on a socket may
// stay unacknowledged.
func setUnackedTimeout(d time.Duration) func(fd int) error {
	return func(fd int) error {
		err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		return errors.Wrap(err, "conns: cannot set TCP_USER_TIMEOUT")
	}
}

func readTCPInfo(c net.Conn) (info *unix.TCPInfo, err error) {
	err = socket(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return errors.Wrap(err, "conns: cannot read TCP_INFO")
	})
	return info, err
}

// isSilent reports whether the other side has acknowledged neither data nor probes
// for unackedTimeout.
func isSilent(info *unix.TCPInfo) bool {
	waits := info.Unacked > 0 || info.Probes >= lostProbes
	return waits && time.Duration(info.Last_ack_recv)*time.Millisecond >= unackedTimeout
}

// extension is the state of a connection whose unacknowledged data may wait for long.
type extension struct {
	since    time.Duration // start of its request
	reported bool          // by SilentServers
}

// extendUnackedTimeout lets the connection outlive the silence of its server, for a
// request that must not run again: it may be running there, and its answer may still
// come. Without TCP_INFO the connection ends as for other requests, because nothing
// else would tell that the server is silent.
func (p *Pool) extendUnackedTimeout(c *conn) {
	if _, err := p.tcpInfo(c.Conn); err != nil {
		return
	}
	if socket(c.Conn, setUnackedTimeout(atMostOnceUnackedTimeout)) != nil {
		return // the connection has been closed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.extended[c] = extension{since: p.cfg.Timer.Now()}
}

// resetUnackedTimeout undoes extendUnackedTimeout.
func (p *Pool) resetUnackedTimeout(c *conn) {
	p.mu.Lock()
	_, ok := p.extended[c]
	delete(p.extended, c)
	p.mu.Unlock()
	if ok {
		_ = socket(c.Conn, setUnackedTimeout(unackedTimeout)) // fails only if the connection has been closed
	}
}

// SilentServers returns the servers that have been silent for a while on a connection
// that waits all the same, because it carries a request that must not run again. It
// reports each such connection once. The owner calls it about once a second.
func (p *Pool) SilentServers() []core.Instance {
	now := p.cfg.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []core.Instance
	seen := make(map[core.ServerID]bool)
	for c, state := range p.extended {
		if state.reported || now < state.since+unackedTimeout {
			continue
		}
		info, err := p.tcpInfo(c.Conn)
		if err != nil {
			delete(p.extended, c) // closed
			continue
		}
		if !isSilent(info) {
			continue
		}
		p.extended[c] = extension{since: state.since, reported: true}
		if !seen[c.server.Name] {
			seen[c.server.Name] = true
			list = append(list, c.server)
		}
	}
	return list
}
