package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"azurering/core"
	"azurering/io/socket"
)

// slowServer accepts connections and reads nothing before the returned channel is closed.
// received gets a value for each connection: whether a whole request arrived on it.
func slowServer(t *testing.T) (s core.Instance, read chan struct{}, received chan bool) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return socket.ControlRaw(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 1) }) // the least
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	read, received = make(chan struct{}), make(chan bool, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				<-read
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = io.Copy(io.Discard, r.Body)
				}
				received <- err == nil
			}()
		}
	}()
	return core.Instance{Server: core.Server{Name: "i-1", Address: l.Addr().String(), Slots: 3}}, read, received
}

// Guards against a request that its host has given up and that runs later: what the
// kernel holds of it must not reach a server that could not take it before, long after
// the caller was told that its time is over, and the server was to get no more requests.
func TestRequestThatWasGivenUpArrivesNoMore(t *testing.T) {
	for name, atMostOnce := range map[string]bool{"repeatable": false, "order": true} {
		for _, leaves := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				s, read, received := slowServer(t)
				c := call("a")
				c.Method, c.Body = http.MethodPost, make([]byte, 12<<10) // more than the server's kernel takes, and less than this host's
				c.ContentLength = int64(len(c.Body))
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				if leaves {
					time.AfterFunc(100*time.Millisecond, cancel)
				}
				_, _, err := newPool().Exchange(ctx, s, c, core.ForwardInfo{Server: s.Name, TimeLeft: time.Second, AtMostOnce: atMostOnce})
				require.Equal(t, core.SendUnknown, sendState(t, err))
				close(read)
				require.False(t, <-received)
			})
		}
	}
}
