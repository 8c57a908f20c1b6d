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

// dialect reads nothing from the headers.
type dialect struct{ core.HeaderCodec }

func (dialect) ParseRequest(*core.Call) {}

// patience is how long a test waits for what must happen.
const patience = 10 * time.Second

type lab struct {
	server  *front.Server
	address string
	limits  core.Limits
	mu      sync.Mutex
	bodies  []string
}

func newLab(t *testing.T, limits core.Limits, serve func(ctx context.Context, c *core.Call) *core.Reply) *lab {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	lab := &lab{address: l.Addr().String(), limits: limits}
	lab.server = front.New(front.Config{
		Timer: timer.NewReal(), Dialect: dialect{}, Limits: func() core.Limits { return limits }, Log: log,
		Handle: func(ctx context.Context, c *core.Call) *core.Reply {
			lab.mu.Lock()
			lab.bodies = append(lab.bodies, string(c.Body))
			lab.mu.Unlock()
			return serve(ctx, c)
		},
	})
	go lab.server.Serve(l)
	t.Cleanup(lab.server.Close)
	return lab
}

func (l *lab) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", l.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	return c, bufio.NewReader(c)
}

func text(body string) *core.Reply {
	return &core.Reply{Status: 200, Header: http.Header{}, Body: []byte(body), ContentLength: int64(len(body))}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func read(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(body)
}

// Requests sent before an answer must not wait for one another, and must be
// answered in order.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	var all sync.WaitGroup
	all.Add(5)
	l := newLab(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply {
		all.Done()
		all.Wait() // returns only if all five are under way at once
		return text(c.Path)
	})
	c, r := l.dial(t)
	for n := range 5 {
		_, err := io.WriteString(c, get(fmt.Sprintf("/%d", n)))
		require.NoError(t, err)
	}
	for n := range 5 {
		_, body := read(t, r)
		require.Equal(t, fmt.Sprintf("/%d", n), body)
	}
}

// A caller that leaves must end its requests, also those behind others.
func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	for name, header := range map[string]string{"kept": "", "last": "Connection: close\r\n"} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}, 9), make(chan struct{}, 9)
			l := newLab(t, core.Limits{}, func(ctx context.Context, _ *core.Call) *core.Reply {
				started <- struct{}{}
				<-ctx.Done()
				ended <- struct{}{}
				return text("")
			})
			c, _ := l.dial(t)
			requests := 3
			if header != "" {
				requests = 1
			}
			for range requests {
				_, err := io.WriteString(c, strings.Replace(get("/"), "\r\n\r\n", "\r\n"+header+"\r\n", 1))
				require.NoError(t, err)
				<-started
			}
			require.NoError(t, c.Close())
			for range requests {
				select {
				case <-ended:
				case <-time.After(patience):
					t.Fatal("a request went on without its caller")
				}
			}
		})
	}
}

// A shutdown must answer what was read, tell callers to go, and close idle
// connections.
func TestShutdownCutsNothing(t *testing.T) {
	started, finish := make(chan struct{}, 9), make(chan struct{})
	l := newLab(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply {
		started <- struct{}{}
		<-finish
		return text(c.Path)
	})
	idle, idleReader := l.dial(t)
	busy, busyReader := l.dial(t)
	for n := range 3 {
		_, err := io.WriteString(busy, get(fmt.Sprintf("/%d", n)))
		require.NoError(t, err)
		<-started
	}
	l.server.CloseAfterResponse()
	// Connections that are kept are served until the listener closes.
	_, err := io.WriteString(idle, get("/late"))
	require.NoError(t, err)
	<-started
	quiet, quietReader := l.dial(t)
	require.Eventually(t, func() bool { return l.server.NumConns() == 3 }, patience, time.Millisecond)
	l.server.Close()
	_, err = quietReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	_ = quiet.Close()
	close(finish)
	for n := range 3 {
		resp, body := read(t, busyReader)
		require.Equal(t, fmt.Sprintf("/%d", n), body)
		require.Equal(t, n == 2, resp.Close, "only the last answer closes the connection")
	}
	resp, body := read(t, idleReader)
	require.Equal(t, "/late", body)
	require.True(t, resp.Close)
	_ = busy.Close()
	_ = idle.Close()
	require.Eventually(t, func() bool { return l.server.NumConns() == 0 }, patience, time.Millisecond)
	_, err = net.Dial("tcp", l.address)
	require.Error(t, err)
}

func TestRefusesWhatBreaksTheLimits(t *testing.T) {
	limits := core.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 100, HeaderTimeout: 100 * time.Millisecond}
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"large head": {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", 431},
		"large body": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413},
		"no request": {"GET\r\n\r\n", 400},
		"slow head":  {"GET / HTTP/1.1\r\nHost: h\r\n", 408},
		"slow body":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", 408},
	} {
		t.Run(name, func(t *testing.T) {
			limits := limits
			if name == "slow body" {
				limits.IdleTimeout = 100 * time.Millisecond
			}
			l := newLab(t, limits, func(context.Context, *core.Call) *core.Reply { return text("served") })
			conn, r := l.dial(t)
			_, err := io.WriteString(conn, c.request)
			require.NoError(t, err)
			resp, _ := read(t, r)
			require.Equal(t, c.status, resp.StatusCode)
			require.True(t, resp.Close)
			require.Empty(t, l.bodies, "nothing was served")
		})
	}
}

func TestBodies(t *testing.T) {
	l := newLab(t, core.Limits{}, func(_ context.Context, c *core.Call) *core.Reply { return text(string(c.Body)) })
	c, r := l.dial(t)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"+
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"+
		"POST /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nthree")
	require.NoError(t, err)
	for _, want := range []string{"one", "two"} {
		_, body := read(t, r)
		require.Equal(t, want, body)
	}
	resp, _ := read(t, r)
	require.Equal(t, http.StatusContinue, resp.StatusCode)
	_, body := read(t, r)
	require.Equal(t, "three", body)
}

type broken struct{ io.Reader }

func (b *broken) Close() error { return nil }

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("cut") }

// An answer that breaks off must not look whole.
func TestBrokenAnswerDoesNotLookWhole(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 1 << 20, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			l := newLab(t, core.Limits{}, func(context.Context, *core.Call) *core.Reply {
				return &core.Reply{
					Status: 200, Header: http.Header{}, Body: []byte("begin"), ContentLength: length,
					BodyRest: &broken{io.MultiReader(strings.NewReader("more"), failing{})},
				}
			})
			c, r := l.dial(t)
			_, err := io.WriteString(c, get("/"))
			require.NoError(t, err)
			resp, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

func TestStreamsLargeAnswers(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 9, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			l := newLab(t, core.Limits{}, func(context.Context, *core.Call) *core.Reply {
				return &core.Reply{
					Status: 200, Header: http.Header{}, Body: []byte("begin"), ContentLength: length, BodyRest: &broken{strings.NewReader("more")},
				}
			})
			c, r := l.dial(t)
			_, err := io.WriteString(c, get("/"))
			require.NoError(t, err)
			_, body := read(t, r)
			require.Equal(t, "beginmore", body)
		})
	}
}
