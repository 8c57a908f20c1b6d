package core

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Call is one request as it came from a caller on the platform.
type Call struct {
	ID      string // of this attempt of the caller
	Method  string
	Target  string // path and query, as sent
	Path    string // Target without the query
	Host    string
	Header  http.Header
	Body    []byte    // the whole body, or its beginning if Rest is set
	Rest    io.Reader // the rest of a body that is too large to keep
	Length  int64     // of the whole body, -1 if unknown
	Key     string
	Object  string        // what the request concerns; may be empty
	Limit   time.Duration // how long the caller waits; 0 if it did not say
	Arrived time.Duration // local monotonic time
}

// Reply is an answer on its way to a caller.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte        // the whole body, or its beginning if Rest is set
	Rest   io.ReadCloser // the rest of a large body; an error means that it is not whole
	Length int64         // of the whole body, -1 if unknown
}

// ReplyMeta is what the headers of a server's answer say.
type ReplyMeta struct {
	ID       string // of the request that it answers
	Stamped  bool   // the server signed the answer
	NotRun   bool   // the server did not run the request
	Instance ServerID
	Cold     time.Duration // how long the server stays cold
	Loaded   bool          // the load is known
	Running  int
	Waiting  int
}

// Forward is what a host tells a server beside the caller's headers.
type Forward struct {
	Server    ServerID
	Workspace WorkspaceID   // empty on open routes
	Left      time.Duration // time until the final answer is due
}

// Dialect names the headers that hosts, callers and servers use.
type Dialect interface {
	// Call fills in the fields of a call that its headers hold.
	Call(c *Call)
	// Forward returns the headers of the request to a server.
	Forward(c *Call, f Forward) http.Header
	// Reply returns the headers of a server's answer that go on to the caller.
	Reply(h http.Header) http.Header
	// Meta reads the headers of a server's answer.
	Meta(status int, h http.Header) ReplyMeta
}

// Backends sends requests to backend servers. It is safe for concurrent use.
type Backends interface {
	// Exchange sends a call to a server once and returns its answer, whole
	// unless it is large. Its error is a *SendError.
	Exchange(ctx context.Context, s Instance, c *Call, f Forward) (*Reply, ReplyMeta, error)
	// Check asks a server for its health.
	Check(ctx context.Context, s Instance, path string) (healthy bool, m ReplyMeta, err error)
}
