package caller

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"azurering/core/codes"
	"azurering/core/space"
)

const (
	// bodyStallTime is how long a body that is being read may make no progress before its
	// request is rejected, when the memory for bodies is short.
	bodyStallTime = time.Second
	// progressBytes is how many bytes count as progress, so that a byte now and then does
	// not.
	progressBytes = 1 << 10
	// noMemoryRetryAfter is when a caller is told to come back if there was no memory for
	// its body. Other hosts may serve it at once.
	noMemoryRetryAfter = time.Second
)

// bodies bounds the memory of the bodies of all requests. It is safe for concurrent use.
type bodies struct {
	pool *space.Pool

	mu      sync.Mutex
	reading map[*stallReader]bool
}

func newBodies(bytes int64) *bodies {
	b := &bodies{reading: make(map[*stallReader]bool)}
	b.pool = space.New(space.Config{Bytes: bytes, Reclaim: b.stopStalled})
	return b
}

// stopStalled stops the reading of bodies whose rest does not come, and returns false if
// there are none.
func (b *bodies) stopStalled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := false
	for r := range b.reading {
		found = r.stopIfStalled() || found
	}
	return found
}

// read reads a body of at most limit bytes. size is the announced size, or negative.
func (b *bodies) read(r *stallReader, limit, size int64) (*space.Buffer, error) {
	b.mu.Lock()
	b.reading[r] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.reading, r)
	}()
	return b.pool.Read(r, int(limit)+1, size)
}

// noMemoryError is a refusal of a request for whose body there is no memory.
type noMemoryError struct{ error }

// Unwrap returns the coded error.
func (n *noMemoryError) Unwrap() error { return n.error }

// RetryAfter returns when the caller may come back.
func (*noMemoryError) RetryAfter() time.Duration { return noMemoryRetryAfter }

// readBody reads the request body up to MaxBodyBytes. Each read extends the
// read deadline, so that a caller on a slow link is served and a stalled one
// is not.
func (h *Handler) readBody(c *gin.Context) (*space.Buffer, error) {
	if c.Request.ContentLength > h.cfg.MaxBodyBytes {
		return nil, codes.New(codes.RequestTooLarge, "caller: request body is larger than %d bytes", h.cfg.MaxBodyBytes)
	}
	control := http.NewResponseController(c.Writer)
	r := &stallReader{source: c.Request.Body, timeout: h.cfg.StallTimeout, control: control, moved: time.Now()}
	body, err := h.bodies.read(r, h.cfg.MaxBodyBytes, c.Request.ContentLength)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil, codes.Wrap(err, codes.RequestSlow, "caller: no bytes of the request body arrived for %s, or for %s while memory was short", h.cfg.StallTimeout, bodyStallTime)
	}
	if err != nil {
		return nil, codes.Wrap(err, codes.RequestBad, "caller: request body could not be read")
	}
	// After a failed read the deadline is kept, so that the server does not
	// wait for the rest of the body before it responds.
	_ = control.SetReadDeadline(time.Time{})
	if int64(len(body.Bytes)) > h.cfg.MaxBodyBytes {
		body.Release()
		return nil, codes.New(codes.RequestTooLarge, "caller: request body is larger than %d bytes", h.cfg.MaxBodyBytes)
	}
	if !body.Whole && int64(len(body.Bytes)) != c.Request.ContentLength {
		body.Release()
		c.Header("Connection", "close") // the rest of the body is not read
		return nil, &noMemoryError{codes.New(codes.NoCapacity, "caller: bodies of other requests take the memory; use another host")}
	}
	return body, nil
}

// stallReader sets a new read deadline before each read. It is safe for concurrent use.
type stallReader struct {
	source  io.Reader
	timeout time.Duration
	control *http.ResponseController

	mu      sync.Mutex
	read    int       // bytes since the last progress
	moved   time.Time // when there was progress last
	stopped bool
}

// Read implements io.Reader.
func (r *stallReader) Read(buf []byte) (int, error) {
	r.extend()
	n, err := r.source.Read(buf)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.read += n; r.read >= progressBytes {
		r.read, r.moved = 0, time.Now()
	}
	return n, err
}

func (r *stallReader) extend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		// The error is ignored: response recorders of tests support no deadlines.
		_ = r.control.SetReadDeadline(time.Now().Add(r.timeout))
	}
}

// stopIfStalled makes the reader fail if it has made no progress for bodyStallTime, and
// reports whether it does.
func (r *stallReader) stopIfStalled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped || time.Since(r.moved) < bodyStallTime {
		return false
	}
	r.stopped = true
	_ = r.control.SetReadDeadline(time.Unix(0, 0))
	return true
}
