package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/timer"
	"azurering/io/front"
	"azurering/io/linger"
)

// slowReader reads at about a megabyte a second.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(4 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 4<<10)])
}

// dialSlow connects like a caller behind a slow link.
func (s *testServer) dialSlow(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, _ := s.dial(t)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(32<<10))
	return c, bufio.NewReader(slowReader{c})
}

// answerSize makes an answer take longer to deliver than a close may wait for a caller
// that has received everything.
const answerSize = 400 << 10

func newLargeServer(t *testing.T, limits core.Limits) *testServer {
	t.Helper()
	return newTestServer(t, limits, func(_ context.Context, c *core.Call) *core.Reply {
		reply := newReply(c.Path + strings.Repeat("x", answerSize))
		if c.Path == "/broken" {
			reply.ContentLength, reply.BodyRest = answerSize*2, &streamBody{failingReader{}}
		}
		return reply
	})
}

// sendUntil goes on pipelining requests until the caller has seen that the connection
// closes.
func sendUntil(c net.Conn, period time.Duration, closed <-chan struct{}) {
	for {
		select {
		case <-closed:
			return
		case <-time.After(period):
			if _, err := io.WriteString(c, getRequest("/further")); err != nil {
				return
			}
		}
	}
}

// Guards against a connection that is reset while its answers are on the way to a slow
// caller, because the caller, which cannot know of the close yet, sends more (review/6).
func TestEndedConnectionsDeliverTheirAnswers(t *testing.T) {
	for name, tt := range map[string]struct {
		last   string // the request that ends the connection
		status int    // of its answer; 0 if it breaks off
	}{
		"stop":             {getRequest("/2"), http.StatusOK},
		"rejected request": {"GET\r\n\r\n", http.StatusBadRequest},
		"large header":     {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"asked to close":   {"GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", http.StatusOK},
		"unread body":      {"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\n" + strings.Repeat("x", 1<<20), http.StatusOK},
		"broken answer":    {getRequest("/broken"), 0},
	} {
		for kind, period := range map[string]time.Duration{"at once": 5 * time.Millisecond, "later": 600 * time.Millisecond} {
			t.Run(name+", more "+kind, func(t *testing.T) {
				t.Parallel()
				s := newLargeServer(t, core.Limits{})
				c, r := s.dialSlow(t)
				_, err := io.WriteString(c, getRequest("/0")+getRequest("/1"))
				require.NoError(t, err)
				if name == "stop" {
					s.server.CloseAfterResponse()
				}
				_, err = io.WriteString(c, tt.last)
				require.NoError(t, err)
				closed := make(chan struct{})
				go sendUntil(c, period, closed)
				for n := range 2 {
					resp, body := readResponse(t, r)
					require.Equal(t, fmt.Sprintf("/%d", n), strings.TrimRight(body, "x"))
					if resp.Close {
						close(closed)
						break // a stop may end the connection with the second answer
					}
				}
				select {
				case <-closed:
				default:
					resp, err := http.ReadResponse(r, nil)
					require.NoError(t, err)
					close(closed)
					_, err = io.Copy(io.Discard, resp.Body)
					if tt.status == 0 {
						require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the answer must be seen to be truncated")
						break
					}
					require.NoError(t, err)
					require.Equal(t, tt.status, resp.StatusCode)
					require.True(t, resp.Close)
				}
				_, err = r.ReadByte()
				require.ErrorIs(t, err, io.EOF)
				require.NoError(t, c.Close())
				e := <-s.ends
				require.NoError(t, e.PendingErr)
				require.Zero(t, e.Pending)
			})
		}
	}
}

// Guards against a connection that counts as idle, and is closed, while its last answer
// is still on the way to a slow caller.
func TestConnectionIsNotIdleWhileItsAnswerIsDelivered(t *testing.T) {
	for name, limits := range map[string]core.Limits{"idle timeout": {IdleTimeout: 50 * time.Millisecond}, "stop": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newLargeServer(t, limits)
			c, r := s.dialSlow(t)
			_, err := io.WriteString(c, getRequest("/0"))
			require.NoError(t, err)
			resp, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			if name == "stop" {
				// The caller has not received the whole answer when the listener closes.
				go s.server.Close()
			}
			_, err = io.CopyN(io.Discard, resp.Body, answerSize/2)
			require.NoError(t, err)
			_, err = io.WriteString(c, getRequest("/1"))
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			_, body := readResponse(t, r)
			require.Equal(t, "/1", strings.TrimRight(body, "x"))
		})
	}
}

// Guards against callers that hold a connection, and with it a stop, by reading nothing
// or by not closing their side.
func TestConnectionsOfStalledCallersEnd(t *testing.T) {
	closer := linger.New(linger.Config{Stall: 200 * time.Millisecond, Quiet: 100 * time.Millisecond, Limit: time.Second})
	for name, tt := range map[string]struct {
		reads, sends bool
	}{
		"reads nothing": {}, "does not close": {reads: true}, "goes on sending": {reads: true, sends: true}, "sends and reads nothing": {sends: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ends := make(chan front.End, 1)
			server := front.New(front.Config{
				Timer: timer.NewReal(), Dialect: dialect{}, Limits: func() core.Limits { return core.Limits{} }, Log: discardLog(), Closer: closer,
				OnEnd: func(e front.End) { ends <- e },
				Handle: func(context.Context, *core.Call) *core.Reply {
					return newReply(strings.Repeat("x", 20<<10)) // more than the caller's kernel takes, less than the host's
				},
			})
			go server.Serve(l)
			t.Cleanup(server.Close)
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
			server.CloseAfterResponse()
			_, err = io.WriteString(c, getRequest("/"))
			require.NoError(t, err)
			if tt.reads {
				_, err = io.Copy(io.Discard, c)
				require.NoError(t, err)
			}
			stop := make(chan struct{})
			t.Cleanup(func() { close(stop) })
			if tt.sends {
				go sendUntil(c, 10*time.Millisecond, stop)
			}
			select {
			case e := <-ends:
				require.Equal(t, front.EndAnswered, e.Reason)
			case <-time.After(waitTimeout):
				t.Fatal("the connection did not end")
			}
		})
	}
}
