package flow_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/flow"
	"azurering/core/timer"
)

// scripted implements all dependencies of a flow with scripted results.
type scripted struct {
	keyError      error
	rateError     error
	capError      error
	poolError     error
	revoked       chan struct{}
	revokedCode   codes.Code
	failures      []core.SendState // failures of the servers, in order; later requests succeed
	remoteFailure core.SendState   // failure of the remote, empty for success
	hasRemote     bool
	retryBudget   int
	sent          []core.Request
	remoteSends   int
	slotsInUse    int
	releases      int
	orderError    error
	orders        int
	onAdmit       func()
}

func (l *scripted) Check(bearer string) (core.Grant, error) {
	if l.keyError != nil {
		return core.Grant{}, l.keyError
	}
	valid := func() error {
		select {
		case <-l.revoked:
			return codes.New(l.revokedCode, "test: scripted error")
		default:
			return nil
		}
	}
	return core.Grant{
		Key: "k", Workspace: core.WorkspaceID(bearer), Revoked: l.revoked, Err: valid, Release: func() { l.releases++ },
	}, nil
}

func (l *scripted) Admit(context.Context, core.WorkspaceID) error {
	if l.onAdmit != nil {
		l.onAdmit()
	}
	return l.rateError
}

func (l *scripted) Take(string) error { return l.capError }

func (l *scripted) Acquire(_ context.Context, p core.PickRequest) (core.Slot, error) {
	if l.poolError != nil {
		return nil, l.poolError
	}
	l.slotsInUse++
	return &fakeSlot{deps: l, server: core.Server{Name: core.ServerID(string(rune('a' + len(p.Tried))))}}, nil
}

func (l *scripted) Retry(context.Context, core.Attempt) bool {
	l.retryBudget--
	return l.retryBudget >= 0
}

type fakeSlot struct {
	deps   *scripted
	server core.Server
	done   bool
}

func (s *fakeSlot) Server() core.Server { return s.server }

func (s *fakeSlot) Release(core.Outcome) {
	if !s.done {
		s.deps.slotsInUse--
	}
	s.done = true
}

func (l *scripted) Send(_ context.Context, _ core.Server, r core.Request) (core.Response, error) {
	l.sent = append(l.sent, r)
	if len(l.failures) > 0 {
		state := l.failures[0]
		l.failures = l.failures[1:]
		return core.Response{}, &core.SendError{State: state, Cause: errors.New("scripted error")}
	}
	return okResponse(), nil
}

func okResponse() core.Response {
	return core.Response{Status: http.StatusOK, Length: 4, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("body"))}
}

func (l *scripted) Probe(context.Context, core.Server) (core.Health, error) {
	return core.Health{}, nil
}

type fakeRemote struct{ deps *scripted }

func (r fakeRemote) Send(context.Context, core.Request, core.Class) (core.Response, error) {
	r.deps.remoteSends++
	if r.deps.remoteFailure != "" {
		return core.Response{}, &core.SendError{State: r.deps.remoteFailure, Cause: errors.New("scripted error")}
	}
	return okResponse(), nil
}

// Do implements core.Orders. It sends every order and records nothing.
func (l *scripted) Do(ctx context.Context, _ core.OrderRequest, send core.OrderSend) (core.OrderAnswer, error) {
	l.orders++
	if l.orderError != nil {
		return core.OrderAnswer{}, l.orderError
	}
	answer, err := send(ctx)
	var se *core.SendError
	if errors.As(err, &se) {
		if se.State == core.SendUnknown {
			return answer, codes.New(codes.OrderUnknown, "test: order may have run")
		}
		return answer, codes.New(codes.OrderNotRun, "test: order did not run")
	}
	return answer, err
}

func (l *scripted) newFlow() *flow.Handler {
	cfg := flow.Config{Timer: timer.NewManual(), Keys: l, RateLimiter: l, ShiftLimiter: l, Picker: l, Orders: l, Servers: l}
	if l.hasRemote {
		cfg.Remote = fakeRemote{l}
	}
	return flow.New(cfg)
}

func testSheet() core.Sheet {
	return core.Sheet{Services: []core.Service{{Name: "desk", Routes: []core.Route{
		{Path: "/q", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassLookup, Timeout: time.Minute},
		{Path: "/q/open", Access: core.AccessOpen, Kind: core.RouteIdempotent, Class: core.ClassLookup, Workspace: "public"},
		{Path: "/orders", Access: core.AccessKeyed, Kind: core.RouteOrder, Class: core.ClassOrder},
	}}}}
}

func newCall(method, path string) flow.Request {
	return flow.Request{Method: method, Service: "desk", Path: path, Key: "loft-a", IdempotencyKey: "o1"}
}

// Each refusal must stop a request before it is sent, retries must stay within
// their limits, and NotRun must not claim that a request was not executed if an
// attempt may have been.
func TestServe(t *testing.T) {
	errorWith := func(c codes.Code) error { return codes.New(c, "test: scripted error") }
	for _, c := range []struct {
		name   string
		deps   scripted
		call   flow.Request
		code   codes.Code
		notRun bool
		sent   int
		remote int
	}{
		{"look-up is sent once", scripted{}, newCall("GET", "/q/1?x=1"), codes.OK, false, 1, 0},
		{"open route needs no key", scripted{keyError: errorWith(codes.KeyMissing)}, newCall("GET", "/q/open/1"), codes.OK, false, 1, 0},
		{"unknown service is refused", scripted{}, flow.Request{Method: "GET", Service: "x", Path: "/q"}, codes.ServiceAbsent, true, 0, 0},
		{"prefix of a path segment does not match", scripted{}, newCall("GET", "/quick"), codes.RouteUnknown, true, 0, 0},
		{"missing key is refused", scripted{keyError: errorWith(codes.KeyMissing)}, newCall("GET", "/q"), codes.KeyMissing, true, 0, 0},
		{"rate limit refuses", scripted{rateError: errorWith(codes.RateExceeded)}, newCall("GET", "/q"), codes.RateExceeded, true, 0, 0},
		{"cap of a shift refuses", scripted{capError: errorWith(codes.ShiftCapped)}, newCall("GET", "/q"), codes.ShiftCapped, true, 0, 0},
		{"request fails without a server", scripted{poolError: errorWith(codes.NoServer)}, newCall("GET", "/q"), codes.NoServer, true, 0, 0},
		{"look-up is retried at other servers", scripted{retryBudget: 9, failures: []core.SendState{core.SendUnknown, core.SendNotSent}}, newCall("GET", "/q"), codes.OK, false, 3, 0},
		{"no retry without budget", scripted{failures: []core.SendState{core.SendUnknown}}, newCall("GET", "/q"), codes.ServerFailed, false, 1, 0},
		{"number of attempts is limited", scripted{retryBudget: 9, failures: []core.SendState{"none", "none", "none", "none"}}, newCall("GET", "/q"), codes.ServerFailed, true, 3, 0},
		{"request that may have run stays uncertain", scripted{retryBudget: 9, failures: []core.SendState{"maybe", "none", "none"}}, newCall("GET", "/q"), codes.ServerFailed, false, 3, 0},
		{"request overflows to another domain", scripted{hasRemote: true, poolError: errorWith(codes.NoCapacity)}, newCall("GET", "/q"), codes.OK, false, 0, 1},
		{"request fails if the remote send fails", scripted{hasRemote: true, remoteFailure: core.SendNotSent, poolError: errorWith(codes.NoCapacity)}, newCall("GET", "/q"), codes.ServerFailed, true, 0, 1},
		{"order is sent once", scripted{}, newCall("POST", "/orders"), codes.OK, false, 1, 0},
		{"order with GET is refused", scripted{}, newCall("GET", "/orders"), codes.RequestBad, true, 0, 0},
		{"order without an idempotency key is refused", scripted{}, flow.Request{Method: "POST", Service: "desk", Path: "/orders"}, codes.OrderKeyMissing, true, 0, 0},
		{"order that did not run is retried", scripted{retryBudget: 9, failures: []core.SendState{core.SendNotSent, core.SendRefused}}, newCall("POST", "/orders"), codes.OK, false, 3, 0},
		{"order that may have run is not retried", scripted{retryBudget: 9, hasRemote: true, failures: []core.SendState{core.SendUnknown}}, newCall("POST", "/orders"), codes.OrderUnknown, false, 1, 0},
		{"order reports that it did not run", scripted{failures: []core.SendState{core.SendNotSent}}, newCall("POST", "/orders"), codes.OrderNotRun, true, 1, 0},
		{"order that is already running is not sent", scripted{orderError: errorWith(codes.OrderRunning)}, newCall("POST", "/orders"), codes.OrderRunning, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer, err := c.deps.newFlow().Serve(context.Background(), testSheet(), c.call)
			require.Equal(t, c.code, codes.Of(err), "%v", err)
			require.Equal(t, c.notRun, flow.NotExecuted(err))
			require.Len(t, c.deps.sent, c.sent)
			require.Equal(t, c.remote, c.deps.remoteSends)
			if err == nil {
				body, err := io.ReadAll(answer.Body)
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
				require.NoError(t, answer.Body.Close())
			}
			require.Zero(t, c.deps.slotsInUse, "a slot was not released")
		})
	}
}

// A key may become invalid while its request waits in Admit. The request must
// not be sent then, and the error must tell a withdrawn key from one that the
// host can no longer prove valid.
func TestKeyRevokedDuringAdmission(t *testing.T) {
	for _, code := range []codes.Code{codes.KeyWithdrawn, codes.KeyUnproven} {
		l := scripted{revoked: make(chan struct{}), revokedCode: code}
		l.onAdmit = func() { close(l.revoked) }
		_, err := l.newFlow().Serve(context.Background(), testSheet(), newCall("GET", "/q"))
		require.Equal(t, code, codes.Of(err))
		require.Empty(t, l.sent)
		require.Equal(t, 1, l.releases)
	}
}

// An order must not be cancelled when its caller loses the connection: the
// caller expects to find the recorded answer when it retries.
func TestOrderContinuesWithoutCaller(t *testing.T) {
	l := scripted{}
	ctx, cancel := context.WithCancel(context.Background())
	l.onAdmit = cancel
	_, err := l.newFlow().Serve(ctx, testSheet(), newCall("POST", "/orders"))
	require.NoError(t, err)
	require.Equal(t, 1, l.orders)
}
