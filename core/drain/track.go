package drain

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"azurering/core"
)

// Phase is the state of one planned operation.
type Phase string

// The phases of a drain, and of a shift (moving, capped).
const (
	PhaseDraining Phase = "emptying" // work is left, the time bound isn't over
	PhaseOverdue  Phase = "overdue"  // work is left after the time bound
	PhaseDone     Phase = "done"
	PhaseMoving   Phase = "moving"
	PhaseCapped   Phase = "capped" // a shift that moves as much as its cap allows
)

// Count is what one host counts for one drain or shift of its
// configuration. Hosts exchange counts; a host that has not applied the
// drain yet sends none.
type Count struct {
	Host core.HostID
	// Kind is empty for a shift.
	Kind   core.DrainKind
	Target string
	// InFlight is the work that this host still has at the target.
	InFlight int64
	// Rate is what a shift moves, in thousandths of a request per second.
	Rate int64
	// Age is how long the host has known the operation.
	Age time.Duration
}

// Progress is what is left of one drain.
type Progress struct {
	Drain    core.Drain
	Phase    Phase
	InFlight int64
	// MissingHosts are live hosts whose counts are not known. The drain is not
	// done while there are some.
	MissingHosts []core.HostID
	Elapsed      time.Duration
	TimeLeft     time.Duration // until the time bound, negative after it
}

// ShiftProgress is how far one shift got.
type ShiftProgress struct {
	Shift   core.Shift
	Phase   Phase
	Rate    int64 // thousandths of a request per second
	Elapsed time.Duration
}

// Tracker derives the progress of planned operations. Any host can run one
// at any time: after a restart it learns the elapsed times from the counts
// of the others. It is safe for concurrent use.
type Tracker struct {
	mu     sync.Mutex
	sheet  *core.Sheet
	seen   map[operation]time.Duration // local time of the start
	counts map[operation]map[core.HostID]Count
}

type operation struct {
	kind   core.DrainKind
	target string
}

// defaultWithin is the time bound of a drain that names none.
const defaultWithin = 60 * time.Second

// NewTracker returns a tracker without a configuration.
func NewTracker() *Tracker {
	return &Tracker{sheet: &core.Sheet{}, seen: make(map[operation]time.Duration), counts: make(map[operation]map[core.HostID]Count)}
}

// Apply takes in the configuration in force. Operations that it no longer
// holds are forgotten.
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
	for op := range t.seen {
		if !current[op] {
			delete(t.seen, op)
			delete(t.counts, op)
		}
	}
	for op := range current {
		if _, ok := t.seen[op]; !ok {
			t.seen[op] = now
			t.counts[op] = make(map[core.HostID]Count)
		}
	}
}

// Record takes in counts, of this host or of others. The largest age counts,
// so a restart does not extend the time bound.
func (t *Tracker) Record(now time.Duration, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range counts {
		op := operation{c.Kind, c.Target}
		since, ok := t.seen[op]
		if !ok {
			continue
		}
		t.counts[op][c.Host] = c
		t.seen[op] = min(since, now-c.Age)
	}
}

// Age returns how long a drain, or a shift if the kind is empty, has been
// known, for this host's own counts.
func (t *Tracker) Age(now time.Duration, kind core.DrainKind, target string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.seen[operation{kind, target}]
	if !ok {
		return 0
	}
	return now - since
}

// Drains returns the progress of all drains, in the order of the sheet. The
// counts of hosts that are no longer known or dead don't matter: their work
// ended with them.
func (t *Tracker) Drains(now time.Duration, hosts []core.Host) []Progress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Progress
	for _, d := range t.sheet.Drains {
		op := operation{d.Kind, d.Target}
		p := Progress{Drain: d, Elapsed: now - t.seen[op]}
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
		bound := d.Timeout
		if bound == 0 {
			bound = defaultWithin
		}
		p.TimeLeft = bound - p.Elapsed
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

// cappedShare is the part of its cap, in percent, from which a shift counts
// as capped: hosts hand the last few percent out in whole callers.
const cappedShare = 95

// Shifts returns the progress of all shifts, sorted by name.
func (t *Tracker) Shifts(now time.Duration, hosts []core.Host) []ShiftProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ShiftProgress
	for _, s := range t.sheet.Shifts {
		op := operation{"", s.Name}
		p := ShiftProgress{Shift: s, Phase: PhaseMoving, Elapsed: now - t.seen[op]}
		for _, h := range hosts {
			if h.State != core.HostDead {
				p.Rate += t.counts[op][h.Name].Rate
			}
		}
		if p.Rate*100 >= s.Cap*cappedShare {
			p.Phase = PhaseCapped
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b ShiftProgress) int { return cmp.Compare(a.Shift.Name, b.Shift.Name) })
	return out
}
