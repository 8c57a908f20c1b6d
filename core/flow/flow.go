// Package flow handles one request of a caller: it finds the route, checks the
// key and the rate limits, claims orders, sends the request to a backend server
// and retries it. The listener for callers calls it for each request.
package flow

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
)

const (
	defaultTimeout = 30 * time.Second
	// maxAttempts limits the attempts of one request at servers of the own
	// failure domain.
	maxAttempts = 3
	// maxOrderAnswerBytes limits the body of an answer to an order in bytes: it is
	// recorded as a whole.
	maxOrderAnswerBytes = 4 << 20
)

// Config configures a Flow. All fields but Remote are required.
type Config struct {
	Timer        core.Timer
	Keys         core.KeyChecker
	RateLimiter  core.RateLimiter
	ShiftLimiter ShiftLimiter
	Picker       core.Picker
	Orders       core.Orders
	Servers      core.Servers
	Remote       core.RemoteSender // if nil, requests are sent only within the own failure domain
}

// ShiftLimiter enforces the caps of shifts in the region that receives the
// requests. It is safe for concurrent use.
type ShiftLimiter interface {
	// Take counts one request against the cap of the shift that moved the
	// caller at the given IP address to this region, if there is one. Its
	// error carries the code ShiftCapped if the cap is used up.
	Take(address string) error
}

// Request is one request as it was received from a caller.
type Request struct {
	Method         string
	Service        core.ServiceID
	Path           string // escaped path and query below the service
	Header         http.Header
	Body           []byte
	Key            string        // access key
	IdempotencyKey string        // idempotency key
	Address        string        // IP address of the caller
	Timeout        time.Duration // the caller's own timeout; zero if it sent none
}

// Response is the answer to a call.
type Response struct {
	core.Response
	Workspace core.WorkspaceID
	Class     core.Class
	// Grant belongs to the request's key. It may become invalid while the
	// answer is streamed.
	Grant core.Grant
}

// Handler handles calls. It is safe for concurrent use.
type Handler struct {
	cfg Config
}

// New returns a flow.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// MatchRoute returns the route of a service with the longest matching path prefix.
// The query in path is ignored. Its error carries the code ServiceAbsent or
// RouteUnknown.
func MatchRoute(s core.Sheet, service core.ServiceID, path string) (core.Route, error) {
	path, _, _ = strings.Cut(path, "?")
	for _, v := range s.Services {
		if v.Name != service {
			continue
		}
		longest := -1
		for i, r := range v.Routes {
			if matchesPrefix(r.Path, path) && (longest < 0 || len(r.Path) > len(v.Routes[longest].Path)) {
				longest = i
			}
		}
		if longest < 0 {
			return core.Route{}, codes.New(codes.RouteUnknown, "flow: no route of service %s matches the request path", service)
		}
		return v.Routes[longest], nil
	}
	return core.Route{}, codes.New(codes.ServiceAbsent, "flow: service %s is not configured", service)
}

// matchesPrefix reports whether a route matches a path by whole segments: "/a"
// matches "/a" and "/a/b" but not "/ab".
func matchesPrefix(route, path string) bool {
	if !strings.HasPrefix(path, route) {
		return false
	}
	return len(path) == len(route) || strings.HasSuffix(route, "/") || path[len(route)] == '/'
}

// Serve handles one call. Its error carries a result code; NotExecuted reports
// whether it proves that the request was not executed. If err is nil, the
// caller of Serve must close the answer's body, which releases the grant and
// the slot.
func (f *Handler) Serve(ctx context.Context, s core.Sheet, c Request) (Response, error) {
	route, err := MatchRoute(s, c.Service, c.Path)
	if err != nil {
		return Response{}, err
	}
	if err := checkOrder(route, c); err != nil {
		return Response{}, err
	}
	grant, err := f.authorize(route, c)
	if err != nil {
		return Response{}, err
	}
	answer := Response{Workspace: grant.Workspace, Class: route.Class, Grant: grant}
	ctx, answerStarted, cancel := withTimeout(ctx, route, c)
	answer.Response, err = f.admitAndSend(ctx, route, grant, c)
	if err != nil {
		cancel()
		grant.Release()
		return answer, err
	}
	answerStarted()
	answer.Body = &cleanupBody{ReadCloser: answer.Body, cleanup: func() {
		cancel()
		grant.Release()
	}}
	return answer, nil
}

// withTimeout applies the timeout of a request to its context. A download over
// a slow link may take longer than the timeout, so for downloads the timeout
// covers only the time until the answer starts; the first returned function
// stops it. From then on, the listener for callers checks that the transfer
// makes progress.
func withTimeout(ctx context.Context, route core.Route, c Request) (context.Context, func(), context.CancelFunc) {
	limit := timeout(route, c)
	if route.Class != core.ClassDownload {
		ctx, cancel := context.WithTimeout(ctx, limit)
		return ctx, func() {}, cancel
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, cancel)
	return ctx, func() { timer.Stop() }, func() {
		timer.Stop()
		cancel()
	}
}

func timeout(route core.Route, c Request) time.Duration {
	limit := route.Timeout
	if limit == 0 {
		limit = defaultTimeout
	}
	if c.Timeout > 0 && c.Timeout < limit {
		limit = c.Timeout
	}
	return limit
}

func checkOrder(route core.Route, c Request) error {
	if route.Kind != core.RouteOrder {
		return nil
	}
	switch c.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
	default:
		return codes.New(codes.RequestBad, "flow: method %s is not allowed for an order; expected POST, PUT, PATCH or DELETE", c.Method)
	}
	if c.IdempotencyKey == "" {
		return codes.New(codes.OrderKeyMissing, "flow: order has no Idempotency-Key header")
	}
	return nil
}

// authorize checks the key of a request to a keyed route. On an open route, a
// key is ignored and not passed on.
func (f *Handler) authorize(route core.Route, c Request) (core.Grant, error) {
	if route.Access == core.AccessOpen {
		return core.Grant{Workspace: route.Workspace, Err: func() error { return nil }, Release: func() {}}, nil
	}
	return f.cfg.Keys.Check(c.Key)
}

// admitAndSend applies the cap of the shift and the rate limit, then sends the request.
func (f *Handler) admitAndSend(ctx context.Context, route core.Route, grant core.Grant, c Request) (core.Response, error) {
	if err := f.cfg.ShiftLimiter.Take(c.Address); err != nil {
		return core.Response{}, err
	}
	if err := f.cfg.RateLimiter.Admit(ctx, grant.Workspace); err != nil {
		return core.Response{}, err
	}
	// The key may have been withdrawn while Admit waited.
	if err := grant.Err(); err != nil {
		return core.Response{}, err
	}
	r := core.Request{
		Workspace: grant.Workspace, Service: c.Service, Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body,
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.Deadline = f.cfg.Timer.Now() + time.Until(deadline)
	}
	if route.Kind == core.RouteOrder {
		return f.runOrder(ctx, route, grant, c, r)
	}
	resp, err := f.send(ctx, route, grant, r)
	return resp, withCode(ctx, err)
}

// runOrder claims an order and sends it. The answer is read completely before
// it is recorded and returned.
func (f *Handler) runOrder(ctx context.Context, route core.Route, grant core.Grant, c Request, r core.Request) (core.Response, error) {
	// A caller that loses its connection must find the recorded answer when
	// it retries, so the order is not cancelled with the request. It ends by
	// its deadline.
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		detached, cancel = context.WithDeadline(detached, deadline)
		defer cancel()
	}
	request := core.OrderRequest{Workspace: grant.Workspace, Key: c.IdempotencyKey, Digest: digest(c)}
	answer, err := f.cfg.Orders.Do(detached, request, func(ctx context.Context) (core.OrderAnswer, error) {
		resp, err := f.send(ctx, route, grant, r)
		if err != nil {
			return core.OrderAnswer{}, err
		}
		return readAnswer(resp)
	})
	if err != nil {
		return core.Response{}, err
	}
	return core.Response{
		Status: answer.Status, Header: answer.Header.Clone(), Length: int64(len(answer.Body)),
		Body: io.NopCloser(bytes.NewReader(answer.Body)),
	}, nil
}

func digest(c Request) [32]byte {
	h := sha256.New()
	for _, part := range []string{c.Method, string(c.Service), c.Path} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.Body)
	return [32]byte(h.Sum(nil))
}

func readAnswer(resp core.Response) (core.OrderAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOrderAnswerBytes+1))
	closeErr := resp.Body.Close()
	if err == nil {
		err = closeErr
	}
	if err == nil && len(body) > maxOrderAnswerBytes {
		err = errors.Errorf("flow: answer to an order exceeds %d bytes", maxOrderAnswerBytes)
	}
	if err != nil {
		return core.OrderAnswer{}, &core.SendError{State: core.SendUnknown, Cause: err}
	}
	return core.OrderAnswer{Status: resp.Status, Header: resp.Header, Body: body}, nil
}

// cleanupBody is a response body that runs cleanup when it is closed.
type cleanupBody struct {
	io.ReadCloser
	cleanup func()
}

// Close implements io.Closer.
func (g *cleanupBody) Close() error {
	err := g.ReadCloser.Close()
	g.cleanup()
	return err
}
