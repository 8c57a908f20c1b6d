package pacer_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/pacer"
	"azurering/core/picker"
	"azurering/core/timer"
)

// testHost is a host whose coordinator is set by the test.
type testHost struct {
	clock       *timer.Manual
	picker      *picker.Picker
	pacer       *pacer.Pacer
	coordinator core.HostID
	peers       map[core.HostID]*testHost
	transit     time.Duration // of a message from or to this host
	results     []pacer.Result
	contested   bool // the coordinator is
	changes     []pacer.Coordination
}

var server = core.Instance{Server: core.Server{Name: "i-0", Service: "s", Domain: "a", Address: "x", Slots: 6}, State: core.InstanceReady, StartedMs: 1}

// newTestHosts returns hosts that know one server, which named a limit.
func newTestHosts(perSecond float64, names ...core.HostID) (*timer.Manual, map[core.HostID]*testHost) {
	clock, hosts := timer.NewManual(), make(map[core.HostID]*testHost)
	clock.Advance(time.Second)
	for _, name := range names {
		h := &testHost{clock: clock, coordinator: names[0], peers: hosts}
		h.picker = picker.New(picker.Config{
			Timer: clock, Host: name, DomainHosts: func(core.DomainID) []core.HostID { return nil },
			Service: func(core.ServiceID) *core.ServiceConfig { return nil }, RequestCheck: func(core.Instance) {},
		})
		h.picker.Update(server)
		h.hear(perSecond)
		h.pacer = pacer.New(pacer.Config{
			Timer: clock, Host: name, Picker: h.picker,
			Coordinator: func(core.Instance) core.Coordinator {
				return core.Coordinator{Host: h.coordinator, Address: string(h.coordinator), Contested: h.contested}
			},
			Request: func(_ context.Context, address string, r core.PermitRequest) (core.PermitReply, error) {
				if peer := h.peers[core.HostID(address)]; peer != nil {
					clock.Advance(h.transit)
					defer clock.Advance(h.transit)
					return peer.pacer.Grant(r), nil
				}
				return core.PermitReply{}, errors.New("no reply")
			},
			OnResult:       func(_ core.Instance, r pacer.Result) { h.results = append(h.results, r) },
			OnCoordination: func(c pacer.Coordination) { h.changes = append(h.changes, c) },
		})
		hosts[name] = h
	}
	return clock, hosts
}

// hear records an answer of the server. A negative limit stands for none.
func (h *testHost) hear(perSecond float64) {
	m := core.ReplyMeta{Stamped: true}
	if perSecond >= 0 {
		m.RateLimit = core.RateLimit{State: core.RateLimitNamed, PerSecond: perSecond}
	}
	h.picker.RecordLimit(server, m)
}

func (h *testHost) permit() core.Permit { return h.pacer.Permit(context.Background(), server) }

// run lets time pass in steps of 10 ms, with a heartbeat every 400 ms, and calls
// step in each of them.
func run(clock *timer.Manual, hosts map[core.HostID]*testHost, length time.Duration, step func()) {
	for until := clock.Now() + length; clock.Now() < until; {
		clock.Advance(10 * time.Millisecond)
		if clock.Now()%(400*time.Millisecond) == 0 {
			for _, h := range hosts {
				h.pacer.Refresh()
			}
		}
		step()
	}
}

// Guards against two hosts that both grant the limit of a server around a change
// of its coordinator, while some hosts still ask the previous one.
func TestHandoverDoesNotGrantTwice(t *testing.T) {
	const perSecond = 20
	clock, hosts := newTestHosts(perSecond, "old", "new", "early", "late")
	granted := 0
	ask := func() {
		for _, name := range []core.HostID{"early", "late"} {
			if hosts[name].permit().Granted {
				granted++
			}
		}
	}
	run(clock, hosts, 4*time.Second, ask)
	granted = 0
	hosts["new"].coordinator, hosts["early"].coordinator = "new", "new"
	run(clock, hosts, 800*time.Millisecond, ask) // until the heartbeats have reached all hosts
	hosts["old"].coordinator, hosts["late"].coordinator = "new", "new"
	run(clock, hosts, 1200*time.Millisecond, ask)
	require.LessOrEqual(t, granted, 2*perSecond+1, "in two seconds")
	granted = 0
	run(clock, hosts, 2*time.Second, ask)
	require.InDelta(t, 2*perSecond, granted, 0.6*perSecond)
}

// Guards against a coordinator that was paused, was replaced meanwhile, and grants
// on when it wakes up.
func TestPausedCoordinatorDoesNotGrantAtOnce(t *testing.T) {
	clock, hosts := newTestHosts(20, "h")
	run(clock, hosts, 2*time.Second, func() {})
	require.False(t, hosts["h"].permit().Granted, "a new coordinator waits")
	run(clock, hosts, 2*time.Second, func() {})
	require.True(t, hosts["h"].permit().Granted)
	clock.Advance(3 * time.Second)
	require.False(t, hosts["h"].permit().Granted)
}

// Guards against a host that takes over from a coordinator that is only cut off and
// grants the whole limit beside it. Also against a change that is not reported.
func TestContestedCoordinatorGrantsAPart(t *testing.T) {
	const perSecond = 20
	clock, hosts := newTestHosts(perSecond, "h")
	granted := func() (n int) {
		run(clock, hosts, 4*time.Second, func() {
			if hosts["h"].permit().Granted {
				n++
			}
		})
		return n
	}
	hosts["h"].contested = true
	granted()
	require.InDelta(t, 0.4*perSecond*4, granted(), 2)
	hosts["h"].contested = false
	require.InDelta(t, perSecond*4, granted(), 2)
	hosts["h"].coordinator = "other"
	run(clock, hosts, time.Second, func() {})
	require.Equal(t, []pacer.Coordination{
		{Server: server.Name, Active: true, Contested: true},
		{Server: server.Name, Active: true},
		{Server: server.Name},
	}, hosts["h"].changes)
}

// Guards against requests to a server without a word of its coordinator, and
// against waiting for one that is silent with each request.
func TestSilentCoordinatorGrantsNothing(t *testing.T) {
	_, hosts := newTestHosts(20, "h")
	hosts["h"].coordinator = "gone"
	permit := hosts["h"].permit()
	require.False(t, permit.Granted)
	require.GreaterOrEqual(t, permit.Wait, 100*time.Millisecond)
	require.Equal(t, []pacer.Result{pacer.ResultUnanswered}, hosts["h"].results)
}

// Guards against a host that grants although, as far as it knows, another one is
// the coordinator, and against permits for another start of a server.
func TestOnlyTheCoordinatorGrants(t *testing.T) {
	clock, hosts := newTestHosts(20, "h", "other")
	hosts["h"].coordinator, hosts["other"].coordinator = "other", "other"
	run(clock, hosts, 2*time.Second, func() {})
	request := core.PermitRequest{Host: "x", Server: server.Name, StartedMs: server.StartedMs}
	require.False(t, hosts["h"].pacer.Grant(request).Granted)
	hosts["other"].pacer.Grant(request)
	run(clock, hosts, 2*time.Second, func() {})
	require.False(t, hosts["other"].pacer.Grant(core.PermitRequest{Host: "x", Server: server.Name, StartedMs: 9}).Granted)
	require.False(t, hosts["other"].pacer.Grant(core.PermitRequest{Host: "x", Server: "unknown", StartedMs: 1}).Granted)
	require.True(t, hosts["other"].pacer.Grant(request).Granted)
}

// Guards against a limit whose change or end does not reach the hosts that get no
// answer of the server, and against old news that replaces newer.
func TestHostsLearnOfLimitsFromOneAnother(t *testing.T) {
	clock, hosts := newTestHosts(20, "coordinator", "asks", "idle")
	deliver := func() {
		for name, h := range hosts {
			for _, m := range h.pacer.Refresh() {
				for other, peer := range hosts {
					if other != name && (m.To == "" || m.To == string(other)) {
						peer.pacer.Notice(m.Notice)
					}
				}
			}
		}
	}
	limits := func() (list []float64) {
		for _, name := range []core.HostID{"coordinator", "asks", "idle"} {
			list = append(list, hosts[name].picker.Limit(server).PerSecond)
		}
		return list
	}
	clock.Advance(time.Second)
	hosts["asks"].hear(6)
	hosts["asks"].permit()
	for range 3 {
		clock.Advance(400 * time.Millisecond)
		deliver()
	}
	require.Equal(t, []float64{6, 6, 6}, limits())
	stale := core.LimitNotice{Host: "x", Server: server.Name, StartedMs: 1, Limit: core.ServerLimit{Known: true, Named: true, PerSecond: 99, Age: time.Hour}}
	hosts["idle"].pacer.Notice(stale)
	require.Equal(t, 6.0, hosts["idle"].picker.Limit(server).PerSecond)
	hosts["asks"].hear(-1)
	for range 3 {
		clock.Advance(400 * time.Millisecond)
		deliver()
	}
	for name, h := range hosts {
		require.False(t, h.picker.Limit(server).Named, name)
	}
}

// Guards against news of a limit that gets younger with each message: it would win
// over newer answers of the server, and the limit would never end.
func TestNewsOfALimitDoNotGetYounger(t *testing.T) {
	clock, hosts := newTestHosts(20, "coordinator", "asks")
	heard := clock.Now()
	const way = 12 * time.Millisecond
	asks := hosts["asks"]
	asks.transit = way
	for range 200 {
		asks.permit()
		clock.Advance(20 * time.Millisecond)
		for _, m := range hosts["coordinator"].pacer.Refresh() {
			clock.Advance(way)
			asks.pacer.Notice(m.Notice)
		}
	}
	for name, h := range hosts {
		require.LessOrEqual(t, h.picker.Limit(server).HeardAt, heard, name)
	}
}
