package conns_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"azurering/core"
)

// slowReader runs a server that reads nothing of a connection for the given time.
// The little that its socket takes meanwhile leaves data of a large request
// unacknowledged.
func slowReader(t *testing.T, silence time.Duration) core.Instance {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
			go func() {
				time.Sleep(silence)
				serveConn(c, func(c net.Conn, r *http.Request) bool {
					n, err := io.Copy(io.Discard, r.Body)
					return err == nil && writeString(c, response(r.Header.Get("Call-Id"), "", strconv.FormatInt(n, 10)))
				})
			}()
		}
	}()
	return core.Instance{Server: core.Server{Name: "i-1", Address: l.Addr().String(), Slots: 3}}
}

// Guards against an order that is given up while its server runs it, because the
// server acknowledged nothing for a while. Requests that may run again are sent to
// another server instead.
func TestOrderOutlivesTheSilenceOfItsServer(t *testing.T) {
	s := slowReader(t, 3*time.Second)
	p := newPool()
	body := bytes.Repeat([]byte("x"), 1<<20)
	var group sync.WaitGroup
	for _, atMostOnce := range []bool{true, false} {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			c := call("a")
			c.Method, c.Body, c.ContentLength = "POST", body, int64(len(body))
			reply, _, err := p.Exchange(ctx, s, c, core.ForwardInfo{Server: s.Name, AtMostOnce: atMostOnce})
			if !atMostOnce {
				assert.Error(t, err)
				return
			}
			if assert.NoError(t, err) {
				assert.Equal(t, strconv.Itoa(len(body)), string(reply.Body))
			}
		})
	}
	group.Wait()
}
