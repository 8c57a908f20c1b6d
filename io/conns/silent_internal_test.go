package conns

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"azurering/core"
	"azurering/core/timer"
)

// plainCodec adds nothing to requests.
type plainCodec struct{ core.HeaderCodec }

func (plainCodec) RequestHeader(*core.Call, core.ForwardInfo) http.Header { return http.Header{} }

// Guards against a silent server that gets more and more requests, because those that
// wait for it until their deadlines do not show that it is silent.
func TestSilentServerIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	clock := timer.NewManual()
	p := New(Config{Timer: clock, Dialect: plainCodec{}})
	info := unix.TCPInfo{Unacked: 1}
	p.tcpInfo = func(net.Conn) (*unix.TCPInfo, error) { return &info, nil }
	s := core.Instance{Server: core.Server{Name: "i-1", Address: l.Addr().String()}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _, _ = p.Exchange(ctx, s, &core.Call{Method: "GET", Target: "/", Host: "h"}, core.ForwardInfo{AtMostOnce: true})
	}()
	require.Eventually(t, func() bool { return numExtended(p) == 1 }, 10*time.Second, time.Millisecond)

	info.Last_ack_recv = 5000 // of an earlier request
	require.Empty(t, p.SilentServers(), "the request has just been sent")
	clock.Advance(unackedTimeout)
	info.Last_ack_recv = 300
	require.Empty(t, p.SilentServers(), "the server acknowledges")
	info.Last_ack_recv = 1200
	require.Equal(t, []core.Instance{s}, p.SilentServers())
	require.Empty(t, p.SilentServers(), "reported once")

	cancel()
	<-ended
	require.Eventually(t, func() bool { return numExtended(p) == 0 }, 10*time.Second, time.Millisecond)
}

func numExtended(p *Pool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.extended)
}

// Guards against a server that is taken for silent because a probe is on its way, or
// while it acknowledges but does not answer yet.
func TestIsSilent(t *testing.T) {
	for name, c := range map[string]struct {
		info unix.TCPInfo
		want bool
	}{
		"nothing to acknowledge": {unix.TCPInfo{Last_ack_recv: 60_000}, false},
		"data just sent":         {unix.TCPInfo{Unacked: 3, Last_ack_recv: 900}, false},
		"data not acknowledged":  {unix.TCPInfo{Unacked: 3, Last_ack_recv: 1200}, true},
		"first probe":            {unix.TCPInfo{Probes: 1, Last_ack_recv: 2010}, false},
		"probes without replies": {unix.TCPInfo{Probes: 2, Last_ack_recv: 3000}, true},
	} {
		require.Equal(t, c.want, isSilent(&c.info), name)
	}
}

// Guards against a connection that waits for long although nothing can tell that its
// server is silent.
func TestUnackedTimeoutIsKeptWithoutTCPInfo(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	p := New(Config{Timer: timer.NewManual(), Dialect: plainCodec{}})
	for _, known := range []bool{true, false} {
		if !known {
			p.tcpInfo = func(net.Conn) (*unix.TCPInfo, error) { return nil, errors.New("test: no TCP_INFO") }
		}
		raw, err := p.cfg.Dial(t.Context(), "tcp", l.Addr().String())
		require.NoError(t, err)
		c := &conn{Conn: raw, pool: p}
		p.extendUnackedTimeout(c)
		want := unackedTimeout
		if known {
			want = atMostOnceUnackedTimeout
		}
		require.Equal(t, want, userTimeout(t, raw))
		p.resetUnackedTimeout(c)
		require.Equal(t, unackedTimeout, userTimeout(t, raw))
		require.NoError(t, raw.Close())
	}
}

func userTimeout(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	ms := 0
	require.NoError(t, socket(c, func(fd int) (err error) {
		ms, err = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		return err
	}))
	return time.Duration(ms) * time.Millisecond
}
