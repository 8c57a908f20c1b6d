package picker

import (
	"time"

	"azurering/core"
)

// Outcome is the outcome of a request at a server.
type Outcome string

// The values of Outcome.
const (
	OutcomeAnswered  Outcome = "answered" // the whole answer arrived
	OutcomeShed      Outcome = "shed"     // the server refused because of load
	OutcomeMoved     Outcome = "moved"    // another server uses the address now
	OutcomeBroken    Outcome = "broken"   // no connection, or an incomplete answer
	OutcomeCancelled Outcome = "left"     // the caller disconnected; says nothing about the server
)

// Load is the number of requests that a server reports to be running and
// queued there.
type Load struct {
	Running int
	Queued  int
}

// Release ends a lease and updates the view with its outcome. load is nil if the
// server reported none. Further calls do nothing.
func (l *Lease) Release(end Outcome, load *Load) {
	v := l.view
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
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
		s.reportedLoad, s.reportedAt = max(load.Running+load.Queued-s.inFlight, 0), now
	}
	switch end {
	case OutcomeAnswered:
		s.checks = 0
		if !l.queued {
			v.recordProcessingTime(s.Service, now-l.start)
		}
	case OutcomeShed:
		s.shedUntil = now + shedBackoff
	case OutcomeMoved, OutcomeBroken:
		v.suspect(now, s)
	}
}

// Suspect records that a server is silent, although requests wait there. It gets no
// others until a health check succeeds.
func (v *Picker) Suspect(i core.Instance) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[i.Name]; s != nil && s.listed && s.Address == i.Address && s.StartedMs == i.StartedMs {
		v.suspect(now, s)
	}
}

func (v *Picker) suspect(now time.Duration, s *server) {
	if !s.suspect {
		s.suspect = true
		v.requestCheck(now, s)
	}
}

// recordProcessingTime adds a sample to the service's moving average.
func (v *Picker) recordProcessingTime(service core.ServiceID, took time.Duration) {
	const weight = 0.05
	mean := v.processingTimes[service]
	if mean == 0 {
		v.processingTimes[service] = took
		return
	}
	v.processingTimes[service] = mean + time.Duration(weight*float64(took-mean))
}

// requestCheck asks for a health check and schedules the next one with an
// exponential delay.
func (v *Picker) requestCheck(now time.Duration, s *server) {
	s.nextCheck = now + min(minCheckDelay<<min(s.checks, 4), maxCheckDelay)
	s.checks++
	v.cfg.RequestCheck(s.Instance)
}

// HandleCheck takes the result of a health check. cold is how long the server
// reports to stay cold. A server that is reached but does not report itself
// healthy stays suspect until a later check succeeds.
func (v *Picker) HandleCheck(i core.Instance, healthy bool, cold time.Duration) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[i.Name]
	if s == nil || s.Address != i.Address || !healthy {
		return
	}
	s.suspect = false
	if cold > 0 {
		s.coldUntil = max(s.coldUntil, now+cold)
	}
}

// InFlight returns the number of this host's requests at each server that has
// any.
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
