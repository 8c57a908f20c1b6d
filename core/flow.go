package core

import (
	"context"
	"net/http"
	"time"
)

// Grant is the result of a successful key check.
type Grant struct {
	Key       KeyID
	Workspace WorkspaceID
	// Revoked is closed when the key was withdrawn or the host can no longer
	// prove that it was not. It is nil on open routes.
	Revoked <-chan struct{}
	// Err returns nil while the key may be used, and otherwise an error
	// with KeyWithdrawn, KeyUnknown or KeyUnproven.
	Err func() error
	// Release ends the watch on the key. It may be called more than once.
	Release func()
}

// KeyChecker checks the keys of callers. It is safe for concurrent use.
type KeyChecker interface {
	// Check returns the grant of a key, or an error with KeyMissing,
	// KeyUnknown, KeyWithdrawn or KeyUnproven.
	Check(bearer string) (Grant, error)
}

// RateLimiter limits what workspaces may start. It is safe for concurrent use.
type RateLimiter interface {
	// Admit takes one request from the rate of a workspace. It may wait for
	// a short time. Its error carries RateExceeded, QueueFull or LoadShed.
	Admit(ctx context.Context, w WorkspaceID) error
}

// Outcome tells a picker how a request to a backend server ended.
type Outcome struct {
	Failed bool
	Shed   bool // the server shed the request
	// Abandoned says that the exchange was given up while the server may still
	// be working on the request.
	Abandoned bool
	Latency   time.Duration
}

// Slot is one slot of a backend server, held for one request.
type Slot interface {
	Server() Server
	// Release gives the slot back. It may be called more than once.
	Release(Outcome)
}

// PickRequest says what a slot is needed for.
type PickRequest struct {
	Workspace WorkspaceID
	Service   ServiceID
	Tried     []ServerID // servers that were tried before
}

// Picker chooses backend servers of the own failure domain. It is safe for
// concurrent use.
type Picker interface {
	// Acquire waits for a slot until the context ends. Its error carries
	// NoServer, NoCapacity or LoadShed.
	Acquire(ctx context.Context, p PickRequest) (Slot, error)
	// Retry reports whether a failed request may be tried again under the
	// retry budget of its service, and waits the pause before the next try.
	Retry(ctx context.Context, a Attempt) bool
}

// Attempt describes a failed try of a request.
type Attempt struct {
	Service ServiceID
	Kind    RouteKind
	State   SendState
	Tries   int // tries so far
}

// RemoteSender sends requests through hosts of other failure domains. It is safe
// for concurrent use.
type RemoteSender interface {
	// Send reserves a slot in another domain and forwards the request there.
	// Its error is a *SendError; NoCapacity in the chain says that no domain
	// had a slot.
	Send(ctx context.Context, r Request, class Class) (Response, error)
}

// OrderRequest names one order.
type OrderRequest struct {
	Workspace WorkspaceID
	Key       string   // the caller's idempotency key
	Digest    [32]byte // SHA-256 over service, path and body
}

// OrderAnswer is the whole recorded answer of an order.
type OrderAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// OrderSend sends an order once. Its error is a *SendError.
type OrderSend func(ctx context.Context) (OrderAnswer, error)

// Orders runs orders at most once. It is safe for concurrent use.
type Orders interface {
	// Do claims the order, sends it and records its answer, or returns the
	// answer recorded before. Its error carries OrderRunning, OrderUnknown,
	// OrderNotRun, OrderMismatch or OrderExpired.
	Do(ctx context.Context, r OrderRequest, send OrderSend) (OrderAnswer, error)
}
