package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/picker"
	"azurering/core/proxy"
	"azurering/core/quota"
	"azurering/core/retry"
	"azurering/core/routes"
	"azurering/core/timer"
)

// fakeBackends answers each exchange with the next of its outcomes, and
// repeats the last one.
type fakeBackends struct {
	outcomes []outcome
	sent     []core.ForwardInfo
	clock    *timer.Manual
	// readsBody makes each exchange read a part of BodyRest.
	readsBody bool
}

type outcome struct {
	status int
	state  core.SendState // set for an exchange that fails
	meta   core.ReplyMeta
	took   time.Duration
	panics bool
}

func (b *fakeBackends) Exchange(_ context.Context, _ core.Instance, c *core.Call, f core.ForwardInfo) (*core.Reply, core.ReplyMeta, error) {
	if b.readsBody {
		_, _ = c.BodyRest.Read(make([]byte, 1))
	}
	o := b.outcomes[min(len(b.sent), len(b.outcomes)-1)]
	b.sent = append(b.sent, f)
	b.clock.Advance(o.took)
	if o.panics {
		panic("test")
	}
	if o.state != "" {
		return nil, o.meta, &core.SendError{State: o.state, Cause: errors.New("test")}
	}
	return &core.Reply{Status: o.status, Header: http.Header{}}, o.meta, nil
}

func (b *fakeBackends) CheckHealth(context.Context, core.Instance, string) (bool, core.ReplyMeta, error) {
	return true, core.ReplyMeta{}, nil
}

type testEnv struct {
	clock    *timer.Manual
	permits  []core.ServerID // servers for which a permit was asked
	permit   func(core.Instance) core.Permit
	backends *fakeBackends
	table    *routes.Table
	stop     time.Duration // end of the answers of a host that stops
	proxy    *proxy.Proxy

	lacksConfig bool
}

func newTestEnv(outcomes ...outcome) *testEnv {
	env := &testEnv{clock: timer.NewManual()}
	env.backends = &fakeBackends{outcomes: outcomes, clock: env.clock}
	rules := core.RoutingConfig{
		Version: 7,
		Routes: []core.RoutingRule{
			{Name: "lookup", Host: "h", Prefix: "/l/", Kind: core.RouteIdempotent, MaxAttempts: 2},
			{Name: "order", Host: "h", Prefix: "/o/", Kind: core.RouteOrder, MaxAttempts: 2},
			{Name: "open", Host: "h", Prefix: "/p/", Kind: core.RouteIdempotent, MaxAttempts: 2, Access: core.AccessOpen},
			{
				Name: "split", Host: "h", Prefix: "/s/", Kind: core.RouteIdempotent, MaxAttempts: 2,
				Split: []core.WeightedService{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}},
			},
		},
		Services:   []core.ServiceConfig{{Name: "s", ColdDuration: time.Second}, {Name: "t"}},
		Workspaces: []core.WorkspaceConfig{{Workspace: core.Workspace{Name: "w"}, Keys: []string{"k"}}, {Workspace: core.Workspace{Name: "slow", Rate: 1000, Burst: 1000}, Keys: []string{"k2"}}},
	}
	for i := range rules.Routes {
		r := &rules.Routes[i]
		r.Timeout, r.LatencyTarget = 2*time.Second, 600*time.Millisecond
		if r.Split == nil {
			r.Split = []core.WeightedService{{Service: "s", Weight: 1}}
		}
	}
	env.table = routes.Compile(rules)
	view := picker.New(picker.Config{
		Timer: env.clock, Host: "h1", Domain: "a", Region: "north", Regions: map[core.DomainID]core.RegionID{"a": "north"},
		DomainHosts: func(core.DomainID) []core.HostID { return nil }, Service: env.table.Service, RequestCheck: func(core.Instance) {},
	})
	for i := range 4 {
		for _, service := range []core.ServiceID{"s", "t", "u", "v", "w", "x"} {
			view.Update(core.Instance{
				Server: core.Server{Name: core.ServerID(fmt.Sprintf("%s-%d", service, i)), Service: service, Domain: "a", Address: "x", Slots: 50},
				State:  core.InstanceReady,
			})
		}
	}
	limiter := quota.New(quota.Config{Timer: env.clock})
	limiter.SetWorkspaces(env.table.Workspaces())
	budget := retry.New(retry.Config{Timer: env.clock, Ratio: 0.2, MinRetries: 64})
	budget.SetHosts(1)
	env.proxy = proxy.New(proxy.Config{
		Timer: env.clock, Backends: env.backends, Picker: view, Limiter: limiter,
		Budget: budget, CurrentTable: func() *routes.Table { return env.table },
		LacksConfig:  func() bool { return env.lacksConfig },
		BorrowTokens: func(context.Context, core.WorkspaceID) bool { return false },
		Permit: func(_ context.Context, i core.Instance) core.Permit {
			env.permits = append(env.permits, i.Name)
			return env.permit(i)
		},
		AnswersUntil: func() time.Duration { return env.stop },
	})
	return env
}

func (env *testEnv) serve(path string, change ...func(*core.Call)) (*core.Reply, proxy.AccessRecord) {
	c := &core.Call{RequestID: "r", Method: "GET", Host: "h", Path: path, APIKey: "k", AffinityKey: "17", Arrived: env.clock.Now(), Timeout: 4 * time.Second}
	for _, f := range change {
		f(c)
	}
	return env.proxy.Serve(context.Background(), c)
}

var (
	ok      = outcome{status: 200}
	failed  = outcome{status: 500}
	unsent  = outcome{state: core.SendNotSent}
	refused = outcome{state: core.SendRefused}
	maybe   = outcome{state: core.SendUnknown}
)

// Guards against repeating a request that must not run twice, and against an
// answer that promises "not run" when a server may have run it, for each way
// in which a server can fail.
func TestRepeatsAndPromises(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		outcomes []outcome
		status   int
		sent     int
	}{
		{"answer", "/o/x", []outcome{ok}, 200, 1},
		{"order never reached a server", "/o/x", []outcome{unsent, ok}, 200, 2},
		{"order refused, then run", "/o/x", []outcome{refused, ok}, 200, 2},
		{"order refused by all", "/o/x", []outcome{refused}, 503, 3},
		{"order may have run", "/o/x", []outcome{maybe, ok}, 502, 1},
		{"order refused, then may have run", "/o/x", []outcome{refused, maybe, ok}, 502, 2},
		{"order failed by its server", "/o/x", []outcome{failed, ok}, 500, 1},
		{"lookup may have run", "/l/x", []outcome{maybe, ok}, 200, 2},
		{"lookup may have run twice", "/l/x", []outcome{maybe}, 502, 2},
		{"lookup may have run, then refused by all", "/l/x", []outcome{maybe, refused}, 502, 4},
		{"lookup failed, then run", "/l/x", []outcome{failed, ok}, 200, 2},
		{"lookup failed twice", "/l/x", []outcome{failed, failed, ok}, 500, 2},
		{"lookup failed, then refused by all", "/l/x", []outcome{failed, refused}, 500, 4},
		{"lookup refused by all", "/l/x", []outcome{refused}, 503, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(c.outcomes...)
			reply, record := env.serve(c.path)
			require.Equal(t, c.status, reply.Status, record.Reason)
			require.Len(t, env.backends.sent, c.sent)
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, reply.Header.Get("Retry-After"))
			}
			seen := make(map[core.ServerID]bool)
			for _, f := range env.backends.sent {
				require.False(t, seen[f.Server], "a server must not get the request twice")
				seen[f.Server] = true
			}
		})
	}
}

// Guards against denying routes or keys before the host has a configuration.
func TestNoConfigurationIsNotDenied(t *testing.T) {
	env := newTestEnv(ok)
	env.table = nil
	reply, record := env.serve("/l/x")
	require.Equal(t, http.StatusServiceUnavailable, reply.Status)
	require.Equal(t, codes.NoConfig, record.Code)
}

// Guards against passing on requests without a valid key or route, and
// against refusing requests to open routes for their keys.
func TestKeysAndRoutes(t *testing.T) {
	env := newTestEnv(ok)
	for _, c := range []struct {
		path, key string
		status    int
		workspace core.WorkspaceID
	}{
		{"/l/x", "k", 200, "w"},
		{"/l/x", "other", 401, ""},
		{"/l/x", "", 401, ""},
		{"/p/x", "", 200, ""},
		{"/p/x", "other", 200, ""},
		{"/none/x", "k", 404, ""},
	} {
		env.backends.sent = nil
		reply, _ := env.serve(c.path, func(call *core.Call) { call.APIKey = c.key })
		require.Equal(t, c.status, reply.Status, c)
		if c.status != 200 {
			require.Empty(t, env.backends.sent)
			continue
		}
		require.Equal(t, c.workspace, env.backends.sent[0].Workspace)
	}
}

// Guards against requests that are refused for good, since their route or key is not in
// the configuration of a host that has heard of a newer one and lacks it.
func TestRoutesAndKeysOfANewerConfigurationAreNotDenied(t *testing.T) {
	withKey := func(c *core.Call) { c.APIKey = "new" }
	withoutKey := func(c *core.Call) { c.APIKey = "" }
	for _, tt := range []struct {
		path   string
		change []func(*core.Call)
		code   codes.Code
	}{
		{"/new/x", nil, codes.RouteUnknown},
		{"/l/x", []func(*core.Call){withKey}, codes.KeyUnknown},
		{"/l/x", []func(*core.Call){withoutKey}, codes.KeyMissing},
	} {
		env := newTestEnv(ok)
		_, record := env.serve(tt.path, tt.change...)
		require.Equal(t, tt.code, record.Code)
		env.lacksConfig = true
		reply, record := env.serve(tt.path, tt.change...)
		require.Equal(t, http.StatusServiceUnavailable, reply.Status)
		require.Equal(t, codes.NoConfig, record.Code)
		require.NotEmpty(t, reply.Header.Get("Retry-After"))
		require.Empty(t, env.backends.sent)
		reply, _ = env.serve("/l/x")
		require.Equal(t, http.StatusOK, reply.Status, "what is in force is served")
	}
}

// Guards against refusals over the rate without a Retry-After.
func TestOverRateIsToldWhenToComeBack(t *testing.T) {
	env := newTestEnv(ok)
	env.serve("/l/x", func(c *core.Call) { c.APIKey = "k2" })
	reply, record := env.serve("/l/x", func(c *core.Call) { c.APIKey = "k2" })
	require.Equal(t, http.StatusTooManyRequests, reply.Status)
	require.Equal(t, codes.RateExceeded, record.Code)
	require.NotEmpty(t, reply.Header.Get("Retry-After"))
}

// Guards against telling a second server the whole time limit after the first
// one has used some of it.
func TestDeadlineIsWhatIsLeft(t *testing.T) {
	slow := maybe
	slow.took = 700 * time.Millisecond
	env := newTestEnv(slow, ok)
	env.serve("/l/x", func(c *core.Call) { c.Timeout = 1500 * time.Millisecond })
	require.Len(t, env.backends.sent, 2)
	require.Equal(t, 1500*time.Millisecond, env.backends.sent[0].TimeLeft)
	require.Equal(t, 800*time.Millisecond, env.backends.sent[1].TimeLeft)
}

// Guards against a caller's time limit that extends that of the route.
func TestRouteTimeLimitHolds(t *testing.T) {
	slow := maybe
	slow.took = 2 * time.Second
	env := newTestEnv(slow, ok)
	reply, _ := env.serve("/l/x")
	require.Len(t, env.backends.sent, 1)
	require.Equal(t, 2*time.Second, env.backends.sent[0].TimeLeft)
	require.GreaterOrEqual(t, reply.Status, 500)
}

// Guards against a traffic split that deviates from the weights.
func TestSplitKeepsWeights(t *testing.T) {
	env := newTestEnv(ok)
	count := make(map[core.ServiceID]int)
	for range 100 {
		_, record := env.serve("/s/x")
		count[record.Service]++
	}
	require.Equal(t, map[core.ServiceID]int{"s": 90, "t": 10}, count)
}

// Guards against a request that panics and whose slot at the server stays taken.
func TestPanicFreesTheSlotOfItsServer(t *testing.T) {
	env := newTestEnv(outcome{panics: true})
	env.clock.Advance(time.Second)
	late := func(c *core.Call) { c.Arrived -= 200 * time.Millisecond } // does not wait for a server
	for range 2000 {                                                   // ten times as many as the servers have slots
		func() {
			defer func() { _ = recover() }()
			env.serve("/l/x", late)
		}()
	}
	require.Equal(t, 2000, len(env.backends.sent))
	env.backends.outcomes = []outcome{ok}
	reply, _ := env.serve("/l/x")
	require.Equal(t, 200, reply.Status)
}

// Guards against an order that ends early because its server is silent, and against
// other requests that wait there for long although another server could take them.
func TestOrdersAreSentAtMostOnce(t *testing.T) {
	for path, want := range map[string]bool{"/o/x": true, "/l/x": false} {
		env := newTestEnv(ok)
		env.serve(path)
		require.Equal(t, want, env.backends.sent[0].AtMostOnce, path)
	}
}
