package picker_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/picker"
	"azurering/core/timer"
)

// maxConns is the number of connections that the servers accept.
const maxConns = 390

type testEnv struct {
	clock       *timer.Manual
	view        *picker.Picker
	checks      []core.ServerID
	domainHosts []core.HostID
	onLimit     func(picker.LimitChange)
	leaves      []picker.LeaveNotice // notices that were new to the view
}

var regions = map[core.DomainID]core.RegionID{"a": "north", "b": "north", "c": "south"}

func newTestEnv(host core.HostID, domain core.DomainID) *testEnv {
	env := &testEnv{clock: timer.NewManual(), domainHosts: []core.HostID{host}}
	env.view = picker.New(picker.Config{
		Timer: env.clock, Host: host, Domain: domain, Region: regions[domain], Regions: regions,
		DomainHosts: func(core.DomainID) []core.HostID { return env.domainHosts },
		Service: func(id core.ServiceID) *core.ServiceConfig {
			if id == "unnamed" {
				return nil
			}
			return &core.ServiceConfig{MaxConns: maxConns, HealthPath: "/health", ColdDuration: 3 * time.Second, ColdRate: 2.5}
		},
		RequestCheck: func(i core.Instance) { env.checks = append(env.checks, i.Name) },
		OnLeave:      func(n picker.LeaveNotice) { env.leaves = append(env.leaves, n) },
		OnLimit: func(c picker.LimitChange) {
			if env.onLimit != nil {
				env.onLimit(c)
			}
		},
	})
	return env
}

func instance(n int, domain core.DomainID) core.Instance {
	return core.Instance{
		Server: core.Server{
			Name: core.ServerID(fmt.Sprintf("i-%d", n)), Service: "s", Domain: domain, Address: fmt.Sprintf("10.0.0.%d:80", n), Slots: 3,
		},
		State: core.InstanceReady, StartedMs: 1000, Sequence: 1,
	}
}

func (env *testEnv) addServers(n int, domain core.DomainID) {
	for i := range n {
		env.view.Update(instance(i, domain))
	}
}

func stickyAsk(object string) picker.Request {
	return picker.Request{Service: "s", Object: object, Sticky: true, MaxLatency: time.Second}
}

// Guards against hosts that send one object to different servers, where it is
// slow: a server is only fast for objects that it has handled.
func TestHostsAgreeOnTheServerOfAnObject(t *testing.T) {
	one, two := newTestEnv("h1", "a"), newTestEnv("h2", "a")
	one.addServers(20, "a")
	for i := 19; i >= 0; i-- {
		two.view.Update(instance(i, "a"))
	}
	for n := range 50 {
		object := fmt.Sprint(n)
		a, err := one.view.Acquire(stickyAsk(object))
		require.NoError(t, err)
		b, err := two.view.Acquire(stickyAsk(object))
		require.NoError(t, err)
		require.Equal(t, a.Name, b.Name)
		a.Release(picker.OutcomeAnswered, nil)
		b.Release(picker.OutcomeAnswered, nil)
	}
}

// Guards against a membership change that moves many objects: each moved
// object is slow at its new server.
func TestFewObjectsMoveWhenAServerLeaves(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.addServers(20, "a")
	owner := func(object string) core.ServerID {
		lease, err := env.view.Acquire(stickyAsk(object))
		require.NoError(t, err)
		defer lease.Release(picker.OutcomeAnswered, nil)
		return lease.Name
	}
	before := make(map[string]core.ServerID)
	for n := range 400 {
		before[fmt.Sprint(n)] = owner(fmt.Sprint(n))
	}
	env.view.Remove("i-7", 0)
	for object, was := range before {
		if was != "i-7" {
			require.Equal(t, was, owner(object))
		}
	}
}

// Guards against spreading an object over many servers under load: a request
// at a server that is new to the object takes the time of several others.
func TestObjectStaysOnItsServerUnderLoad(t *testing.T) {
	for n := range 20 {
		for busy, most := range map[int]int{3: 10, 8: 1} { // full servers out of ten: most servers that an object may use
			env := newTestEnv("h1", "a")
			env.addServers(10, "a")
			remote := make(map[core.ServerID]int)
			for i := range busy {
				remote[instance(i, "a").Name] = 3
			}
			env.view.SetRemoteInFlight(map[core.DomainID]map[core.ServerID]int{"a": remote})
			seen := make(map[core.ServerID]bool)
			patient := stickyAsk(fmt.Sprint(n))
			patient.MaxLatency = 3 * time.Second
			for range 30 {
				lease, err := env.view.Acquire(patient)
				if err != nil {
					require.Equal(t, codes.NoCapacity, codes.Of(err))
					break
				}
				seen[lease.Name] = true
			}
			require.LessOrEqual(t, len(seen), most)
			if busy == 3 {
				require.Greater(t, len(seen), 1, "requests spill over while many servers are free")
			}
		}
	}
}

// requestsBeforeSpill acquires for an object until a second server is chosen,
// and returns how many requests the first one got.
func (env *testEnv) requestsBeforeSpill(t *testing.T, object string) int {
	t.Helper()
	first, err := env.view.Acquire(stickyAsk(object))
	require.NoError(t, err)
	for n := 1; n < 100; n++ {
		lease, err := env.view.Acquire(stickyAsk(object))
		require.NoError(t, err)
		if lease.Name != first.Name {
			return n
		}
	}
	t.Fatal("all requests went to one server")
	return 0
}

// Guards against requests that wait in a long queue, and against those that
// leave it too early: a server takes three times as long for an object that
// is new to it.
func TestLongQueueIsPassedOver(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.addServers(5, "a")
	// Three running and six queued: the last one waits two processing times,
	// exactly what it would lose at another server, which takes three.
	require.Equal(t, 3+6, env.requestsBeforeSpill(t, "x"))
}

// Guards against ignoring the requests that other hosts have at a server.
func TestWorkOfOtherHostsCounts(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.addServers(5, "a")
	first, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	first.Release(picker.OutcomeCancelled, nil)
	env.view.SetRemoteInFlight(map[core.DomainID]map[core.ServerID]int{"a": {first.Name: 4}})
	require.Equal(t, 3+6-4, env.requestsBeforeSpill(t, "x"))
}

// Guards against queuing requests without an object while another server has
// a free slot.
func TestRequestsWithoutObjectSpread(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.addServers(5, "a")
	free := stickyAsk("x")
	free.Sticky = false
	for range 15 {
		_, err := env.view.Acquire(free)
		require.NoError(t, err)
	}
	for _, n := range env.view.InFlight() {
		require.Equal(t, 3, n)
	}
}

// Guards against sending requests outside their home regions, or into an
// evacuated domain, when no other server is left.
func TestHomesAndEvacuationBind(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	env.view.Update(instance(3, "c"))
	bound := stickyAsk("x")
	bound.Homes, bound.HomesOnly = []core.RegionID{"south"}, true
	for range 3 {
		lease, err := env.view.Acquire(bound)
		require.NoError(t, err)
		require.Equal(t, core.ServerID("i-3"), lease.Name)
	}
	env.view.SetEvacuated(map[core.DomainID]bool{"c": true})
	_, err := env.view.Acquire(bound)
	require.Equal(t, codes.NoServer, codes.Of(err))
	bound.Homes = nil // the homes of route and workspace exclude each other
	_, err = env.view.Acquire(bound)
	require.Equal(t, codes.NoServer, codes.Of(err))
}

// countAccepted sends requests one at a time for a duration and returns how
// many got a server.
func (env *testEnv) countAccepted(length time.Duration) int {
	n := 0
	for end := env.clock.Now() + length; env.clock.Now() < end; env.clock.Advance(10 * time.Millisecond) {
		if lease, err := env.view.Acquire(stickyAsk("x")); err == nil {
			lease.Release(picker.OutcomeAnswered, nil)
			n++
		}
	}
	return n
}

// Guards against overloading a cold server: it crashes well above its
// permitted rate, which holds for all hosts together.
func TestColdServerGetsFewRequests(t *testing.T) {
	cold := instance(1, "a")
	cold.ColdLeft = 3 * time.Second
	total := 0
	hosts := []core.HostID{"h1", "h2", "h3", "h4"}
	for _, host := range append(hosts, "far") {
		domain := core.DomainID("a")
		if host == "far" {
			domain = "c"
		}
		env := newTestEnv(host, domain)
		env.domainHosts = hosts
		env.view.Update(cold)
		total += env.countAccepted(time.Second)
	}
	require.Positive(t, total, "a cold server must warm up")
	require.LessOrEqual(t, total, 5) // int(2.5) = 2 hosts each send one request per 1.1 s; the bound leaves room
}

// Guards against full load on a server that has just become cold.
func TestServerIsColdAfterRestartAndEvacuation(t *testing.T) {
	for name, makeCold := range map[string]func(*testEnv){
		"a restart under the same id": func(env *testEnv) {
			i := instance(1, "a")
			i.StartedMs, i.Sequence = 2000, 1
			env.view.Update(i)
		},
		"the end of an evacuation": func(env *testEnv) {
			env.view.SetEvacuated(map[core.DomainID]bool{"a": true})
			env.view.SetEvacuated(map[core.DomainID]bool{})
		},
		"a health check that reports it cold": func(env *testEnv) { env.view.HandleCheck(instance(1, "a"), true, 2*time.Second) },
	} {
		env := newTestEnv("h1", "a")
		env.view.Update(instance(1, "a"))
		require.Greater(t, env.countAccepted(time.Second), 50, name)
		makeCold(env)
		require.LessOrEqual(t, env.countAccepted(time.Second), 2, name)
		env.clock.Advance(3 * time.Second)
		require.Greater(t, env.countAccepted(time.Second), 50, name)
	}
}

// Guards against a delayed entry that makes a draining server eligible again.
func TestLateReportIsIgnored(t *testing.T) {
	env := newTestEnv("h1", "a")
	leaving := instance(1, "a")
	leaving.State, leaving.Sequence = core.InstanceDraining, 9
	env.view.Update(instance(1, "a"))
	env.view.Update(leaving)
	late := instance(1, "a")
	late.Sequence = 8
	require.Equal(t, picker.EntryOlder, env.view.Update(late))
	_, err := env.view.Acquire(stickyAsk("x"))
	require.Equal(t, codes.NoServer, codes.Of(err))
}

// Guards against taking a server that has left for a new one, when a report that it
// wrote before reaches the store after its entry was removed. Its next report, or
// its next start, must still count.
func TestLateReportOfARemovedServerIsIgnored(t *testing.T) {
	for name, leaves := range map[string]bool{"reported that it leaves": true, "was removed only": false} {
		env := newTestEnv("h1", "a")
		last := instance(1, "a")
		last.Sequence = 9
		if leaves {
			last.State = core.InstanceDraining
		}
		env.view.Update(last)
		env.view.Remove("i-1", 0)
		env.clock.Advance(6 * time.Second)
		env.view.Tick()
		late := instance(1, "a")
		late.Sequence = 8
		require.Equal(t, picker.EntryOlder, env.view.Update(late), name)
		require.Zero(t, env.countAccepted(100*time.Millisecond), name)
		next := instance(1, "a")
		next.Sequence = 10
		require.Equal(t, picker.EntryChanged, env.view.Update(next), name)
		env.view.Remove("i-1", 0)
		again := instance(1, "a")
		again.StartedMs, again.Sequence = 2000, 1
		require.Equal(t, picker.EntryChanged, env.view.Update(again), name)
	}
}

// Guards against ignoring that a server leaves because its clock was set back
// before it started again: its start then seems to be earlier than the known one.
// A report that it is ready must still not bring back a server of an earlier
// start that has left.
func TestLeaveOfAnEarlierStartCounts(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	again := instance(1, "a")
	again.StartedMs, again.Sequence = 500, 3
	require.Equal(t, picker.EntryOlder, env.view.Update(again))
	again.State, again.Sequence = core.InstanceDraining, 4
	require.Equal(t, picker.EntryChanged, env.view.Update(again))
	require.Zero(t, env.countAccepted(100*time.Millisecond))
}

// Guards against dropping servers whose entries lapsed during a store outage,
// and against keeping entries that were withdrawn.
func TestLapsedEntryIsHeld(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	env.view.Remove("i-1", 2*time.Second)
	env.view.Tick()
	require.Positive(t, env.countAccepted(time.Second))
	env.clock.Advance(time.Second)
	env.view.Tick()
	require.Zero(t, env.countAccepted(100*time.Millisecond))
	env.view.Update(instance(2, "a"))
	env.view.Remove("i-2", 0)
	require.Zero(t, env.countAccepted(100*time.Millisecond))
}

// Guards against sending requests to a server that is gone: after a broken
// connection it gets none until a health check succeeds.
func TestBrokenServerIsChecked(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	lease, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	lease.Release(picker.OutcomeBroken, nil)
	require.Equal(t, []core.ServerID{"i-1"}, env.checks)
	require.Zero(t, env.countAccepted(100*time.Millisecond))
	env.view.HandleCheck(instance(1, "a"), false, 0)
	require.Zero(t, env.countAccepted(100*time.Millisecond))
	env.clock.Advance(2 * time.Second)
	env.view.Tick()
	require.Len(t, env.checks, 2, "the check is repeated after a delay")
	env.view.HandleCheck(instance(1, "a"), true, 0)
	require.Positive(t, env.countAccepted(100*time.Millisecond))
}

// Guards against requests to a silent server while an order still waits there: the
// order does not end until its deadline.
func TestSilentServerIsChecked(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	_, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	other := instance(1, "a")
	other.StartedMs++
	env.view.Suspect(other)
	require.Empty(t, env.checks, "another start of the server was silent")
	env.view.Suspect(instance(1, "a"))
	env.view.Suspect(instance(1, "a"))
	require.Equal(t, []core.ServerID{"i-1"}, env.checks)
	require.Zero(t, env.countAccepted(100*time.Millisecond))
	env.view.HandleCheck(instance(1, "a"), true, 0)
	require.Positive(t, env.countAccepted(100*time.Millisecond))
}

// Guards against ejecting a server that refused only because it was full.
func TestSheddingServerGetsAPause(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	lease, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	lease.Release(picker.OutcomeShed, &picker.Load{Running: 3, Queued: 9})
	require.Zero(t, env.countAccepted(100*time.Millisecond))
	require.Empty(t, env.checks)
	env.clock.Advance(5 * time.Second)
	require.Positive(t, env.countAccepted(100*time.Millisecond))
}

// Guards against candidate lists full of cold servers that this host must not
// warm, as after a whole region restarted.
func TestColdServersDoNotHideOthers(t *testing.T) {
	env := newTestEnv("h9", "a")
	env.domainHosts = []core.HostID{"h1", "h2", "h3", "h9"}
	for i := range 60 {
		cold := instance(i, "a")
		cold.ColdLeft = 3 * time.Second
		env.view.Update(cold)
	}
	_, err := env.view.Acquire(stickyAsk("x"))
	require.Equal(t, codes.NoCapacity, codes.Of(err), "there are servers, but this host may not use them yet")
	env.view.Update(instance(100, "c"))
	lease, err := env.view.Acquire(stickyAsk("x"))
	require.NoError(t, err)
	require.Equal(t, core.ServerID("i-100"), lease.Name)
}

// ranking returns the candidates for an object in their order. It fills one after
// the other.
func (env *testEnv) ranking(t *testing.T, object string, candidates int) []core.ServerID {
	t.Helper()
	var list []core.ServerID
	for range candidates {
		for range instance(0, "a").Slots {
			lease, err := env.view.Acquire(picker.Request{Service: "s", Object: object, MaxLatency: time.Second})
			require.NoError(t, err)
			list = append(list, lease.Name)
		}
	}
	return slices.Compact(list)
}

// Guards against a server of a large service that is no candidate although it ranks
// before others that are: compares with small services, where all are candidates.
func TestCandidatesOfALargeServiceAreTheFirstInRank(t *testing.T) {
	const all, candidates, few = 100, 24, 20
	for n := range 100 {
		object := fmt.Sprint(n)
		large := newTestEnv("h1", "a")
		large.addServers(all, "a")
		position := make(map[core.ServerID]int)
		for id := range all {
			position[instance(id, "a").Name] = candidates // unless it is one of them
		}
		for i, id := range large.ranking(t, object, candidates) {
			position[id] = i
		}
		small := newTestEnv("h1", "a")
		for i := range few {
			small.view.Update(instance((n+i*3)%all, "a"))
		}
		last := 0
		for _, id := range small.ranking(t, object, few) {
			require.GreaterOrEqual(t, position[id], last, "object %s, server %s", object, id)
			last = position[id]
		}
	}
}

// Guards against hosts whose connections to a server together exceed what it accepts.
func TestConnSharesAddUpToWhatAServerAccepts(t *testing.T) {
	env := newTestEnv("h1", "a")
	env.view.Update(instance(1, "a"))
	for _, hosts := range []int{0, 1, 7, 100, 1000} {
		shares := env.view.ConnShares(hosts)
		require.Len(t, shares, 1)
		require.LessOrEqual(t, shares["i-1"]*hosts, maxConns)
		require.Greater(t, (shares["i-1"]+1)*max(hosts, 1), maxConns)
	}
	unnamed := instance(2, "a")
	unnamed.Service = "unnamed"
	env.view.Update(unnamed)
	require.Equal(t, math.MaxInt, env.view.ConnShares(100)["i-2"])
	env.view.Remove("i-1", 0)
	require.NotContains(t, env.view.ConnShares(1), core.ServerID("i-1"))
}
