package drain

import (
	"sync"
	"time"

	"azurering/core"
	"azurering/core/codes"
)

// ShutdownPhase is the phase of an entry host that drains or stops.
type ShutdownPhase string

// The phases of a host, in order. A drain without a stop ends in StopDrained, where
// the host stays until it is resumed or stopped.
const (
	StopServing        ShutdownPhase = "serving"
	StopAnnounced      ShutdownPhase = "announced" // removed from lookup responses; still accepts requests
	StopFinishing      ShutdownPhase = "finishing" // rejects new requests as not run
	StopDrained        ShutdownPhase = "drained"   // no requests are in flight
	StopReturningLoans ShutdownPhase = "returning" // returns its loans
	StopHandingOver    ShutdownPhase = "handing"   // hands its seat over to a candidate
	StopEnded          ShutdownPhase = "ended"
)

// Hooks are the callbacks with which a Shutdown acts on the host. They are called from
// Begin, Resume and Tick with the Shutdown's lock held, so they must neither block
// nor call the Shutdown. A nil hook is skipped and counts as done.
type Hooks struct {
	// Announce announces to other hosts that this one is leaving. Rejoin revokes
	// that.
	Announce func()
	Rejoin   func()
	// SetRejecting turns the rejection of new requests on or off.
	SetRejecting func(on bool)
	// InFlight returns the number of requests in flight on this host.
	InFlight func() int64
	// ReturnLoans and HandOver are called at each tick until they return true or
	// HandoverTimeout is over.
	ReturnLoans func() bool
	HandOver    func() bool
	// End ends the process. It is called once.
	End func()
}

// ShutdownConfig configures a Shutdown. Durations that are not positive mean the defaults.
type ShutdownConfig struct {
	// LookupTTL is the longest time for which lookup responses may be cached, 30 s by
	// default.
	LookupTTL time.Duration
	// PropagationDelay is how long it takes until all other hosts know that this one is
	// leaving, 5 s by default. Until then they include it in lookup responses.
	PropagationDelay time.Duration
	// HandoverTimeout bounds the attempts to return loans, and those to hand over the
	// seat, 12 s by default. After that the loans have expired, and a candidate
	// takes the seat without this host.
	HandoverTimeout time.Duration
	Hooks           Hooks
}

// Shutdown is the state machine of an entry host that drains or stops: it leaves the
// lookup responses, finishes its requests, returns its loans, hands over its seat
// and ends. It never aborts a request: after the time bound it reports the
// requests as overdue and goes on waiting. It is safe for concurrent use. Times
// are those of the host's monotonic clock.
type Shutdown struct {
	mu         sync.Mutex
	cfg        ShutdownConfig
	phase      ShutdownPhase
	mode       core.DrainMode
	within     time.Duration
	phaseStart time.Duration // when the phase began
}

// ShutdownReport is the progress of a Shutdown.
type ShutdownReport struct {
	Phase    ShutdownPhase
	Mode     core.DrainMode
	InFlight int64
	// TimeLeft is the time left for requests in flight, negative once overdue. It is
	// the whole time bound in StopAnnounced, runs during StopFinishing, and is 0 in
	// other phases.
	TimeLeft time.Duration
	Overdue  bool
}

// NewShutdown returns a Shutdown in phase StopServing.
func NewShutdown(cfg ShutdownConfig) *Shutdown {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setDefault(&cfg.LookupTTL, 30*time.Second)
	setDefault(&cfg.PropagationDelay, 5*time.Second)
	setDefault(&cfg.HandoverTimeout, 12*time.Second)
	return &Shutdown{cfg: cfg, phase: StopServing}
}

// Begin starts a drain or a stop of the host. A stop during a drain continues from
// the phase reached, with the drain's time bound. Repeated calls have no effect,
// so the same configuration may be applied again.
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
		s.within = defaultTimeBound
	}
	s.setPhase(now, StopAnnounced)
	runHook(s.cfg.Hooks.Announce)
}

// Resume cancels a drain or stop. It returns an error with ChangeInvalid from phase
// StopReturning on: the host must restart then.
func (s *Shutdown) Resume(now time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case StopServing:
		return nil
	case StopAnnounced, StopFinishing, StopDrained:
	default:
		return codes.New(codes.ChangeInvalid, "drain: host cannot resume in phase %s and must restart", s.phase)
	}
	if s.phase != StopAnnounced && s.cfg.Hooks.SetRejecting != nil {
		s.cfg.Hooks.SetRejecting(false)
	}
	s.mode = ""
	s.setPhase(now, StopServing)
	runHook(s.cfg.Hooks.Rejoin)
	return nil
}

// Tick enters the phases that are due and reports the progress. The owner calls it
// about once a second.
func (s *Shutdown) Tick(now time.Duration) ShutdownReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.advance(now) {
	}
	return s.report(now)
}

// advance enters the next phase if the current one is over, and reports whether it
// did.
func (s *Shutdown) advance(now time.Duration) bool {
	h := s.cfg.Hooks
	switch s.phase {
	case StopAnnounced:
		if now-s.phaseStart < s.cfg.PropagationDelay+s.cfg.LookupTTL {
			return false
		}
		if h.SetRejecting != nil {
			h.SetRejecting(true)
		}
		s.setPhase(now, StopFinishing)
	case StopFinishing:
		if s.inFlight() > 0 {
			return false
		}
		s.setPhase(now, StopDrained)
	case StopDrained:
		if s.mode != core.ModeStop || s.inFlight() > 0 {
			return false
		}
		s.setPhase(now, StopReturningLoans)
	case StopReturningLoans:
		if !s.doneOrTimedOut(now, h.ReturnLoans) {
			return false
		}
		s.setPhase(now, StopHandingOver)
	case StopHandingOver:
		if !s.doneOrTimedOut(now, h.HandOver) {
			return false
		}
		s.setPhase(now, StopEnded)
		runHook(h.End)
	default:
		return false
	}
	return true
}

func (s *Shutdown) doneOrTimedOut(now time.Duration, hook func() bool) bool {
	return hook == nil || hook() || now-s.phaseStart >= s.cfg.HandoverTimeout
}

func (s *Shutdown) setPhase(now time.Duration, phase ShutdownPhase) {
	s.phase, s.phaseStart = phase, now
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
		r.TimeLeft = s.within - (now - s.phaseStart)
		r.Overdue = r.TimeLeft < 0
	}
	return r
}

func runHook(hook func()) {
	if hook != nil {
		hook()
	}
}
