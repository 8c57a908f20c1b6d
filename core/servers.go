package core

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Request is one request on its way to a backend server. Header holds no
// key.
type Request struct {
	Workspace WorkspaceID
	Service   ServiceID
	Method    string
	Path      string // escaped path and query below the service
	Header    http.Header
	Body      []byte
	Deadline  time.Duration // local monotonic time, zero for none
}

// Response is the answer of a backend server. The body streams; the reader
// closes it. A read error means that the answer is not whole.
type Response struct {
	Status int
	Header http.Header
	Length int64 // -1 if unknown
	Body   io.ReadCloser
}

// SendState says how far a failed request got.
type SendState string

// The values of SendState.
const (
	SendNotSent SendState = "none"    // no byte was written to the server
	SendRefused SendState = "refused" // the server answered that it did not run the request
	SendUnknown SendState = "maybe"   // the server may have run the request
)

// SendError is the error of Servers.Send.
type SendError struct {
	State SendState
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	return "server: request failed (" + string(e.State) + "): " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Health is what a probe of a backend server returned. It may lag or be
// wrong.
type Health struct {
	Ready   bool
	Leaving bool
	Load    float64 // busy share of the slots, 0 to 1; negative if unknown
}

// Servers talks to backend servers. It is safe for concurrent use.
type Servers interface {
	// Send sends a request once. Its error is always a *SendError.
	Send(ctx context.Context, s Server, r Request) (Response, error)
	// Probe reads the health and load of a server.
	Probe(ctx context.Context, s Server) (Health, error)
}
