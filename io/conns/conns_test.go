package conns_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/timer"
	"azurering/io/conns"
)

// script is what a server does with one request on a connection. It returns
// false to stop reading from the connection.
type script func(c net.Conn, r *http.Request) bool

// serve runs a server whose nth connection follows the nth script, or the
// last one.
func serve(t *testing.T, scripts ...script) (core.Instance, *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	opened := new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(opened.Add(1)) - 1
			go follow(c, scripts[min(n, len(scripts)-1)])
		}
	}()
	return core.Instance{Server: core.Server{Name: "i-1", Address: l.Addr().String(), Slots: 3}}, opened
}

func follow(c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !s(c, r) {
			return
		}
	}
}

func answer(id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSigned: s\r\n%sContent-Length: %d\r\n\r\n%s", id, headers, len(body), body)
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func echo(c net.Conn, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	return write(c, answer(r.Header.Get("Call-Id"), "", r.Header.Get("Call-Id")+string(body)))
}

// dialect names the headers of the test's servers.
type dialect struct{}

func (dialect) ParseRequest(*core.Call) {}

func (dialect) RequestHeader(c *core.Call, _ core.ForwardInfo) http.Header { return c.Header.Clone() }

func (dialect) ResponseHeader(h http.Header) http.Header { return h }

func (dialect) ParseMeta(status int, h http.Header) core.ReplyMeta {
	m := core.ReplyMeta{
		ID: h.Get("Call-Id"), Stamped: h.Get("Signed") != "", Instance: core.ServerID(h.Get("Server-Id")),
		NotExecuted: h.Get("Refused") != "" || status == http.StatusMisdirectedRequest,
	}
	if ms, err := strconv.Atoi(h.Get("Cold")); err == nil {
		m.WarmupLeft = time.Duration(ms) * time.Millisecond
	}
	return m
}

func newPool() *conns.Pool {
	return conns.New(conns.Config{Timer: timer.NewReal(), Dialect: dialect{}})
}

func call(id string) *core.Call {
	return &core.Call{RequestID: id, Method: "GET", Target: "/x", Host: "h", Header: http.Header{"Call-Id": {id}}}
}

func exchange(p *conns.Pool, s core.Instance, c *core.Call) (*core.Reply, core.ReplyMeta, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return p.Exchange(ctx, s, c, core.ForwardInfo{Server: s.Name, TimeLeft: time.Second})
}

func state(t *testing.T, err error) core.SendState {
	t.Helper()
	var failed *core.SendError
	require.True(t, errors.As(err, &failed), "%v", err)
	return failed.State
}

func TestReusesConnections(t *testing.T) {
	s, opened := serve(t, echo)
	p := newPool()
	for n := range 5 {
		reply, _, err := exchange(p, s, call(fmt.Sprint(n)))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(n), string(reply.Body))
	}
	require.EqualValues(t, 1, opened.Load())
	// A new boot of the server must not be reached over an old connection.
	s.StartedMs++
	_, _, err := exchange(p, s, call("a"))
	require.NoError(t, err)
	require.EqualValues(t, 2, opened.Load())
}

// Each way in which an answer can be damaged, and what may be believed then.
func TestDamagedAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		script script
		state  core.SendState // empty: the answer counts
		body   string
	}{
		"whole":          {func(c net.Conn, _ *http.Request) bool { return write(c, answer("a", "", "yes")) }, "", "yes"},
		"closed at once": {func(net.Conn, *http.Request) bool { return false }, core.SendUnknown, ""},
		"no answer":      {func(c net.Conn, _ *http.Request) bool { write(c, "&%$ garbage\r\n\r\n"); return false }, core.SendUnknown, ""},
		"cut in the body": {func(c net.Conn, _ *http.Request) bool {
			write(c, strings.TrimSuffix(answer("a", "", "yes"), "es"))
			return false
		}, core.SendUnknown, ""},
		"another's answer": {func(c net.Conn, _ *http.Request) bool { write(c, answer("b", "", "no")); return false }, core.SendUnknown, ""},
		"a late answer before the own": {
			func(c net.Conn, _ *http.Request) bool {
				return write(c, answer("b", "", "no")+answer("a", "", "yes"))
			}, "", "yes",
		},
		"an interim answer": {
			func(c net.Conn, _ *http.Request) bool {
				return write(c, "HTTP/1.1 102 Processing\r\n\r\n"+answer("a", "", "yes"))
			}, "", "yes",
		},
		"no length, closed": {
			func(c net.Conn, _ *http.Request) bool {
				write(c, "HTTP/1.1 200 OK\r\nCall-Id: a\r\nSigned: s\r\n\r\nyes")
				return false
			}, "", "yes",
		},
		"no length, reset": {
			func(c net.Conn, _ *http.Request) bool {
				write(c, "HTTP/1.1 200 OK\r\nCall-Id: a\r\nSigned: s\r\n\r\nye")
				time.Sleep(50 * time.Millisecond) // let the bytes arrive before the reset
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			}, core.SendUnknown, "",
		},
		"chunks, cut": {
			func(c net.Conn, _ *http.Request) bool {
				write(c, "HTTP/1.1 200 OK\r\nCall-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n")
				return false
			}, core.SendUnknown, "",
		},
		"not run": {
			func(c net.Conn, _ *http.Request) bool {
				return write(c, "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n")
			}, core.SendRefused, "",
		},
		"another server": {
			func(c net.Conn, _ *http.Request) bool {
				return write(c, "HTTP/1.1 421 Misdirected\r\nServer-Id: i-2\r\nContent-Length: 0\r\n\r\n")
			}, core.SendRefused, "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := serve(t, c.script)
			reply, _, err := exchange(newPool(), s, call("a"))
			if c.state != "" {
				require.Equal(t, c.state, state(t, err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.body, string(reply.Body))
		})
	}
}

// Bytes after an answer belong to no request. The next request must not
// take them for its answer.
func TestExtraBytesAreNotTheNextAnswer(t *testing.T) {
	extra := func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("Call-Id")
		if !write(c, answer(id, "", id)) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
		return write(c, answer(id, "", "extra"))
	}
	s, _ := serve(t, extra)
	p := newPool()
	for n := range 20 {
		reply, _, err := exchange(p, s, call(fmt.Sprint(n)))
		if err != nil {
			require.Equal(t, core.SendUnknown, state(t, err))
			continue
		}
		require.Equal(t, fmt.Sprint(n), string(reply.Body))
		if n%2 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func TestUnreachableServerGotNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, _, err = exchange(newPool(), core.Instance{Server: core.Server{Name: "i", Address: address}}, call("a"))
	require.Equal(t, core.SendNotSent, state(t, err))
}

// A server that closes an idle connection must not cost a request.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	once := func(c net.Conn, r *http.Request) bool {
		echo(c, r)
		return false
	}
	s, opened := serve(t, once)
	p := newPool()
	for n := range 5 {
		_, _, err := exchange(p, s, call(fmt.Sprint(n)))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return p.NumConns() == 0 }, 10*time.Second, time.Millisecond)
	}
	require.EqualValues(t, 5, opened.Load())
}

// A caller that leaves must end the work of the server.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	s, _ := serve(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		time.Sleep(20 * time.Millisecond)
		cancel()
	}()
	_, _, err := newPool().Exchange(ctx, s, call("a"), core.ForwardInfo{Server: s.Name, TimeLeft: time.Second})
	require.Equal(t, core.SendUnknown, state(t, err))
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stayed open")
	}
}

// The rest of a body that the server does not read must not become the next
// request on the connection.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	s, opened := serve(t, func(c net.Conn, r *http.Request) bool {
		return write(c, answer(r.Header.Get("Call-Id"), "", "early"))
	}, echo)
	p := newPool()
	big := call("a")
	big.Method, big.ContentLength = "POST", 64<<20
	big.BodyRest = io.LimitReader(zeros{}, big.ContentLength)
	reply, _, err := exchange(p, s, big)
	if err == nil {
		require.Equal(t, "early", string(reply.Body))
	} else {
		require.Equal(t, core.SendUnknown, state(t, err))
	}
	next, _, err := exchange(p, s, call("b"))
	require.NoError(t, err)
	require.Equal(t, "b", string(next.Body))
	require.EqualValues(t, 2, opened.Load())
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func TestBodies(t *testing.T) {
	s, _ := serve(t, echo)
	p := newPool()
	sized := call("a")
	sized.Method, sized.Body, sized.ContentLength = "POST", []byte("body"), 4
	reply, _, err := exchange(p, s, sized)
	require.NoError(t, err)
	require.Equal(t, "abody", string(reply.Body))
	chunked := call("b")
	chunked.Method, chunked.Body, chunked.BodyRest, chunked.ContentLength = "POST", []byte("one"), strings.NewReader("two"), -1
	reply, _, err = exchange(p, s, chunked)
	require.NoError(t, err)
	require.Equal(t, "bonetwo", string(reply.Body))
}

// A large answer is streamed; if it breaks off, that must show.
func TestLargeAnswerThatBreaksOff(t *testing.T) {
	s, _ := serve(t, func(c net.Conn, _ *http.Request) bool {
		write(c, "HTTP/1.1 200 OK\r\nCall-Id: a\r\nSigned: s\r\nContent-Length: 3000000\r\n\r\n")
		write(c, strings.Repeat("x", 2<<20))
		return false
	})
	reply, _, err := exchange(newPool(), s, call("a"))
	require.NoError(t, err)
	require.NotNil(t, reply.BodyRest)
	_, err = io.Copy(io.Discard, reply.BodyRest)
	require.Error(t, err)
	require.NoError(t, reply.BodyRest.Close())
}

func TestCheck(t *testing.T) {
	health := func(status, headers string) script {
		return func(c net.Conn, r *http.Request) bool {
			return r.URL.Path == "/health" && write(c, "HTTP/1.1 "+status+"\r\n"+headers+"Content-Length: 0\r\n\r\n")
		}
	}
	for name, c := range map[string]struct {
		status, headers string
		healthy         bool
		cold            time.Duration
	}{
		"healthy":       {"200 OK", "Server-Id: i-1\r\n", true, 0},
		"cold":          {"200 OK", "Server-Id: i-1\r\nCold: 1500\r\n", true, 1500 * time.Millisecond},
		"leaving":       {"503 Leaving", "Server-Id: i-1\r\n", false, 0},
		"another":       {"200 OK", "Server-Id: i-2\r\n", false, 0},
		"full":          {"503 Full", "Refused: 1\r\n", true, 0},
		"misdirected":   {"421 Misdirected", "Server-Id: i-2\r\n", false, 0},
		"says no id":    {"200 OK", "", false, 0},
		"server errors": {"500 Error", "Server-Id: i-1\r\n", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := serve(t, health(c.status, c.headers))
			healthy, meta, _ := newPool().CheckHealth(context.Background(), s, "/health")
			require.Equal(t, c.healthy, healthy)
			require.Equal(t, c.cold, meta.WarmupLeft)
		})
	}
}
