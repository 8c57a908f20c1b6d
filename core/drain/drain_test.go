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
	// A fixed seed makes runs reproducible. The rapid.seed flag overrides it.
	if err := flag.Set("rapid.seed", "20"); err != nil {
		panic(err)
	}
}

func newState() drain.Fleet {
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

func newDrain(kind core.DrainKind, target string) core.Drain {
	return core.Drain{Kind: kind, Target: target, Mode: core.ModeDrain}
}

// Guards against a drain that removes the last server or entry host or leaves less
// capacity than the load, and against refusing a drain that is safe.
func TestCheckRefusesUnsafeDrains(t *testing.T) {
	cases := []struct {
		name  string
		drain core.Drain
		state func(s *drain.Fleet)
		text  string // in the error; empty if the drain may start
	}{
		{"server with enough capacity left", newDrain(core.DrainServer, "desk-1"), nil, ""},
		{"server without enough capacity left", newDrain(core.DrainServer, "desk-1"), func(s *drain.Fleet) { s.BusySlots["desk"] = 6.5 }, "has 6 slots and needs"},
		{"spare factor", newDrain(core.DrainServer, "desk-1"), func(s *drain.Fleet) { s.CapacityFactor = 1.5 }, "needs 8"},
		{"last server", newDrain(core.DrainServer, "archive-1"), nil, "the last that can serve archive"},
		{"last domain", newDrain(core.DrainDomain, "nemuro"), nil, "the last that can serve archive"},
		{"last host of the last domain", newDrain(core.DrainHost, "n1"), nil, "the last that can serve archive"},
		{"domain", newDrain(core.DrainDomain, "kushiro"), nil, ""},
		{"second domain", newDrain(core.DrainDomain, "kushiro"), func(s *drain.Fleet) { s.Sheet.Drains = []core.Drain{newDrain(core.DrainServer, "desk-3")} }, "needs 5"},
		{"dead hosts are not counted", newDrain(core.DrainHost, "e1"), func(s *drain.Fleet) { s.BusySlots["desk"] = 7 }, "needs 7"},
		{"last entry host", newDrain(core.DrainHost, "k1"), func(s *drain.Fleet) { s.Hosts = s.Hosts[:1] }, "no entry host"},
		{"other service already short of capacity", newDrain(core.DrainServer, "desk-1"), func(s *drain.Fleet) { s.BusySlots["archive"] = 99 }, ""},
		{"unknown server", newDrain(core.DrainServer, "desk-9"), nil, "no server"},
		{"unknown host", newDrain(core.DrainHost, "desk-1"), nil, "no host"},
		{"unknown domain", newDrain(core.DrainDomain, "sapporo"), nil, "no domain"},
		{"unknown kind", newDrain("rack", "k1"), nil, "unknown kind"},
		{"unknown mode", core.Drain{Kind: core.DrainHost, Target: "k1", Mode: "cut"}, nil, "unknown mode"},
		{"negative bound", core.Drain{Kind: core.DrainHost, Target: "k1", Mode: core.ModeDrain, Timeout: -1}, nil, "time bound"},
		{"bound too long", core.Drain{Kind: core.DrainHost, Target: "k1", Mode: core.ModeDrain, Timeout: 25 * time.Hour}, nil, "time bound"},
		{"twice", newDrain(core.DrainServer, "desk-1"), func(s *drain.Fleet) { s.Sheet.Drains = []core.Drain{newDrain(core.DrainServer, "desk-1")} }, "already"},
		{"stop after drain", core.Drain{Kind: core.DrainServer, Target: "desk-1", Mode: core.ModeStop}, func(s *drain.Fleet) { s.Sheet.Drains = []core.Drain{newDrain(core.DrainServer, "desk-1")} }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newState()
			if c.state != nil {
				c.state(&s)
			}
			requireRefusal(t, drain.CheckDrain(s, c.drain), c.text)
		})
	}
}

func requireRefusal(t *testing.T, err error, text string) {
	t.Helper()
	if text == "" {
		require.NoError(t, err)
		return
	}
	require.True(t, codes.Is(err, codes.ChangeInvalid), "%v", err)
	require.ErrorContains(t, err, text)
}

// Guards against shifts with invalid fields, and against a shift to a region that
// lacks a service.
func TestCheckShiftRefusesInvalidShifts(t *testing.T) {
	valid := core.Shift{Name: "move", From: "donan", To: "doto", SharePerMille: 300, Cap: 1000}
	change := func(modify func(s *core.Shift)) core.Shift { s := valid; modify(&s); return s }
	cases := []struct {
		name  string
		shift core.Shift
		text  string
	}{
		{"valid", valid, ""},
		{"no name", change(func(s *core.Shift) { s.Name = "" }), "name"},
		{"name in use", change(func(s *core.Shift) { s.Name = "old" }), "in use"},
		{"same region", change(func(s *core.Shift) { s.To = "donan" }), "two regions"},
		{"unknown region", change(func(s *core.Shift) { s.To = "kanto" }), "two regions"},
		{"no share", change(func(s *core.Shift) { s.SharePerMille = 0 }), "share 0"},
		{"no cap", change(func(s *core.Shift) { s.Cap = 0 }), "cap 0"},
		{"shares sum to more than the whole", change(func(s *core.Shift) { s.SharePerMille = 900 }), "1100 of 1000"},
		{"target cannot serve", change(func(s *core.Shift) { s.From, s.To = "doto", "donan" }), "cannot serve archive"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newState()
			s.Sheet.Shifts = []core.Shift{{Name: "old", From: "donan", To: "doto", SharePerMille: 200, Cap: 1}}
			requireRefusal(t, drain.CheckShift(s, c.shift), c.text)
		})
	}
}

// Guards against a drain that is reported as done while work is left or a host's
// count is missing, and against a time bound that restarts when another host takes
// over the report.
func TestTrackerDerivesProgress(t *testing.T) {
	s := newState()
	sheet := *s.Sheet
	sheet.Drains = []core.Drain{newDrain(core.DrainServer, "desk-1"), {Kind: core.DrainHost, Target: "e1", Mode: core.ModeStop, Timeout: 20 * time.Second}}
	sheet.Shifts = []core.Shift{{Name: "move", From: "donan", To: "doto", SharePerMille: 300, Cap: 1000}}
	seconds := func(n int) time.Duration { return time.Duration(n) * time.Second }
	count := func(host core.HostID, n int64, age int) drain.Count {
		return drain.Count{Host: host, Kind: core.DrainServer, Target: "desk-1", InFlight: n, Age: seconds(age)}
	}
	tracker := drain.NewTracker()
	tracker.Apply(seconds(100), &sheet)
	tracker.Record(seconds(100), []drain.Count{count("k1", 2, 0), count("e1", 1, 0), count("e2", 5, 0)})
	progress := tracker.Drains(seconds(110), s.Hosts)[0]
	require.Equal(t, drain.PhaseDraining, progress.Phase)
	require.Equal(t, int64(3), progress.InFlight, "requests of a dead host are ignored")
	require.Equal(t, []core.HostID{"n1"}, progress.MissingHosts)
	tracker.Record(seconds(110), []drain.Count{count("k1", 0, 10), count("e1", 0, 10)})
	require.Equal(t, drain.PhaseDraining, tracker.Drains(seconds(110), s.Hosts)[0].Phase, "the count of a host is missing")
	require.Equal(t, drain.PhaseOverdue, tracker.Drains(seconds(161), s.Hosts)[0].Phase)
	tracker.Record(seconds(161), []drain.Count{count("n1", 0, 61)})
	require.Equal(t, drain.PhaseDone, tracker.Drains(seconds(161), s.Hosts)[0].Phase)
	require.Equal(t, []core.HostID{"e1"}, tracker.Drains(seconds(110), s.Hosts)[1].MissingHosts, "only the drained host's own count is needed")

	// Another host, with a different clock, takes over the report.
	newTracker := drain.NewTracker()
	newTracker.Apply(seconds(5), &sheet)
	newTracker.Record(seconds(5), []drain.Count{count("k1", 1, 50)})
	progress = newTracker.Drains(seconds(10), s.Hosts)[0]
	require.Equal(t, seconds(55), progress.Elapsed)
	require.Equal(t, seconds(5), progress.TimeLeft)
	require.Equal(t, seconds(55), newTracker.Age(seconds(10), core.DrainServer, "desk-1"))

	require.Equal(t, drain.PhaseMoving, newTracker.Shifts(seconds(10), s.Hosts)[0].Phase)
	newTracker.Record(seconds(10), []drain.Count{{Host: "k1", Target: "move", Rate: 600}, {Host: "n1", Target: "move", Rate: 380}, {Host: "e2", Target: "move", Rate: 500}})
	require.Equal(t, drain.ShiftProgress{Shift: sheet.Shifts[0], Phase: drain.PhaseCapped, Rate: 980, Elapsed: seconds(5)}, newTracker.Shifts(seconds(10), s.Hosts)[0])

	// A drain that is removed and added again starts from zero.
	newTracker.Apply(seconds(20), s.Sheet)
	require.Empty(t, newTracker.Drains(seconds(20), s.Hosts))
	newTracker.Apply(seconds(30), &sheet)
	require.Equal(t, seconds(60), newTracker.Drains(seconds(30), s.Hosts)[0].TimeLeft)
	require.Len(t, newTracker.Drains(seconds(30), s.Hosts)[0].MissingHosts, 3)
}

// fakeHost implements the hooks of a Shutdown and records violations of its
// contract.
type fakeHost struct {
	isRefusing, isLeaving         bool
	inFlight                      int64
	loansReturned, seatHandedOver bool
	canReturnLoans, canHandOver   bool
	ended                         int
	violation                     string
}

func (h *fakeHost) verify(ok bool, format string, args ...any) {
	if !ok && h.violation == "" {
		h.violation = fmt.Sprintf(format, args...)
	}
}

func (h *fakeHost) hooks() drain.Hooks {
	return drain.Hooks{
		Announce: func() { h.isLeaving = true },
		Rejoin:   func() { h.isLeaving = false },
		SetRejecting: func(on bool) {
			h.verify(h.isLeaving, "new requests are refused although lookup responses include the host")
			h.isRefusing = on
		},
		InFlight: func() int64 { return h.inFlight },
		ReturnLoans: func() bool {
			h.verify(h.isRefusing && h.inFlight == 0, "loans returned with %d requests in flight", h.inFlight)
			h.loansReturned = h.canReturnLoans
			return h.canReturnLoans
		},
		HandOver: func() bool { h.seatHandedOver = h.canHandOver; return h.canHandOver },
		End: func() {
			h.ended++
			h.verify(h.inFlight == 0 && h.isRefusing, "ended with %d requests in flight", h.inFlight)
		},
	}
}

// Guards against a stop that aborts a request, refuses callers that may still use a
// cached lookup response, skips a phase or never ends, for random sequences of
// requests, pauses, changes by operators and failing hooks.
func TestStopKeepsPhaseOrder(t *testing.T) {
	order := map[drain.ShutdownPhase]int{
		drain.StopServing: 0, drain.StopAnnounced: 1, drain.StopFinishing: 2, drain.StopDrained: 3,
		drain.StopReturningLoans: 4, drain.StopHandingOver: 5, drain.StopEnded: 6,
	}
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual()
		h := &fakeHost{}
		s := drain.NewShutdown(drain.ShutdownConfig{Hooks: h.hooks()})
		announcedAt, isStopping, lastPhase := time.Duration(-1), false, 0
		tick := func() {
			r := s.Tick(clock.Now())
			if order[r.Phase] < lastPhase {
				t.Fatalf("phase went back to %s", r.Phase)
			}
			lastPhase = order[r.Phase]
			if h.isRefusing && clock.Now()-announcedAt < 35*time.Second {
				t.Fatalf("requests refused %v after the announcement", clock.Now()-announcedAt)
			}
			if r.Phase == drain.StopEnded && !isStopping {
				t.Fatal("host ended without a stop")
			}
			if h.violation != "" {
				t.Fatal(h.violation)
			}
		}
		begin := func(mode core.DrainMode) {
			if lastPhase == 0 {
				announcedAt = clock.Now()
			}
			isStopping = isStopping || mode == core.ModeStop
			s.Begin(clock.Now(), core.Drain{Kind: core.DrainHost, Mode: mode, Timeout: 10 * time.Second})
			lastPhase = max(lastPhase, 1)
		}
		t.Repeat(map[string]func(*rapid.T){
			"drain":   func(*rapid.T) { begin(core.ModeDrain) },
			"stop":    func(*rapid.T) { begin(core.ModeStop) },
			"request": func(*rapid.T) { h.inFlight += int64(boolToInt(!h.isRefusing)) },
			"finish":  func(*rapid.T) { h.inFlight = max(h.inFlight-1, 0) },
			"loans":   func(*rapid.T) { h.canReturnLoans = !h.canReturnLoans },
			"seat":    func(*rapid.T) { h.canHandOver = !h.canHandOver },
			"pause": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
				tick()
			},
			"resume": func(t *rapid.T) {
				if err := s.Resume(clock.Now()); err != nil {
					if lastPhase < 4 || !codes.Is(err, codes.ChangeInvalid) {
						t.Fatalf("resume refused: %v", err)
					}
					return
				}
				if lastPhase > 3 || h.isRefusing || h.isLeaving {
					t.Fatal("resumed in a late phase or without accepting requests")
				}
				lastPhase, isStopping = 0, false
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

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against a stop that does not report overdue requests, and against one that
// aborts them.
func TestStopReportsOverdueWork(t *testing.T) {
	h := &fakeHost{inFlight: 1, canReturnLoans: true, canHandOver: true}
	s := drain.NewShutdown(drain.ShutdownConfig{Hooks: h.hooks()})
	s.Begin(0, core.Drain{Mode: core.ModeStop, Timeout: 10 * time.Second})
	require.Equal(t, drain.StopAnnounced, s.Tick(34*time.Second).Phase)
	r := s.Tick(35 * time.Second)
	require.Equal(t, drain.ShutdownReport{Phase: drain.StopFinishing, Mode: core.ModeStop, InFlight: 1, TimeLeft: 10 * time.Second}, r)
	r = s.Tick(60 * time.Second)
	require.True(t, r.Overdue)
	require.Equal(t, int64(1), r.InFlight)
	require.Zero(t, h.ended, "an overdue request is reported, not aborted")
	h.inFlight = 0
	require.Equal(t, drain.StopEnded, s.Tick(61*time.Second).Phase)
	require.True(t, h.loansReturned && h.seatHandedOver)
	require.Equal(t, 1, h.ended)
}
