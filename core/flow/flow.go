// Package flow takes one request of a caller through the decisions: route,
// key, rate, order claim, backend server, retry.
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
	// maxTries bounds the servers tried for one request.
	maxTries = 3
	// maxOrderAnswer bounds the answer of an order, which is recorded whole.
	maxOrderAnswer = 4 << 20
)

// Config configures a flow. All fields but Remote are required.
type Config struct {
	Timer        core.Timer
	Keys         core.KeyChecker
	RateLimiter  core.RateLimiter
	ShiftLimiter ShiftLimiter
	Picker       core.Picker
	Orders       core.Orders
	Servers      core.Servers
	Remote       core.RemoteSender // nil: requests stay in the failure domain
}

// ShiftLimiter enforces the caps of shifts at the receiving region.
type ShiftLimiter interface {
	// Take takes one request of a caller at the given address from the cap
	// of the shift that brings it here, if one does. Its error carries
	// ShiftCapped.
	Take(address string) error
}

// Request is one request as it came from a caller.
type Request struct {
	Method         string
	Service        core.ServiceID
	Path           string // escaped path and query below the service
	Header         http.Header
	Body           []byte
	Key            string
	IdempotencyKey string // idempotency key
	Address        string // address of the caller
	Timeout        time.Duration
}

// Response is the answer to a call.
type Response struct {
	core.Response
	Workspace core.WorkspaceID
	Class     core.Class
	// Grant is that of the request's key, which may stop being valid while
	// the answer streams.
	Grant core.Grant
}

// Handler serves calls. It is safe for concurrent use.
type Handler struct {
	cfg Config
}

// New returns a flow.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// MatchRoute returns the route with the longest path prefix.
func MatchRoute(s core.Sheet, service core.ServiceID, path string) (core.Route, error) {
	path, _, _ = strings.Cut(path, "?")
	for _, v := range s.Services {
		if v.Name != service {
			continue
		}
		best := -1
		for i, r := range v.Routes {
			if prefixOf(r.Path, path) && (best < 0 || len(r.Path) > len(v.Routes[best].Path)) {
				best = i
			}
		}
		if best < 0 {
			return core.Route{}, codes.New(codes.RouteUnknown, "flow: service %s has no route for this path", service)
		}
		return v.Routes[best], nil
	}
	return core.Route{}, codes.New(codes.ServiceAbsent, "flow: no service %s", service)
}

// prefixOf reports whether a route path covers a path: "/a" covers "/a" and
// "/a/b" but not "/ab".
func prefixOf(route, path string) bool {
	if !strings.HasPrefix(path, route) {
		return false
	}
	return len(path) == len(route) || strings.HasSuffix(route, "/") || path[len(route)] == '/'
}

// Serve runs one call. An error carries its result code; NotRun tells
// whether the request is known not to have run. On success the caller of
// Serve reads and closes the answer's body.
func (f *Handler) Serve(ctx context.Context, s core.Sheet, c Request) (Response, error) {
	route, err := MatchRoute(s, c.Service, c.Path)
	if err != nil {
		return Response{}, err
	}
	if err := checkOrder(route, c); err != nil {
		return Response{}, err
	}
	grant, err := f.grant(route, c)
	if err != nil {
		return Response{}, err
	}
	answer := Response{Workspace: grant.Workspace, Class: route.Class, Grant: grant}
	ctx, started, cancel := bound(ctx, route, c)
	answer.Response, err = f.run(ctx, route, grant, c)
	if err != nil {
		cancel()
		grant.Release()
		return answer, err
	}
	started()
	answer.Body = &guarded{ReadCloser: answer.Body, end: func() {
		cancel()
		grant.Release()
	}}
	return answer, nil
}

// bound limits the time of a request. A download may stream for longer than
// the limit over a slow link, so for downloads it ends once the answer has
// started; the caller's side then demands progress.
func bound(ctx context.Context, route core.Route, c Request) (context.Context, func(), context.CancelFunc) {
	limit := timeout(route, c)
	if route.Class != core.ClassDownload {
		ctx, cancel := context.WithTimeout(ctx, limit)
		return ctx, func() {}, cancel
	}
	ctx, cancel := context.WithCancel(ctx)
	alarm := time.AfterFunc(limit, cancel)
	return ctx, func() { alarm.Stop() }, func() {
		alarm.Stop()
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
		return codes.New(codes.RequestBad, "flow: an order cannot be sent with %s", c.Method)
	}
	if c.IdempotencyKey == "" {
		return codes.New(codes.OrderKeyMissing, "flow: an order needs an Idempotency-Key")
	}
	return nil
}

// grant checks the key of a keyed route. A key sent along to an open route
// is ignored and dropped.
func (f *Handler) grant(route core.Route, c Request) (core.Grant, error) {
	if route.Access == core.AccessOpen {
		return core.Grant{Workspace: route.Workspace, Err: func() error { return nil }, Release: func() {}}, nil
	}
	return f.cfg.Keys.Check(c.Key)
}

func (f *Handler) run(ctx context.Context, route core.Route, grant core.Grant, c Request) (core.Response, error) {
	if err := f.cfg.ShiftLimiter.Take(c.Address); err != nil {
		return core.Response{}, err
	}
	if err := f.cfg.RateLimiter.Admit(ctx, grant.Workspace); err != nil {
		return core.Response{}, err
	}
	// Waiting for the rate may have taken long enough for a withdrawal.
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
		return f.order(ctx, route, grant, c, r)
	}
	resp, err := f.send(ctx, route, grant, r)
	return resp, sendError(ctx, err)
}

// order runs an order through its claim. Its answer is read whole before
// it is recorded and returned.
func (f *Handler) order(ctx context.Context, route core.Route, grant core.Grant, c Request, r core.Request) (core.Response, error) {
	// A caller that loses its connection must find the recorded answer when
	// it comes back, so the order goes on without it until its deadline.
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
		return readWhole(resp)
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

func readWhole(resp core.Response) (core.OrderAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOrderAnswer+1))
	closeErr := resp.Body.Close()
	if err == nil {
		err = closeErr
	}
	if err == nil && len(body) > maxOrderAnswer {
		err = errors.Errorf("flow: answer of an order is over %d bytes", maxOrderAnswer)
	}
	if err != nil {
		return core.OrderAnswer{}, &core.SendError{State: core.SendUnknown, Cause: err}
	}
	return core.OrderAnswer{Status: resp.Status, Header: resp.Header, Body: body}, nil
}

// guarded calls end once when the body is closed.
type guarded struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (g *guarded) Close() error {
	err := g.ReadCloser.Close()
	g.end()
	return err
}
