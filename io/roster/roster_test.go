package roster_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/fakes"
	"azurering/core/timer"
	"azurering/io/roster"
	"azurering/io/stand"
)

func host(id core.HostID, state core.HostState) core.Host {
	return core.Host{Name: id, Domain: "nemuro", Incarnation: 1<<63 + 1, CallerAddress: "127.0.0.1:1", PeerAddress: "[::1]:2", State: state}
}

type world struct {
	roster core.Roster
	set    func(hosts ...core.Host)
	fault  func(f fakes.Fault)
}

func fakeWorld(*testing.T) world {
	var r fakes.Roster
	return world{&r, func(hosts ...core.Host) { r.Set(hosts) }, r.SetFault}
}

func standWorld(t *testing.T) world {
	s := stand.New(stand.Config{Timer: timer.NewManual()})
	require.NoError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(func() { _ = s.Close() })
	r, err := roster.New(roster.Config{URL: s.URL(), Token: "host-a"})
	require.NoError(t, err)
	set := func(hosts ...core.Host) {
		for _, h := range hosts {
			require.NoError(t, r.Announce(t.Context(), h))
		}
	}
	return world{r, set, func(f fakes.Fault) {
		require.NoError(t, s.SetDown(f == fakes.FaultUnavailable))
		require.NoError(t, s.SetFaults())
		if f == fakes.FaultThrottled {
			require.NoError(t, s.SetFaults(stand.Fault{Kind: stand.FaultLimit, Service: stand.Hosts, Identity: "host-a", Reads: 1}))
			_, err := r.Hosts(t.Context())
			require.NoError(t, err)
		}
	}}
}

// Guards against the fake list and the real client differing.
func TestContract(t *testing.T) {
	for name, open := range map[string]func(*testing.T) world{"fake": fakeWorld, "stand": standWorld} {
		t.Run(name, func(t *testing.T) {
			w := open(t)
			got, err := w.roster.Hosts(t.Context())
			require.NoError(t, err)
			require.Empty(t, got)
			want := []core.Host{host("a", core.HostLive), host("b/é c", core.HostLeaving)}
			w.set(want...)
			got, err = w.roster.Hosts(t.Context())
			require.NoError(t, err)
			require.Equal(t, want, got)
			for fault, code := range map[fakes.Fault]codes.Code{fakes.FaultUnavailable: codes.StoreDown, fakes.FaultThrottled: codes.StoreLimit} {
				w.fault(fault)
				_, err = w.roster.Hosts(t.Context())
				require.Equal(t, code, codes.Of(err))
			}
			w.fault(fakes.FaultNone)
			got, err = w.roster.Hosts(t.Context())
			require.NoError(t, err)
			require.Equal(t, want, got)
		})
	}
}

// Guards against malformed lists and hosts passing.
func TestRefusals(t *testing.T) {
	status, answer := http.StatusOK, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(answer))
	}))
	defer server.Close()
	r, err := roster.New(roster.Config{URL: server.URL})
	require.NoError(t, err)
	for _, c := range []struct {
		status int
		answer string
		code   codes.Code
	}{
		{200, `{"hosts":[],"more":1}`, codes.OK},
		{200, `{`, codes.StoreDown},
		{200, `{}`, codes.StoreDown},
		{200, `{"hosts":[{"name":"a","domain":"d","caller":"127.0.0.1:1","peer":"127.0.0.1:2","state":"dead"}]}`, codes.StoreDown},
		{200, `{"hosts":[{"name":"a","domain":"d","caller":"127.0.0.1:1","peer":"example:2","state":"live"}]}`, codes.StoreDown},
		{200, `{"hosts":[{"domain":"d","caller":"127.0.0.1:1","peer":"127.0.0.1:2","state":"live"}]}`, codes.StoreDown},
		{302, ``, codes.StoreDown},
		{500, `{"hosts":[]}`, codes.StoreDown},
		{429, ``, codes.StoreLimit},
	} {
		status, answer = c.status, c.answer
		_, err := r.Hosts(t.Context())
		require.Equal(t, c.code, codes.Of(err), "%+v", c)
	}
	for _, h := range []core.Host{{}, host("a", core.HostDead), {Name: "a", Domain: "d", State: core.HostLive, CallerAddress: "x"}} {
		require.Equal(t, codes.RequestBad, codes.Of(r.Announce(t.Context(), h)))
	}
	_, err = roster.New(roster.Config{URL: "platform"})
	require.Equal(t, codes.SettingsInvalid, codes.Of(err))
}

// Guards against a host that announces itself once and then expires, or
// that stops after one failure.
func TestRunAnnouncesAtEachTick(t *testing.T) {
	clock := timer.NewManual()
	s := stand.New(stand.Config{Timer: clock, Expiry: 5 * time.Second})
	require.NoError(t, s.Listen("127.0.0.1:0"))
	defer func() { _ = s.Close() }()
	counts := make(chan codes.Code, 10)
	r, err := roster.New(roster.Config{URL: s.URL(), Count: func(op roster.Op, _ int, code codes.Code) {
		if op == roster.OpAnnounce {
			counts <- code
		}
	}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	ticks := clock.NewTicker("announce", 3*time.Second)
	go func() {
		r.Run(ctx, ticks, func() core.Host { return host("a", core.HostLive) })
		close(ended)
	}()
	require.Equal(t, codes.OK, <-counts)
	require.NoError(t, s.SetDown(true))
	clock.Advance(3 * time.Second)
	require.Equal(t, codes.StoreDown, <-counts)
	require.NoError(t, s.SetDown(false))
	clock.Advance(3 * time.Second)
	require.Equal(t, codes.OK, <-counts)
	clock.Advance(time.Second)
	list, err := r.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []core.Host{host("a", core.HostLive)}, list)
	cancel()
	<-ended
}
