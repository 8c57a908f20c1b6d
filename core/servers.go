package core

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Request is one request to a backend server. Header does not contain the
// caller's key.
type Request struct {
	Workspace WorkspaceID
	Service   ServiceID
	Method    string
	Path      string // escaped path and query below the service
	Header    http.Header
	Body      []byte
	Deadline  time.Duration // local monotonic time, zero for none
}

// Response is the answer of a backend server. The body is streamed; whoever
// reads it closes it. A read error means that the answer is incomplete.
type Response struct {
	Status int
	Header http.Header
	Length int64 // -1 if unknown
	Body   io.ReadCloser
	// Ended is closed once the server works on the request no longer. Nil means that this is
	// not known.
	Ended <-chan struct{}
}

// SendState says whether a failed request may have been executed.
type SendState string

// The values of SendState.
const (
	SendNotSent SendState = "none"    // no byte was written to the server
	SendRefused SendState = "refused" // the server answered that it did not run the request
	SendUnknown SendState = "maybe"   // the server may have run the request, or may still run it
)

// SendError is the error of a request to a backend server, sent directly or
// through another host.
type SendError struct {
	State SendState
	Cause error
	// Ended is closed once the server works on the request no longer. Nil means that this is
	// not known.
	Ended <-chan struct{}
}

// Error implements error.
func (e *SendError) Error() string {
	return "server: request failed (" + string(e.State) + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// EndOf returns the channel Ended of a *SendError, and nil for other errors.
func EndOf(err error) <-chan struct{} {
	var e *SendError
	if !errors.As(err, &e) {
		return nil
	}
	return e.Ended
}

// Health is the answer of a backend server to a probe. It may be outdated or
// wrong.
type Health struct {
	Ready   bool
	Leaving bool    // the server shuts down and accepts no new requests
	Load    float64 // busy share of the slots, 0 to 1; negative if unknown
}

// Servers sends requests to backend servers. It is safe for concurrent use.
type Servers interface {
	// Send sends a request once. Its error is always a *SendError.
	Send(ctx context.Context, s Server, r Request) (Response, error)
	// Probe reads the health and load of a server.
	Probe(ctx context.Context, s Server) (Health, error)
}
