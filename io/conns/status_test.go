package conns_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/timer"
	"azurering/io/conns"
)

// Guards against an answer with a status that HTTP does not have, such as 000, which
// reaches the caller, or whose body is taken for the next answer on the connection.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+99", "-01", "20", "2000", "2x0", ""} {
		for form, rest := range map[string]func(id, body string) string{
			"length": func(id, body string) string {
				return fmt.Sprintf("Call-Id: %s\r\nSigned: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			},
			"chunked": func(id, body string) string {
				return fmt.Sprintf("Call-Id: %s\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
			},
			"no length": func(id, body string) string { return fmt.Sprintf("Call-Id: %s\r\nSigned: s\r\n\r\n%s", id, body) },
			"no id":     func(_, body string) string { return "\r\n" + body },
			"no body": func(id, _ string) string {
				return fmt.Sprintf("Call-Id: %s\r\nSigned: s\r\nContent-Length: 0\r\n\r\n", id)
			},
		} {
			t.Run(status+", "+form, func(t *testing.T) {
				closed := make(chan struct{})
				s, _ := startServer(t, func(c net.Conn, r *http.Request) bool {
					defer close(closed)
					id := r.Header.Get("Call-Id")
					// The body looks like an answer to the same request.
					ok := writeString(c, "HTTP/1.1 "+status+" Odd\r\n"+rest(id, response(id, "", "smuggled")))
					_, _ = io.Copy(io.Discard, c) // until the connection is closed
					return ok && false
				})
				reply, _, err := exchange(newPool(), s, call("id-1"))
				require.Error(t, err, "%v", reply)
				require.Equal(t, core.SendUnknown, sendState(t, err), "the server may have run the request")
				select {
				case <-closed:
				case <-time.After(10 * time.Second):
					t.Fatal("the connection stayed open")
				}
			})
		}
	}
}

// Guards against an interim answer whose body is taken for the final answer.
func TestInterimAnswerHasNoBody(t *testing.T) {
	for name, header := range map[string]string{
		"length": "Content-Length: %d\r\n\r\n%s", "chunked": "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := startServer(t, func(c net.Conn, r *http.Request) bool {
				body := response(r.Header.Get("Call-Id"), "", "smuggled")
				return writeString(c, "HTTP/1.1 103 Early Hints\r\n"+fmt.Sprintf(header, len(body), body)+response(r.Header.Get("Call-Id"), "", "own"))
			})
			_, _, err := exchange(newPool(), s, call("id-1"))
			require.Error(t, err)
			require.Equal(t, core.SendUnknown, sendState(t, err))
		})
	}
	s, _ := startServer(t, func(c net.Conn, r *http.Request) bool {
		return writeString(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+response(r.Header.Get("Call-Id"), "", "own"))
	})
	reply, _, err := exchange(newPool(), s, call("id-1"))
	require.NoError(t, err)
	require.Equal(t, "own", string(reply.Body))
}

// Guards against a server that passes its health check with a status that is none.
func TestInvalidStatusFailsHealthCheck(t *testing.T) {
	s, _ := startServer(t, func(c net.Conn, _ *http.Request) bool {
		return writeString(c, "HTTP/1.1 000 Odd\r\nServer-Id: i-1\r\n\r\nHTTP/1.1 200 OK\r\nServer-Id: i-1\r\nContent-Length: 0\r\n\r\n")
	})
	healthy, _, err := newPool().CheckHealth(context.Background(), s, "/health")
	require.Error(t, err)
	require.False(t, healthy)
}

var validStatusLine = regexp.MustCompile(`^HTTP/1\.[0-9] +([2-5][0-9][0-9])( |$)`)

// FuzzStatusLine looks for bytes that open an answer which is passed on although they
// are no status line of HTTP/1 with a final status.
func FuzzStatusLine(f *testing.F) {
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 599 Last", "HTTP/1.0 204", "HTTP/1.1 000 Odd", "HTTP/1.1 001", "HTTP/1.1 099 x", "HTTP/1.1 100 Continue", "HTTP/1.1 101 Switch",
		"HTTP/1.1 600 x", "HTTP/1.1 999", "HTTP/1.1  200", "HTTP/1.1 +20 x", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "ICY 200 OK", "200 OK", "", "HTTP/1.1 200 OK\r\nX: y",
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK", "HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		pool := conns.New(conns.Config{Timer: timer.NewReal(), Dialect: dialect{}, Dial: func(context.Context, string, string) (net.Conn, error) {
			host, server := net.Pipe()
			go serveConn(server, func(c net.Conn, _ *http.Request) bool {
				_ = writeString(c, line+"\r\nCall-Id: id-1\r\nSigned: s\r\nContent-Length: 3\r\n\r\nown")
				return false
			})
			return host, nil
		}})
		reply, _, err := exchange(pool, core.Instance{Server: core.Server{Name: "i-1", Slots: 1}}, call("id-1"))
		if err != nil {
			return
		}
		defer reply.Close()
		// Interim answers may come before.
		lines := strings.Split(line, "\n")
		for i := range lines {
			found := validStatusLine.FindStringSubmatch(strings.TrimRight(lines[i], "\r"))
			if found == nil {
				continue
			}
			status, err := strconv.Atoi(found[1])
			require.NoError(t, err)
			require.Equal(t, status, reply.Status, "%q", line)
			return
		}
		t.Fatalf("%q was taken for an answer with status %d", line, reply.Status)
	})
}
