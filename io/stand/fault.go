package stand

import (
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"azurering/core/codes"
)

// Service names one service of the platform.
type Service string

// The values of Service.
const (
	Table   Service = "table"
	Objects Service = "objects"
	Hosts   Service = "hosts"
)

// FaultKind says how a service misbehaves.
type FaultKind string

// The values of FaultKind. All but cut, slow and limit apply to writes
// only, and truncate to reads of objects only.
const (
	// FaultCut closes the connection before the request has any effect. The
	// client cannot tell this from FaultDropAfter.
	FaultCut FaultKind = "cut"
	// FaultSlow delays the request by Delay. A write takes effect after the
	// delay even if the client has gone.
	FaultSlow FaultKind = "slow"
	// FaultLimit answers that the client is throttled if there are more than
	// Reads or Writes a second.
	FaultLimit FaultKind = "limit"
	// FaultFailBefore answers an internal error without any effect.
	FaultFailBefore FaultKind = "fail-before"
	// FaultFailAfter answers an internal error after the write has taken
	// effect.
	FaultFailAfter FaultKind = "fail-after"
	// FaultDropAfter closes the connection after the write has taken effect.
	FaultDropAfter FaultKind = "drop-after"
	// FaultContend answers a commit as if another transaction held a row.
	FaultContend FaultKind = "contend"
	// FaultTruncate cuts the body of an object short.
	FaultTruncate FaultKind = "truncate"
)

var faultKinds = []FaultKind{
	FaultCut, FaultSlow, FaultLimit, FaultFailBefore, FaultFailAfter, FaultDropAfter, FaultContend, FaultTruncate,
}

// Fault is one fault. Faults add up.
type Fault struct {
	Kind     FaultKind
	Service  Service       // empty for all services
	Identity string        // access key id of the clients concerned; empty for all
	Delay    time.Duration // for FaultSlow
	Reads    float64       // per second, for FaultLimit; zero for no limit
	Writes   float64       // rows or objects per second, for FaultLimit; zero for no limit
	Count    int           // number of requests that it hits; zero for no end
}

// Check returns an error with the code UsageBad for a fault that cannot
// be set.
func (f Fault) Check() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return codes.New(codes.UsageBad, "stand: unknown fault %q", f.Kind)
	}
	if !slices.Contains([]Service{"", Table, Objects, Hosts}, f.Service) {
		return codes.New(codes.UsageBad, "stand: unknown service %q", f.Service)
	}
	if f.Delay < 0 || f.Reads < 0 || f.Writes < 0 || f.Count < 0 {
		return codes.New(codes.UsageBad, "stand: negative value in fault %s", f.Kind)
	}
	return nil
}

// operation is one request as faults see it.
type operation struct {
	service  Service
	identity string
	write    bool
	units    int // rows or objects written, 1 for reads
}

// active is a fault with its state.
type active struct {
	Fault
	left   int
	reads  *rate.Limiter
	writes *rate.Limiter
}

type faults struct {
	mu   sync.Mutex
	list []*active
}

// SetFaults replaces all faults. It changes nothing if one of them is
// refused.
func (s *Stand) SetFaults(list ...Fault) error {
	fresh := make([]*active, 0, len(list))
	for _, f := range list {
		if err := f.Check(); err != nil {
			return err
		}
		fresh = append(fresh, &active{Fault: f, left: f.Count, reads: limiter(f.Reads), writes: limiter(f.Writes)})
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.list = fresh
	return nil
}

// Faults returns the faults that are set and not used up.
func (s *Stand) Faults() []Fault {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	list := make([]Fault, 0, len(s.faults.list))
	for _, a := range s.faults.list {
		if a.Count == 0 || a.left > 0 {
			f := a.Fault
			f.Count = a.left
			list = append(list, f)
		}
	}
	return list
}

// limiter returns nil for no limit.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
}

// hit returns the first fault of a kind that concerns an operation and
// counts it as used. The zero Fault means none.
func (f *faults) hit(kind FaultKind, op operation) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.list {
		if a.Kind == kind && a.concerns(op) {
			a.left--
			return a.Fault, true
		}
	}
	return Fault{}, false
}

func (a *active) concerns(op operation) bool {
	return (a.Service == "" || a.Service == op.service) &&
		(a.Identity == "" || a.Identity == op.identity) &&
		(a.Count == 0 || a.left > 0)
}

// throttled reports whether a limit refuses an operation at a time.
func (f *faults) throttled(op operation, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := false
	for _, a := range f.list {
		l := a.reads
		if op.write {
			l = a.writes
		}
		if a.Kind != FaultLimit || l == nil || !a.concerns(op) {
			continue
		}
		if !l.AllowN(now, min(op.units, l.Burst())) {
			a.left--
			refused = true
		}
	}
	return refused
}

// verdict says how a request goes on.
type verdict string

const (
	proceed  verdict = "proceed"
	throttle verdict = "throttle"
	fail     verdict = "fail"
	contend  verdict = "contend"
)

// abort closes the connection of the current request without an answer.
func abort() { panic(http.ErrAbortHandler) }

// admit applies the faults that come before the effect of a request.
func (s *Stand) admit(op operation) verdict {
	if f, ok := s.faults.hit(FaultSlow, op); ok {
		select {
		case <-s.cfg.Timer.After(f.Delay):
		case <-s.ending:
			abort()
		}
	}
	if _, ok := s.faults.hit(FaultCut, op); ok {
		abort()
	}
	if s.faults.throttled(op, time.Unix(0, 0).Add(s.cfg.Timer.Now())) {
		return throttle
	}
	if !op.write {
		return proceed
	}
	if _, ok := s.faults.hit(FaultFailBefore, op); ok {
		return fail
	}
	if op.service != Table {
		return proceed
	}
	if _, ok := s.faults.hit(FaultContend, op); ok {
		return contend
	}
	return proceed
}

// settle applies the faults that come after the effect of a write.
func (s *Stand) settle(op operation) verdict {
	if !op.write {
		return proceed
	}
	if _, ok := s.faults.hit(FaultDropAfter, op); ok {
		abort()
	}
	if _, ok := s.faults.hit(FaultFailAfter, op); ok {
		return fail
	}
	return proceed
}
