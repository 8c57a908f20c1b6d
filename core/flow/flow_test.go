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

// lab is a flow over scripted parts.
type lab struct {
	keyError   error
	rateError  error
	capError   error
	poolError  error
	revoked    chan struct{}
	revokedBy  codes.Code
	sends      []core.SendState // failures of the servers, in order; then success
	remote     core.SendState   // failure of the remote, empty for success
	hasRemote  bool
	retries    int
	sent       []core.Request
	remoteSent int
	slots      int
	released   int
	orderError error
	orderCalls int
	onAdmit    func()
}

func (l *lab) Check(bearer string) (core.Grant, error) {
	if l.keyError != nil {
		return core.Grant{}, l.keyError
	}
	valid := func() error {
		select {
		case <-l.revoked:
			return codes.New(l.revokedBy, "lab: scripted")
		default:
			return nil
		}
	}
	return core.Grant{
		Key: "k", Workspace: core.WorkspaceID(bearer), Revoked: l.revoked, Err: valid, Release: func() { l.released++ },
	}, nil
}

func (l *lab) Admit(context.Context, core.WorkspaceID) error {
	if l.onAdmit != nil {
		l.onAdmit()
	}
	return l.rateError
}

func (l *lab) Take(string) error { return l.capError }

func (l *lab) Acquire(_ context.Context, p core.PickRequest) (core.Slot, error) {
	if l.poolError != nil {
		return nil, l.poolError
	}
	l.slots++
	return &slot{lab: l, server: core.Server{Name: core.ServerID(string(rune('a' + len(p.Tried))))}}, nil
}

func (l *lab) Retry(context.Context, core.Attempt) bool {
	l.retries--
	return l.retries >= 0
}

type slot struct {
	lab    *lab
	server core.Server
	done   bool
}

func (s *slot) Server() core.Server { return s.server }

func (s *slot) Release(core.Outcome) {
	if !s.done {
		s.lab.slots--
	}
	s.done = true
}

func (l *lab) Send(_ context.Context, _ core.Server, r core.Request) (core.Response, error) {
	l.sent = append(l.sent, r)
	if len(l.sends) > 0 {
		state := l.sends[0]
		l.sends = l.sends[1:]
		return core.Response{}, &core.SendError{State: state, Cause: errors.New("scripted")}
	}
	return ok(), nil
}

func ok() core.Response {
	return core.Response{Status: http.StatusOK, Length: 4, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("body"))}
}

func (l *lab) Probe(context.Context, core.Server) (core.Health, error) { return core.Health{}, nil }

type remote struct{ lab *lab }

func (r remote) Send(context.Context, core.Request, core.Class) (core.Response, error) {
	r.lab.remoteSent++
	if r.lab.remote != "" {
		return core.Response{}, &core.SendError{State: r.lab.remote, Cause: errors.New("scripted")}
	}
	return ok(), nil
}

// Do is an order book that only checks that an order is sent once.
func (l *lab) Do(ctx context.Context, _ core.OrderRequest, send core.OrderSend) (core.OrderAnswer, error) {
	l.orderCalls++
	if l.orderError != nil {
		return core.OrderAnswer{}, l.orderError
	}
	answer, err := send(ctx)
	var se *core.SendError
	if errors.As(err, &se) {
		if se.State == core.SendUnknown {
			return answer, codes.New(codes.OrderUnknown, "lab: unknown")
		}
		return answer, codes.New(codes.OrderNotRun, "lab: not run")
	}
	return answer, err
}

func (l *lab) flow() *flow.Handler {
	cfg := flow.Config{Timer: timer.NewManual(), Keys: l, RateLimiter: l, ShiftLimiter: l, Picker: l, Orders: l, Servers: l}
	if l.hasRemote {
		cfg.Remote = remote{l}
	}
	return flow.New(cfg)
}

func theSheet() core.Sheet {
	return core.Sheet{Services: []core.Service{{Name: "desk", Routes: []core.Route{
		{Path: "/q", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassLookup, Timeout: time.Minute},
		{Path: "/q/open", Access: core.AccessOpen, Kind: core.RouteIdempotent, Class: core.ClassLookup, Workspace: "public"},
		{Path: "/orders", Access: core.AccessKeyed, Kind: core.RouteOrder, Class: core.ClassOrder},
	}}}}
}

func call(method, path string) flow.Request {
	return flow.Request{Method: method, Service: "desk", Path: path, Key: "loft-a", IdempotencyKey: "o1"}
}

// Guards against requests that run where they must not, are sent more often
// than allowed, or are reported as not run although they may have run.
func TestServe(t *testing.T) {
	coded := func(c codes.Code) error { return codes.New(c, "lab: scripted") }
	for _, c := range []struct {
		name   string
		lab    lab
		call   flow.Request
		code   codes.Code
		notRun bool
		sent   int
		remote int
	}{
		{"look-up", lab{}, call("GET", "/q/1?x=1"), codes.OK, false, 1, 0},
		{"open route needs no key", lab{keyError: coded(codes.KeyMissing)}, call("GET", "/q/open/1"), codes.OK, false, 1, 0},
		{"unknown service", lab{}, flow.Request{Method: "GET", Service: "x", Path: "/q"}, codes.ServiceAbsent, true, 0, 0},
		{"prefix of a word is no route", lab{}, call("GET", "/quick"), codes.RouteUnknown, true, 0, 0},
		{"no key", lab{keyError: coded(codes.KeyMissing)}, call("GET", "/q"), codes.KeyMissing, true, 0, 0},
		{"over the rate", lab{rateError: coded(codes.RateExceeded)}, call("GET", "/q"), codes.RateExceeded, true, 0, 0},
		{"over the cap of a shift", lab{capError: coded(codes.ShiftCapped)}, call("GET", "/q"), codes.ShiftCapped, true, 0, 0},
		{"no server", lab{poolError: coded(codes.NoServer)}, call("GET", "/q"), codes.NoServer, true, 0, 0},
		{"look-up is tried elsewhere", lab{retries: 9, sends: []core.SendState{core.SendUnknown, core.SendNotSent}}, call("GET", "/q"), codes.OK, false, 3, 0},
		{"retry budget is used up", lab{sends: []core.SendState{core.SendUnknown}}, call("GET", "/q"), codes.ServerFailed, false, 1, 0},
		{"tries are bounded", lab{retries: 9, sends: []core.SendState{"none", "none", "none", "none"}}, call("GET", "/q"), codes.ServerFailed, true, 3, 0},
		{"an uncertain try stays uncertain", lab{retries: 9, sends: []core.SendState{"maybe", "none", "none"}}, call("GET", "/q"), codes.ServerFailed, false, 3, 0},
		{"other domain helps out", lab{hasRemote: true, poolError: coded(codes.NoCapacity)}, call("GET", "/q"), codes.OK, false, 0, 1},
		{"other domain has nothing either", lab{hasRemote: true, remote: core.SendNotSent, poolError: coded(codes.NoCapacity)}, call("GET", "/q"), codes.ServerFailed, true, 0, 1},
		{"order", lab{}, call("POST", "/orders"), codes.OK, false, 1, 0},
		{"order with GET", lab{}, call("GET", "/orders"), codes.RequestBad, true, 0, 0},
		{"order without a key", lab{}, flow.Request{Method: "POST", Service: "desk", Path: "/orders"}, codes.OrderKeyMissing, true, 0, 0},
		{"order not sent is tried elsewhere", lab{retries: 9, sends: []core.SendState{core.SendNotSent, core.SendRefused}}, call("POST", "/orders"), codes.OK, false, 3, 0},
		{"order perhaps sent is not repeated", lab{retries: 9, hasRemote: true, sends: []core.SendState{core.SendUnknown}}, call("POST", "/orders"), codes.OrderUnknown, false, 1, 0},
		{"order not run", lab{sends: []core.SendState{core.SendNotSent}}, call("POST", "/orders"), codes.OrderNotRun, true, 1, 0},
		{"order runs elsewhere", lab{orderError: coded(codes.OrderRunning)}, call("POST", "/orders"), codes.OrderRunning, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer, err := c.lab.flow().Serve(context.Background(), theSheet(), c.call)
			require.Equal(t, c.code, codes.Of(err), "%v", err)
			require.Equal(t, c.notRun, flow.NotExecuted(err))
			require.Len(t, c.lab.sent, c.sent)
			require.Equal(t, c.remote, c.lab.remoteSent)
			if err == nil {
				body, err := io.ReadAll(answer.Body)
				require.NoError(t, err)
				require.Equal(t, "body", string(body))
				require.NoError(t, answer.Body.Close())
			}
			require.Zero(t, c.lab.slots, "a slot was not given back")
		})
	}
}

// Guards against a request that starts with a key that stopped being valid
// while the request waited for its rate, and against a refusal that calls a
// key withdrawn when the host has only lost its proof.
func TestKeyEndsWhileWaiting(t *testing.T) {
	for _, code := range []codes.Code{codes.KeyWithdrawn, codes.KeyUnproven} {
		l := lab{revoked: make(chan struct{}), revokedBy: code}
		l.onAdmit = func() { close(l.revoked) }
		_, err := l.flow().Serve(context.Background(), theSheet(), call("GET", "/q"))
		require.Equal(t, code, codes.Of(err))
		require.Empty(t, l.sent)
		require.Equal(t, 1, l.released)
	}
}

// Guards against an order that is cut because its caller lost the
// connection: the caller must find the answer recorded when it returns.
func TestOrderOutlivesItsCaller(t *testing.T) {
	l := lab{}
	ctx, cancel := context.WithCancel(context.Background())
	l.onAdmit = cancel
	_, err := l.flow().Serve(ctx, theSheet(), call("POST", "/orders"))
	require.NoError(t, err)
	require.Equal(t, 1, l.orderCalls)
}
