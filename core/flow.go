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
	// Revoked is closed when the key is withdrawn or the host can no longer
	// prove that it has not been. It is nil on open routes.
	Revoked <-chan struct{}
	// Err returns nil while the key may be used, otherwise an error with
	// the code KeyWithdrawn, KeyUnknown or KeyUnproven.
	Err func() error
	// Release stops watching the key. It may be called more than once.
	Release func()
}

// KeyChecker checks the keys of callers. It is safe for concurrent use.
type KeyChecker interface {
	// Check returns the grant of a bearer key, or an error with the code
	// KeyMissing, KeyUnknown, KeyWithdrawn or KeyUnproven.
	Check(bearer string) (Grant, error)
}

// RateLimiter enforces the rate limits of workspaces. It is safe for concurrent
// use.
type RateLimiter interface {
	// Admit takes one token from the rate limit of a workspace. It may wait
	// for a short time. Its error carries the code RateExceeded, QueueFull or
	// LoadShed.
	Admit(ctx context.Context, w WorkspaceID) error
}

// Outcome reports to a Picker how a request to a backend server ended.
type Outcome struct {
	Failed bool
	Shed   bool // the server shed the request
	// Abandoned means that the exchange ended without a complete answer, so the
	// server may still be working on the request.
	Abandoned bool
	// Ended is closed once the server works on the request no longer. Nil means that this is
	// not known.
	Ended   <-chan struct{}
	Latency time.Duration
}

// Slot is one concurrency slot of a backend server, held for one request.
type Slot interface {
	Server() Server
	// Release releases the slot. It may be called more than once; only the
	// first call counts.
	Release(Outcome)
}

// PickRequest describes the request that needs a slot.
type PickRequest struct {
	Workspace WorkspaceID
	Service   ServiceID
	Tried     []ServerID // servers that already failed this request
}

// Picker chooses backend servers of the host's own failure domain. It is safe
// for concurrent use.
type Picker interface {
	// Acquire takes a slot. It may wait for one, at most until the context
	// ends. Its error carries the code NoServer, NoCapacity, LoadShed,
	// RequestDeadline or ServiceAbsent.
	Acquire(ctx context.Context, p PickRequest) (Slot, error)
	// Retry reports whether the retry budget of the service allows another
	// attempt of a failed request. If so, it returns after the backoff.
	Retry(ctx context.Context, a Attempt) bool
}

// Attempt describes a failed attempt of a request.
type Attempt struct {
	Service ServiceID
	Kind    RouteKind
	State   SendState
	Tries   int // attempts so far, including the failed one
}

// RemoteSender sends requests through hosts of other failure domains. It is safe
// for concurrent use.
type RemoteSender interface {
	// Send reserves a slot in another domain and forwards the request there.
	// Its error is a *SendError that wraps an error with the code NoCapacity
	// if no domain had a slot.
	Send(ctx context.Context, r Request, class Class) (Response, error)
}

// OrderRequest identifies one order.
type OrderRequest struct {
	Workspace WorkspaceID
	Key       string   // the caller's idempotency key
	Digest    [32]byte // SHA-256 of method, service, path and body
}

// OrderAnswer is the complete answer to an order, as it is recorded.
type OrderAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// OrderSend sends an order to a backend server. Its error is a *SendError.
type OrderSend func(ctx context.Context) (OrderAnswer, error)

// Orders executes each order at most once. It is safe for concurrent use.
type Orders interface {
	// Do claims the order, sends it and records the answer. If the order has
	// already been executed, Do returns the recorded answer. Its error
	// carries the code OrderRunning, OrderUnknown, OrderNotRun, OrderMismatch
	// or OrderExpired.
	Do(ctx context.Context, r OrderRequest, send OrderSend) (OrderAnswer, error)
}
