package front_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/io/front"
)

// Guards against connections whose end cannot be explained afterwards: the reason is
// missing or wrong, or bytes that the caller did not receive are not reported.
func TestEndsAreReported(t *testing.T) {
	for reason, act := range map[front.EndReason]func(s *testServer, c net.Conn){
		front.EndCaller:   func(_ *testServer, c net.Conn) { _ = c.Close() },
		front.EndIdle:     func(*testServer, net.Conn) {},
		front.EndRejected: func(_ *testServer, c net.Conn) { _, _ = io.WriteString(c, "GET\r\n\r\n") },
		front.EndAnswered: func(s *testServer, c net.Conn) {
			s.server.CloseAfterResponse()
			_, _ = io.WriteString(c, getRequest("/"))
		},
		front.EndStopped: func(s *testServer, _ net.Conn) { s.server.Close() },
		front.EndBroken:  func(_ *testServer, c net.Conn) { _, _ = io.WriteString(c, getRequest("/broken")) },
	} {
		t.Run(string(reason), func(t *testing.T) {
			limits := core.Limits{}
			if reason == front.EndIdle {
				limits.IdleTimeout = 100 * time.Millisecond
			}
			s := newTestServer(t, limits, func(_ context.Context, c *core.Call) *core.Reply {
				reply := newReply(c.Path)
				if c.Path == "/broken" {
					reply.ContentLength, reply.BodyRest = 1<<20, &streamBody{failingReader{}}
				}
				return reply
			})
			c, r := s.dial(t)
			_, err := io.WriteString(c, getRequest("/first"))
			require.NoError(t, err)
			readResponse(t, r)
			act(s, c)
			_, _ = io.Copy(io.Discard, r)
			_ = c.Close()
			select {
			case e := <-s.ends:
				require.Equal(t, reason, e.Reason)
				require.Equal(t, c.LocalAddr().String(), e.Address)
				require.NoError(t, e.PendingErr)
				require.Zero(t, e.Pending)
			case <-time.After(waitTimeout):
				t.Fatal("the end of the connection was not reported")
			}
		})
	}
}
