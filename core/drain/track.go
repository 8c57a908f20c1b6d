package drain

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"azurering/core"
)

// Phase is the phase of a drain or shift.
type Phase string

// A drain is in PhaseDraining, PhaseOverdue or PhaseDone, a shift in PhaseMoving or
// PhaseCapped.
const (
	PhaseDraining Phase = "emptying" // work or counts are outstanding within the time bound
	PhaseOverdue  Phase = "overdue"  // work or counts are outstanding after the time bound
	PhaseDone     Phase = "done"
	PhaseMoving   Phase = "moving"
	PhaseCapped   Phase = "capped" // moves at least 95 % of its cap
)

// Count is a host's count of work for a drain or shift of its configuration. Hosts
// exchange counts; a host that has not applied the drain yet sends none.
type Count struct {
	Host core.HostID
	// Kind is empty for a shift.
	Kind   core.DrainKind
	Target string
	// InFlight is the number of requests that the host has in flight at the
	// target.
	InFlight int64
	// Rate is the traffic that the host moves for a shift, in thousandths of a
	// request per second.
	Rate int64
	// Age is how long the host has known the drain or shift.
	Age time.Duration
}

// Progress is the progress of a drain.
type Progress struct {
	Drain    core.Drain
	Phase    Phase
	InFlight int64
	// MissingHosts lists, sorted, the hosts whose counts are not known. The drain is
	// not done while there are any.
	MissingHosts []core.HostID
	Elapsed      time.Duration
	TimeLeft     time.Duration // time until the time bound, negative after it
}

// ShiftProgress is the progress of a shift.
type ShiftProgress struct {
	Shift   core.Shift
	Phase   Phase
	Rate    int64 // thousandths of a request per second
	Elapsed time.Duration
}

// Tracker derives the progress of drains and shifts from the hosts' counts. Any
// host can run one at any time: after a restart it learns the elapsed times from
// the counts of other hosts. It is safe for concurrent use. The arguments now are
// times of the host's monotonic clock.
type Tracker struct {
	mu      sync.Mutex
	sheet   *core.Sheet
	started map[operation]time.Duration // start by the local clock
	counts  map[operation]map[core.HostID]Count
}

type operation struct {
	kind   core.DrainKind
	target string
}

// defaultTimeBound applies to drains without a time bound.
const defaultTimeBound = 60 * time.Second

// NewTracker returns a tracker without a configuration.
func NewTracker() *Tracker {
	return &Tracker{sheet: &core.Sheet{}, started: make(map[operation]time.Duration), counts: make(map[operation]map[core.HostID]Count)}
}

// Apply sets the configuration in force. The counts and start times of drains and
// shifts that it no longer holds are deleted.
func (t *Tracker) Apply(now time.Duration, sheet *core.Sheet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sheet = sheet
	current := make(map[operation]bool)
	for _, d := range sheet.Drains {
		current[operation{d.Kind, d.Target}] = true
	}
	for _, s := range sheet.Shifts {
		current[operation{"", s.Name}] = true
	}
	for op := range t.started {
		if !current[op] {
			delete(t.started, op)
			delete(t.counts, op)
		}
	}
	for op := range current {
		if _, ok := t.started[op]; !ok {
			t.started[op] = now
			t.counts[op] = make(map[core.HostID]Count)
		}
	}
}

// Record records counts of this host or others. Counts of unknown drains and shifts
// are ignored. The largest age decides when an operation started, so a restart of
// a host does not extend the time bound.
func (t *Tracker) Record(now time.Duration, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		op := operation{c.Kind, c.Target}
		since, ok := t.started[op]
		if !ok {
			continue
		}
		t.counts[op][c.Host] = c
		t.started[op] = min(since, now-c.Age)
	}
}

// Age returns how long a drain, or a shift if the kind is empty, has been known, or
// 0 if it is unknown. Hosts send it in their counts.
func (t *Tracker) Age(now time.Duration, kind core.DrainKind, target string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.started[operation{kind, target}]
	if !ok {
		return 0
	}
	return now - since
}

// Drains returns the progress of all drains, in the order of the sheet. Counts of
// unknown or dead hosts are ignored, as their work ended with them. For the drain
// of a host only that host's count matters.
func (t *Tracker) Drains(now time.Duration, hosts []core.Host) []Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Progress
	for _, d := range t.sheet.Drains {
		op := operation{d.Kind, d.Target}
		p := Progress{Drain: d, Elapsed: now - t.started[op]}
		for _, h := range hosts {
			if h.State == core.HostDead || d.Kind == core.DrainHost && string(h.Name) != d.Target {
				continue
			}
			c, ok := t.counts[op][h.Name]
			if !ok {
				p.MissingHosts = append(p.MissingHosts, h.Name)
				continue
			}
			p.InFlight += c.InFlight
		}
		timeBound := d.Timeout
		if timeBound == 0 {
			timeBound = defaultTimeBound
		}
		p.TimeLeft = timeBound - p.Elapsed
		switch {
		case p.InFlight == 0 && len(p.MissingHosts) == 0:
			p.Phase = PhaseDone
		case p.TimeLeft < 0:
			p.Phase = PhaseOverdue
		default:
			p.Phase = PhaseDraining
		}
		slices.Sort(p.MissingHosts)
		out = append(out, p)
	}
	return out
}

// cappedPercent is the percentage of its cap from which a shift counts as capped.
// Hosts move whole callers, so the last few percent may not be reached.
const cappedPercent = 95

// Shifts returns the progress of all shifts, sorted by name.
func (t *Tracker) Shifts(now time.Duration, hosts []core.Host) []ShiftProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ShiftProgress
	for _, s := range t.sheet.Shifts {
		op := operation{"", s.Name}
		p := ShiftProgress{Shift: s, Phase: PhaseMoving, Elapsed: now - t.started[op]}
		for _, h := range hosts {
			if h.State != core.HostDead {
				p.Rate += t.counts[op][h.Name].Rate
			}
		}
		if p.Rate*100 >= s.Cap*cappedPercent {
			p.Phase = PhaseCapped
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b ShiftProgress) int { return cmp.Compare(a.Shift.Name, b.Shift.Name) })
	return out
}
