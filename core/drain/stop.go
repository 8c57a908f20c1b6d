package drain

import (
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// StopPhase is the phase of an entry host that drains or stops.
type StopPhase string

// The phases, in order. A host that only drains stays in StopDrained until
// it is resumed or stopped.
const (
	StopServing   StopPhase = "serving"
	StopAnnounced StopPhase = "announced" // out of the look-ups; requests are still taken
	StopFinishing StopPhase = "finishing" // new requests are refused as not run
	StopDrained   StopPhase = "drained"   // no work is left
	StopReturning StopPhase = "returning" // loans go back
	StopHanding   StopPhase = "handing"   // the seat goes to a candidate
	StopEnded     StopPhase = "ended"
)

// Hooks are what a Stop does to the rest of the host. They must not block;
// a nil hook counts as done. They are called from Begin, Resume and Tick.
type Hooks struct {
	// Announce marks the host as leaving, Rejoin takes that back.
	Announce func()
	Rejoin   func()
	// Refuse turns the refusal of new requests on or off.
	Refuse func(on bool)
	// InFlight returns the number of requests that the host still has.
	InFlight func() int64
	// ReturnLoans and HandOver are called at each tick until they return
	// true.
	ReturnLoans func() bool
	HandOver    func() bool
	// End ends the process. It is called once.
	End func()
}

// StopConfig configures a Stop. Zero durations mean the defaults.
type StopConfig struct {
	// Life is the longest lifetime of look-up answers, 30 s by default.
	Life time.Duration
	// Spread is how long other hosts may need to learn that this one left,
	// 5 s by default. They hand it out until then.
	Spread time.Duration
	// Patience bounds the attempts to return loans, and those to hand over
	// the seat, 12 s by default: then loans have expired by themselves and a
	// candidate takes the seat over without this host.
	Patience time.Duration
	Hooks    Hooks
}

// Stop takes one entry host through section 7.8. It never cuts a request:
// after the time bound it reports what is left and goes on waiting. It is
// safe for concurrent use.
type Stop struct {
	mu     sync.Mutex
	cfg    StopConfig
	phase  StopPhase
	mode   core.DrainMode
	within time.Duration
	since  time.Duration // start of the phase
}

// StopReport is what is left to do.
type StopReport struct {
	Phase    StopPhase
	Mode     core.DrainMode
	InFlight int64
	// Left is the time left for work in flight, negative once overdue. It
	// counts from when new requests are refused.
	Left    time.Duration
	Overdue bool
}

// NewStop returns a Stop of a serving host.
func NewStop(cfg StopConfig) *Stop {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&cfg.Life, 30*time.Second)
	set(&cfg.Spread, 5*time.Second)
	set(&cfg.Patience, 12*time.Second)
	return &Stop{cfg: cfg, phase: StopServing}
}

// Begin starts a drain or a stop of the host. A stop may follow a drain in
// progress; it goes on from the phase reached. A repeat does nothing, so a
// configuration may be applied again.
func (s *Stop) Begin(now time.Duration, d core.Drain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != StopServing {
		if d.Mode == core.ModeStop {
			s.mode = core.ModeStop
		}
		return
	}
	s.mode, s.within = d.Mode, d.Within
	if s.within <= 0 {
		s.within = defaultWithin
	}
	s.enter(now, StopAnnounced)
	call(s.cfg.Hooks.Announce)
}

// Resume takes a drain back. It returns ChangeInvalid once loans or the seat
// are being given up, because the host then has to restart.
func (s *Stop) Resume(now time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case StopServing:
		return nil
	case StopAnnounced, StopFinishing, StopDrained:
	default:
		return codes.New(codes.ChangeInvalid, "drain: host cannot resume in phase %s", s.phase)
	}
	if s.phase != StopAnnounced && s.cfg.Hooks.Refuse != nil {
		s.cfg.Hooks.Refuse(false)
	}
	s.mode = ""
	s.enter(now, StopServing)
	call(s.cfg.Hooks.Rejoin)
	return nil
}

// Tick does what is due and returns what is left. Its owner calls it about
// once a second.
func (s *Stop) Tick(now time.Duration) StopReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.advance(now) {
	}
	return s.report(now)
}

// advance moves to the next phase if the present one is over.
func (s *Stop) advance(now time.Duration) bool {
	h := s.cfg.Hooks
	switch s.phase {
	case StopAnnounced:
		if now-s.since < s.cfg.Spread+s.cfg.Life {
			return false
		}
		if h.Refuse != nil {
			h.Refuse(true)
		}
		s.enter(now, StopFinishing)
	case StopFinishing:
		if s.inFlight() > 0 {
			return false
		}
		s.enter(now, StopDrained)
	case StopDrained:
		if s.mode != core.ModeStop || s.inFlight() > 0 {
			return false
		}
		s.enter(now, StopReturning)
	case StopReturning:
		if !s.attempt(now, h.ReturnLoans) {
			return false
		}
		s.enter(now, StopHanding)
	case StopHanding:
		if !s.attempt(now, h.HandOver) {
			return false
		}
		s.enter(now, StopEnded)
		call(h.End)
	default:
		return false
	}
	return true
}

func (s *Stop) attempt(now time.Duration, hook func() bool) bool {
	return hook == nil || hook() || now-s.since >= s.cfg.Patience
}

func (s *Stop) enter(now time.Duration, phase StopPhase) {
	s.phase, s.since = phase, now
}

func (s *Stop) inFlight() int64 {
	if s.cfg.Hooks.InFlight == nil {
		return 0
	}
	return s.cfg.Hooks.InFlight()
}

func (s *Stop) report(now time.Duration) StopReport {
	r := StopReport{Phase: s.phase, Mode: s.mode, InFlight: s.inFlight()}
	switch s.phase {
	case StopAnnounced:
		r.Left = s.within
	case StopFinishing:
		r.Left = s.within - (now - s.since)
		r.Overdue = r.Left < 0
	}
	return r
}

func call(hook func()) {
	if hook != nil {
		hook()
	}
}
