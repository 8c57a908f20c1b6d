package client_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/client"
	"azurering/core/codes"
)

const (
	hostA = "127.0.0.1:1001"
	hostB = "127.0.0.1:1002"
)

// step is what a scripted entry host does with one request.
type step func(*http.Request) (*http.Response, error)

// fleet stands for entry hosts that follow a script, one step for each
// request whatever host gets it; the last step repeats. It is an
// http.RoundTripper, so that calls run in virtual time.
type fleet struct {
	mu       sync.Mutex
	script   []step
	lookup   step // nil names hostA and hostB for 10 s
	lookups  int
	visited  []string
	keys     []string // idempotency keys
	deadline string
}

func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	next := f.lookup
	if r.URL.Path == "/v1/hosts" {
		f.lookups++
		if next == nil {
			next = names(10, hostA, hostB)
		}
	} else {
		next = f.script[min(len(f.visited), len(f.script)-1)]
		f.visited = append(f.visited, r.URL.Host)
		f.keys = append(f.keys, r.Header.Get("Idempotency-Key"))
		f.deadline = r.Header.Get("Azurering-Deadline")
	}
	f.mu.Unlock()
	return next(r)
}

func answer(status int, header http.Header, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Status: strconv.Itoa(status), Header: header, Body: io.NopCloser(body)}
}

func names(life float64, hosts ...string) step {
	var list []string
	for _, h := range hosts {
		list = append(list, fmt.Sprintf(`{"address":%q}`, h))
	}
	body := fmt.Sprintf(`{"lifetime":%g,"hosts":[%s]}`, life, strings.Join(list, ","))
	return func(*http.Request) (*http.Response, error) {
		return answer(200, http.Header{}, strings.NewReader(body)), nil
	}
}

func done(*http.Request) (*http.Response, error) {
	return answer(201, http.Header{"Azurering-Run": {"done"}}, strings.NewReader("job 17")), nil
}

func refused(code codes.Code, run string) step { return refusedFor(code, run, "") }

func refusedFor(code codes.Code, run, after string) step {
	return func(*http.Request) (*http.Response, error) {
		h := http.Header{"Azurering-Code": {strconv.Itoa(int(code))}, "Azurering-Run": {run}, "Retry-After": {after}}
		return answer(503, h, strings.NewReader(`{"message":"scripted"}`)), nil
	}
}

func dead(*http.Request) (*http.Response, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
}

// reset loses the connection after the request went out.
func reset(r *http.Request) (*http.Response, error) {
	connect(r)
	return nil, &net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection reset")}
}

// redialed loses a connection and fails to make the next one.
func redialed(r *http.Request) (*http.Response, error) {
	connect(r)
	return dead(r)
}

func connect(r *http.Request) {
	// Look-ups are not traced.
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
}

func cut(*http.Request) (*http.Response, error) {
	body := io.MultiReader(strings.NewReader("job"), brokenReader{})
	return answer(201, http.Header{"Azurering-Run": {"done"}}, body), nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// silent answers only when the caller gives up.
func silent(r *http.Request) (*http.Response, error) {
	connect(r)
	<-r.Context().Done()
	return nil, r.Context().Err()
}

func proxyError(*http.Request) (*http.Response, error) {
	return answer(502, http.Header{}, strings.NewReader("<html>")), nil
}

func large(*http.Request) (*http.Response, error) {
	return answer(200, http.Header{"Azurering-Run": {"done"}}, strings.NewReader(strings.Repeat("x", 101))), nil
}

func redirect(*http.Request) (*http.Response, error) {
	return answer(302, http.Header{"Azurering-Run": {"done"}, "Location": {"http://127.0.0.1:1/elsewhere"}}, strings.NewReader("")), nil
}

func newClient(t *testing.T, f *fleet) *client.Client {
	t.Helper()
	c, err := client.New(client.Config{
		EntryHosts: []string{hostA, hostB}, Key: "secret", HTTPClient: &http.Client{Transport: f}, MaxResponseBytes: 100, MaxAttempts: 4,
	})
	require.NoError(t, err)
	return c
}

// Guards against a call that gives up too early, repeats what must not be
// repeated, or says "not run" although an attempt may have run.
func TestOutcomes(t *testing.T) {
	notRun, unknown := client.RunNone, client.RunUnknown
	for name, c := range map[string]struct {
		script []step
		status int    // of the answer; zero means an error
		run    string // of the error
		code   codes.Code
		tries  int
	}{
		"first host answers":             {[]step{done}, 201, "", 0, 1},
		"dead host, then done":           {[]step{dead, done}, 201, "", 0, 2},
		"all dead":                       {[]step{dead}, 0, notRun, codes.PeerDown, 4},
		"reset, then done":               {[]step{reset, done}, 201, "", 0, 2},
		"reset, then dead":               {[]step{reset, dead}, 0, unknown, codes.PeerDown, 4},
		"dead, then reset":               {[]step{dead, reset, dead}, 0, unknown, codes.PeerDown, 4},
		"lost after a connection":        {[]step{redialed}, 0, unknown, codes.PeerDown, 4},
		"cut answer, then done":          {[]step{cut, done}, 201, "", 0, 2},
		"cut answers":                    {[]step{cut}, 0, unknown, codes.ServerCut, 4},
		"not run, then done":             {[]step{refused(codes.OrderNotRun, "not-run"), done}, 201, "", 0, 2},
		"not run":                        {[]step{refused(codes.OrderNotRun, "not-run")}, 0, notRun, codes.OrderNotRun, 4},
		"reset, then not run":            {[]step{reset, refused(codes.OrderNotRun, "not-run")}, 0, unknown, codes.OrderNotRun, 4},
		"reset, then withdrawn key":      {[]step{reset, refused(codes.KeyWithdrawn, "not-run")}, 0, unknown, codes.KeyWithdrawn, 2},
		"running, then not run":          {[]step{refused(codes.OrderRunning, "running"), refused(codes.KeyUnknown, "not-run")}, 0, unknown, codes.KeyUnknown, 2},
		"running, then done":             {[]step{refused(codes.OrderRunning, "running"), done}, 201, "", 0, 2},
		"running without a deadline":     {[]step{refused(codes.OrderRunning, "running")}, 0, client.RunRunning, codes.OrderRunning, 4},
		"unknown order":                  {[]step{refused(codes.OrderUnknown, "unknown")}, 0, unknown, codes.OrderUnknown, 1},
		"unknown key":                    {[]step{refused(codes.KeyUnknown, "not-run")}, 0, notRun, codes.KeyUnknown, 1},
		"leaving host, then done":        {[]step{refused(codes.HostLeaving, "not-run"), done}, 201, "", 0, 2},
		"proxy error":                    {[]step{proxyError}, 0, unknown, codes.PeerRefused, 4},
		"unknown word for run":           {[]step{refused(codes.KeyUnknown, "maybe")}, 0, unknown, codes.KeyUnknown, 1},
		"answer over the bound":          {[]step{large}, 0, client.RunDone, codes.RequestTooLarge, 1},
		"redirect is the answer":         {[]step{redirect}, 302, "", 0, 1},
		"retry-after beyond a minute":    {[]step{refusedFor(codes.RateExceeded, "not-run", "61")}, 0, notRun, codes.RateExceeded, 1},
		"retry-after that is no number":  {[]step{refusedFor(codes.RateExceeded, "not-run", "-5"), done}, 201, "", 0, 2},
		"refused for a second, then run": {[]step{refusedFor(codes.RateExceeded, "not-run", "1"), done}, 201, "", 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{script: c.script}
				resp, err := newClient(t, f).Do(context.Background(), client.Request{Service: "desk", Path: "/orders", Method: "POST", AtMostOnce: true})
				require.Len(t, f.visited, c.tries, "attempts")
				for _, key := range f.keys {
					require.Equal(t, f.keys[0], key, "idempotency keys must not change")
				}
				require.NotEmpty(t, f.keys[0])
				if c.status != 0 {
					require.NoError(t, err)
					require.Equal(t, c.status, resp.Status)
					require.Equal(t, c.tries, resp.Attempts)
					return
				}
				var failed *client.Error
				require.ErrorAs(t, err, &failed)
				require.Equal(t, c.run, failed.RunState)
				require.Equal(t, c.code, failed.Code)
				require.Equal(t, f.keys[0], failed.IdempotencyKey)
				require.Equal(t, c.tries, failed.Attempts)
			})
		})
	}
}

// Guards against attempts that stay on a failed host.
func TestFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{script: []step{dead, dead, done}}
		_, err := newClient(t, f).Do(context.Background(), client.Request{Service: "desk", Path: "/"})
		require.NoError(t, err)
		require.Equal(t, []string{hostA, hostB, hostA}, f.visited)
		require.Equal(t, "", f.keys[0], "only orders have an idempotency key")
	})
}

// Guards against a call that outlives its deadline, that stops asking for a
// running order before it, or that ignores what the host asked to wait.
func TestDeadlines(t *testing.T) {
	for name, c := range map[string]struct {
		script []step
		run    string
		code   codes.Code
		least  time.Duration // virtual time that the call takes at least
		most   time.Duration
	}{
		"silent host":              {[]step{silent}, client.RunUnknown, codes.RequestDeadline, 20 * time.Second, 20 * time.Second},
		"running order":            {[]step{refused(codes.OrderRunning, "running")}, client.RunRunning, codes.OrderRunning, 16 * time.Second, 20 * time.Second},
		"retry-after too late":     {[]step{refusedFor(codes.RateExceeded, "not-run", "30")}, client.RunNone, codes.RateExceeded, 0, time.Second},
		"retry-after is respected": {[]step{refusedFor(codes.RateExceeded, "not-run", "5")}, client.RunNone, codes.RateExceeded, 15 * time.Second, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				start := time.Now()
				f := &fleet{script: c.script}
				_, err := newClient(t, f).Do(ctx, client.Request{Service: "desk", Path: "/orders", AtMostOnce: true})
				var failed *client.Error
				require.ErrorAs(t, err, &failed)
				require.Equal(t, c.run, failed.RunState)
				require.Equal(t, c.code, failed.Code)
				took := time.Since(start)
				require.True(t, took >= c.least && took <= c.most, "took %s", took)
				ms, err := strconv.Atoi(f.deadline)
				require.NoError(t, err)
				require.LessOrEqual(t, ms, 20000)
			})
		})
	}
}

// Guards against a cache that outlives its lifetime or is not used, and
// against answers to look-ups that are followed blindly.
func TestLookups(t *testing.T) {
	garbled := func(*http.Request) (*http.Response, error) {
		return answer(200, http.Header{}, strings.NewReader(strings.Repeat(" ", 2<<20)+`{"lifetime":60,"hosts":[{"address":"127.0.0.1:9"}]}`)), nil
	}
	for name, c := range map[string]struct {
		lookup step
		life   time.Duration // expected lifetime; zero means not cached
		hosts  []string
	}{
		"lifetime":           {names(10, hostB), 10 * time.Second, []string{hostB}},
		"no lifetime":        {names(0, hostB), time.Second, []string{hostB}},
		"huge lifetime":      {names(1e300, hostB), time.Hour, []string{hostB}},
		"negative lifetime":  {names(-1e300, hostB), time.Second, []string{hostB}},
		"unusable addresses": {names(10, "evil/", "x:y@127.0.0.1:1", hostB), 10 * time.Second, []string{hostB}},
		"no host":            {names(10), 0, []string{hostA, hostB}},
		"over the bound":     {garbled, 0, []string{hostA, hostB}},
		"no host answers":    {dead, 0, []string{hostA, hostB}},
		"refused":            {refused(codes.NoConfig, "not-run"), 0, []string{hostA, hostB}},
		"paused host":        {silent, 0, []string{hostA, hostB}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{lookup: c.lookup}
				cl := newClient(t, f)
				require.Equal(t, c.hosts, cl.EntryHosts(t.Context(), "desk"))
				if c.life == 0 {
					require.Equal(t, 2, f.lookups, "every entry is asked")
					return
				}
				time.Sleep(c.life - time.Millisecond)
				cl.EntryHosts(t.Context(), "desk")[0] = "changed"
				require.Equal(t, 1, f.lookups, "before the end of the lifetime")
				f.lookup = dead
				time.Sleep(time.Millisecond)
				require.Equal(t, c.hosts, cl.EntryHosts(t.Context(), "desk"), "an expired look-up is better than none")
				require.Greater(t, f.lookups, 1, "after the lifetime")
			})
		})
	}
}

// Guards against a burst of look-ups when a cached one expires, and against
// a leaving host that stays in the cache.
func TestSharedLookup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(r *http.Request) (*http.Response, error) {
			time.Sleep(time.Second)
			return names(10, hostA)(r)
		}
		f := &fleet{lookup: slow, script: []step{done, refused(codes.HostLeaving, "not-run"), done}}
		cl := newClient(t, f)
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() { cl.EntryHosts(t.Context(), "desk") })
		}
		all.Wait()
		require.Equal(t, 1, f.lookups)
		_, err := cl.Do(t.Context(), client.Request{Service: "desk", Path: "/"})
		require.NoError(t, err)
		require.Equal(t, 1, f.lookups)
		_, err = cl.Do(t.Context(), client.Request{Service: "desk", Path: "/"})
		require.NoError(t, err)
		require.Equal(t, 2, f.lookups, "a leaving host ends the cached look-up")
	})
}

// Guards against requests that go to another service or carry a wrong key.
func TestBadUsage(t *testing.T) {
	for _, cfg := range []client.Config{
		{},
		{EntryHosts: []string{"entry.example"}},
		{EntryHosts: []string{hostA}, MaxAttempts: -1},
		{EntryHosts: []string{hostA}, Scheme: "ftp"},
	} {
		_, err := client.New(cfg)
		require.Equal(t, codes.UsageBad, codes.Of(err))
	}
	f := &fleet{script: []step{done}}
	cl := newClient(t, f)
	for _, r := range []client.Request{{Service: "desk", Path: "orders"}, {Path: "/"}, {Service: "desk", Path: "/", Method: "A B"}} {
		_, err := cl.Do(t.Context(), r)
		var failed *client.Error
		require.ErrorAs(t, err, &failed)
		require.Equal(t, codes.UsageBad, failed.Code)
		require.Equal(t, client.RunNone, failed.RunState)
	}
	require.Empty(t, f.visited)
}

// Guards against TLS that is not used or does not check the host.
func TestTLS(t *testing.T) {
	var address string
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/hosts" {
			_, _ = fmt.Fprintf(w, `{"lifetime":5,"hosts":[{"address":%q}]}`, address)
			return
		}
		w.Header().Set("Azurering-Run", "done")
		_, _ = io.WriteString(w, r.Header.Get("Authorization"))
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	defer server.Close()
	address = server.Listener.Addr().String()
	pool := x509.NewCertPool()
	pool.AddCert(server.Certificate())
	for name, c := range map[string]struct {
		config *tls.Config
		ok     bool
	}{
		"trusted":   {&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, true},
		"untrusted": {&tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS13}, false},
	} {
		t.Run(name, func(t *testing.T) {
			cl, err := client.New(client.Config{EntryHosts: []string{address}, Key: "secret", TLSConfig: c.config, MaxAttempts: 1})
			require.NoError(t, err)
			resp, err := cl.Do(t.Context(), client.Request{Service: "desk", Path: "/"})
			require.Equal(t, c.ok, err == nil, "%v", err)
			if c.ok {
				require.Equal(t, "Bearer secret", string(resp.Body))
			}
		})
	}
}
