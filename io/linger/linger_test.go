package linger_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/io/linger"
)

// connect returns the two sides of a connection.
func connect(t *testing.T) (host, peer *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// Guards against a report that shows nothing of the bytes that a close would lose.
func TestPendingBytesAreRead(t *testing.T) {
	host, peer := connect(t)
	_, err := io.WriteString(peer, "unread")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		p, err := linger.ReadPending(host)
		return err == nil && p == linger.Pending{Unread: 6}
	}, time.Second, time.Millisecond)
	require.NoError(t, peer.SetReadBuffer(1<<10))
	require.NoError(t, host.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, _ = host.Write(make([]byte, 16<<20)) // more than the kernel takes
	p, err := linger.ReadPending(host)
	require.NoError(t, err)
	require.Positive(t, p.Unacked)
	require.NoError(t, host.Close())
	_, err = linger.ReadPending(host)
	require.Error(t, err)
}

// Guards against a wait that goes on after the peer has closed its side, or has reset the
// connection.
func TestDrainEndsWithThePeer(t *testing.T) {
	for name, end := range map[string]func(peer *net.TCPConn) error{
		"close": (*net.TCPConn).Close,
		"reset": func(peer *net.TCPConn) error {
			_ = peer.SetLinger(0)
			return peer.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			host, peer := connect(t)
			require.NoError(t, host.CloseWrite())
			done := make(chan struct{})
			go func() {
				linger.New(linger.Config{Quiet: time.Hour, Limit: time.Hour}).Drain(host)
				close(done)
			}()
			_, err := io.WriteString(peer, "dropped")
			require.NoError(t, err)
			require.NoError(t, end(peer))
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Fatal("the wait did not end")
			}
		})
	}
}
