// Package proxy serves one request of a caller: it finds the route, checks
// the key and the rate, chooses a backend server, sends the request and
// retries it elsewhere if that is safe. Package edge calls it for each
// request.
package proxy

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/picker"
	"azurering/core/quota"
	"azurering/core/retry"
	"azurering/core/routes"
)

const (
	// maxHoldFraction is the fraction of the route's latency target for which
	// a request may wait here for a server. A refusal after a longer wait
	// comes too late to be of use to the caller.
	maxHoldFraction = 0.12
	// holdPollInterval is the time between two attempts to get a server.
	holdPollInterval = 15 * time.Millisecond
	// overloadRetryAfter is the Retry-After of a refusal because of load: a
	// server's slot turns over about twice a second.
	overloadRetryAfter = 500 * time.Millisecond
	// startupRetryAfter is the Retry-After of a host that has no
	// configuration yet.
	startupRetryAfter = 300 * time.Millisecond
	// defaultAttempts applies if the route does not say how many servers may
	// run a request.
	defaultAttempts = 1
	// maxRefusals bounds the servers that refuse one request, or cannot be
	// reached, before it fails.
	maxRefusals = 3
)

// Config configures a Proxy. All fields are required.
type Config struct {
	Timer    core.Timer
	Backends core.Backends
	Picker   *picker.Picker
	Limiter  *quota.Limiter
	Budget   *retry.Budget
	// CurrentTable returns the routing table in force, or nil before the first one.
	CurrentTable func() *routes.Table
	// LacksConfig reports whether another host has told of a newer configuration than the
	// one in force. It may allow what the one in force does not.
	LacksConfig func() bool
	// BorrowTokens asks other hosts for tokens of a workspace's rate limit. It
	// reports whether one was left for the request that asked.
	BorrowTokens func(context.Context, core.WorkspaceID) bool
	// Permit decides whether a request may be sent to a server that names a limit.
	Permit func(context.Context, core.Instance) core.Permit
	// AnswersUntil returns when this host, which stops, sends its last answers, or 0
	// while it does not stop. Nil means that it never does.
	AnswersUntil func() time.Duration
}

// AccessRecord describes how a request was handled, for logs and metrics.
type AccessRecord struct {
	Version   uint64 // of the configuration that was used
	Route     string
	Workspace core.WorkspaceID
	Class     core.Class
	Service   core.ServiceID
	Servers   []core.ServerID // servers that the request was sent to, in order
	Status    int
	Code      codes.Code    // OK if a server's answer was passed on
	Reason    string        // error text of a refusal or failure
	WaitTime  time.Duration // from arrival until the last choice of a server
	// RemovedFor is the age of the removal of the last server's entry when the
	// server was chosen, or 0 if the entry had not lapsed.
	RemovedFor time.Duration
	Limit      picker.Limit  // limit of the last server, as known when it was chosen
	LimitAge   time.Duration // how long before that choice the server named it
	// PermitBy is the host that decided about the last permit that was asked for,
	// and PermitWait the time after which it said to ask again; 0 if it granted.
	PermitBy    core.HostID
	PermitWait  time.Duration
	PassedOver  core.ServerID // first server that was passed over at the last choice because it is at its limit
	ConnectTime time.Duration // from the last choice of a server until a connection was available
	BodySent    []int64       // bytes of the body that were written to each of Servers
	Duration    time.Duration // from arrival until the answer
}

// Proxy serves calls. It is safe for concurrent use.
type Proxy struct {
	cfg      Config
	splitter splitter
}

// New returns a proxy.
func New(cfg Config) *Proxy {
	return &Proxy{cfg: cfg}
}

// request is the state of one call while it is served.
type request struct {
	*Proxy
	call        *core.Call
	table       *routes.Table
	rule        *core.RoutingRule
	holder      *core.WorkspaceConfig
	deadline    time.Duration // when the final answer must be sent
	failedReply *core.Reply   // an error answer of a server, passed on if no other server does better
	record      AccessRecord
}

// Serve runs one call and always returns an answer. ctx ends when the caller
// disconnects.
func (p *Proxy) Serve(ctx context.Context, c *core.Call) (*core.Reply, AccessRecord) {
	r := &request{Proxy: p, call: c}
	reply, err := r.run(ctx)
	if err != nil {
		reply = r.refusal(err)
	}
	r.record.Status = reply.Status
	r.record.Duration = p.cfg.Timer.Now() - c.Arrived
	return reply, r.record
}

func (r *request) run(ctx context.Context) (*core.Reply, error) {
	if err := r.admit(ctx); err != nil {
		return nil, err
	}
	reply, err := r.forward(ctx)
	if err != nil && r.failedReply != nil {
		return r.failedReply, nil
	}
	if err != nil && notRun(codes.Of(err)) && r.holder != nil {
		r.cfg.Limiter.Refund(r.holder.Name)
	}
	return reply, err
}

// forward chooses the service and sends the request to its servers.
func (r *request) forward(ctx context.Context) (*core.Reply, error) {
	service, err := r.splitter.next(r.table, r.rule)
	if err != nil {
		return nil, err
	}
	r.record.Service = service
	r.cfg.Budget.Deposit(service)
	return r.tryServers(ctx)
}

// admit finds the route and the workspace, and takes a token of the
// workspace's rate limit.
func (r *request) admit(ctx context.Context) error {
	r.table = r.cfg.CurrentTable()
	if r.table == nil {
		return codes.New(codes.NoConfig, "proxy: host has no configuration yet")
	}
	r.record.Version = r.table.Version
	r.rule = r.table.Match(r.call.Host, r.call.Path)
	if r.rule == nil {
		return r.unknown(codes.RouteUnknown, "proxy: no route matches the host name and path")
	}
	r.record.Route, r.record.Class = r.rule.Name, r.rule.Class
	r.deadline = r.call.Arrived + r.rule.Timeout
	if r.call.Timeout > 0 {
		r.deadline = min(r.deadline, r.call.Arrived+r.call.Timeout)
	}
	if r.rule.Access == core.AccessOpen || !r.table.RequiresKey() {
		return nil
	}
	if r.call.APIKey == "" {
		return r.unknown(codes.KeyMissing, "proxy: route requires a key, and the request has none")
	}
	r.holder = r.table.WorkspaceOf(r.call.APIKey)
	if r.holder == nil {
		return r.unknown(codes.KeyUnknown, "proxy: key belongs to no workspace")
	}
	r.record.Workspace = r.holder.Name
	wait, ok := r.cfg.Limiter.Take(r.holder.Name)
	if !ok && !r.cfg.BorrowTokens(ctx, r.holder.Name) {
		return &rateLimitError{error: codes.New(codes.RateExceeded, "proxy: workspace exceeds its request rate"), wait: wait}
	}
	return nil
}

// unknown returns the error for a request that the configuration in force does not allow.
// Callers do not repeat a request that gets the code, so that it must not be given while
// a newer configuration is on its way.
func (r *request) unknown(code codes.Code, text string) error {
	if r.cfg.LacksConfig() {
		return codes.New(codes.NoConfig, "%s in version %d of the configuration; a newer one is on its way", text, r.table.Version)
	}
	return codes.New(code, "%s", text)
}

// rateLimitError is a refusal with the time after which the caller may retry.
type rateLimitError struct {
	error
	wait time.Duration
}

// Unwrap returns the coded error.
func (l *rateLimitError) Unwrap() error { return l.error }

// ask describes the server that the request needs.
func (r *request) ask() picker.Request {
	homes, bound := routes.HomeRegions(r.rule, r.holder)
	object := r.call.AffinityKey
	if object == "" || !r.rule.Sticky {
		object = r.call.RequestID
	}
	return picker.Request{
		Service: r.record.Service, Object: r.rule.Prefix + object, Homes: homes, HomesOnly: bound, Exclude: r.record.Servers,
		Sticky: r.rule.Sticky && r.call.AffinityKey != "", MaxLatency: r.timeToTarget(),
		LargeAnswer: r.rule.Class == core.ClassDownload,
	}
}

// timeToTarget returns the time left until the latency target is missed.
func (r *request) timeToTarget() time.Duration {
	return r.call.Arrived + r.rule.LatencyTarget - r.cfg.Timer.Now()
}

// acquire chooses a server. If none can take the request, it tries again until
// maxHoldFraction of the latency target has passed since the request arrived,
// or until the request's deadline.
func (r *request) acquire(ctx context.Context) (*picker.Lease, error) {
	until := min(r.call.Arrived+time.Duration(maxHoldFraction*float64(r.rule.LatencyTarget)), r.deadline)
	for {
		if err := r.checkStop(); err != nil {
			return nil, err
		}
		lease, err := r.choose(ctx, until)
		earliest := r.cfg.Timer.Now() + holdPollInterval // of a choice that may end differently
		var atLimit *picker.AtLimitError
		if errors.As(err, &atLimit) {
			earliest = max(earliest, r.cfg.Timer.Now()+atLimit.Wait)
		}
		if err == nil || earliest > until {
			r.record.WaitTime, r.record.RemovedFor = r.cfg.Timer.Now()-r.call.Arrived, 0
			r.record.Limit, r.record.LimitAge = picker.Limit{}, 0
			if lease != nil {
				r.record.RemovedFor, r.record.Limit, r.record.LimitAge = lease.RemovedFor, lease.Limit, lease.LimitAge
				r.record.PassedOver = lease.PassedOver
			}
			return lease, err
		}
		select {
		case <-ctx.Done():
			return nil, codes.New(codes.RequestBad, "proxy: caller disconnected before a server had capacity")
		case <-r.cfg.Timer.After(holdPollInterval):
		}
	}
}

// stopError is a refusal by a host that stops. Other hosts serve the request at once.
type stopError struct{ error }

// Unwrap returns the coded error.
func (s *stopError) Unwrap() error { return s.error }

// checkStop returns an error if the host stops and may end before it can answer the
// order. An order that is cut then can neither be repeated nor told to have failed,
// so that none is sent. Callers can repeat other requests; these are sent as long as
// there are answers.
func (r *request) checkStop() error {
	if r.cfg.AnswersUntil == nil {
		return nil
	}
	until := r.cfg.AnswersUntil()
	if until == 0 || r.deadline <= until || r.rule.Kind != core.RouteOrder && r.cfg.Timer.Now() < until {
		return nil
	}
	return &stopError{codes.New(codes.NoCapacity, "proxy: host stops, and may end before the request is answered; use another host")}
}

// choose chooses a server. It passes over those that name a limit and for which no
// permit is granted. After until it asks for no more permits.
func (r *request) choose(ctx context.Context, until time.Duration) (*picker.Lease, error) {
	ask := r.ask()
	for {
		lease, err := r.cfg.Picker.Acquire(ask)
		if err != nil || !lease.Limit.Named {
			return lease, err
		}
		permit := r.cfg.Permit(ctx, lease.Instance)
		r.record.PermitBy, r.record.PermitWait = permit.By, permit.Wait
		if permit.Granted {
			return lease, nil
		}
		lease.Decline(permit.Wait)
		ask = r.ask()
		ask.Unlimited = r.cfg.Timer.Now() > until
	}
}

// tryServers sends the request to servers until one answers. A request that
// may have run is only repeated if it is not an order, and one whose body was read
// from the caller in part is not repeated.
func (r *request) tryServers(ctx context.Context) (*core.Reply, error) {
	maxRuns := r.rule.MaxAttempts
	if maxRuns <= 0 {
		maxRuns = defaultAttempts
	}
	var lastErr error
	possibleRuns := 0 // servers that may have run the request
	for refused := 0; refused < maxRefusals && possibleRuns < maxRuns; {
		lease, err := r.acquire(ctx)
		if err != nil {
			return nil, r.finalError(possibleRuns, lastErr, err)
		}
		if len(r.record.Servers) > 0 && !r.cfg.Budget.Withdraw(r.record.Service) {
			lease.Release(picker.OutcomeCancelled, nil)
			return nil, r.finalError(possibleRuns, lastErr, codes.New(codes.NoCapacity, "proxy: retry budget of the service is exhausted"))
		}
		r.record.Servers = append(r.record.Servers, lease.Name)
		reply, state, err := r.send(ctx, lease)
		if err == nil {
			return reply, nil
		}
		lastErr = err
		switch {
		case state == core.SendUnknown:
			possibleRuns++
			if r.rule.Kind == core.RouteOrder {
				return nil, lastErr
			}
		default:
			refused++
		}
		if ctx.Err() != nil || r.cfg.Timer.Now() >= r.deadline || !r.call.CanSend() {
			break
		}
	}
	return nil, r.finalError(possibleRuns, lastErr, lastErr)
}

// finalError chooses the error of the final answer. A request that a server
// may have run must not end with a code that promises that it has not run.
func (r *request) finalError(possibleRuns int, lastErr, err error) error {
	if possibleRuns > 0 && notRun(codes.Of(err)) {
		if lastErr != nil && !notRun(codes.Of(lastErr)) {
			return lastErr
		}
		return codes.Wrap(err, codes.ServerFailed, "proxy: a server that failed earlier may have run the request")
	}
	return err
}

// send sends the request to one server.
func (r *request) send(ctx context.Context, lease *picker.Lease) (*core.Reply, core.SendState, error) {
	defer lease.Release(picker.OutcomeCancelled, nil) // has no effect unless the exchange panics
	remaining := r.deadline - r.cfg.Timer.Now()
	if r.rule.Kind == core.RouteOrder {
		// An order continues when its caller disconnects: cancelling it would
		// not undo it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	forward := core.ForwardInfo{Server: lease.Name, Workspace: r.record.Workspace, TimeLeft: remaining, AtMostOnce: r.rule.Kind == core.RouteOrder}
	reply, meta, err := r.cfg.Backends.Exchange(ctx, lease.Instance, r.call, forward)
	r.record.ConnectTime = meta.ConnectTime
	r.record.BodySent = append(r.record.BodySent, meta.BodySent)
	r.cfg.Picker.RecordLimit(lease.Instance, meta)
	r.cfg.Picker.RecordLeave(lease.Instance, meta)
	var load *picker.Load
	if meta.HasLoad {
		load = &picker.Load{Running: meta.Running, Queued: meta.Waiting}
	}
	if err == nil {
		return r.handleReply(lease, reply, load)
	}
	var failed *core.SendError
	if !errors.As(err, &failed) {
		failed = &core.SendError{State: core.SendUnknown, Cause: err}
	}
	code := codes.ServerFailed
	end := picker.OutcomeBroken
	switch {
	case failed.State == core.SendRefused && meta.Instance != "" && meta.Instance != lease.Name:
		end, code = picker.OutcomeMoved, codes.NoCapacity
	case failed.State == core.SendRefused:
		end, code = picker.OutcomeShed, codes.NoCapacity
	case failed.State == core.SendNotSent:
		code = codes.NoServer
	case ctx.Err() != nil && r.cfg.Timer.Now() >= r.deadline:
		end, code = picker.OutcomeCancelled, codes.RequestDeadline
	case ctx.Err() != nil:
		end = picker.OutcomeCancelled
	case r.call.BodyRest != nil && r.call.BodyRest.Err() != nil:
		// The server waited for the caller, and is not to blame.
		end, code = picker.OutcomeCancelled, bodyCode(r.call.BodyRest.Err())
	}
	lease.Release(end, load)
	return nil, failed.State, codes.Wrap(failed, code, "proxy: exchange with server %s failed", lease.Name)
}

// bodyCode returns the code of a request whose body failed on the caller's side. A server
// may have seen the request.
func bodyCode(err error) codes.Code {
	if codes.Is(err, codes.RequestTooLarge) {
		return codes.RequestTooLarge
	}
	return codes.RequestSlow
}

// handleReply ends the lease of an answered request. If the server failed an
// idempotent request and another attempt is allowed, it keeps the answer and
// returns an error, so that another server is tried.
func (r *request) handleReply(lease *picker.Lease, reply *core.Reply, load *picker.Load) (*core.Reply, core.SendState, error) {
	lease.Release(picker.OutcomeAnswered, load)
	remaining := r.deadline - r.cfg.Timer.Now()
	retryable := reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusGatewayTimeout &&
		r.rule.Kind == core.RouteIdempotent && len(r.record.Servers) < r.rule.MaxAttempts &&
		reply.BodyRest == nil && remaining > r.rule.Timeout/4 && r.call.CanSend()
	if !retryable {
		return reply, core.SendUnknown, nil
	}
	if r.failedReply != nil {
		r.failedReply.Close()
	}
	r.failedReply = reply
	return nil, core.SendUnknown, codes.New(codes.ServerFailed, "proxy: server %s answered with status %d", lease.Name, reply.Status)
}

// notRun reports whether a code promises that no server ran the request.
func notRun(c codes.Code) bool {
	switch c {
	case codes.NoConfig, codes.NoServer, codes.NoCapacity, codes.RateExceeded:
		return true
	}
	return false
}

// statuses maps the codes with which the proxy ends a request to HTTP
// statuses.
var statuses = map[codes.Code]int{
	codes.NoConfig:        http.StatusServiceUnavailable,
	codes.RouteUnknown:    http.StatusNotFound,
	codes.KeyMissing:      http.StatusUnauthorized,
	codes.KeyUnknown:      http.StatusUnauthorized,
	codes.RateExceeded:    http.StatusTooManyRequests,
	codes.NoServer:        http.StatusServiceUnavailable,
	codes.NoCapacity:      http.StatusServiceUnavailable,
	codes.ServerFailed:    http.StatusBadGateway,
	codes.RequestDeadline: http.StatusGatewayTimeout,
	codes.RequestBad:      http.StatusBadRequest,
	codes.RequestTooLarge: http.StatusRequestEntityTooLarge,
	codes.RequestSlow:     http.StatusGatewayTimeout, // 408 would promise that no server ran it
}

// refusal builds the answer to a request that failed with an error.
func (r *request) refusal(err error) *core.Reply {
	code := codes.Of(err)
	r.record.Code, r.record.Reason = code, err.Error()
	status := statuses[code]
	if status == 0 {
		status = http.StatusBadGateway
	}
	reply := ErrorReply(status, code, err)
	wait := time.Duration(0)
	var limited *rateLimitError
	var atLimit *picker.AtLimitError
	var stopping *stopError
	switch {
	case errors.As(err, &limited):
		wait = limited.wait
	case errors.As(err, &stopping):
		wait = 0
	case code == codes.NoConfig:
		wait = startupRetryAfter
	case errors.As(err, &atLimit):
		// Callers that came together come back spread out.
		wait = atLimit.Wait + time.Duration(rand.Int64N(int64(overloadRetryAfter)))
	case notRun(code):
		wait = overloadRetryAfter
	}
	if wait > 0 {
		reply.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return reply
}

// ErrorReply builds an error answer of the host itself, with a JSON body of the
// code and the error.
func ErrorReply(status int, code codes.Code, err error) *core.Reply {
	// A map of an int and a string can always be encoded.
	body, _ := json.Marshal(map[string]any{"code": int(code), "error": err.Error()})
	h := http.Header{"Content-Type": {"application/json"}}
	return &core.Reply{Status: status, Header: h, Body: body, ContentLength: int64(len(body))}
}
