package drain_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/drain"
	"azurering/core/timer"
)

func init() {
	// A fixed seed makes runs repeatable; the flag still overrides it.
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
}

func fixture() drain.Fleet {
	sheet := &core.Sheet{
		Regions:  []core.Region{{Name: "doto", Domains: []core.DomainID{"kushiro", "nemuro"}}, {Name: "donan", Domains: []core.DomainID{"esashi"}}},
		Services: []core.Service{{Name: "desk"}, {Name: "archive"}},
		Servers: []core.Server{
			{Name: "desk-1", Service: "desk", Domain: "kushiro", Slots: 3},
			{Name: "desk-2", Service: "desk", Domain: "nemuro", Slots: 3},
			{Name: "desk-3", Service: "desk", Domain: "esashi", Slots: 3},
			{Name: "archive-1", Service: "archive", Domain: "nemuro", Slots: 3},
		},
	}
	hosts := []core.Host{
		{Name: "k1", Domain: "kushiro", State: core.HostLive},
		{Name: "n1", Domain: "nemuro", State: core.HostLive},
		{Name: "e1", Domain: "esashi", State: core.HostLive},
		{Name: "e2", Domain: "esashi", State: core.HostDead},
	}
	return drain.Fleet{Sheet: sheet, Hosts: hosts, BusySlots: map[core.ServiceID]float64{"desk": 5}}
}

func with(kind core.DrainKind, target string) core.Drain {
	return core.Drain{Kind: kind, Target: target, Mode: core.ModeDrain}
}

// Guards against a drain that takes away the last of something or leaves
// less capacity than the load, and against one refused without need.
func TestCheck(t *testing.T) {
	cases := []struct {
		name  string
		drain core.Drain
		state func(s *drain.Fleet)
		text  string // of the refusal, empty if the drain may start
	}{
		{"server with room", with(core.DrainServer, "desk-1"), nil, ""},
		{"server without room", with(core.DrainServer, "desk-1"), func(s *drain.Fleet) { s.BusySlots["desk"] = 6.5 }, "has 6 slots and needs"},
		{"spare", with(core.DrainServer, "desk-1"), func(s *drain.Fleet) { s.CapacityFactor = 1.5 }, "needs 8"},
		{"last server", with(core.DrainServer, "archive-1"), nil, "the last that can serve archive"},
		{"last domain", with(core.DrainDomain, "nemuro"), nil, "the last that can serve archive"},
		{"last host of the last domain", with(core.DrainHost, "n1"), nil, "the last that can serve archive"},
		{"domain", with(core.DrainDomain, "kushiro"), nil, ""},
		{"second domain", with(core.DrainDomain, "kushiro"), func(s *drain.Fleet) { s.Sheet.Drains = []core.Drain{with(core.DrainServer, "desk-3")} }, "needs 5"},
		{"dead hosts don't count", with(core.DrainHost, "e1"), func(s *drain.Fleet) { s.BusySlots["desk"] = 7 }, "needs 7"},
		{"last entry host", with(core.DrainHost, "k1"), func(s *drain.Fleet) { s.Hosts = s.Hosts[:1] }, "no entry host"},
		{"already short elsewhere", with(core.DrainServer, "desk-1"), func(s *drain.Fleet) { s.BusySlots["archive"] = 99 }, ""},
		{"unknown server", with(core.DrainServer, "desk-9"), nil, "no server"},
		{"unknown host", with(core.DrainHost, "desk-1"), nil, "no host"},
		{"unknown domain", with(core.DrainDomain, "sapporo"), nil, "no domain"},
		{"unknown kind", with("rack", "k1"), nil, "unknown kind"},
		{"unknown mode", core.Drain{Kind: core.DrainHost, Target: "k1", Mode: "cut"}, nil, "unknown mode"},
		{"negative bound", core.Drain{Kind: core.DrainHost, Target: "k1", Mode: core.ModeDrain, Timeout: -1}, nil, "time bound"},
		{"endless bound", core.Drain{Kind: core.DrainHost, Target: "k1", Mode: core.ModeDrain, Timeout: 25 * time.Hour}, nil, "time bound"},
		{"twice", with(core.DrainServer, "desk-1"), func(s *drain.Fleet) { s.Sheet.Drains = []core.Drain{with(core.DrainServer, "desk-1")} }, "already"},
		{"stop after drain", core.Drain{Kind: core.DrainServer, Target: "desk-1", Mode: core.ModeStop}, func(s *drain.Fleet) { s.Sheet.Drains = []core.Drain{with(core.DrainServer, "desk-1")} }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := fixture()
			if c.state != nil {
				c.state(&s)
			}
			expect(t, drain.CheckDrain(s, c.drain), c.text)
		})
	}
}

func expect(t *testing.T, err error, text string) {
	t.Helper()
	if text == "" {
		require.NoError(t, err)
		return
	}
	require.True(t, codes.Is(err, codes.ChangeInvalid), "%v", err)
	require.ErrorContains(t, err, text)
}

// Guards against shifts that cannot work.
func TestCheckShift(t *testing.T) {
	good := core.Shift{Name: "move", From: "donan", To: "doto", SharePerMille: 300, Cap: 1000}
	change := func(f func(s *core.Shift)) core.Shift { s := good; f(&s); return s }
	cases := []struct {
		name  string
		shift core.Shift
		text  string
	}{
		{"good", good, ""},
		{"no name", change(func(s *core.Shift) { s.Name = "" }), "name"},
		{"name in use", change(func(s *core.Shift) { s.Name = "old" }), "in use"},
		{"same region", change(func(s *core.Shift) { s.To = "donan" }), "two regions"},
		{"unknown region", change(func(s *core.Shift) { s.To = "kanto" }), "two regions"},
		{"no share", change(func(s *core.Shift) { s.SharePerMille = 0 }), "share 0"},
		{"no cap", change(func(s *core.Shift) { s.Cap = 0 }), "cap 0"},
		{"too much together", change(func(s *core.Shift) { s.SharePerMille = 900 }), "1100 of 1000"},
		{"target cannot serve", change(func(s *core.Shift) { s.From, s.To = "doto", "donan" }), "cannot serve archive"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := fixture()
			s.Sheet.Shifts = []core.Shift{{Name: "old", From: "donan", To: "doto", SharePerMille: 200, Cap: 1}}
			expect(t, drain.CheckShift(s, c.shift), c.text)
		})
	}
}

// Guards against a drain that is called done while work is left or unknown,
// and against a time bound that begins anew on another host.
func TestTracker(t *testing.T) {
	s := fixture()
	sheet := *s.Sheet
	sheet.Drains = []core.Drain{with(core.DrainServer, "desk-1"), {Kind: core.DrainHost, Target: "e1", Mode: core.ModeStop, Timeout: 20 * time.Second}}
	sheet.Shifts = []core.Shift{{Name: "move", From: "donan", To: "doto", SharePerMille: 300, Cap: 1000}}
	at := func(n int) time.Duration { return time.Duration(n) * time.Second }
	count := func(host core.HostID, n int64, age int) drain.Count {
		return drain.Count{Host: host, Kind: core.DrainServer, Target: "desk-1", InFlight: n, Age: at(age)}
	}
	tracker := drain.NewTracker()
	tracker.Apply(at(100), &sheet)
	tracker.Record(at(100), []drain.Count{count("k1", 2, 0), count("e1", 1, 0), count("e2", 5, 0)})
	p := tracker.Drains(at(110), s.Hosts)[0]
	require.Equal(t, drain.PhaseDraining, p.Phase)
	require.Equal(t, int64(3), p.InFlight, "work of a dead host does not count")
	require.Equal(t, []core.HostID{"n1"}, p.MissingHosts)
	tracker.Record(at(110), []drain.Count{count("k1", 0, 10), count("e1", 0, 10)})
	require.Equal(t, drain.PhaseDraining, tracker.Drains(at(110), s.Hosts)[0].Phase, "a host's count is unknown")
	require.Equal(t, drain.PhaseOverdue, tracker.Drains(at(161), s.Hosts)[0].Phase)
	tracker.Record(at(161), []drain.Count{count("n1", 0, 61)})
	require.Equal(t, drain.PhaseDone, tracker.Drains(at(161), s.Hosts)[0].Phase)
	require.Equal(t, []core.HostID{"e1"}, tracker.Drains(at(110), s.Hosts)[1].MissingHosts, "a host drains itself")

	// Another host takes over with a clock of its own.
	other := drain.NewTracker()
	other.Apply(at(5), &sheet)
	other.Record(at(5), []drain.Count{count("k1", 1, 50)})
	p = other.Drains(at(10), s.Hosts)[0]
	require.Equal(t, at(55), p.Elapsed)
	require.Equal(t, at(5), p.TimeLeft)
	require.Equal(t, at(55), other.Age(at(10), core.DrainServer, "desk-1"))

	require.Equal(t, drain.PhaseMoving, other.Shifts(at(10), s.Hosts)[0].Phase)
	other.Record(at(10), []drain.Count{{Host: "k1", Target: "move", Rate: 600}, {Host: "n1", Target: "move", Rate: 380}, {Host: "e2", Target: "move", Rate: 500}})
	require.Equal(t, drain.ShiftProgress{Shift: sheet.Shifts[0], Phase: drain.PhaseCapped, Rate: 980, Elapsed: at(5)}, other.Shifts(at(10), s.Hosts)[0])

	// A drain that ended and begins again starts at zero.
	other.Apply(at(20), s.Sheet)
	require.Empty(t, other.Drains(at(20), s.Hosts))
	other.Apply(at(30), &sheet)
	require.Equal(t, at(60), other.Drains(at(30), s.Hosts)[0].TimeLeft)
	require.Len(t, other.Drains(at(30), s.Hosts)[0].MissingHosts, 3)
}

// host is an entry host around a Stop.
type host struct {
	refusing, leaving  bool
	inFlight           int64
	returned, handed   bool
	canReturn, canHand bool
	ended              int
	fault              string
}

func (h *host) check(ok bool, format string, args ...any) {
	if !ok && h.fault == "" {
		h.fault = fmt.Sprintf(format, args...)
	}
}

func (h *host) hooks() drain.Hooks {
	return drain.Hooks{
		Announce: func() { h.leaving = true },
		Rejoin:   func() { h.leaving = false },
		SetRejecting: func(on bool) {
			h.check(h.leaving, "new requests are refused although the host is handed out")
			h.refusing = on
		},
		InFlight: func() int64 { return h.inFlight },
		ReturnLoans: func() bool {
			h.check(h.refusing && h.inFlight == 0, "loans returned with %d requests in flight", h.inFlight)
			h.returned = h.canReturn
			return h.canReturn
		},
		HandOver: func() bool { h.handed = h.canHand; return h.canHand },
		End: func() {
			h.ended++
			h.check(h.inFlight == 0 && h.refusing, "ended with %d requests in flight", h.inFlight)
		},
	}
}

// Guards against a stop that cuts a request, that refuses callers who still
// hold an answer, that skips a step, or that never ends: in any order of
// requests, pauses, operators' changes and failing steps.
func TestStopStateMachine(t *testing.T) {
	order := map[drain.ShutdownPhase]int{
		drain.StopServing: 0, drain.StopAnnounced: 1, drain.StopFinishing: 2, drain.StopDrained: 3,
		drain.StopReturningLoans: 4, drain.StopHandingOver: 5, drain.StopEnded: 6,
	}
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual()
		h := &host{}
		s := drain.NewShutdown(drain.ShutdownConfig{Hooks: h.hooks()})
		announced, stopping, last := time.Duration(-1), false, 0
		tick := func() {
			r := s.Tick(clock.Now())
			if order[r.Phase] < last {
				t.Fatalf("phase went back to %s", r.Phase)
			}
			last = order[r.Phase]
			if h.refusing && clock.Now()-announced < 35*time.Second {
				t.Fatalf("requests refused %v after the announcement", clock.Now()-announced)
			}
			if r.Phase == drain.StopEnded && !stopping {
				t.Fatal("a drained host ended")
			}
			if h.fault != "" {
				t.Fatal(h.fault)
			}
		}
		begin := func(mode core.DrainMode) {
			if last == 0 {
				announced = clock.Now()
			}
			stopping = stopping || mode == core.ModeStop
			s.Begin(clock.Now(), core.Drain{Kind: core.DrainHost, Mode: mode, Timeout: 10 * time.Second})
			last = max(last, 1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"drain":   func(*rapid.T) { begin(core.ModeDrain) },
			"stop":    func(*rapid.T) { begin(core.ModeStop) },
			"request": func(*rapid.T) { h.inFlight += int64(btoi(!h.refusing)) },
			"finish":  func(*rapid.T) { h.inFlight = max(h.inFlight-1, 0) },
			"loans":   func(*rapid.T) { h.canReturn = !h.canReturn },
			"seat":    func(*rapid.T) { h.canHand = !h.canHand },
			"pause": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
				tick()
			},
			"resume": func(t *rapid.T) {
				if err := s.Resume(clock.Now()); err != nil {
					if last < 4 || !codes.Is(err, codes.ChangeInvalid) {
						t.Fatalf("resume refused: %v", err)
					}
					return
				}
				if last > 3 || h.refusing || h.leaving {
					t.Fatal("resumed without taking requests")
				}
				last, stopping = 0, false
			},
			"": func(*rapid.T) { tick() },
		})
		begin(core.ModeStop)
		h.inFlight = 0
		for range 80 {
			clock.Advance(time.Second)
			tick()
		}
		if h.ended != 1 {
			t.Fatalf("ended %d times after 80 s", h.ended)
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against a report that hides overdue work, and against a cut.
func TestStopOverdue(t *testing.T) {
	h := &host{inFlight: 1, canReturn: true, canHand: true}
	s := drain.NewShutdown(drain.ShutdownConfig{Hooks: h.hooks()})
	s.Begin(0, core.Drain{Mode: core.ModeStop, Timeout: 10 * time.Second})
	require.Equal(t, drain.StopAnnounced, s.Tick(34*time.Second).Phase)
	r := s.Tick(35 * time.Second)
	require.Equal(t, drain.ShutdownReport{Phase: drain.StopFinishing, Mode: core.ModeStop, InFlight: 1, TimeLeft: 10 * time.Second}, r)
	r = s.Tick(60 * time.Second)
	require.True(t, r.Overdue)
	require.Equal(t, int64(1), r.InFlight)
	require.Zero(t, h.ended, "an overdue request is reported, not cut")
	h.inFlight = 0
	require.Equal(t, drain.StopEnded, s.Tick(61*time.Second).Phase)
	require.True(t, h.returned && h.handed)
	require.Equal(t, 1, h.ended)
}
