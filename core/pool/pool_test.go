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

// newPool returns a pool with n servers of which the host holds all slots.
func newPool(n, slots int, change func(*pool.Config)) (*pool.Pool, *timer.Manual) {
	m := timer.NewManual()
	cfg := pool.Config{Service: "desk", Host: "a", Timer: m, Seed: 7, Slots: func(core.ServerID) int { return slots }}
	if change != nil {
		change(&cfg)
	}
	p := pool.New(cfg)
	p.SetServers(0, servers(n, slots))
	return p, m
}

func picks(t *testing.T, p *pool.Pool, now time.Duration, n int) []*pool.Lease {
	t.Helper()
	var leases []*pool.Lease
	for range n {
		l, err := p.Pick(now, pool.Request{Workspace: "w"})
		require.NoError(t, err)
		leases = append(leases, l)
	}
	return leases
}

// Guards against more work at a server than slots are held, while loans,
// servers and drains change; and against new work at a leaving or removed
// server.
func TestPicksStayWithinSlotsAndOffLeavingServers(t *testing.T) {
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
			require.True(t, listed[id] && !leaving[id], "step %d: work for leaving server %s", step, id)
			leases = append(leases, l)
		default:
			if len(leases) == 0 {
				continue
			}
			i := r.IntN(len(leases))
			inUse[leases[i].Server.Name]--
			leases[i].Release(now, pool.OutcomeOK)
			leases[i].Release(now, pool.OutcomeOK) // a second return must not count
			leases = append(leases[:i], leases[i+1:]...)
		}
		require.Equal(t, len(leases), p.Stats(now).InUse)
	}
	require.Greater(t, served, 4000)
}

// Guards against codes that name the wrong reason.
func TestRefusals(t *testing.T) {
	p, _ := newPool(1, 1, nil)
	picks(t, p, 0, 1)
	_, err := p.Pick(0, pool.Request{})
	require.Equal(t, codes.NoCapacity, codes.Of(err))
	p.SetLeaving(0, "desk-0", true)
	_, err = p.Pick(0, pool.Request{})
	require.Equal(t, codes.NoServer, codes.Of(err))
	require.Equal(t, 1, p.InFlight("desk-0"))
}

// Guards against reports that outweigh own outcomes, and against ignoring
// the report that a server leaves.
func TestReportsWeighLessThanOutcomes(t *testing.T) {
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
	// desk-0 serves well by own outcomes, its health endpoint claims that it
	// is down; desk-1 fails, its health endpoint claims that it is idle.
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
	// Without own outcomes the reports decide.
	p, _ = newPool(2, 100, nil)
	p.AddReport(time.Second, pool.ProbeReport{Server: "desk-0", Failed: true})
	require.Zero(t, count(time.Second))
	// A good own outcome outweighs a report of a server that is not ready.
	p, _ = newPool(2, 100, nil)
	for _, avoid := range []core.ServerID{"desk-0", "desk-1"} {
		l, err := p.Pick(0, pool.Request{Avoid: avoid})
		require.NoError(t, err)
		l.Release(10*time.Millisecond, pool.OutcomeOK)
	}
	p.AddReport(time.Second, pool.ProbeReport{Server: "desk-0", Health: core.Health{Load: -1}})
	require.InDelta(t, 100, count(time.Second), 40)
	require.Zero(t, count(20*time.Second), "own outcomes are too old")
}

// Guards against new work for a server whose probe says that it leaves,
// also when probes fail or arrive late.
func TestReportOfLeavingCounts(t *testing.T) {
	p, _ := newPool(1, 5, nil)
	gets := func(now time.Duration) bool {
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
	require.False(t, gets(10*time.Second))
	p.AddReport(30*time.Second, pool.ProbeReport{Server: "desk-0", Failed: true})
	require.False(t, gets(45*time.Second))
	p.AddReport(45*time.Second, pool.ProbeReport{Server: "desk-0", Health: ready, Age: 16 * time.Second})
	require.False(t, gets(45*time.Second), "an old report must not undo a newer one")
	p.AddReport(46*time.Second, pool.ProbeReport{Server: "desk-0", Health: ready})
	require.True(t, gets(46*time.Second))
}

// Guards against sending on to a slow server or to one that just refused
// for load, and against never trying them again.
func TestSlowAndFullServersGetLess(t *testing.T) {
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

// Guards against retries at the server that just failed.
func TestAvoid(t *testing.T) {
	p, _ := newPool(2, 50, nil)
	for range 50 {
		l, err := p.Pick(0, pool.Request{Avoid: "desk-0"})
		require.NoError(t, err)
		require.Equal(t, core.ServerID("desk-1"), l.Server.Name)
	}
	l, err := p.Pick(0, pool.Request{Avoid: "desk-0"})
	require.NoError(t, err, "the avoided server is better than none")
	require.Equal(t, core.ServerID("desk-0"), l.Server.Name)
}

// Guards against ejecting more than the bound, never ejecting, ejecting the
// only server, and a return without a ramp.
func TestEjectionIsBounded(t *testing.T) {
	// fail fills all slots in n rounds; bad servers fail.
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
	everything := func(core.ServerID) bool { return true }
	p, _ := newPool(10, 3, nil)
	fail(p, 20, everything)
	require.Equal(t, 3, p.Stats(0).Ejected)
	p, _ = newPool(1, 3, nil)
	fail(p, 20, everything)
	require.Zero(t, p.Stats(0).Ejected)
	p, _ = newPool(3, 4, nil)
	fail(p, 3, func(id core.ServerID) bool { return id == "desk-1" })
	require.Equal(t, 1, p.Stats(0).Ejected)
	held := func(now time.Duration) int {
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
	require.Zero(t, held(9*time.Second))
	require.Equal(t, 1, held(10*time.Second))
	require.Equal(t, 2, held(15*time.Second))
	require.Equal(t, 4, held(20*time.Second))
}

// Guards against a cold server that gets its full share at once, and one
// that gets nothing and so never warms up.
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

// Guards against picks that ignore the work in flight.
func TestPicksBalanceWork(t *testing.T) {
	p, _ := newPool(10, 20, nil)
	leases := picks(t, p, 0, 100)
	most := make(map[core.ServerID]int)
	for _, l := range leases {
		most[l.Server.Name]++
	}
	for id, n := range most {
		require.InDelta(t, 10, n, 3, "server %s", id)
	}
}

// Guards against two probers of one server, none, and duties that move
// although their host stays.
func TestProbers(t *testing.T) {
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

// Guards against retries over the budget, past the deadline, without
// jitter, and of orders that may have run.
func TestRetries(t *testing.T) {
	p, _ := newPool(3, 3, nil)
	failed := pool.Attempt{Kind: core.RouteIdempotent, State: core.SendUnknown, Tries: 1}
	_, ok := p.Retry(0, failed)
	require.False(t, ok, "there is no budget before the first request")
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
