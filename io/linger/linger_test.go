package linger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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

// Guards against an HTTP server that resets a connection when it is shut down, while
// answers are on the way to a slow caller that sends more.
func TestListenerDeliversAnswersAtShutdown(t *testing.T) {
	const size = 400 << 10
	closer := linger.New(linger.Config{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handled := make(chan struct{}, 3)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
		handled <- struct{}{}
	})}
	go func() { _ = server.Serve(closer.Listener(l)) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	<-handled
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, server.Shutdown(ctx))
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond) // a reset drops what the kernel holds by now
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, int64(size), n)
	require.Equal(t, 1, closer.NumConns())
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return closer.NumConns() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a Close that leaves a read of another goroutine waiting, or lets it take
// what the wait for the peer's close must see.
func TestCloseEndsReads(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closer := linger.New(linger.Config{Quiet: time.Hour, Limit: time.Hour})
	listener := closer.Listener(l)
	peer, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	c, err := listener.Accept()
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	require.NoError(t, c.Close())
	require.Error(t, <-ended)
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
	require.ErrorIs(t, c.SetReadDeadline(time.Time{}), net.ErrClosed)
	require.ErrorIs(t, c.Close(), net.ErrClosed)
	_, err = peer.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, peer.Close())
	require.Eventually(t, func() bool { return closer.NumConns() == 0 }, 10*time.Second, time.Millisecond)
}
