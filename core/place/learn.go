package place

import (
	"time"

	"azurering/core"
)

// Ending is the outcome of a request at a server.
type Ending string

// The values of Ending.
const (
	EndAnswered Ending = "answered" // the whole answer arrived
	EndShed     Ending = "shed"     // the server refused because of load
	EndMoved    Ending = "moved"    // another server uses the address now
	EndBroken   Ending = "broken"   // no connection, or an incomplete answer
	EndLeft     Ending = "left"     // the caller disconnected; says nothing about the server
)

// Load is the number of requests that a server reports to be running and
// queued there.
type Load struct {
	Running int
	Waiting int
}

// Done ends a lease and updates the view with its outcome. load is nil if the
// server reported none.
func (l *Lease) Done(end Ending, load *Load) {
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
		s.reportedLoad, s.reportedAt = max(load.Running+load.Waiting-s.inFlight, 0), now
	}
	switch end {
	case EndAnswered:
		s.ejections = 0
		if !l.queued {
			v.recordProcessingTime(s.Service, now-l.start)
		}
	case EndShed:
		s.shedUntil = now + shedBackoff
	case EndMoved, EndBroken:
		if !s.suspect {
			s.suspect = true
			v.requestCheck(now, s)
		}
	}
}

// recordProcessingTime adds a sample to the service's moving average.
func (v *View) recordProcessingTime(service core.ServiceID, took time.Duration) {
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
func (v *View) requestCheck(now time.Duration, s *server) {
	s.nextCheck = now + min(minEjection<<min(s.ejections, 4), maxEjection)
	s.ejections++
	v.cfg.Check(s.Instance)
}

// Checked takes the result of a health check. cold is how long the server
// reports to stay cold. A server that is reached but does not report itself
// healthy stays suspect until a later check succeeds.
func (v *View) Checked(i core.Instance, healthy bool, cold time.Duration) {
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
func (v *View) InFlight() map[core.ServerID]int {
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
