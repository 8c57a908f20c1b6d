package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/pool"
	"azurering/core/timer"
)

func servers(n, slots int) []core.Server {
	list := make([]core.Server, n)
	for i := range list {
		list[i] = core.Server{Name: core.ServerID(fmt.Sprintf("desk-%d", i)), Service: "desk", Address: fmt.Sprintf("127.0.0.1:%d", 8000+i), Slots: slots}
	}
	return list
}

// newPool returns a pool with n servers, of which the host holds all slots.
func newPool(n, slots int, configure func(*pool.Config)) (*pool.Pool, *timer.Manual) {
	m := timer.NewManual()
	cfg := pool.Config{Service: "desk", Host: "a", Timer: m, Seed: 7, Slots: func(core.ServerID) int { return slots }}
	if configure != nil {
		configure(&cfg)
	}
	p := pool.New(cfg)
	p.SetServers(0, servers(n, slots))
	return p, m
}

func pickN(t *testing.T, p *pool.Pool, now time.Duration, n int) []*pool.Lease {
	t.Helper()
	var leases []*pool.Lease
	for range n {
		l, err := p.Pick(now, pool.Request{Workspace: "w"})
		require.NoError(t, err)
		leases = append(leases, l)
	}
	return leases
}

// While the held slots, the servers and the drains change at random, a server
// must never have more requests than the host holds slots, and a leaving or
// removed server must get no new requests.
func TestPickRespectsSlotsAndLeaving(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	held := make(map[core.ServerID]int)
	p, _ := newPool(0, 0, func(c *pool.Config) {
		c.Slots = func(id core.ServerID) int { return held[id] }
		c.SlowStart = 5 * time.Second
	})
	all := servers(6, 3)
	listed, leaving := make(map[core.ServerID]bool), make(map[core.ServerID]bool)
	inUse := make(map[core.ServerID]int)
	var leases []*pool.Lease
	served := 0
	for step := range 20000 {
		now := time.Duration(step) * 10 * time.Millisecond
		s := all[r.IntN(len(all))].Name
		switch r.IntN(12) {
		case 0:
			held[s] = r.IntN(4)
		case 1:
			leaving[s] = !leaving[s]
			p.SetLeaving(now, s, leaving[s])
		case 2:
			var list []core.Server
			for _, srv := range all {
				listed[srv.Name] = r.IntN(4) > 0
				if listed[srv.Name] {
					list = append(list, srv)
				}
			}
			p.SetServers(now, list)
			for _, srv := range list {
				leaving[srv.Name] = false
				p.SetLeaving(now, srv.Name, false)
			}
		case 3, 4, 5, 6, 7:
			l, err := p.Pick(now, pool.Request{Workspace: "w"})
			if err != nil {
				continue
			}
			id := l.Server.Name
			inUse[id]++
			served++
			require.LessOrEqual(t, inUse[id], held[id], "step %d", step)
			require.True(t, listed[id] && !leaving[id], "step %d: new request to leaving server %s", step, id)
			leases = append(leases, l)
		default:
			if len(leases) == 0 {
				continue
			}
			i := r.IntN(len(leases))
			inUse[leases[i].Server.Name]--
			leases[i].Release(now, pool.OutcomeOK)
			leases[i].Release(now, pool.OutcomeOK) // the second call must have no effect
			leases = append(leases[:i], leases[i+1:]...)
		}
		require.Equal(t, len(leases), p.Stats(now).InUse)
	}
	require.Greater(t, served, 4000)
}

// The error code must tell whether all slots are in use or no server accepts
// requests, because Acquire waits only in the first case.
func TestPickErrorCodes(t *testing.T) {
	p, _ := newPool(1, 1, nil)
	pickN(t, p, 0, 1)
	_, err := p.Pick(0, pool.Request{})
	require.Equal(t, codes.NoCapacity, codes.Of(err))
	p.SetLeaving(0, "desk-0", true)
	_, err = p.Pick(0, pool.Request{})
	require.Equal(t, codes.NoServer, codes.Of(err))
	require.Equal(t, 1, p.InFlight("desk-0"))
}

// Probe reports may be wrong, so the outcomes of the host's own requests must
// outweigh them. Without recent outcomes, the reports decide.
func TestOutcomesOutweighReports(t *testing.T) {
	p, _ := newPool(2, 100, func(c *pool.Config) { c.EjectAfter = 1000 })
	count := func(now time.Duration) int {
		n := 0
		for range 200 {
			l, err := p.Pick(now, pool.Request{})
			require.NoError(t, err)
			if l.Server.Name == "desk-0" {
				n++
			}
			l.Release(now, pool.OutcomeCancelled)
		}
		return n
	}
	// desk-0 answers requests, but its health endpoint reports that it is not
	// ready; desk-1 fails requests, but reports that it is idle.
	for range 8 {
		for _, avoid := range []core.ServerID{"desk-0", "desk-1"} {
			l, err := p.Pick(0, pool.Request{Avoid: avoid})
			require.NoError(t, err)
			o := pool.OutcomeOK
			if l.Server.Name == "desk-1" {
				o = pool.OutcomeFailed
			}
			l.Release(10*time.Millisecond, o)
		}
	}
	p.AddReport(time.Second, pool.ProbeReport{Server: "desk-0", Health: core.Health{Ready: false, Load: 1}})
	p.AddReport(time.Second, pool.ProbeReport{Server: "desk-1", Health: core.Health{Ready: true}})
	require.Equal(t, 200, count(time.Second))
	// Without outcomes the reports decide.
	p, _ = newPool(2, 100, nil)
	p.AddReport(time.Second, pool.ProbeReport{Server: "desk-0", Failed: true})
	require.Zero(t, count(time.Second))
	// A successful request outweighs a report that the server is not ready.
	p, _ = newPool(2, 100, nil)
	for _, avoid := range []core.ServerID{"desk-0", "desk-1"} {
		l, err := p.Pick(0, pool.Request{Avoid: avoid})
		require.NoError(t, err)
		l.Release(10*time.Millisecond, pool.OutcomeOK)
	}
	p.AddReport(time.Second, pool.ProbeReport{Server: "desk-0", Health: core.Health{Load: -1}})
	require.InDelta(t, 100, count(time.Second), 40)
	require.Zero(t, count(20*time.Second), "the outcomes are too old to count")
}

// A server whose probe reports that it is leaving must get no new requests,
// also when a later probe fails or an older report arrives late.
func TestReportedLeavingStopsPicks(t *testing.T) {
	p, _ := newPool(1, 5, nil)
	accepts := func(now time.Duration) bool {
		l, err := p.Pick(now, pool.Request{})
		if err != nil {
			require.Equal(t, codes.NoServer, codes.Of(err))
			return false
		}
		l.Release(now, pool.OutcomeOK)
		return true
	}
	ready := core.Health{Ready: true}
	p.AddReport(10*time.Second, pool.ProbeReport{Server: "desk-0", Health: core.Health{Ready: true, Leaving: true}})
	require.False(t, accepts(10*time.Second))
	p.AddReport(30*time.Second, pool.ProbeReport{Server: "desk-0", Failed: true})
	require.False(t, accepts(45*time.Second))
	p.AddReport(45*time.Second, pool.ProbeReport{Server: "desk-0", Health: ready, Age: 16 * time.Second})
	require.False(t, accepts(45*time.Second), "an older report must not override a newer one")
	p.AddReport(46*time.Second, pool.ProbeReport{Server: "desk-0", Health: ready})
	require.True(t, accepts(46*time.Second))
}

// A server that is slow or has just shed a request must get fewer requests, but
// it must be tried again after some time.
func TestSlowAndSheddingServersGetFewerRequests(t *testing.T) {
	for _, c := range []struct {
		outcome pool.Outcome
		took    time.Duration
		after   time.Duration
	}{{pool.OutcomeOK, 100 * time.Millisecond, 3 * time.Minute}, {pool.OutcomeShed, time.Millisecond, 2 * time.Second}} {
		p, _ := newPool(2, 3, nil)
		serve := func(now time.Duration, n int) (bad int) {
			for range n {
				l, err := p.Pick(now, pool.Request{})
				require.NoError(t, err)
				if l.Server.Name != "desk-0" {
					l.Release(now+time.Millisecond, pool.OutcomeOK)
					continue
				}
				bad++
				l.Release(now+c.took, c.outcome)
			}
			return bad
		}
		serve(0, 5)
		require.Less(t, serve(100*time.Millisecond, 40), 3, "%s", c.outcome)
		require.Positive(t, serve(c.after, 40), "%s", c.outcome)
	}
}

// A retry must go to another server than the one that just failed, unless there
// is no other.
func TestPickAvoidsFailedServer(t *testing.T) {
	p, _ := newPool(2, 50, nil)
	for range 50 {
		l, err := p.Pick(0, pool.Request{Avoid: "desk-0"})
		require.NoError(t, err)
		require.Equal(t, core.ServerID("desk-1"), l.Server.Name)
	}
	l, err := p.Pick(0, pool.Request{Avoid: "desk-0"})
	require.NoError(t, err, "the server to avoid must be used if there is no other")
	require.Equal(t, core.ServerID("desk-0"), l.Server.Name)
}

// Failing servers must be ejected, but no more than the allowed share and never
// the only server. A server must come back with a ramp.
func TestEjectionIsBounded(t *testing.T) {
	// fail uses all slots in each of n rounds; requests to bad servers fail.
	fail := func(p *pool.Pool, n int, bad func(core.ServerID) bool) {
		for range n {
			var leases []*pool.Lease
			for {
				l, err := p.Pick(0, pool.Request{})
				if err != nil {
					break
				}
				leases = append(leases, l)
			}
			for _, l := range leases {
				o := pool.OutcomeOK
				if bad(l.Server.Name) {
					o = pool.OutcomeFailed
				}
				l.Release(0, o)
			}
		}
	}
	allBad := func(core.ServerID) bool { return true }
	p, _ := newPool(10, 3, nil)
	fail(p, 20, allBad)
	require.Equal(t, 3, p.Stats(0).Ejected)
	p, _ = newPool(1, 3, nil)
	fail(p, 20, allBad)
	require.Zero(t, p.Stats(0).Ejected)
	p, _ = newPool(3, 4, nil)
	fail(p, 3, func(id core.ServerID) bool { return id == "desk-1" })
	require.Equal(t, 1, p.Stats(0).Ejected)
	countPicksOfEjected := func(now time.Duration) int {
		n := 0
		var leases []*pool.Lease
		for {
			l, err := p.Pick(now, pool.Request{})
			if err != nil {
				break
			}
			if l.Server.Name == "desk-1" {
				n++
			}
			leases = append(leases, l)
		}
		for _, l := range leases {
			l.Release(now, pool.OutcomeCancelled)
		}
		return n
	}
	require.Zero(t, countPicksOfEjected(9*time.Second))
	require.Equal(t, 1, countPicksOfEjected(10*time.Second))
	require.Equal(t, 2, countPicksOfEjected(15*time.Second))
	require.Equal(t, 4, countPicksOfEjected(20*time.Second))
}

// A cold server must get a share of the requests that grows over its ramp: the
// full share at once would overload it, and without any it would never warm up.
func TestColdServerRampsUp(t *testing.T) {
	p, _ := newPool(4, 1000, func(c *pool.Config) { c.SlowStart = 100 * time.Second })
	p.SetServers(0, servers(5, 1000))
	share := func(now time.Duration) int {
		n := 0
		for range 4000 {
			l, err := p.Pick(now, pool.Request{})
			require.NoError(t, err)
			if l.Server.Name == "desk-4" {
				n++
			}
			l.Release(now, pool.OutcomeCancelled)
		}
		return n
	}
	early, half, full := share(time.Second), share(50*time.Second), share(100*time.Second)
	require.InDelta(t, 100, early, 60)
	require.Greater(t, half, 2*early)
	require.Less(t, half, full)
	require.InDelta(t, 800, full, 120)
}

// Picks must spread requests by the number in flight at each server.
func TestPicksBalanceWork(t *testing.T) {
	p, _ := newPool(10, 20, nil)
	leases := pickN(t, p, 0, 100)
	counts := make(map[core.ServerID]int)
	for _, l := range leases {
		counts[l.Server.Name]++
	}
	for id, n := range counts {
		require.InDelta(t, 10, n, 3, "server %s", id)
	}
}

// Each server must be probed by exactly one host, and a change of hosts must
// not reassign the servers of the hosts that stay.
func TestEachServerHasOneProber(t *testing.T) {
	hosts := []core.HostID{"a", "b", "c"}
	total := 0
	for _, h := range hosts {
		p, _ := newPool(60, 3, func(c *pool.Config) { c.Host = h })
		mine := p.ProbeTargets(hosts)
		require.NotEmpty(t, mine)
		total += len(mine)
	}
	require.Equal(t, 60, total)
	for _, s := range servers(60, 3) {
		before, after := pool.ProberOf(s.Name, hosts), pool.ProberOf(s.Name, hosts[:2])
		require.True(t, before == after || before == "c")
	}
	require.Empty(t, pool.ProberOf("desk-1", nil))
}

// Retries must stay within the budget and the deadline, and their backoff must
// be jittered. An order that may have run must not be retried.
func TestRetriesAreLimited(t *testing.T) {
	p, _ := newPool(3, 3, nil)
	failed := pool.Attempt{Kind: core.RouteIdempotent, State: core.SendUnknown, Tries: 1}
	_, ok := p.Retry(0, failed)
	require.False(t, ok, "the budget must be empty before the first request")
	retries := 0
	pauses := make(map[time.Duration]bool)
	for i := 1; i <= 5000; i++ {
		p.CountRequest()
		for range 2 {
			if pause, ok := p.Retry(0, failed); ok {
				retries++
				pauses[pause] = true
				require.True(t, pause >= 10*time.Millisecond && pause <= 20*time.Millisecond)
			}
		}
		require.LessOrEqual(t, retries*10, i)
	}
	require.Equal(t, 500, retries)
	require.Greater(t, len(pauses), 100)
	for range 500 {
		p.CountRequest()
	}
	burst := 0
	for ; ; burst++ {
		if _, ok := p.Retry(0, failed); !ok {
			break
		}
	}
	require.Equal(t, 10, burst)
	for range 500 {
		p.CountRequest()
	}
	for _, c := range []struct {
		try pool.Attempt
		ok  bool
	}{
		{pool.Attempt{Kind: core.RouteOrder, State: core.SendUnknown, Tries: 1}, false},
		{pool.Attempt{Kind: core.RouteOrder, State: "", Tries: 1}, false},
		{pool.Attempt{Kind: core.RouteOrder, State: core.SendNotSent, Tries: 1}, true},
		{pool.Attempt{Kind: core.RouteOrder, State: core.SendRefused, Tries: 1}, true},
		{pool.Attempt{Kind: core.RouteIdempotent, State: core.SendUnknown, Tries: 1, ResponseStarted: true}, false},
		{pool.Attempt{Kind: core.RouteIdempotent, State: core.SendUnknown, Tries: 3}, false},
		{pool.Attempt{Kind: core.RouteIdempotent, State: core.SendUnknown, Tries: 2, Deadline: 1010 * time.Millisecond}, false},
		{pool.Attempt{Kind: core.RouteIdempotent, State: core.SendUnknown, Tries: 2, Deadline: 2 * time.Second}, true},
	} {
		_, ok := p.Retry(time.Second, c.try)
		require.Equal(t, c.ok, ok, "%+v", c.try)
	}
}
