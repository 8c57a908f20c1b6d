package conns_test

import (
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
)

const (
	longBody  = 3 << 19 // bytes; more than is buffered
	firstPart = 5 << 18
)

// longExchange makes an exchange with a server that answers with the first part of a long
// body and calls rest. It returns the bytes that were read, the first of them after a
// pause, and why the reading ended.
func longExchange(t *testing.T, limit, pause time.Duration, rest func(c net.Conn)) (int64, error) {
	t.Helper()
	s, _ := startServer(t, func(c net.Conn, r *http.Request) bool {
		writeString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nCall-Id: %s\r\nSigned: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Call-Id"), longBody))
		writeString(c, strings.Repeat("x", firstPart))
		rest(c)
		return false
	})
	pool := newPool()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	reply, _, err := pool.Exchange(ctx, s, call("a"), core.ForwardInfo{Server: s.Name, TimeLeft: time.Second})
	require.NoError(t, err)
	require.NotNil(t, reply.BodyRest)
	buffered := int64(len(reply.Body))
	time.Sleep(pause)
	n, err := io.Copy(io.Discard, reply.BodyRest)
	reply.Close()
	reply.Close()
	require.Zero(t, pool.NumConns())
	return buffered + n, err
}

// Guards against a request without an end: its server breaks a long answer off without
// closing the connection, or sends the rest byte by byte, and the caller and both
// connections wait for as long as the server lets them.
func TestLongAnswerEndsSoonAfterItsDeadline(t *testing.T) {
	stopped := make(chan struct{})
	defer close(stopped)
	for name, rest := range map[string]func(net.Conn){
		"silence": func(net.Conn) { <-stopped },
		"trickle": func(c net.Conn) {
			for writeString(c, "x") {
				select {
				case <-stopped:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := longExchange(t, 500*time.Millisecond, 0, rest)
			require.Error(t, err)
		})
	}
}

// Guards against a long answer that is cut at its deadline although only its caller is
// slow.
func TestSlowCallerGetsALongAnswerAfterItsDeadline(t *testing.T) {
	n, err := longExchange(t, 300*time.Millisecond, 700*time.Millisecond, func(c net.Conn) { writeString(c, strings.Repeat("x", longBody-firstPart)) })
	require.NoError(t, err)
	require.EqualValues(t, longBody, n)
}
