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

// harness provides a roster and functions that set its hosts and inject faults.
type harness struct {
	roster   core.Roster
	setHosts func(hosts ...core.Host)
	setFault func(f fakes.Fault)
}

func newFakeHarness(*testing.T) harness {
	var r fakes.Roster
	return harness{&r, func(hosts ...core.Host) { r.Set(hosts) }, r.SetFault}
}

func newEmulatorHarness(t *testing.T) harness {
	emulator := stand.New(stand.Config{Timer: timer.NewManual()})
	require.NoError(t, emulator.Listen("127.0.0.1:0"))
	t.Cleanup(func() { _ = emulator.Close() })
	r, err := roster.New(roster.Config{URL: emulator.URL(), BearerToken: "host-a"})
	require.NoError(t, err)
	setHosts := func(hosts ...core.Host) {
		for _, h := range hosts {
			require.NoError(t, r.Announce(t.Context(), h))
		}
	}
	return harness{r, setHosts, func(f fakes.Fault) {
		require.NoError(t, emulator.SetDown(f == fakes.FaultUnavailable))
		require.NoError(t, emulator.SetFaults())
		if f == fakes.FaultThrottled {
			require.NoError(t, emulator.SetFaults(stand.Fault{Kind: stand.FaultThrottle, Service: stand.ServiceHosts, ClientID: "host-a", ReadsPerSecond: 1}))
			_, err := r.Hosts(t.Context())
			require.NoError(t, err)
		}
	}}
}

// Guards against the fake roster and the real client returning different hosts
// or result codes.
func TestContract(t *testing.T) {
	for name, newHarness := range map[string]func(*testing.T) harness{"fake": newFakeHarness, "emulator": newEmulatorHarness} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			got, err := h.roster.Hosts(t.Context())
			require.NoError(t, err)
			require.Empty(t, got)
			want := []core.Host{host("a", core.HostLive), host("b/é c", core.HostLeaving)}
			h.setHosts(want...)
			got, err = h.roster.Hosts(t.Context())
			require.NoError(t, err)
			require.Equal(t, want, got)
			for fault, code := range map[fakes.Fault]codes.Code{fakes.FaultUnavailable: codes.StoreDown, fakes.FaultThrottled: codes.StoreLimit} {
				h.setFault(fault)
				_, err = h.roster.Hosts(t.Context())
				require.Equal(t, code, codes.Of(err))
			}
			h.setFault(fakes.FaultNone)
			got, err = h.roster.Hosts(t.Context())
			require.NoError(t, err)
			require.Equal(t, want, got)
		})
	}
}

// Guards against accepting malformed host lists and announcing invalid hosts.
func TestRefusals(t *testing.T) {
	status, response := http.StatusOK, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(response))
	}))
	defer server.Close()
	r, err := roster.New(roster.Config{URL: server.URL})
	require.NoError(t, err)
	for _, c := range []struct {
		status   int
		response string
		code     codes.Code
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
		status, response = c.status, c.response
		_, err := r.Hosts(t.Context())
		require.Equal(t, c.code, codes.Of(err), "%+v", c)
	}
	for _, h := range []core.Host{{}, host("a", core.HostDead), {Name: "a", Domain: "d", State: core.HostLive, CallerAddress: "x"}} {
		require.Equal(t, codes.RequestBad, codes.Of(r.Announce(t.Context(), h)))
	}
	_, err = roster.New(roster.Config{URL: "platform"})
	require.Equal(t, codes.SettingsInvalid, codes.Of(err))
}

// Guards against a host that announces itself only once and then expires from
// the list, or that stops announcing after a failed request.
func TestRunAnnouncesAtEachTick(t *testing.T) {
	clock := timer.NewManual()
	emulator := stand.New(stand.Config{Timer: clock, HostTTL: 5 * time.Second})
	require.NoError(t, emulator.Listen("127.0.0.1:0"))
	defer func() { _ = emulator.Close() }()
	results := make(chan codes.Code, 10)
	r, err := roster.New(roster.Config{URL: emulator.URL(), OnRequest: func(op roster.Op, _ int, code codes.Code) {
		if op == roster.OpAnnounce {
			results <- code
		}
	}})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	ticks := clock.NewTicker("announce", 3*time.Second)
	go func() {
		r.RunAnnouncer(ctx, ticks, func() core.Host { return host("a", core.HostLive) })
		close(done)
	}()
	require.Equal(t, codes.OK, <-results)
	require.NoError(t, emulator.SetDown(true))
	clock.Advance(3 * time.Second)
	require.Equal(t, codes.StoreDown, <-results)
	require.NoError(t, emulator.SetDown(false))
	clock.Advance(3 * time.Second)
	require.Equal(t, codes.OK, <-results)
	clock.Advance(time.Second)
	list, err := r.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, []core.Host{host("a", core.HostLive)}, list)
	cancel()
	<-done
}
