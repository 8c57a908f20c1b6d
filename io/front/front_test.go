package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/timer"
	"azurering/io/front"
)

// dialect ignores all headers.
type dialect struct{ core.HeaderCodec }

func (dialect) ParseRequest(*core.Call) {}

// waitTimeout bounds how long a test waits for an event.
const waitTimeout = 10 * time.Second

type testServer struct {
	server  *front.Server
	address string
	limits  core.Limits
	mu      sync.Mutex
	bodies  []string
	ends    chan front.End
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func newTestServer(t *testing.T, limits core.Limits, serve func(ctx context.Context, c *core.Call) *core.Reply) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ts := &testServer{address: l.Addr().String(), limits: limits, ends: make(chan front.End, 1<<10)}
	ts.server = front.New(front.Config{
		Timer: timer.NewReal(), Dialect: dialect{}, Limits: func() core.Limits { return limits }, Log: discardLog(),
		OnEnd: func(e front.End) { ts.ends <- e },
		Handle: func(ctx context.Context, c *core.Call) *core.Reply {
			ts.mu.Lock()
			ts.bodies = append(ts.bodies, string(c.Body))
			ts.mu.Unlock()
			return serve(ctx, c)
		},
	})
	go ts.server.Serve(l)
	t.Cleanup(ts.server.Close)
	return ts
}

func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c, bufio.NewReader(c)
}

func newReply(body string) *core.Reply {
	return &core.Reply{Status: 200, Header: http.Header{}, Body: []byte(body), ContentLength: int64(len(body))}
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

// Guards against pipelined requests that wait for one another, and against
// responses out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	var started sync.WaitGroup
	started.Add(5)
	s := newTestServer(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply {
		started.Done()
		started.Wait() // returns only if all five are in flight at once
		return newReply(c.Path)
	})
	c, r := s.dial(t)
	for n := range 5 {
		_, err := io.WriteString(c, getRequest(fmt.Sprintf("/%d", n)))
		require.NoError(t, err)
	}
	for n := range 5 {
		_, body := readResponse(t, r)
		require.Equal(t, fmt.Sprintf("/%d", n), body)
	}
}

// Guards against requests that go on after the caller disconnected, including
// pipelined ones and the last one of a connection.
func TestDisconnectCancelsRequests(t *testing.T) {
	for name, header := range map[string]string{"keep-alive": "", "close": "Connection: close\r\n"} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}, 9), make(chan struct{}, 9)
			s := newTestServer(t, core.Limits{}, func(ctx context.Context, _ *core.Call) *core.Reply {
				started <- struct{}{}
				<-ctx.Done()
				ended <- struct{}{}
				return newReply("")
			})
			c, _ := s.dial(t)
			requests := 3
			if header != "" {
				requests = 1
			}
			for range requests {
				_, err := io.WriteString(c, strings.Replace(getRequest("/"), "\r\n\r\n", "\r\n"+header+"\r\n", 1))
				require.NoError(t, err)
				<-started
			}
			require.NoError(t, c.Close())
			for range requests {
				select {
				case <-ended:
				case <-time.After(waitTimeout):
					t.Fatal("request was not canceled when its caller disconnected")
				}
			}
		})
	}
}

// Guards against a shutdown that drops requests in flight, keeps connections
// open after their last response, or leaves idle connections open.
func TestShutdownFinishesRequests(t *testing.T) {
	started, finish := make(chan struct{}, 9), make(chan struct{})
	s := newTestServer(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply {
		started <- struct{}{}
		<-finish
		return newReply(c.Path)
	})
	idle, idleReader := s.dial(t)
	busy, busyReader := s.dial(t)
	for n := range 3 {
		_, err := io.WriteString(busy, getRequest(fmt.Sprintf("/%d", n)))
		require.NoError(t, err)
		<-started
	}
	s.server.CloseAfterResponse()
	// After Leave, open connections still serve a request.
	_, err := io.WriteString(idle, getRequest("/late"))
	require.NoError(t, err)
	<-started
	unused, unusedReader := s.dial(t)
	require.Eventually(t, func() bool { return s.server.NumConns() == 3 }, waitTimeout, time.Millisecond)
	s.server.Close()
	_, err = unusedReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	_ = unused.Close()
	close(finish)
	for n := range 3 {
		resp, body := readResponse(t, busyReader)
		require.Equal(t, fmt.Sprintf("/%d", n), body)
		require.Equal(t, n == 2, resp.Close, "only the last response closes the connection")
	}
	resp, body := readResponse(t, idleReader)
	require.Equal(t, "/late", body)
	require.True(t, resp.Close)
	_ = busy.Close()
	_ = idle.Close()
	require.Eventually(t, func() bool { return s.server.NumConns() == 0 }, waitTimeout, time.Millisecond)
	_, err = net.Dial("tcp", s.address)
	require.Error(t, err)
}

// Guards against requests that exceed a limit or are malformed and are served, or
// get the wrong status.
func TestLimitViolationsAreRejected(t *testing.T) {
	limits := core.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 100, HeaderTimeout: 100 * time.Millisecond}
	for name, tt := range map[string]struct {
		request string
		status  int
	}{
		"large header":      {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", 431},
		"large body":        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413},
		"malformed request": {"GET\r\n\r\n", 400},
		"slow header":       {"GET / HTTP/1.1\r\nHost: h\r\n", 408},
		"slow body":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", 408},
	} {
		t.Run(name, func(t *testing.T) {
			limits := limits
			if name == "slow body" {
				limits.IdleTimeout = 100 * time.Millisecond
			}
			s := newTestServer(t, limits, func(context.Context, *core.Call) *core.Reply { return newReply("served") })
			conn, r := s.dial(t)
			_, err := io.WriteString(conn, tt.request)
			require.NoError(t, err)
			resp, _ := readResponse(t, r)
			require.Equal(t, tt.status, resp.StatusCode)
			require.True(t, resp.Close)
			require.Empty(t, s.bodies, "a rejected request was served")
		})
	}
}

// Guards against request bodies that are framed wrongly, with Content-Length,
// chunked, and after 100 Continue.
func TestRequestBodiesAreRead(t *testing.T) {
	s := newTestServer(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply { return newReply(string(c.Body)) })
	c, r := s.dial(t)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"+
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"+
		"POST /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nthree")
	require.NoError(t, err)
	for _, expected := range []string{"one", "two"} {
		_, body := readResponse(t, r)
		require.Equal(t, expected, body)
	}
	resp, _ := readResponse(t, r)
	require.Equal(t, http.StatusContinue, resp.StatusCode)
	_, body := readResponse(t, r)
	require.Equal(t, "three", body)
}

type streamBody struct{ io.Reader }

func (b *streamBody) Close() error { return nil }

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("cut") }

// Guards against a truncated response that looks complete to the caller, with
// Content-Length as well as chunked.
func TestTruncatedResponseIsDetectable(t *testing.T) {
	for name, length := range map[string]int64{"content length": 1 << 20, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, core.Limits{}, func(context.Context, *core.Call) *core.Reply {
				return &core.Reply{
					Status: 200, Header: http.Header{}, Body: []byte("begin"), ContentLength: length,
					BodyRest: &streamBody{io.MultiReader(strings.NewReader("more"), failingReader{})},
				}
			})
			c, r := s.dial(t)
			_, err := io.WriteString(c, getRequest("/"))
			require.NoError(t, err)
			resp, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

// Guards against streamed responses whose buffered beginning and rest are not
// joined correctly, with Content-Length and chunked.
func TestLargeResponsesAreStreamed(t *testing.T) {
	for name, length := range map[string]int64{"content length": 9, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, core.Limits{}, func(context.Context, *core.Call) *core.Reply {
				return &core.Reply{
					Status: 200, Header: http.Header{}, Body: []byte("begin"), ContentLength: length, BodyRest: &streamBody{strings.NewReader("more")},
				}
			})
			c, r := s.dial(t)
			_, err := io.WriteString(c, getRequest("/"))
			require.NoError(t, err)
			_, body := readResponse(t, r)
			require.Equal(t, "beginmore", body)
		})
	}
}

// Guards against a shutdown that closes a connection without an answer although a
// whole request has arrived on it, just before the close or just after the
// connection was opened.
func TestCloseAnswersRequestsThatHaveArrived(t *testing.T) {
	for name, opened := range map[string]func(s *testServer) bool{
		"open connections": func(s *testServer) bool { return s.server.NumConns() == 20 },
		"new connections":  func(*testServer) bool { return true }, // some may not be accepted yet
	} {
		t.Run(name, func(t *testing.T) {
			for range 8 {
				s := newTestServer(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply { return newReply(c.Path) })
				callers, readers := make([]net.Conn, 20), make([]*bufio.Reader, 20)
				for i := range callers {
					callers[i], readers[i] = s.dial(t)
				}
				require.Eventually(t, func() bool { return opened(s) }, waitTimeout, time.Millisecond)
				s.server.CloseAfterResponse()
				for i, c := range callers {
					_, err := io.WriteString(c, getRequest(fmt.Sprintf("/%d", i)))
					require.NoError(t, err)
				}
				s.server.Close()
				for i, r := range readers {
					resp, body := readResponse(t, r)
					require.Equal(t, fmt.Sprintf("/%d", i), body)
					require.True(t, resp.Close)
				}
			}
		})
	}
}

// Guards against connections that stay open after their last response, for as long as
// the caller keeps its side open: a shutdown would wait for them.
func TestConnectionsEndAfterTheirLastResponse(t *testing.T) {
	s := newTestServer(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply { return newReply(c.Path) })
	var callers sync.WaitGroup
	for range 400 {
		conn, r := s.dial(t)
		callers.Go(func() {
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			_, _ = io.Copy(io.Discard, r)
		})
	}
	callers.Wait()
	require.Eventually(t, func() bool { return s.server.NumConns() == 0 }, waitTimeout, time.Millisecond)
}

// Guards against one request whose handling panics and that ends the process, and
// with it the requests of all other callers.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	s := newTestServer(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply {
		if c.Path == "/bad" {
			panic("test")
		}
		return newReply(c.Path)
	})
	conn, r := s.dial(t)
	_, err := io.WriteString(conn, getRequest("/bad")+getRequest("/good"))
	require.NoError(t, err)
	resp, _ := readResponse(t, r)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, "a server may have run the request")
	_, body := readResponse(t, r)
	require.Equal(t, "/good", body)
}
