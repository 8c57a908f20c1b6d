package core

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Call is one request as the host received it from a caller.
type Call struct {
	RequestID     string // request id of this attempt, set by the caller
	Method        string
	Target        string // path and query, as sent
	Path          string // Target without the query
	Host          string
	Header        http.Header
	Body          []byte        // the whole body, or its beginning if BodyRest is set
	BodyRest      *BodyStream   // the rest of a body that is too large to buffer
	ContentLength int64         // of the whole body in bytes, -1 if unknown
	APIKey        string        // API key
	AffinityKey   string        // affinity key for sticky routes; may be empty
	Timeout       time.Duration // the caller's timeout, counted from Arrived; 0 if it sent none
	Arrived       time.Duration // local monotonic time
	Release       func()        // gives back the memory of Body after the call has been handled; nil if there is nothing to give back
}

// CanSend reports whether the call can be sent to a server with its whole body.
func (c *Call) CanSend() bool { return c.BodyRest == nil || !c.BodyRest.Started() }

// BodyStream is the rest of a request's body, read from the caller's connection. It
// can be read only once.
type BodyStream struct {
	Source io.Reader
	// Stop makes a Read that waits for the caller, and all later ones, fail. It may be
	// called concurrently with Read, and any number of times.
	Stop func()

	started atomic.Bool
	err     error
}

// Read implements io.Reader.
func (b *BodyStream) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.Source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// Err returns the error with which the caller's side of the body failed, or nil. It must not
// be called concurrently with Read.
func (b *BodyStream) Err() error { return b.err }

// Started reports whether any of the stream may have been read.
func (b *BodyStream) Started() bool { return b.started.Load() }

// Reply is a server's answer to a Call.
type Reply struct {
	Status        int
	Header        http.Header
	Body          []byte        // the whole body, or its beginning if Rest is set
	BodyRest      io.ReadCloser // the rest of a large body; a read error means that the answer is incomplete
	ContentLength int64         // of the whole body in bytes, -1 if unknown
	Release       func()        // gives back the memory of Body; nil if there is nothing to give back
}

// Close ends the use of a reply. Body and BodyRest must not be used after it. Further
// calls do nothing.
func (r *Reply) Close() {
	if r.BodyRest != nil {
		_ = r.BodyRest.Close()
	}
	r.ReleaseBody()
}

// ReleaseBody gives back the memory of Body, which must not be used after it. Further
// calls do nothing.
func (r *Reply) ReleaseBody() {
	r.Body = nil
	if r.Release != nil {
		r.Release()
		r.Release = nil
	}
}

// ReplyMeta holds what a server reports in the headers of an answer.
type ReplyMeta struct {
	ID          string // id of the request that was answered
	Stamped     bool   // the answer carries the stamp header of a backend server
	NotExecuted bool   // the server did not execute the request
	Instance    ServerID
	WarmupLeft  time.Duration // remaining warm-up of the server
	HasLoad     bool          // Running and Waiting are set
	Running     int           // requests that the server executes
	Waiting     int           // requests in the server's queue
	RateLimit   RateLimit     // the request rate that the server accepts
	Leaving     bool          // the server says that it leaves
	ConnectTime time.Duration // time until a connection to the server was available; measured by this host
	BodySent    int64         // bytes of the request's body that were written to the server; counted by this host
}

// RateLimit is what an answer says about the rate of requests that its server
// accepts from all hosts together.
type RateLimit struct {
	State     RateLimitState
	PerSecond float64 // requests per second, 0 or more; set if State is RateLimitNamed
}

// RateLimitState says whether an answer names a limit.
type RateLimitState string

// The values of RateLimitState.
const (
	RateLimitAbsent  RateLimitState = ""        // the answer names no limit
	RateLimitNamed   RateLimitState = "named"   // the answer names a limit
	RateLimitInvalid RateLimitState = "invalid" // the answer names a limit that cannot be used
)

// ForwardInfo holds what a host adds to the caller's request when it sends it to a
// server.
type ForwardInfo struct {
	Server    ServerID
	Workspace WorkspaceID   // empty on open routes
	TimeLeft  time.Duration // time left until the request's deadline
	// AtMostOnce is set if the request must not run again elsewhere. The host waits
	// for the answer until the deadline, also while the server is silent.
	AtMostOnce bool
}

// HeaderCodec maps the headers that callers, hosts and servers exchange. It is
// safe for concurrent use.
type HeaderCodec interface {
	// ParseRequest sets the fields of c that are carried in c.Header.
	ParseRequest(c *Call)
	// RequestHeader returns the headers of the request to a server.
	RequestHeader(c *Call, f ForwardInfo) http.Header
	// ResponseHeader returns the headers of a server's answer that are passed on to
	// the caller.
	ResponseHeader(h http.Header) http.Header
	// ParseMeta reads the headers of a server's answer.
	ParseMeta(status int, h http.Header) ReplyMeta
}

// Backends sends requests to backend servers. It is safe for concurrent use.
type Backends interface {
	// Exchange sends a call to a server once. It returns the answer with its
	// whole body, or with the rest of a large body in Reply.BodyRest. Its error
	// is a *SendError. A call that cannot be sent whole is not sent.
	Exchange(ctx context.Context, s Instance, c *Call, f ForwardInfo) (*Reply, ReplyMeta, error)
	// CheckHealth runs one health check on the given path of a server.
	CheckHealth(ctx context.Context, s Instance, path string) (healthy bool, m ReplyMeta, err error)
}
