package pool

import (
	"math"
	"time"

	"azurering/core"
)

// Outcome is how a request ended at a server.
type Outcome string

// The values of Outcome.
const (
	OutcomeOK        Outcome = "ok"
	OutcomeFailed    Outcome = "failed"    // no connection, no whole answer, or a server error
	OutcomeShed      Outcome = "shed"      // the server refused for load; it is not broken
	OutcomeCancelled Outcome = "cancelled" // the caller left; says nothing about the server
)

const (
	// step is the weight of one outcome in the moving averages.
	step = 0.2
	// fade is the time in which an average without new outcomes loses two
	// thirds of its weight, so that an avoided server is tried again.
	fade = 30 * time.Second
	// ownLife is how long an own outcome overrides probe reports.
	ownLife = 10 * time.Second
	// shedLife is how long a server that refused for load counts as full.
	shedLife = time.Second
	// rampFloor is the share of draws that a cold server takes part in.
	rampFloor = 0.1
	maxEject  = 5 * time.Minute
	// calm is how long a server must serve until its next ejection is short
	// again.
	calm = 5 * time.Minute
)

// server is the state of one backend server. Pool.mu guards it.
type server struct {
	core.Server
	inUse   int
	removed bool
	leaving bool

	rampFrom, rampFor time.Duration

	failure  float64 // moving average of failures, 0 to 1
	latency  float64 // moving average of latency in seconds, 0 if unknown
	inRow    int     // failures in a row
	outcomes int
	seen     bool // lastOwn counts
	lastOwn  time.Duration
	wasShed  bool
	shedAt   time.Duration

	ejectedUntil time.Duration
	ejections    int

	reported bool
	report   core.Health
	failed   bool // the probe itself failed
	reportAt time.Duration
}

// ramp starts a ramp of the given length.
func (s *server) ramp(now, length time.Duration) { s.rampFrom, s.rampFor = now, length }

// ramped returns the part of the ramp that is done, 0 to 1.
func (s *server) ramped(now time.Duration) float64 {
	if s.rampFor <= 0 || now >= s.rampFrom+s.rampFor {
		return 1
	}
	return max(float64(now-s.rampFrom)/float64(s.rampFor), 0)
}

// forget drops what was learnt, for a server that was replaced.
func (s *server) forget() {
	*s = server{Server: s.Server, inUse: s.inUse, removed: s.removed, leaving: s.leaving}
}

// takesWork reports whether the server may get new work, apart from
// ejection and slots.
func (s *server) takesWork(now, life time.Duration) bool {
	return !s.leaving && !(s.reported && s.report.Leaving && now < s.reportAt+life)
}

func (s *server) isEjected(now time.Duration) bool { return now < s.ejectedUntil }

// faded returns a moving average as it counts now.
func (s *server) faded(v float64, now time.Duration) float64 {
	return v * math.Exp(-float64(now-s.lastOwn)/float64(fade))
}

// score returns how bad it is to send one more request to the server. Own
// counts and outcomes weigh more than probe reports, which may lag or lie.
func (s *server) score(now time.Duration, held int, mean float64, life time.Duration) float64 {
	v := float64(s.inUse+1) / float64(held)
	if s.latency > 0 && mean > 0 {
		v *= 1 + s.faded(min(max(s.latency/mean, 0.25), 8)-1, now)
	}
	v += 2 * s.faded(s.failure, now)
	if s.wasShed && now < s.shedAt+shedLife {
		v++
	}
	return v + s.reportScore(now, life)
}

func (s *server) reportScore(now, life time.Duration) float64 {
	if !s.reported || now >= s.reportAt+life {
		return 0
	}
	v := 0.0
	if s.report.Load > 0 {
		fresh := 1 - float64(now-s.reportAt)/float64(life)
		v += 0.25 * min(s.report.Load, 1) * fresh
	}
	owned := s.seen && now < s.lastOwn+ownLife
	if !owned && (s.failed || !s.report.Ready) {
		v++
	}
	return v
}

// learn adds an outcome.
func (s *server) learn(now, took time.Duration, o Outcome) {
	if o == OutcomeCancelled {
		return
	}
	if o == OutcomeShed {
		s.wasShed, s.shedAt = true, now
		return
	}
	s.failure = s.faded(s.failure, now)
	s.seen, s.lastOwn = true, now
	s.outcomes++
	if o == OutcomeFailed {
		s.failure += step * (1 - s.failure)
		s.inRow++
		return
	}
	s.failure -= step * s.failure
	s.inRow = 0
	s.latency = blend(s.latency, took.Seconds())
}

func blend(mean, v float64) float64 {
	if mean == 0 {
		return v
	}
	return mean + step*(v-mean)
}
