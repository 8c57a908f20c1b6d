package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/picker"
	"azurering/core/timer"
)

type lab struct {
	clock  *timer.Manual
	view   *picker.Picker
	checks []core.ServerID
	mates  []core.HostID
}

var regions = map[core.DomainID]core.RegionID{"a": "north", "b": "north", "c": "south"}

func newLab(host core.HostID, domain core.DomainID) *lab {
	l := &lab{clock: timer.NewManual(), mates: []core.HostID{host}}
	l.view = picker.New(picker.Config{
		Timer: l.clock, Host: host, Domain: domain, Region: regions[domain], Regions: regions,
		DomainHosts: func(core.DomainID) []core.HostID { return l.mates },
		Service: func(core.ServiceID) *core.ServiceConfig {
			return &core.ServiceConfig{HealthPath: "/health", ColdDuration: 3 * time.Second, ColdRate: 2.5}
		},
		RequestCheck: func(i core.Instance) { l.checks = append(l.checks, i.Name) },
	})
	return l
}

func instance(n int, domain core.DomainID) core.Instance {
	return core.Instance{
		Server: core.Server{
			Name: core.ServerID(fmt.Sprintf("i-%d", n)), Service: "s", Domain: domain, Address: fmt.Sprintf("10.0.0.%d:80", n), Slots: 3,
		},
		State: core.InstanceReady, StartedMs: 1000, Sequence: 1,
	}
}

func (l *lab) fill(n int, domain core.DomainID) {
	for i := range n {
		l.view.Update(instance(i, domain))
	}
}

func ask(object string) picker.Request {
	return picker.Request{Service: "s", Object: object, Sticky: true, MaxLatency: time.Second}
}

// A server is only fast for objects that it has handled, so that every host
// must choose the same one.
func TestHostsAgreeOnTheServerOfAnObject(t *testing.T) {
	one, two := newLab("h1", "a"), newLab("h2", "a")
	one.fill(20, "a")
	for i := 19; i >= 0; i-- {
		two.view.Update(instance(i, "a"))
	}
	for n := range 50 {
		object := fmt.Sprint(n)
		a, err := one.view.Acquire(ask(object))
		require.NoError(t, err)
		b, err := two.view.Acquire(ask(object))
		require.NoError(t, err)
		require.Equal(t, a.Name, b.Name)
		a.Release(picker.OutcomeAnswered, nil)
		b.Release(picker.OutcomeAnswered, nil)
	}
}

// A server that joins or leaves must move few objects, or all others lose
// what makes them fast.
func TestFewObjectsMoveWhenAServerLeaves(t *testing.T) {
	l := newLab("h1", "a")
	l.fill(20, "a")
	owner := func(object string) core.ServerID {
		lease, err := l.view.Acquire(ask(object))
		require.NoError(t, err)
		defer lease.Release(picker.OutcomeAnswered, nil)
		return lease.Name
	}
	before := make(map[string]core.ServerID)
	for n := range 400 {
		before[fmt.Sprint(n)] = owner(fmt.Sprint(n))
	}
	l.view.Remove("i-7", false)
	for object, was := range before {
		if was != "i-7" {
			require.Equal(t, was, owner(object))
		}
	}
}

// Under load an object must not be spread over more servers than remember
// it: each cold run takes the time of several others.
func TestObjectStaysOnItsServerUnderLoad(t *testing.T) {
	for n := range 20 {
		for busy, most := range map[int]int{3: 10, 8: 1} { // full servers of ten: servers that an object may use
			l := newLab("h1", "a")
			l.fill(10, "a")
			remote := make(map[core.ServerID]int)
			for i := range busy {
				remote[instance(i, "a").Name] = 3
			}
			l.view.SetRemoteInFlight(map[core.DomainID]map[core.ServerID]int{"a": remote})
			seen := make(map[core.ServerID]bool)
			patient := ask(fmt.Sprint(n))
			patient.MaxLatency = 3 * time.Second
			for range 30 {
				lease, err := l.view.Acquire(patient)
				if err != nil {
					require.Equal(t, codes.NoCapacity, codes.Of(err))
					break
				}
				seen[lease.Name] = true
			}
			require.LessOrEqual(t, len(seen), most)
			if busy == 3 {
				require.Greater(t, len(seen), 1, "free servers help out while there are many")
			}
		}
	}
}

// until acquires for an object until a server other than the first is
// chosen, and returns how many requests the first one got.
func (l *lab) until(t *testing.T, object string) int {
	t.Helper()
	first, err := l.view.Acquire(ask(object))
	require.NoError(t, err)
	for n := 1; n < 100; n++ {
		lease, err := l.view.Acquire(ask(object))
		require.NoError(t, err)
		if lease.Name != first.Name {
			return n
		}
	}
	t.Fatal("all requests went to one server")
	return 0
}

// A request must go to another server rather than wait for long, but not
// before: a server works three times as long on an object that is new to it.
func TestLongQueueIsPassedOver(t *testing.T) {
	l := newLab("h1", "a")
	l.fill(5, "a")
	// Three slots, and six that wait for two thirds of the time that another
	// server would lose.
	require.Equal(t, 3+6, l.until(t, "x"))
}

func TestWorkOfOtherHostsCounts(t *testing.T) {
	l := newLab("h1", "a")
	l.fill(5, "a")
	first, err := l.view.Acquire(ask("x"))
	require.NoError(t, err)
	first.Release(picker.OutcomeCancelled, nil)
	l.view.SetRemoteInFlight(map[core.DomainID]map[core.ServerID]int{"a": {first.Name: 4}})
	require.Equal(t, 3+6-4, l.until(t, "x"))
}

// Requests without an object have no server of their own and go where a slot
// is free.
func TestRequestsWithoutObjectSpread(t *testing.T) {
	l := newLab("h1", "a")
	l.fill(5, "a")
	free := ask("x")
	free.Sticky = false
	for range 15 {
		_, err := l.view.Acquire(free)
		require.NoError(t, err)
	}
	for _, n := range l.view.InFlight() {
		require.Equal(t, 3, n)
	}
}

// Requests bound to their homes, and those of an evacuated domain, must
// rather fail than go elsewhere.
func TestHomesAndEvacuationBind(t *testing.T) {
	l := newLab("h1", "a")
	l.view.Update(instance(1, "a"))
	l.view.Update(instance(3, "c"))
	bound := ask("x")
	bound.Homes, bound.HomesOnly = []core.RegionID{"south"}, true
	for range 3 {
		lease, err := l.view.Acquire(bound)
		require.NoError(t, err)
		require.Equal(t, core.ServerID("i-3"), lease.Name)
	}
	l.view.SetEvacuated(map[core.DomainID]bool{"c": true})
	_, err := l.view.Acquire(bound)
	require.Equal(t, codes.NoServer, codes.Of(err))
	bound.Homes = nil // homes of route and workspace exclude each other
	_, err = l.view.Acquire(bound)
	require.Equal(t, codes.NoServer, codes.Of(err))
}

// count sends as much as the view lets through for a time.
func (l *lab) count(length time.Duration) int {
	n := 0
	for end := l.clock.Now() + length; l.clock.Now() < end; l.clock.Advance(10 * time.Millisecond) {
		if lease, err := l.view.Acquire(ask("x")); err == nil {
			lease.Release(picker.OutcomeAnswered, nil)
			n++
		}
	}
	return n
}

// A cold server crashes at a rate well above its bound, which holds for all
// hosts together.
func TestColdServerGetsFewRequests(t *testing.T) {
	cold := instance(1, "a")
	cold.ColdLeft = 3 * time.Second
	total := 0
	mates := []core.HostID{"h1", "h2", "h3", "h4"}
	for _, host := range append(mates, "far") {
		domain := core.DomainID("a")
		if host == "far" {
			domain = "c"
		}
		l := newLab(host, domain)
		l.mates = mates
		l.view.Update(cold)
		total += l.count(time.Second)
	}
	require.Positive(t, total, "a cold server must warm up")
	require.LessOrEqual(t, total, 5) // 2.5 a second, and the rounding of two hosts
}

func TestServerIsColdAfterRestartAndEvacuation(t *testing.T) {
	for name, again := range map[string]func(*lab){
		"a restart under the same id": func(l *lab) {
			i := instance(1, "a")
			i.StartedMs, i.Sequence = 2000, 1
			l.view.Update(i)
		},
		"the end of an evacuation": func(l *lab) {
			l.view.SetEvacuated(map[core.DomainID]bool{"a": true})
			l.view.SetEvacuated(map[core.DomainID]bool{})
		},
		"its own word in a health check": func(l *lab) { l.view.HandleCheck(instance(1, "a"), true, 2*time.Second) },
	} {
		l := newLab("h1", "a")
		l.view.Update(instance(1, "a"))
		require.Greater(t, l.count(time.Second), 50, name)
		again(l)
		require.LessOrEqual(t, l.count(time.Second), 2, name)
		l.clock.Advance(3 * time.Second)
		require.Greater(t, l.count(time.Second), 50, name)
	}
}

// A report that arrives late must not bring a leaving server back.
func TestLateReportIsIgnored(t *testing.T) {
	l := newLab("h1", "a")
	leaving := instance(1, "a")
	leaving.State, leaving.Sequence = core.InstanceDraining, 9
	l.view.Update(instance(1, "a"))
	l.view.Update(leaving)
	late := instance(1, "a")
	late.Sequence = 8
	require.False(t, l.view.Update(late))
	_, err := l.view.Acquire(ask("x"))
	require.Equal(t, codes.NoServer, codes.Of(err))
}

// A lapsed entry counts for a little longer; one that is withdrawn does not.
func TestLapsedEntryIsHeld(t *testing.T) {
	l := newLab("h1", "a")
	l.view.Update(instance(1, "a"))
	l.view.Remove("i-1", true)
	l.view.Tick()
	require.Positive(t, l.count(time.Second))
	l.clock.Advance(time.Second)
	l.view.Tick()
	require.Zero(t, l.count(100*time.Millisecond))
	l.view.Update(instance(2, "a"))
	l.view.Remove("i-2", false)
	require.Zero(t, l.count(100*time.Millisecond))
}

// A broken connection may mean that the server is gone, so that it gets
// nothing before it was checked.
func TestBrokenServerIsChecked(t *testing.T) {
	l := newLab("h1", "a")
	l.view.Update(instance(1, "a"))
	lease, err := l.view.Acquire(ask("x"))
	require.NoError(t, err)
	lease.Release(picker.OutcomeBroken, nil)
	require.Equal(t, []core.ServerID{"i-1"}, l.checks)
	require.Zero(t, l.count(100*time.Millisecond))
	l.view.HandleCheck(instance(1, "a"), false, 0)
	require.Zero(t, l.count(100*time.Millisecond))
	l.clock.Advance(2 * time.Second)
	l.view.Tick()
	require.Len(t, l.checks, 2, "checked again after a pause")
	l.view.HandleCheck(instance(1, "a"), true, 0)
	require.Positive(t, l.count(100*time.Millisecond))
}

// A refusal tells that the server is full now; it is not broken.
func TestSheddingServerGetsAPause(t *testing.T) {
	l := newLab("h1", "a")
	l.view.Update(instance(1, "a"))
	lease, err := l.view.Acquire(ask("x"))
	require.NoError(t, err)
	lease.Release(picker.OutcomeShed, &picker.Load{Running: 3, Queued: 9})
	require.Zero(t, l.count(100*time.Millisecond))
	require.Empty(t, l.checks)
	l.clock.Advance(5 * time.Second)
	require.Positive(t, l.count(100*time.Millisecond))
}

// Cold servers that are not for this host to warm must not hide the others,
// however many there are: a region that comes back is cold as a whole.
func TestColdServersDoNotHideOthers(t *testing.T) {
	l := newLab("h9", "a")
	l.mates = []core.HostID{"h1", "h2", "h3", "h9"}
	for i := range 60 {
		cold := instance(i, "a")
		cold.ColdLeft = 3 * time.Second
		l.view.Update(cold)
	}
	_, err := l.view.Acquire(ask("x"))
	require.Equal(t, codes.NoCapacity, codes.Of(err), "there are servers, and they may not be used yet")
	l.view.Update(instance(100, "c"))
	lease, err := l.view.Acquire(ask("x"))
	require.NoError(t, err)
	require.Equal(t, core.ServerID("i-100"), lease.Name)
}
