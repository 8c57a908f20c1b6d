package front_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/timer"
	"azurering/io/front"
)

// brokenBody breaks off after some bytes.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against answers that are thrown away: a request that is pipelined behind a long
// answer must not be handled before that is complete, as the connection has to end if it
// breaks off.
func TestRequestBehindALongReplyIsHandledAfterIt(t *testing.T) {
	const long, rest = 20, "the second half" // bytes
	for name, body := range map[string]io.Reader{"whole": strings.NewReader(rest), "broken": brokenBody{strings.NewReader("the")}, "short": nil} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var handled atomic.Int32
			release, ends := make(chan struct{}), make(chan front.End, 1)
			server := front.New(front.Config{
				Timer: timer.NewReal(), Dialect: dialect{}, Limits: func() core.Limits { return core.Limits{} }, Log: discardLog(),
				MayBeLong: func(c *core.Call) bool { return c.Path == "/long" }, OnEnd: func(e front.End) { ends <- e },
				Handle: func(_ context.Context, c *core.Call) *core.Reply {
					if c.Path != "/long" {
						handled.Add(1)
						return newReply("ok")
					}
					<-release
					if body == nil {
						return newReply("long")
					}
					return &core.Reply{Status: 200, Header: http.Header{}, Body: []byte("first"), BodyRest: io.NopCloser(body), ContentLength: long}
				},
			})
			go server.Serve(l)
			t.Cleanup(server.Close)
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = io.WriteString(c, getRequest("/long")+getRequest("/a")+getRequest("/b"))
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			require.Zero(t, handled.Load())
			close(release)
			if name == "broken" {
				_, err = io.Copy(io.Discard, c)
				require.NoError(t, err)
				require.Equal(t, front.EndBroken, (<-ends).Reason)
				require.Zero(t, handled.Load())
				return
			}
			want := 2
			got := make([]byte, 4096)
			text := ""
			for strings.Count(text, "\r\n\r\nok") < want {
				n, err := c.Read(got)
				require.NoError(t, err)
				text += string(got[:n])
			}
			require.Contains(t, text, map[string]string{"whole": "first" + rest, "short": "long"}[name])
		})
	}
}

// waitingBody is a body whose Read waits for Close.
type waitingBody struct {
	closed chan struct{}
	once   sync.Once
}

func (b *waitingBody) Read([]byte) (int, error) {
	<-b.closed
	return 0, net.ErrClosed
}

func (b *waitingBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// Guards against a connection that stays, with that to the server, after its caller has
// left in the middle of a long answer: the server sends nothing more and does not close.
func TestDisconnectEndsTheWaitForALongAnswer(t *testing.T) {
	body := &waitingBody{closed: make(chan struct{})}
	ts := newTestServer(t, core.Limits{}, func(context.Context, *core.Call) *core.Reply {
		return &core.Reply{Status: 200, Header: http.Header{}, Body: []byte("first"), BodyRest: body, ContentLength: 20}
	})
	c, reader := ts.dial(t)
	_, err := io.WriteString(c, getRequest("/"))
	require.NoError(t, err)
	_, err = reader.ReadString('t') // of "first"
	require.NoError(t, err)
	require.NoError(t, c.Close())
	select {
	case <-ts.ends:
	case <-time.After(waitTimeout):
		require.Fail(t, "connection has not ended")
	}
	<-body.closed
}
