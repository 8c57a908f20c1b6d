package place

import (
	"time"

	"azurering/core"
)

// Ending says how a request to a server ended.
type Ending string

// The values of Ending.
const (
	EndAnswered Ending = "answered" // a whole answer
	EndShed     Ending = "shed"     // the server refused for load
	EndMoved    Ending = "moved"    // another server has the address
	EndBroken   Ending = "broken"   // no connection, or no whole answer
	EndLeft     Ending = "left"     // the caller left; says nothing of the server
)

// Load is what a server reported of itself.
type Load struct {
	Running int
	Waiting int
}

// Done gives a lease back. Load is nil if the server reported none.
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
	if s.Address != l.Address || s.Born != l.Born {
		return
	}
	if load != nil {
		s.load, s.loadAt = max(load.Running+load.Waiting-s.inFlight, 0), now
	}
	switch end {
	case EndAnswered:
		s.ejects = 0
		if !l.queued {
			v.learn(s.Service, now-l.start)
		}
	case EndShed:
		s.shedUntil = now + shedPause
	case EndMoved, EndBroken:
		if !s.doubt {
			s.doubt = true
			v.check(now, s)
		}
	}
}

// learn blends the time of an answer into the mean of the service.
func (v *View) learn(service core.ServiceID, took time.Duration) {
	const weight = 0.05
	mean := v.works[service]
	if mean == 0 {
		v.works[service] = took
		return
	}
	v.works[service] = mean + time.Duration(weight*float64(took-mean))
}

// check asks for a health check and sets the time of the next one.
func (v *View) check(now time.Duration, s *server) {
	s.checkAt = now + min(firstEject<<min(s.ejects, 4), maxEject)
	s.ejects++
	v.cfg.Check(s.Instance)
}

// Checked takes in the result of a health check. Cold is how long the
// server stays cold by its own word. A server that is reached but does not
// call itself healthy stays in doubt until a later check.
func (v *View) Checked(i core.Instance, healthy bool, cold time.Duration) {
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
