// Package proxy takes one request of a caller through the decisions: route,
// key, rate, backend server, retry.
package proxy

import (
	"context"
	"encoding/json"
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
	// holdPart is the part of the latency objective for which a request may
	// wait for a server here. A refusal after a longer wait is too late to
	// be of use to the caller.
	holdPart = 0.12
	// holdStep is the time between two looks for a free server.
	holdStep = 15 * time.Millisecond
	// fullRetry is when a caller may come back after a refusal for load: a
	// server's slot turns over about twice a second.
	fullRetry = 500 * time.Millisecond
	// startRetry is when a caller may come back to a host without a
	// configuration.
	startRetry = 300 * time.Millisecond
	// defaultAttempts counts if a route does not say how many servers may
	// run a request.
	defaultAttempts = 1
	// maxRefusals bounds the servers that refuse one request.
	maxRefusals = 3
)

// Config configures a Proxy. All fields are required.
type Config struct {
	Timer    core.Timer
	Backends core.Backends
	Picker   *picker.Picker
	Limiter  *quota.Limiter
	Budget   *retry.Budget
	// CurrentTable returns the table in force, or nil before the first one.
	CurrentTable func() *routes.Table
	// BorrowTokens asks another host for tokens of a workspace's rate. It reports
	// whether the request that asked got one.
	BorrowTokens func(context.Context, core.WorkspaceID) bool
}

// AccessRecord says how a request was decided, for logs and metrics.
type AccessRecord struct {
	Version   uint64 // of the configuration that decided
	Route     string
	Workspace core.WorkspaceID
	Class     core.Class
	Service   core.ServiceID
	Servers   []core.ServerID // servers that were tried, in order
	Status    int
	Code      codes.Code // OK if a server's answer was passed on
	Reason    string     // of a refusal or failure
	WaitTime  time.Duration
	Duration  time.Duration
}

// Proxy serves calls. It is safe for concurrent use.
type Proxy struct {
	cfg    Config
	splits splits
}

// New returns a proxy.
func New(cfg Config) *Proxy {
	return &Proxy{cfg: cfg, splits: splits{sent: make(map[string][]float64)}}
}

// job is one call on its way.
type job struct {
	*Proxy
	call   *core.Call
	table  *routes.Table
	rule   *core.RoutingRule
	holder *core.WorkspaceConfig
	due    time.Duration // when the final answer is due
	failed *core.Reply   // a server's own failure, passed on if no other server does better
	record AccessRecord
}

// Serve runs one call and always returns an answer. The context ends when
// the caller leaves.
func (p *Proxy) Serve(ctx context.Context, c *core.Call) (*core.Reply, AccessRecord) {
	j := &job{Proxy: p, call: c}
	reply, err := j.run(ctx)
	if err != nil {
		reply = j.refusal(err)
	}
	j.record.Status = reply.Status
	j.record.Duration = p.cfg.Timer.Now() - c.Arrived
	return reply, j.record
}

func (j *job) run(ctx context.Context) (*core.Reply, error) {
	if err := j.admit(ctx); err != nil {
		return nil, err
	}
	j.record.Service = j.splits.next(j.rule)
	j.cfg.Budget.Deposit(j.record.Service)
	reply, err := j.attempts(ctx)
	if err != nil && j.failed != nil {
		return j.failed, nil
	}
	if err != nil && notRun(codes.Of(err)) && j.holder != nil {
		j.cfg.Limiter.Refund(j.holder.Name)
	}
	return reply, err
}

// admit finds the route and workspace and takes the request from the rate.
func (j *job) admit(ctx context.Context) error {
	j.table = j.cfg.CurrentTable()
	if j.table == nil {
		return codes.New(codes.NoConfig, "proxy: no configuration yet")
	}
	j.record.Version = j.table.Version
	j.rule = j.table.Match(j.call.Host, j.call.Path)
	if j.rule == nil {
		return codes.New(codes.RouteUnknown, "proxy: no route for this host and path")
	}
	j.record.Route, j.record.Class = j.rule.Name, j.rule.Class
	j.due = j.call.Arrived + j.rule.Timeout
	if j.call.Timeout > 0 {
		j.due = min(j.due, j.call.Arrived+j.call.Timeout)
	}
	if j.rule.Access == core.AccessOpen || !j.table.RequiresKey() {
		return nil
	}
	if j.call.APIKey == "" {
		return codes.New(codes.KeyMissing, "proxy: this route needs a key")
	}
	j.holder = j.table.WorkspaceOf(j.call.APIKey)
	if j.holder == nil {
		return codes.New(codes.KeyUnknown, "proxy: unknown key")
	}
	j.record.Workspace = j.holder.Name
	wait, ok := j.cfg.Limiter.Take(j.holder.Name)
	if !ok && !j.cfg.BorrowTokens(ctx, j.holder.Name) {
		return &limited{error: codes.New(codes.RateExceeded, "proxy: workspace is over its rate"), wait: wait}
	}
	return nil
}

// limited is a refusal with the time after which the caller may come back.
type limited struct {
	error
	wait time.Duration
}

// Unwrap returns the coded error.
func (l *limited) Unwrap() error { return l.error }

// ask says what kind of server the request needs.
func (j *job) ask() picker.Request {
	homes, bound := routes.HomeRegions(j.rule, j.holder)
	object := j.call.AffinityKey
	if object == "" || !j.rule.Sticky {
		object = j.call.RequestID
	}
	return picker.Request{
		Service: j.record.Service, Object: j.rule.Prefix + object, Homes: homes, HomesOnly: bound, Exclude: j.record.Servers,
		Sticky: j.rule.Sticky && j.call.AffinityKey != "", MaxLatency: j.patience(),
		LargeAnswer: j.rule.Class == core.ClassDownload,
	}
}

// patience returns how long the answer may still take to be of full use.
func (j *job) patience() time.Duration {
	return j.call.Arrived + j.rule.LatencyTarget - j.cfg.Timer.Now()
}

// acquire chooses a server, and waits a moment for one if all are full.
func (j *job) acquire(ctx context.Context) (*picker.Lease, error) {
	until := min(j.call.Arrived+time.Duration(holdPart*float64(j.rule.LatencyTarget)), j.due)
	for {
		lease, err := j.cfg.Picker.Acquire(j.ask())
		if err == nil || j.cfg.Timer.Now()+holdStep > until {
			j.record.WaitTime = j.cfg.Timer.Now() - j.call.Arrived
			return lease, err
		}
		select {
		case <-ctx.Done():
			return nil, codes.New(codes.RequestBad, "proxy: caller left")
		case <-j.cfg.Timer.After(holdStep):
		}
	}
}

// attempts sends the request to servers until one answers. A request that
// may have run is only repeated if it is idempotent.
func (j *job) attempts(ctx context.Context) (*core.Reply, error) {
	runs := j.rule.MaxAttempts
	if runs <= 0 {
		runs = defaultAttempts
	}
	var last error
	maybe := 0 // servers that may have run the request
	for refused := 0; refused < maxRefusals && maybe < runs; {
		lease, err := j.acquire(ctx)
		if err != nil {
			return nil, j.giveUp(maybe, last, err)
		}
		if len(j.record.Servers) > 0 && !j.cfg.Budget.Withdraw(j.record.Service) {
			lease.Release(picker.OutcomeCancelled, nil)
			return nil, j.giveUp(maybe, last, codes.New(codes.NoCapacity, "proxy: retry budget is spent"))
		}
		j.record.Servers = append(j.record.Servers, lease.Name)
		reply, state, err := j.send(ctx, lease)
		if err == nil {
			return reply, nil
		}
		last = err
		switch {
		case state == core.SendUnknown:
			maybe++
			if j.rule.Kind == core.RouteOrder {
				return nil, last
			}
		default:
			refused++
		}
		if ctx.Err() != nil || j.cfg.Timer.Now() >= j.due {
			break
		}
	}
	return nil, j.giveUp(maybe, last, last)
}

// giveUp chooses the final error: a request that a server may have run ends
// with the error of that server, and not with a promise that it has not run.
func (j *job) giveUp(maybe int, last, err error) error {
	if maybe > 0 && notRun(codes.Of(err)) {
		if last != nil && !notRun(codes.Of(last)) {
			return last
		}
		return codes.Wrap(err, codes.ServerFailed, "proxy: an earlier server failed")
	}
	return err
}

// send sends the request to one server.
func (j *job) send(ctx context.Context, lease *picker.Lease) (*core.Reply, core.SendState, error) {
	left := j.due - j.cfg.Timer.Now()
	if j.rule.Kind == core.RouteOrder {
		// An order that was sent goes on when its caller leaves: breaking it
		// off does not undo it.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	forward := core.ForwardInfo{Server: lease.Name, Workspace: j.record.Workspace, TimeLeft: left}
	reply, meta, err := j.cfg.Backends.Exchange(ctx, lease.Instance, j.call, forward)
	var load *picker.Load
	if meta.HasLoad {
		load = &picker.Load{Running: meta.Running, Queued: meta.Waiting}
	}
	if err == nil {
		return j.answered(lease, reply, load)
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
	case ctx.Err() != nil && j.cfg.Timer.Now() >= j.due:
		end, code = picker.OutcomeCancelled, codes.RequestDeadline
	case ctx.Err() != nil:
		end = picker.OutcomeCancelled
	}
	lease.Release(end, load)
	return nil, failed.State, codes.Wrap(failed, code, "proxy: server %s", lease.Name)
}

// answered takes in a server's answer. An idempotent request that the server
// failed may be tried elsewhere.
func (j *job) answered(lease *picker.Lease, reply *core.Reply, load *picker.Load) (*core.Reply, core.SendState, error) {
	lease.Release(picker.OutcomeAnswered, load)
	left := j.due - j.cfg.Timer.Now()
	retry := reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusGatewayTimeout &&
		j.rule.Kind == core.RouteIdempotent && len(j.record.Servers) < j.rule.MaxAttempts &&
		reply.BodyRest == nil && left > j.rule.Timeout/4 && j.call.BodyRest == nil
	if !retry {
		return reply, core.SendUnknown, nil
	}
	j.failed = reply
	return nil, core.SendUnknown, codes.New(codes.ServerFailed, "proxy: server %s answered %d", lease.Name, reply.Status)
}

// notRun reports whether a code promises that no server ran the request.
func notRun(c codes.Code) bool {
	switch c {
	case codes.NoConfig, codes.NoServer, codes.NoCapacity, codes.RateExceeded:
		return true
	}
	return false
}

// statuses of the codes with which the proxy ends a request.
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
}

// refusal builds the answer of a request that ends with an error.
func (j *job) refusal(err error) *core.Reply {
	code := codes.Of(err)
	j.record.Code, j.record.Reason = code, err.Error()
	status := statuses[code]
	if status == 0 {
		status = http.StatusBadGateway
	}
	reply := ErrorReply(status, code, err)
	wait := time.Duration(0)
	var over *limited
	switch {
	case errors.As(err, &over):
		wait = over.wait
	case code == codes.NoConfig:
		wait = startRetry
	case notRun(code):
		wait = fullRetry
	}
	if wait > 0 {
		reply.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return reply
}

// ErrorReply builds an answer of the host's own.
func ErrorReply(status int, code codes.Code, err error) *core.Reply {
	// A map of a number and a string always encodes.
	body, _ := json.Marshal(map[string]any{"code": int(code), "error": err.Error()})
	h := http.Header{"Content-Type": {"application/json"}}
	return &core.Reply{Status: status, Header: h, Body: body, ContentLength: int64(len(body))}
}
