package core

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Call is one request as it came from a caller on the platform.
type Call struct {
	RequestID     string // of this attempt of the caller
	Method        string
	Target        string // path and query, as sent
	Path          string // Target without the query
	Host          string
	Header        http.Header
	Body          []byte    // the whole body, or its beginning if Rest is set
	BodyRest      io.Reader // the rest of a body that is too large to keep
	ContentLength int64     // of the whole body, -1 if unknown
	APIKey        string
	AffinityKey   string        // what the request concerns; may be empty
	Timeout       time.Duration // how long the caller waits; 0 if it did not say
	Arrived       time.Duration // local monotonic time
}

// Reply is an answer on its way to a caller.
type Reply struct {
	Status        int
	Header        http.Header
	Body          []byte        // the whole body, or its beginning if Rest is set
	BodyRest      io.ReadCloser // the rest of a large body; an error means that it is not whole
	ContentLength int64         // of the whole body, -1 if unknown
}

// ReplyMeta is what the headers of a server's answer say.
type ReplyMeta struct {
	ID          string // of the request that it answers
	Stamped     bool   // the server signed the answer
	NotExecuted bool   // the server did not run the request
	Instance    ServerID
	WarmupLeft  time.Duration // how long the server stays cold
	HasLoad     bool          // the load is known
	Running     int
	Waiting     int
}

// ForwardInfo is what a host tells a server beside the caller's headers.
type ForwardInfo struct {
	Server    ServerID
	Workspace WorkspaceID   // empty on open routes
	TimeLeft  time.Duration // time until the final answer is due
}

// HeaderCodec names the headers that hosts, callers and servers use.
type HeaderCodec interface {
	// ParseRequest fills in the fields of a call that its headers hold.
	ParseRequest(c *Call)
	// RequestHeader returns the headers of the request to a server.
	RequestHeader(c *Call, f ForwardInfo) http.Header
	// ResponseHeader returns the headers of a server's answer that go on to the caller.
	ResponseHeader(h http.Header) http.Header
	// ParseMeta reads the headers of a server's answer.
	ParseMeta(status int, h http.Header) ReplyMeta
}

// Backends sends requests to backend servers. It is safe for concurrent use.
type Backends interface {
	// Exchange sends a call to a server once and returns its answer, whole
	// unless it is large. Its error is a *SendError.
	Exchange(ctx context.Context, s Instance, c *Call, f ForwardInfo) (*Reply, ReplyMeta, error)
	// CheckHealth asks a server for its health.
	CheckHealth(ctx context.Context, s Instance, path string) (healthy bool, m ReplyMeta, err error)
}
