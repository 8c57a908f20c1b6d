package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// testServer returns a server that answers a request once it has read it whole, its
// address, and a channel that tells of each request whose head was read.
func testServer(t *testing.T) (s *http.Server, address string, started chan struct{}) {
	t.Helper()
	started = make(chan struct{}, 1)
	s = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	go serve(s, lis, log)
	return s, lis.Addr().String(), started
}

func openRequest(t *testing.T, address, begin string) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, 10*time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, begin)
	require.NoError(t, err)
	return c
}

// Guards against a planned stop that cuts requests which the host has accepted, but
// not answered yet: their callers would not know whether they ran.
func TestCloseAnswersAcceptedRequests(t *testing.T) {
	l := &listeners{}
	var conns []net.Conn
	for _, s := range []**http.Server{&l.caller, &l.peer, &l.admin} {
		server, address, started := testServer(t)
		*s = server
		conns = append(conns, openRequest(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nbody"))
		<-started
	}
	closed := make(chan struct{})
	go func() {
		l.close(closeTimeout)
		close(closed)
	}()
	time.Sleep(50 * time.Millisecond) // by then, a close that does not wait has cut the connections
	for _, c := range conns {
		_, err := io.WriteString(c, "rest")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
	<-closed
}

// Guards against a stop that waits for a caller that never ends its request.
func TestCloseDoesNotWaitForever(t *testing.T) {
	l := &listeners{peer: &http.Server{ReadHeaderTimeout: time.Minute}, admin: &http.Server{ReadHeaderTimeout: time.Minute}}
	var address string
	var started chan struct{}
	l.caller, address, started = testServer(t)
	c := openRequest(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nbody")
	<-started
	l.close(10 * time.Millisecond)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
