package server_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/timer"
	"azurering/io/server"
)

// startRawServer accepts connections, reads requests and calls answer for
// each, which may write any bytes. It returns the server and the number of
// requests read.
func startRawServer(t *testing.T, answer func(conn net.Conn, n int64)) (core.Server, *atomic.Int64) {
	t.Helper()
	var count atomic.Int64
	return startRequestServer(t, func(conn net.Conn, _ *http.Request) { answer(conn, count.Add(1)) }), &count
}

// startRequestServer is startRawServer with an answer that depends on the request.
func startRequestServer(t *testing.T, answer func(net.Conn, *http.Request)) core.Server {
	t.Helper()
	return startConnServer(t, func(conn net.Conn, req *http.Request) bool {
		_, _ = io.Copy(io.Discard, req.Body)
		answer(conn, req)
		return true
	})
}

// startConnServer calls handle for each request, before its body is read, until handle
// returns false.
func startConnServer(t *testing.T, handle func(net.Conn, *http.Request) bool) core.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil || !handle(conn, req) {
						return
					}
				}
			}()
		}
	}()
	return core.Server{Name: "s", Address: l.Addr().String()}
}

func writeText(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func orderRequest() core.Request {
	return core.Request{
		Workspace: "loft-a", Method: http.MethodPost, Path: "/orders",
		Header: http.Header{"Idempotency-Key": {"k"}},
	}
}

func stateOf(t *testing.T, err error) core.SendState {
	t.Helper()
	var se *core.SendError
	require.True(t, errors.As(err, &se), "%v", err)
	return se.State
}

// Guards against a wrong send state of a failed request, on which the answer
// "not run" and retries of orders depend.
func TestSendStates(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	_ = closedListener.Close()
	for _, c := range []struct {
		name   string
		answer func(conn net.Conn, n int64)
		state  core.SendState
	}{
		{"connection refused", nil, core.SendNotSent},
		{"closed after the request", func(conn net.Conn, _ int64) { _ = conn.Close() }, core.SendUnknown},
		{"malformed answer", func(conn net.Conn, _ int64) { writeText(conn, "HTTP/9\r\n\r\n"); _ = conn.Close() }, core.SendUnknown},
		{"refused as not run", func(conn net.Conn, _ int64) {
			writeText(conn, "HTTP/1.1 503 Busy\r\nAzurering-Run: not-run\r\nContent-Length: 0\r\n\r\n")
		}, core.SendRefused},
		{"answer without an end", func(conn net.Conn, _ int64) {
			writeText(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal")
			_ = conn.Close()
		}, core.SendUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := core.Server{Address: closedListener.Addr().String()}
			if c.answer != nil {
				target, _ = startRawServer(t, c.answer)
			}
			_, err := server.New(server.Config{Timer: timer.NewReal()}).Send(context.Background(), target, orderRequest())
			require.Equal(t, c.state, stateOf(t, err))
		})
	}
}

// Guards against net/http sending an order again after it lost a reused
// connection, which it does for a canonical Idempotency-Key header.
func TestOrderIsNotRepeatedByTransport(t *testing.T) {
	target, count := startRawServer(t, func(conn net.Conn, n int64) {
		if n == 1 {
			writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_ = conn.Close()
	})
	client := server.New(server.Config{Timer: timer.NewReal()})
	first, err := client.Send(context.Background(), target, orderRequest())
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, first.Body)
	require.NoError(t, first.Body.Close())
	_, err = client.Send(context.Background(), target, orderRequest())
	require.Equal(t, core.SendUnknown, stateOf(t, err))
	require.EqualValues(t, 2, count.Load(), "the second order reached the server more than once")
}

// Guards against a response that looks complete although its connection was
// closed early.
func TestCutAnswerGivesReadError(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target, _ := startRawServer(t, func(conn net.Conn, _ int64) { writeText(conn, text); _ = conn.Close() })
			resp, err := server.New(server.Config{Timer: timer.NewReal()}).Send(context.Background(), target, orderRequest())
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
			require.NoError(t, resp.Body.Close())
		})
	}
}

// Guards against the late response to a cancelled request being returned for
// the next request on the same connection.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	release := make(chan struct{})
	target, _ := startRawServer(t, func(conn net.Conn, n int64) {
		if n == 1 {
			<-release
			writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return
		}
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
	})
	client := server.New(server.Config{Timer: timer.NewReal()})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Send(ctx, target, orderRequest())
	require.Equal(t, core.SendUnknown, stateOf(t, err))
	close(release)
	resp, err := client.Send(context.Background(), target, orderRequest())
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "own", string(body))
	require.NoError(t, resp.Body.Close())
}

// Guards against a late second copy of an answer that is returned for the next
// request on the connection, if the server repeats the number of the exchange.
func TestLateCopyIsNotTheNextAnswer(t *testing.T) {
	for name, lateBody := range map[string]string{"body": "late", "no body": ""} {
		t.Run(name, func(t *testing.T) {
			answer := func(conn net.Conn, exchange, body string) {
				writeText(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nAzurering-Exchange: %s\r\nContent-Length: %d\r\n\r\n%s", exchange, len(body), body))
			}
			var previous sync.Map // number of the previous exchange, by connection
			target := startRequestServer(t, func(conn net.Conn, r *http.Request) {
				exchange := r.Header.Get(server.HeaderExchange)
				if earlier, ok := previous.Swap(conn, exchange); ok {
					answer(conn, earlier.(string), lateBody)
				}
				answer(conn, exchange, "own "+r.URL.Path)
			})
			client := server.New(server.Config{Timer: timer.NewReal()})
			send := func(path string) (string, error) {
				r := orderRequest()
				r.Path = path
				resp, err := client.Send(context.Background(), target, r)
				if err != nil {
					return "", err
				}
				require.Empty(t, resp.Header.Get(server.HeaderExchange), "callers do not see it")
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				return string(body), nil
			}
			first, err := send("/first")
			require.NoError(t, err)
			require.Equal(t, "own /first", first)
			_, err = send("/second")
			require.Equal(t, core.SendUnknown, stateOf(t, err), "the server may have run it")
			third, err := send("/third")
			require.NoError(t, err, "on a new connection")
			require.Equal(t, "own /third", third)
		})
	}
}

// Guards against a backend server getting a workspace header that the caller
// set, a wrong deadline or no idempotency key.
func TestHeadersAtBackend(t *testing.T) {
	received := make(chan http.Header, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	backend := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header
		w.WriteHeader(http.StatusNoContent)
	})}
	go func() { _ = backend.Serve(l) }()
	defer func() { _ = backend.Close() }()
	clock := timer.NewManual()
	clock.Advance(time.Second)
	r := orderRequest()
	r.Header.Set("Azurering-Workspace", "forged")
	r.Deadline = 3 * time.Second
	resp, err := server.New(server.Config{Timer: clock}).Send(context.Background(), core.Server{Address: l.Addr().String()}, r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	header := <-received
	require.Equal(t, []string{"loft-a"}, header.Values(server.HeaderWorkspace))
	require.Equal(t, "2000", header.Get(server.HeaderDeadline))
	require.Equal(t, "k", header.Get("Idempotency-Key"))
}

// Guards against misread health reports, for example an unknown load that
// counts as an idle server.
func TestProbe(t *testing.T) {
	for body, want := range map[string]core.Health{
		`{"ready":true,"load":0.5}`:               {Ready: true, Load: 0.5},
		`{"ready":true}`:                          {Ready: true, Load: -1},
		`{"ready":false,"leaving":true,"load":7}`: {Leaving: true, Load: 1},
		`{"ready":true,"load":-3}`:                {Ready: true, Load: -1},
	} {
		target, _ := startRawServer(t, func(conn net.Conn, _ int64) {
			writeText(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"+body)
			_ = conn.Close()
		})
		got, err := server.New(server.Config{Timer: timer.NewReal()}).Probe(context.Background(), target)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	target, _ := startRawServer(t, func(conn net.Conn, _ int64) {
		writeText(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"+strings.Repeat("x", 3))
	})
	_, err := server.New(server.Config{Timer: timer.NewReal()}).Probe(context.Background(), target)
	require.Error(t, err)
}

// Guards against a connection that is used again in the middle of a request's body,
// after its server answered or rejected the request before it read all of it.
func TestAnswerBeforeTheBodyIsReadEndsTheConnection(t *testing.T) {
	for name, header := range map[string]string{"answered": "", "rejected": "Azurering-Run: not-run\r\n"} {
		t.Run(name, func(t *testing.T) {
			heads := make(chan string, 9)
			target := startConnServer(t, func(conn net.Conn, req *http.Request) bool {
				heads <- req.Method
				writeText(conn, "HTTP/1.1 200 OK\r\n"+header+"Content-Length: 2\r\n\r\nok")
				time.Sleep(100 * time.Millisecond)
				_, err := io.Copy(io.Discard, req.Body)
				return err == nil
			})
			c := server.New(server.Config{Timer: timer.NewReal()})
			t.Cleanup(c.Close)
			order := orderRequest()
			order.Body = make([]byte, 16<<20)
			for range 3 {
				resp, err := c.Send(context.Background(), target, order)
				if err == nil {
					_ = resp.Body.Close()
				}
				require.Equal(t, http.MethodPost, <-heads)
				next, err := c.Send(context.Background(), target, core.Request{Method: http.MethodGet, Path: "/x"})
				if header == "" {
					require.NoError(t, err)
					_ = next.Body.Close()
				}
				require.Equal(t, http.MethodGet, <-heads)
			}
		})
	}
}

// Guards against an answer that its server broke off, in the middle of its head or its
// body, and that counts as a whole one.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	for name, text := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Long: value\r\nContent-Length: 3\r\n\r\nyes",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n3\r\nyes\r\n0\r\nX-Sum: 12\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(text) {
				target, _ := startRawServer(t, func(conn net.Conn, _ int64) {
					writeText(conn, text[:length])
					_ = conn.Close()
				})
				c := server.New(server.Config{Timer: timer.NewReal()})
				resp, err := c.Send(context.Background(), target, orderRequest())
				if err != nil {
					require.Equal(t, core.SendUnknown, stateOf(t, err), "cut after %q", text[:length])
					continue
				}
				_, err = io.ReadAll(resp.Body)
				require.Error(t, err, "cut after %q", text[:length])
				require.NoError(t, resp.Body.Close())
			}
		})
	}
}

// Guards against an answer with a status that HTTP does not have, such as 000, which
// reaches the caller as an answer, or a connection that is used again after it.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		var conns sync.Map
		target, _ := startRawServer(t, func(conn net.Conn, _ int64) {
			conns.Store(conn.RemoteAddr().String(), true)
			writeText(conn, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
		})
		c := server.New(server.Config{Timer: timer.NewReal()})
		for n := range 2 {
			_, err := c.Send(context.Background(), target, orderRequest())
			require.Equal(t, core.SendUnknown, stateOf(t, err), status)
			_, err = c.Probe(context.Background(), target)
			require.Error(t, err, status)
			opened := 0
			conns.Range(func(any, any) bool { opened++; return true })
			require.Equal(t, 2*(n+1), opened, "a connection was used again after status %s", status)
		}
	}
}
