package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/config"
	"azurering/core/flow"
	"azurering/core/timer"
	"azurering/io/caller"
	"azurering/io/metric"
)

const (
	secret   = "key-of-loft-a"
	otherKey = "key-of-loft-b" // known, but not sent as the bearer
)

// lab is a caller interface over a scripted backend server.
type lab struct {
	ready, leaving bool
	revoked        chan struct{}
	answer         func() core.Response
	failure        error
	seen           core.Request
	admitError     error
}

func (l *lab) Check(bearer string) (core.Grant, error) {
	if bearer != secret {
		return core.Grant{}, codes.New(codes.KeyUnknown, "lab: unknown key")
	}
	valid := func() error {
		select {
		case <-l.revoked:
			return codes.New(codes.KeyWithdrawn, "lab: withdrawn")
		default:
			return nil
		}
	}
	return core.Grant{Workspace: "loft-a", Revoked: l.revoked, Err: valid, Release: func() {}}, nil
}

func (l *lab) Admit(context.Context, core.WorkspaceID) error { return l.admitError }

func (l *lab) Take(string) error { return nil }

func (l *lab) Acquire(context.Context, core.PickRequest) (core.Slot, error) { return l, nil }

func (l *lab) Retry(context.Context, core.Attempt) bool { return false }

func (l *lab) Server() core.Server { return core.Server{} }

func (l *lab) Release(core.Outcome) {}

func (l *lab) Do(ctx context.Context, _ core.OrderRequest, send core.OrderSend) (core.OrderAnswer, error) {
	return send(ctx)
}

func (l *lab) Send(_ context.Context, _ core.Server, r core.Request) (core.Response, error) {
	l.seen = r
	if l.failure != nil {
		return core.Response{}, l.failure
	}
	return l.answer(), nil
}

func (l *lab) Probe(context.Context, core.Server) (core.Health, error) { return core.Health{}, nil }

func start(t testing.TB, l *lab) *httptest.Server {
	t.Helper()
	if l.answer == nil {
		l.answer = func() core.Response { return text("hello", 5) }
	}
	metrics, err := metric.New()
	require.NoError(t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	sheet := core.Sheet{Services: []core.Service{{Name: "desk", Routes: []core.Route{
		{Path: "/", Access: core.AccessKeyed, Kind: core.RouteIdempotent, Class: core.ClassLookup},
		{Path: "/open", Access: core.AccessOpen, Kind: core.RouteIdempotent, Class: core.ClassLookup, Workspace: "public"},
		{Path: "/orders", Access: core.AccessKeyed, Kind: core.RouteOrder, Class: core.ClassOrder},
	}}}}
	h := caller.New(caller.Config{
		State:     func() config.State { return config.State{Version: 7, Sheet: sheet} },
		HasConfig: func() bool { return l.ready }, ShuttingDown: func() bool { return l.leaving },
		Lookup: func(a netip.Addr, s core.ServiceID) ([]caller.EntryHost, time.Duration, error) {
			if s == "none" {
				return nil, 0, codes.New(codes.ServiceAbsent, "lab: no such service")
			}
			return []caller.EntryHost{{Host: "h1", Domain: "d1", Address: a.String()}}, 10 * time.Second, nil
		},
		IsKey:   func(s string) bool { return s == secret || s == otherKey },
		Flow:    flow.New(flow.Config{Timer: timer.NewManual(), Keys: l, RateLimiter: l, ShiftLimiter: l, Picker: l, Orders: l, Servers: l}),
		Metrics: metrics, Log: log, MaxBodyBytes: 100, StallTimeout: 200 * time.Millisecond,
	})
	s := httptest.NewUnstartedServer(h)
	s.Config = caller.NewServer(context.Background(), h, 2048, 200*time.Millisecond)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func text(body string, length int64) core.Response {
	return core.Response{Status: 200, Length: length, Header: http.Header{"X-Own": {"yes"}}, Body: io.NopCloser(strings.NewReader(body))}
}

func do(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+secret)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(raw)
}

// Guards against refusals without a code, with a wrong code, or with a
// wrong claim that the request did not run.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name         string
		lab          lab
		method, path string
		body         string
		headers      []string
		status       int
		code         codes.Code
		run          string
	}{
		{"no configuration", lab{}, "GET", "/s/desk/q", "", nil, 503, codes.NoConfig, "not-run"},
		{"host leaving", lab{ready: true, leaving: true}, "GET", "/s/desk/q", "", nil, 503, codes.HostLeaving, "not-run"},
		{"unknown path", lab{ready: true}, "GET", "/x", "", nil, 404, codes.RouteUnknown, "not-run"},
		{"unknown service", lab{ready: true}, "GET", "/s/other/q", "", nil, 404, codes.ServiceAbsent, "not-run"},
		{"wrong key", lab{ready: true}, "GET", "/s/desk/q", "", []string{"Authorization", "Bearer x"}, 401, codes.KeyUnknown, "not-run"},
		{"deadline not a number", lab{ready: true}, "GET", "/s/desk/q", "", []string{"Azurering-Deadline", "soon"}, 400, codes.RequestBad, "not-run"},
		{"body too large", lab{ready: true}, "POST", "/s/desk/q", strings.Repeat("x", 101), nil, 413, codes.RequestTooLarge, "not-run"},
		{"order without a key", lab{ready: true}, "POST", "/s/desk/orders", "", nil, 400, codes.OrderKeyMissing, "not-run"},
		{"order key too long", lab{ready: true}, "POST", "/s/desk/orders", "", []string{"Idempotency-Key", strings.Repeat("x", 201)}, 400, codes.RequestBad, "not-run"},
		{"key in the path", lab{ready: true}, "GET", "/s/desk/q/" + secret, "", nil, 400, codes.RequestBad, "not-run"},
		{"dots in the path", lab{ready: true}, "GET", "/s/desk/open/%2e%2e/q", "", nil, 400, codes.RequestBad, "not-run"},
		{"over the rate", lab{ready: true, admitError: codes.New(codes.RateExceeded, "lab: rate")}, "GET", "/s/desk/q", "", nil, 429, codes.RateExceeded, "not-run"},
		{"server perhaps ran it", lab{ready: true, failure: &core.SendError{State: core.SendUnknown, Cause: errors.New("lab")}}, "GET", "/s/desk/q", "", nil, 502, codes.ServerFailed, "unknown"},
		{"server not reached", lab{ready: true, failure: &core.SendError{State: core.SendNotSent, Cause: errors.New("lab")}}, "GET", "/s/desk/q", "", nil, 502, codes.ServerFailed, "not-run"},
		{"look-up of an unknown service", lab{ready: true}, "GET", "/v1/hosts?service=none", "", nil, 404, codes.ServiceAbsent, "not-run"},
		{"look-up of a bad address", lab{ready: true}, "GET", "/v1/hosts?address=home", "", nil, 400, codes.RequestBad, "not-run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, &c.lab)
			resp, body := do(t, c.method, s.URL+c.path, c.body, c.headers...)
			require.Equal(t, c.status, resp.StatusCode, body)
			require.Equal(t, fmt.Sprint(int(c.code)), resp.Header.Get(caller.HeaderCode))
			require.Equal(t, c.run, resp.Header.Get(caller.HeaderRun))
			var parsed struct{ Code int }
			require.NoError(t, json.Unmarshal([]byte(body), &parsed))
			require.Equal(t, int(c.code), parsed.Code)
		})
	}
}

// Guards against a key in anything that goes on to a backend server, and
// against losing the parts of a request that are none.
func TestKeysAreRemoved(t *testing.T) {
	l := lab{ready: true}
	s := start(t, &l)
	resp, body := do(t, "GET", s.URL+"/s/desk/a%20b?x=1&access="+secret+"&y=2", "",
		"Cookie", "session="+secret, "X-Trace", "t1", "X-Note", "key "+secret, "X-Api-Key", secret,
		"Azurering-Workspace", "forged")
	require.Equal(t, 200, resp.StatusCode, body)
	require.Equal(t, "hello", body)
	require.Equal(t, "yes", resp.Header.Get("X-Own"))
	require.Equal(t, "/a%20b?x=1&y=2", l.seen.Path)
	require.Equal(t, core.WorkspaceID("loft-a"), l.seen.Workspace)
	require.Equal(t, "t1", l.seen.Header.Get("X-Trace"))
	require.NotContains(t, fmt.Sprint(l.seen.Header), secret)
	require.Empty(t, l.seen.Header.Get("Azurering-Workspace"))

	_, _ = do(t, "GET", s.URL+"/s/desk/open?t="+secret, "")
	require.Equal(t, "/open", l.seen.Path, "an open route gets no key either")
	require.Equal(t, core.WorkspaceID("public"), l.seen.Workspace)
}

// failing is a body that ends with an error after its text.
type failing struct{ io.Reader }

func (f failing) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (failing) Close() error { return nil }

// Guards against a cut answer that looks whole to the caller.
func TestCutAnswersAreCutAtTheCaller(t *testing.T) {
	for name, answer := range map[string]core.Response{
		"chunked":       {Status: 200, Length: -1, Header: http.Header{}, Body: failing{strings.NewReader("half")}},
		"with a length": {Status: 200, Length: 8, Header: http.Header{}, Body: failing{strings.NewReader("half")}},
		"short":         text("half", 8),
	} {
		t.Run(name, func(t *testing.T) {
			l := lab{ready: true, answer: func() core.Response { return answer }}
			s := start(t, &l)
			req, err := http.NewRequest("GET", s.URL+"/s/desk/q", nil)
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer "+secret)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return // the connection was cut before the headers
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

// Guards against a stream that goes on after its key was withdrawn, also
// while the backend server sends nothing.
func TestStreamEndsWhenKeyIsWithdrawn(t *testing.T) {
	reader, writer := io.Pipe()
	l := lab{ready: true, revoked: make(chan struct{}), answer: func() core.Response {
		return core.Response{Status: 200, Length: -1, Header: http.Header{}, Body: reader}
	}}
	s := start(t, &l)
	req, err := http.NewRequest("GET", s.URL+"/s/desk/q", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.WriteString(writer, "part")
	require.NoError(t, err)
	part := make([]byte, 4)
	_, err = io.ReadFull(resp.Body, part)
	require.NoError(t, err)
	close(l.revoked)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}

// Guards against callers that hold connections without sending anything.
func TestSlowCallersAreCut(t *testing.T) {
	l := lab{ready: true}
	s := start(t, &l)
	for name, opening := range map[string]string{
		"headers": "GET /s/desk/q HTTP/1.1\r\nHost: x\r\n",
		"body":    "POST /s/desk/q HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + secret + "\r\nContent-Length: 50\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, opening)
			require.NoError(t, err)
			// The connection ends by itself, with or without a refusal.
			_, err = io.Copy(io.Discard, bufio.NewReader(conn))
			require.NoError(t, err)
		})
	}
}

// Guards against look-ups without the lifetime that callers cache by.
func TestLookup(t *testing.T) {
	l := lab{ready: true}
	s := start(t, &l)
	resp, body := do(t, "GET", s.URL+"/v1/hosts?service=desk&address=10.1.2.3", "")
	require.Equal(t, "max-age=10", resp.Header.Get("Cache-Control"))
	require.JSONEq(t, `{"version":7,"lifetime":10,"hosts":[{"name":"h1","domain":"d1","address":"10.1.2.3"}]}`, body)
}
