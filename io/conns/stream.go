package conns

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"azurering/core/space"
)

// lateWait is how long in all the rest of a response may be waited for after the deadline
// of its request. It covers a round trip between regions and a busy server. A caller that
// reads slowly takes no part of it: what it reads has arrived before.
const lateWait = 200 * time.Millisecond

var errLate = errors.New("conns: server has not sent the rest of its response in time")

// streamedBody is the rest of a large body. The connection is not reused.
type streamedBody struct {
	io.ReadCloser
	conn      *conn
	claim     *space.Claim
	deadline  time.Time     // of the request; zero means none
	waited    time.Duration // for the server after the deadline
	closeOnce sync.Once
}

// Read implements io.Reader. It fails if the server pauses or goes on sending for long
// after the deadline.
func (r *streamedBody) Read(p []byte) (int, error) {
	if r.deadline.IsZero() {
		return r.ReadCloser.Read(p)
	}
	if r.waited >= lateWait {
		return 0, errLate
	}
	start := time.Now()
	if start.Before(r.deadline) {
		start = r.deadline
	}
	_ = r.conn.SetReadDeadline(start.Add(lateWait - r.waited)) // an error shows up in the read
	n, err := r.ReadCloser.Read(p)
	r.waited += max(time.Since(start), 0)
	return n, err
}

// Close implements io.Closer. It closes the connection, and ends a Read in progress. It may
// be called more than once, and concurrently with Read.
func (r *streamedBody) Close() error {
	r.closeOnce.Do(func() {
		r.claim.Release()
		r.conn.shut()
		r.conn.pool.remove(r.conn)
	})
	return nil
}
