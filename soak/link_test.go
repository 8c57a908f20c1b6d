package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a link does to the connections through it.
type mode string

// The modes of a link.
const (
	modePass   mode = "pass"
	modeSlow   mode = "slow"   // bytes are delayed
	modeDeaf   mode = "deaf"   // bytes of the dialling side are lost
	modeMute   mode = "mute"   // bytes of the listening side are lost
	modeSilent mode = "silent" // all bytes are lost, connections stay open
	modeRefuse mode = "refuse" // connections are reset, new ones too
)

// slowBy is the delay of a slow link in each direction.
const slowBy = 150 * time.Millisecond

// link is a TCP proxy on loopback that can misbehave. It is safe for
// concurrent use.
type link struct {
	listener net.Listener
	dial     func() (net.Conn, error)

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newLink returns a link that listens at an address and leads to another.
// The address from which it dials may be empty.
func newLink(listen, from, to string) (*link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: 5 * time.Second}
	if from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	k := &link{
		listener: l, mode: modePass, conns: make(map[net.Conn]bool),
		dial: func() (net.Conn, error) { return dialer.Dial("tcp", to) },
	}
	go k.run()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) close() {
	_ = k.listener.Close()
	k.reset()
}

// set changes the mode. A link that refuses resets what is open.
func (k *link) set(m mode) {
	k.mu.Lock()
	k.mode = m
	k.mu.Unlock()
	if m == modeRefuse {
		k.reset()
	}
}

func (k *link) get() mode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode
}

// reset resets all connections that are open.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(k.conns)
}

func (k *link) run() {
	for {
		in, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.join(in)
	}
}

func (k *link) join(in net.Conn) {
	if k.get() == modeRefuse {
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	out, err := k.dial()
	if err != nil {
		_ = in.Close()
		return
	}
	k.mu.Lock()
	k.conns[in], k.conns[out] = true, true
	k.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { k.pump(out, in, modeDeaf) })
	group.Go(func() { k.pump(in, out, modeMute) })
	group.Wait()
	k.mu.Lock()
	delete(k.conns, in)
	delete(k.conns, out)
	k.mu.Unlock()
	_, _ = in.Close(), out.Close()
}

// pump copies one direction, which is lost in one of the modes. A direction
// that has lost bytes stays silent, as TCP would not skip them.
func (k *link) pump(to, from net.Conn, lossy mode) {
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		switch m := k.get(); {
		case m == lossy || m == modeSilent:
			lost = lost || n > 0
		case m == modeSlow:
			time.Sleep(slowBy)
		}
		if n > 0 && !lost {
			if _, failed := to.Write(buf[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			if err == io.EOF && !lost {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			_, _ = to.Close(), from.Close()
			return
		}
	}
}
