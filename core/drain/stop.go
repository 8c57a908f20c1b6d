package drain

import (
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// ShutdownPhase is the phase of an entry host that drains or stops.
type ShutdownPhase string

// The phases, in order. A host that only drains stays in StopDrained until
// it is resumed or stopped.
const (
	StopServing        ShutdownPhase = "serving"
	StopAnnounced      ShutdownPhase = "announced" // out of the look-ups; requests are still taken
	StopFinishing      ShutdownPhase = "finishing" // new requests are refused as not run
	StopDrained        ShutdownPhase = "drained"   // no work is left
	StopReturningLoans ShutdownPhase = "returning" // loans go back
	StopHandingOver    ShutdownPhase = "handing"   // the seat goes to a candidate
	StopEnded          ShutdownPhase = "ended"
)

// Hooks are what a Stop does to the rest of the host. They must not block;
// a nil hook counts as done. They are called from Begin, Resume and Tick.
type Hooks struct {
	// Announce marks the host as leaving, Rejoin takes that back.
	Announce func()
	Rejoin   func()
	// SetRejecting turns the refusal of new requests on or off.
	SetRejecting func(on bool)
	// InFlight returns the number of requests that the host still has.
	InFlight func() int64
	// ReturnLoans and HandOver are called at each tick until they return
	// true.
	ReturnLoans func() bool
	HandOver    func() bool
	// End ends the process. It is called once.
	End func()
}

// ShutdownConfig configures a Stop. Zero durations mean the defaults.
type ShutdownConfig struct {
	// LookupTTL is the longest lifetime of look-up answers, 30 s by default.
	LookupTTL time.Duration
	// PropagationDelay is how long other hosts may need to learn that this one left,
	// 5 s by default. They hand it out until then.
	PropagationDelay time.Duration
	// HandoverTimeout bounds the attempts to return loans, and those to hand over
	// the seat, 12 s by default: then loans have expired by themselves and a
	// candidate takes the seat over without this host.
	HandoverTimeout time.Duration
	Hooks           Hooks
}

// Shutdown takes one entry host through section 7.8. It never cuts a request:
// after the time bound it reports what is left and goes on waiting. It is
// safe for concurrent use.
type Shutdown struct {
	mu     sync.Mutex
	cfg    ShutdownConfig
	phase  ShutdownPhase
	mode   core.DrainMode
	within time.Duration
	since  time.Duration // start of the phase
}

// ShutdownReport is what is left to do.
type ShutdownReport struct {
	Phase    ShutdownPhase
	Mode     core.DrainMode
	InFlight int64
	// TimeLeft is the time left for work in flight, negative once overdue. It
	// counts from when new requests are refused.
	TimeLeft time.Duration
	Overdue  bool
}

// NewShutdown returns a Stop of a serving host.
func NewShutdown(cfg ShutdownConfig) *Shutdown {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&cfg.LookupTTL, 30*time.Second)
	set(&cfg.PropagationDelay, 5*time.Second)
	set(&cfg.HandoverTimeout, 12*time.Second)
	return &Shutdown{cfg: cfg, phase: StopServing}
}

// Begin starts a drain or a stop of the host. A stop may follow a drain in
// progress; it goes on from the phase reached. A repeat does nothing, so a
// configuration may be applied again.
func (s *Shutdown) Begin(now time.Duration, d core.Drain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != StopServing {
		if d.Mode == core.ModeStop {
			s.mode = core.ModeStop
		}
		return
	}
	s.mode, s.within = d.Mode, d.Timeout
	if s.within <= 0 {
		s.within = defaultWithin
	}
	s.enter(now, StopAnnounced)
	call(s.cfg.Hooks.Announce)
}

// Resume takes a drain back. It returns ChangeInvalid once loans or the seat
// are being given up, because the host then has to restart.
func (s *Shutdown) Resume(now time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case StopServing:
		return nil
	case StopAnnounced, StopFinishing, StopDrained:
	default:
		return codes.New(codes.ChangeInvalid, "drain: host cannot resume in phase %s", s.phase)
	}
	if s.phase != StopAnnounced && s.cfg.Hooks.SetRejecting != nil {
		s.cfg.Hooks.SetRejecting(false)
	}
	s.mode = ""
	s.enter(now, StopServing)
	call(s.cfg.Hooks.Rejoin)
	return nil
}

// Tick does what is due and returns what is left. Its owner calls it about
// once a second.
func (s *Shutdown) Tick(now time.Duration) ShutdownReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.advance(now) {
	}
	return s.report(now)
}

// advance moves to the next phase if the present one is over.
func (s *Shutdown) advance(now time.Duration) bool {
	h := s.cfg.Hooks
	switch s.phase {
	case StopAnnounced:
		if now-s.since < s.cfg.PropagationDelay+s.cfg.LookupTTL {
			return false
		}
		if h.SetRejecting != nil {
			h.SetRejecting(true)
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
		s.enter(now, StopReturningLoans)
	case StopReturningLoans:
		if !s.attempt(now, h.ReturnLoans) {
			return false
		}
		s.enter(now, StopHandingOver)
	case StopHandingOver:
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

func (s *Shutdown) attempt(now time.Duration, hook func() bool) bool {
	return hook == nil || hook() || now-s.since >= s.cfg.HandoverTimeout
}

func (s *Shutdown) enter(now time.Duration, phase ShutdownPhase) {
	s.phase, s.since = phase, now
}

func (s *Shutdown) inFlight() int64 {
	if s.cfg.Hooks.InFlight == nil {
		return 0
	}
	return s.cfg.Hooks.InFlight()
}

func (s *Shutdown) report(now time.Duration) ShutdownReport {
	r := ShutdownReport{Phase: s.phase, Mode: s.mode, InFlight: s.inFlight()}
	switch s.phase {
	case StopAnnounced:
		r.TimeLeft = s.within
	case StopFinishing:
		r.TimeLeft = s.within - (now - s.since)
		r.Overdue = r.TimeLeft < 0
	}
	return r
}

func call(hook func()) {
	if hook != nil {
		hook()
	}
}
