package picker

import (
	"time"

	"azurering/core"
)

// Outcome says how a request to a server ended.
type Outcome string

// The values of Ending.
const (
	OutcomeAnswered  Outcome = "answered" // a whole answer
	OutcomeShed      Outcome = "shed"     // the server refused for load
	OutcomeMoved     Outcome = "moved"    // another server has the address
	OutcomeBroken    Outcome = "broken"   // no connection, or no whole answer
	OutcomeCancelled Outcome = "left"     // the caller left; says nothing of the server
)

// Load is what a server reported of itself.
type Load struct {
	Running int
	Queued  int
}

// Release gives a lease back. Load is nil if the server reported none.
func (l *Lease) Release(end Outcome, load *Load) {
	v := l.view
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := l.server
	s.inFlight = max(s.inFlight-1, 0)
	if !s.listed {
		if s.inFlight == 0 && v.servers[s.Name] == s {
			delete(v.servers, s.Name)
		}
		return
	}
	if s.Address != l.Address || s.StartedMs != l.StartedMs {
		return
	}
	if load != nil {
		s.load, s.loadAt = max(load.Running+load.Queued-s.inFlight, 0), now
	}
	switch end {
	case OutcomeAnswered:
		s.ejects = 0
		if !l.queued {
			v.learn(s.Service, now-l.start)
		}
	case OutcomeShed:
		s.shedUntil = now + shedPause
	case OutcomeMoved, OutcomeBroken:
		if !s.doubt {
			s.doubt = true
			v.check(now, s)
		}
	}
}

// learn blends the time of an answer into the mean of the service.
func (v *Picker) learn(service core.ServiceID, took time.Duration) {
	const weight = 0.05
	mean := v.works[service]
	if mean == 0 {
		v.works[service] = took
		return
	}
	v.works[service] = mean + time.Duration(weight*float64(took-mean))
}

// check asks for a health check and sets the time of the next one.
func (v *Picker) check(now time.Duration, s *server) {
	s.checkAt = now + min(firstEject<<min(s.ejects, 4), maxEject)
	s.ejects++
	v.cfg.RequestCheck(s.Instance)
}

// HandleCheck takes in the result of a health check. Cold is how long the
// server stays cold by its own word. A server that is reached but does not
// call itself healthy stays in doubt until a later check.
func (v *Picker) HandleCheck(i core.Instance, healthy bool, cold time.Duration) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[i.Name]
	if s == nil || s.Address != i.Address || !healthy {
		return
	}
	s.doubt = false
	if cold > 0 {
		s.coldUntil = max(s.coldUntil, now+cold)
	}
}

// InFlight returns this host's requests at each server that has any.
func (v *Picker) InFlight() map[core.ServerID]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	counts := make(map[core.ServerID]int)
	for id, s := range v.servers {
		if s.inFlight > 0 {
			counts[id] = s.inFlight
		}
	}
	return counts
}
