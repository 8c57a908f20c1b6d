package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"azurering/core"
	"azurering/core/timer"
	"azurering/io/server"
	"azurering/io/socket"
)

// startSlowServer starts a server that sends a part of a response if it is asked for
// "/part", and works until the client has gone away and some time after that. It returns the
// number of requests that it works on.
func startSlowServer(t *testing.T, withTLS bool) (core.Server, *httptest.Server, *atomic.Int64) {
	t.Helper()
	var working atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		working.Add(1)
		defer working.Add(-1)
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/part" {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
		time.Sleep(500 * time.Millisecond)
	}))
	if withTLS {
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
	return core.Server{Name: "s", Address: s.Listener.Addr().String()}, s, &working
}

// Guards against a slot that is free again while the server still works on the request that
// had it: the next request would come to a server without a free slot.
func TestAbandonedExchangeEndsWhenTheServerHasEndedIt(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		for _, path := range []string{"/none", "/part"} {
			t.Run(map[bool]string{false: "plain", true: "TLS"}[withTLS]+path, func(t *testing.T) {
				s, listener, working := startSlowServer(t, withTLS)
				cfg := server.Config{Timer: timer.NewReal()}
				if withTLS {
					cfg.TLS = listener.Client().Transport.(*http.Transport).TLSClientConfig
				}
				c := server.New(cfg)
				defer c.Close()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() {
					for working.Load() == 0 {
						time.Sleep(time.Millisecond)
					}
					if path == "/none" {
						cancel()
					}
				}()
				resp, err := c.Send(ctx, s, core.Request{Method: http.MethodPost, Path: path, Body: []byte("job")})
				ended := resp.Ended
				if path == "/part" {
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
				} else {
					require.Equal(t, core.SendUnknown, stateOf(t, err))
					ended = core.EndOf(err)
				}
				require.EqualValues(t, 1, working.Load())
				<-ended
				require.Zero(t, working.Load())
			})
		}
	}
}

// Guards against a request that runs after its exchange has ended and its slot went to
// another one: what the kernel holds of it must not reach a server that could not take it
// before.
func TestAbandonedRequestArrivesNoMoreAfterItsEnd(t *testing.T) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return socket.ControlRaw(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 1) }) // the least
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := l.Accept(); err == nil {
			accepted <- conn
		}
	}()
	c := server.New(server.Config{Timer: timer.NewReal()})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	// More than the kernel of the server takes, and less than that of the client.
	request := core.Request{Method: http.MethodPost, Path: "/", Body: make([]byte, 12<<10)}
	_, err = c.Send(ctx, core.Server{Name: "s", Address: l.Addr().String()}, request)
	require.Equal(t, core.SendUnknown, stateOf(t, err))
	<-core.EndOf(err)
	conn := <-accepted
	defer func() { _ = conn.Close() }()
	got, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, err = io.Copy(io.Discard, got.Body)
	}
	require.Error(t, err)
}

// Guards against a slot that is never free again: the server goes on sending, or neither
// sends nor closes the connection, or the exchange ended with a response that has no body.
func TestEveryExchangeEnds(t *testing.T) {
	for name, answer := range map[string]func(net.Conn){
		"no body": func(c net.Conn) { writeText(c, "HTTP/1.1 204 No Content\r\n\r\n") },
		"endless body": func(c net.Conn) {
			writeText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := io.WriteString(c, "400\r\n"+strings.Repeat("x", 0x400)+"\r\n"); err != nil {
					return
				}
			}
		},
		"silence": func(c net.Conn) {
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
			time.Sleep(time.Minute)
		},
		"close": func(c net.Conn) {
			writeText(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := startRawServer(t, func(conn net.Conn, _ int64) { answer(conn) })
			c := server.New(server.Config{Timer: timer.NewReal()})
			defer c.Close()
			resp, err := c.Send(context.Background(), s, core.Request{Method: http.MethodGet, Path: "/"})
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			<-resp.Ended
		})
	}
}
