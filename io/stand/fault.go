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

// Service is one of the emulated services.
type Service string

// The emulated services.
const (
	ServiceTable   Service = "table"
	ServiceObjects Service = "objects"
	ServiceHosts   Service = "hosts"
)

// FaultKind is the way in which a service fails.
type FaultKind string

// The kinds of faults. FaultCut, FaultSlow and FaultLimit apply to all
// requests, FaultTruncate applies to reads of objects, FaultContend to writes
// to tables, and the others to all writes.
const (
	// FaultDropBefore closes the connection before the request takes effect. A client
	// can't distinguish this from FaultDropAfter.
	FaultDropBefore FaultKind = "cut"
	// FaultDelay delays the request by Delay. A write takes effect after the
	// delay even if the client has disconnected.
	FaultDelay FaultKind = "slow"
	// FaultThrottle throttles requests above Reads or Writes per second. The burst
	// is one second's worth, at least 1.
	FaultThrottle FaultKind = "limit"
	// FaultFailBefore responds with an internal error before the write takes
	// effect.
	FaultFailBefore FaultKind = "fail-before"
	// FaultFailAfter responds with an internal error after the write took
	// effect.
	FaultFailAfter FaultKind = "fail-after"
	// FaultDropAfter closes the connection after the write took effect.
	FaultDropAfter FaultKind = "drop-after"
	// FaultTransactionConflict cancels a transaction as if it conflicted with another one
	// in progress.
	FaultTransactionConflict FaultKind = "contend"
	// FaultTruncate sends half of an object's body, then closes the connection.
	FaultTruncate FaultKind = "truncate"
)

var faultKinds = []FaultKind{
	FaultDropBefore, FaultDelay, FaultThrottle, FaultFailBefore, FaultFailAfter, FaultDropAfter, FaultTransactionConflict, FaultTruncate,
}

// Fault describes a fault to inject. Several faults can be active at a time;
// of those of the same kind that apply to a request, the first one is used,
// except that every FaultLimit is enforced.
type Fault struct {
	Kind            FaultKind
	Service         Service       // affected service; empty for all
	ClientID        string        // access key ID or bearer token of the affected clients; empty for all
	Delay           time.Duration // for FaultSlow
	ReadsPerSecond  float64       // requests per second, for FaultLimit; zero for no limit
	WritesPerSecond float64       // rows, objects or announcements per second, for FaultLimit; zero for no limit
	MaxRequests     int           // number of requests to affect; zero for no limit
}

// Validate validates a fault. Errors have the code UsageBad.
func (f Fault) Validate() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return codes.New(codes.UsageBad, "stand: unknown fault kind %q", f.Kind)
	}
	if !slices.Contains([]Service{"", ServiceTable, ServiceObjects, ServiceHosts}, f.Service) {
		return codes.New(codes.UsageBad, "stand: unknown service %q", f.Service)
	}
	if f.Delay < 0 || f.ReadsPerSecond < 0 || f.WritesPerSecond < 0 || f.MaxRequests < 0 {
		return codes.New(codes.UsageBad, "stand: fault %s has a negative delay, rate or count", f.Kind)
	}
	return nil
}

// operation holds the properties of a request that decide which faults apply.
type operation struct {
	service  Service
	identity string
	write    bool
	units    int // number of rows or objects written; 1 for reads and announcements
}

// activeFault is a configured fault with its remaining count and rate limiters.
type activeFault struct {
	Fault
	remaining int
	reads     *rate.Limiter
	writes    *rate.Limiter
}

type faultSet struct {
	mu   sync.Mutex
	list []*activeFault
}

// SetFaults replaces all faults. If one of them is invalid, it changes nothing
// and returns an error with the code UsageBad.
func (s *Stand) SetFaults(list ...Fault) error {
	replacement := make([]*activeFault, 0, len(list))
	for _, f := range list {
		if err := f.Validate(); err != nil {
			return err
		}
		replacement = append(replacement, &activeFault{Fault: f, remaining: f.MaxRequests, reads: limiter(f.ReadsPerSecond), writes: limiter(f.WritesPerSecond)})
	}
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	s.faults.list = replacement
	return nil
}

// Faults returns the configured faults that still apply. Count is the number of
// requests that remain.
func (s *Stand) Faults() []Fault {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	list := make([]Fault, 0, len(s.faults.list))
	for _, a := range s.faults.list {
		if a.MaxRequests == 0 || a.remaining > 0 {
			f := a.Fault
			f.MaxRequests = a.remaining
			list = append(list, f)
		}
	}
	return list
}

// limiter returns a limiter with a burst of one second's worth, or nil if there
// is no limit.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
}

// consume returns the first fault of a kind that applies to an operation and
// decrements its remaining count. It reports false if no fault applies.
func (f *faultSet) consume(kind FaultKind, op operation) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.list {
		if a.Kind == kind && a.appliesTo(op) {
			a.remaining--
			return a.Fault, true
		}
	}
	return Fault{}, false
}

func (a *activeFault) appliesTo(op operation) bool {
	return (a.Service == "" || a.Service == op.service) &&
		(a.ClientID == "" || a.ClientID == op.identity) &&
		(a.MaxRequests == 0 || a.remaining > 0)
}

// throttled reports whether an operation exceeds a rate limit at the given time.
func (f *faultSet) throttled(op operation, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	exceeded := false
	for _, a := range f.list {
		limiter := a.reads
		if op.write {
			limiter = a.writes
		}
		if a.Kind != FaultThrottle || limiter == nil || !a.appliesTo(op) {
			continue
		}
		if !limiter.AllowN(now, min(op.units, limiter.Burst())) {
			a.remaining--
			exceeded = true
		}
	}
	return exceeded
}

// faultAction tells the handler of a request how to continue after faults were
// injected.
type faultAction string

const (
	proceed  faultAction = "proceed"
	throttle faultAction = "throttle"
	fail     faultAction = "fail"
	contend  faultAction = "contend"
)

// dropConnection closes the connection of the current request without a
// response. It doesn't return.
func dropConnection() { panic(http.ErrAbortHandler) }

// injectBefore injects the faults that occur before a request takes effect.
func (s *Stand) injectBefore(op operation) faultAction {
	if f, ok := s.faults.consume(FaultDelay, op); ok {
		select {
		case <-s.cfg.Timer.After(f.Delay):
		case <-s.closing:
			dropConnection()
		}
	}
	if _, ok := s.faults.consume(FaultDropBefore, op); ok {
		dropConnection()
	}
	if s.faults.throttled(op, time.Unix(0, 0).Add(s.cfg.Timer.Now())) {
		return throttle
	}
	if !op.write {
		return proceed
	}
	if _, ok := s.faults.consume(FaultFailBefore, op); ok {
		return fail
	}
	if op.service != ServiceTable {
		return proceed
	}
	if _, ok := s.faults.consume(FaultTransactionConflict, op); ok {
		return contend
	}
	return proceed
}

// injectAfter injects the faults that occur after a write took effect.
func (s *Stand) injectAfter(op operation) faultAction {
	if !op.write {
		return proceed
	}
	if _, ok := s.faults.consume(FaultDropAfter, op); ok {
		dropConnection()
	}
	if _, ok := s.faults.consume(FaultFailAfter, op); ok {
		return fail
	}
	return proceed
}
