package edge

import (
	"sync"
	"time"

	"azurering/core"
)

// defaultRecoveryTime applies if the platform does not state the bound.
const defaultRecoveryTime = 15 * time.Second

// operatorRewriteTime returns how long evacuations stay in force that are missing in the
// table after the store has come back from an older copy. The operator requests them
// again. One that was taken back in the moment of the return looks the same, and ends
// after this time, in which the whole system has to recover from any loss.
func operatorRewriteTime(place core.HostSettings) time.Duration {
	if place.Bounds.RecoveryTime <= 0 {
		return defaultRecoveryTime
	}
	return place.Bounds.RecoveryTime
}

// evacuations holds the failure domains to which no requests are sent. It is safe for
// concurrent use.
type evacuations struct {
	timer core.Timer
	apply func(map[core.DomainID]bool) // puts the evacuated domains in force

	mu sync.Mutex
	// until has the end of each evacuation that the store has lost, or 0.
	until map[core.DomainID]time.Duration
}

func newEvacuations(t core.Timer, apply func(map[core.DomainID]bool)) *evacuations {
	return &evacuations{timer: t, apply: apply, until: make(map[core.DomainID]time.Duration)}
}

// set records that a domain is evacuated, or that it no longer is after a time.
// The caller calls publish.
func (e *evacuations) set(d core.DomainID, evacuated bool, hold time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.until[d]
	switch {
	case evacuated:
		e.until[d] = 0
	case hold > 0 && known:
		e.until[d] = e.timer.Now() + hold
	default:
		delete(e.until, d)
	}
}

// expire ends the evacuations whose time is over, and returns their domains. The caller
// calls publish if there are any.
func (e *evacuations) expire() []core.DomainID {
	now := e.timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var over []core.DomainID
	for d, until := range e.until {
		if until > 0 && now >= until {
			delete(e.until, d)
			over = append(over, d)
		}
	}
	return over
}

// publish puts the evacuated domains in force.
func (e *evacuations) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	domains := make(map[core.DomainID]bool, len(e.until))
	for d := range e.until {
		domains[d] = true
	}
	e.apply(domains) // with the lock, so that the latest call has the latest domains
}
