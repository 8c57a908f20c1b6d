package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// linkMode is how a link treats the connections through it.
type linkMode string

// The values of linkMode.
const (
	linkPass             linkMode = "pass"
	linkSlow             linkMode = "slow"   // bytes are delayed by slowLinkDelay
	linkDropFromDialer   linkMode = "deaf"   // bytes from the dialing side are dropped
	linkDropFromListener linkMode = "mute"   // bytes from the listening side are dropped
	linkDropAll          linkMode = "silent" // all bytes are dropped, connections stay open
	linkRefuse           linkMode = "refuse" // open and new connections are reset
)

// slowLinkDelay is the delay per read in each direction of a slow link.
const slowLinkDelay = 150 * time.Millisecond

// link is a TCP proxy on loopback that injects network faults. It is safe for
// concurrent use.
type link struct {
	listener net.Listener
	dial     func() (net.Conn, error)

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
}

// newLink returns a link that listens on an address and proxies connections to
// another. It dials from the IP address from, or from any if that is empty.
func newLink(listen, from, to string) (*link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: 5 * time.Second}
	if from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	ln := &link{
		listener: listener, mode: linkPass, conns: make(map[net.Conn]bool),
		dial: func() (net.Conn, error) { return dialer.Dial("tcp", to) },
	}
	go ln.acceptConns()
	return ln, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) close() {
	_ = l.listener.Close()
	l.reset()
}

// setMode sets the mode. With linkRefuse, open connections are reset.
func (l *link) setMode(m linkMode) {
	l.mu.Lock()
	l.mode = m
	l.mu.Unlock()
	if m == linkRefuse {
		l.reset()
	}
}

func (l *link) currentMode() linkMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// reset resets all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(l.conns)
}

func (l *link) acceptConns() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxyConn(in)
	}
}

func (l *link) proxyConn(in net.Conn) {
	if l.currentMode() == linkRefuse {
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	out, err := l.dial()
	if err != nil {
		_ = in.Close()
		return
	}
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copyDirection(out, in, linkDropFromDialer) })
	wg.Go(func() { l.copyDirection(in, out, linkDropFromListener) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
	_, _ = in.Close(), out.Close()
}

// copyDirection copies bytes in one direction and drops them in dropMode and
// linkDropAll. After it has dropped bytes it forwards none any more, as a TCP
// stream cannot have gaps.
func (l *link) copyDirection(to, from net.Conn, dropMode linkMode) {
	buf := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buf)
		switch m := l.currentMode(); {
		case m == dropMode || m == linkDropAll:
			dropped = dropped || n > 0
		case m == linkSlow:
			time.Sleep(slowLinkDelay)
		}
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if err == io.EOF && !dropped {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			_, _ = to.Close(), from.Close()
			return
		}
	}
}
