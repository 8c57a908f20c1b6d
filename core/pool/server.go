package pool

import (
	"math"
	"time"

	"azurering/core"
)

// Outcome says how a request to a server ended.
type Outcome string

// The values of Outcome.
const (
	OutcomeOK        Outcome = "ok"
	OutcomeFailed    Outcome = "failed"    // no connection, no complete answer, or a server error
	OutcomeShed      Outcome = "shed"      // the server refused the request because of its load; not a failure
	OutcomeCancelled Outcome = "cancelled" // the caller cancelled; not counted for or against the server
)

const (
	// averageWeight is the weight of one outcome in the moving averages.
	averageWeight = 0.2
	// averageDecay is the time constant with which an average decays while
	// there are no new outcomes: in this time it loses two thirds of its
	// weight, so that a server with a bad score is tried again.
	averageDecay = 30 * time.Second
	// outcomeLife is how long an outcome seen by this host overrides a probe
	// that failed or reported the server as not ready.
	outcomeLife = 10 * time.Second
	// shedLife is how long the score of a server is raised after it shed a
	// request.
	shedLife = time.Second
	// minDrawShare is the minimum share of draws that a cold server takes part
	// in.
	minDrawShare = 0.1
	maxEjection  = 5 * time.Minute
	// ejectionReset is the time after an ejection until the length of
	// ejections starts over at Config.BaseEjection.
	ejectionReset = 5 * time.Minute
)

// server is the state of a backend server. Pool.mu guards it.
type server struct {
	core.Server
	inUse   int
	removed bool
	leaving bool

	rampStart, rampLength time.Duration

	failureRate   float64 // moving average of failures, 0 to 1
	latency       float64 // moving average of latency in seconds, 0 if unknown
	failuresInRow int     // consecutive failures
	outcomes      int     // outcomes since the last ejection or reset
	hasOutcome    bool    // whether lastOutcome is set
	lastOutcome   time.Duration
	wasShed       bool
	shedAt        time.Duration

	ejectedUntil time.Duration
	ejections    int

	hasReport   bool
	report      core.Health
	probeFailed bool // the last probe got no answer
	reportedAt  time.Duration
}

// startRamp starts a ramp of the given length at the given time.
func (s *server) startRamp(now, length time.Duration) { s.rampStart, s.rampLength = now, length }

// rampProgress returns the progress of the ramp, from 0 to 1.
func (s *server) rampProgress(now time.Duration) float64 {
	if s.rampLength <= 0 || now >= s.rampStart+s.rampLength {
		return 1
	}
	return max(float64(now-s.rampStart)/float64(s.rampLength), 0)
}

// reset resets everything learned about a server that was replaced or added
// again. The requests in flight still count.
func (s *server) reset() {
	*s = server{Server: s.Server, inUse: s.inUse, removed: s.removed, leaving: s.leaving}
}

// acceptsRequests reports whether the server accepts new requests, regardless of
// ejection and free slots.
func (s *server) acceptsRequests(now, life time.Duration) bool {
	return !s.leaving && !(s.hasReport && s.report.Leaving && now < s.reportedAt+life)
}

func (s *server) isEjected(now time.Duration) bool { return now < s.ejectedUntil }

// decayed returns a moving average after its decay since the last outcome.
func (s *server) decayed(v float64, now time.Duration) float64 {
	return v * math.Exp(-float64(now-s.lastOutcome)/float64(averageDecay))
}

// score returns the cost of sending one more request to the server; lower is
// better. The host's own counts and outcomes weigh more than probe reports,
// which may be outdated or wrong.
func (s *server) score(now time.Duration, held int, mean float64, life time.Duration) float64 {
	v := float64(s.inUse+1) / float64(held)
	if s.latency > 0 && mean > 0 {
		v *= 1 + s.decayed(min(max(s.latency/mean, 0.25), 8)-1, now)
	}
	v += 2 * s.decayed(s.failureRate, now)
	if s.wasShed && now < s.shedAt+shedLife {
		v++
	}
	return v + s.reportScore(now, life)
}

func (s *server) reportScore(now, life time.Duration) float64 {
	if !s.hasReport || now >= s.reportedAt+life {
		return 0
	}
	v := 0.0
	if s.report.Load > 0 {
		fresh := 1 - float64(now-s.reportedAt)/float64(life)
		v += 0.25 * min(s.report.Load, 1) * fresh
	}
	recent := s.hasOutcome && now < s.lastOutcome+outcomeLife
	if !recent && (s.probeFailed || !s.report.Ready) {
		v++
	}
	return v
}

// observe updates the averages with an outcome.
func (s *server) observe(now, took time.Duration, o Outcome) {
	if o == OutcomeCancelled {
		return
	}
	if o == OutcomeShed {
		s.wasShed, s.shedAt = true, now
		return
	}
	s.failureRate = s.decayed(s.failureRate, now)
	s.hasOutcome, s.lastOutcome = true, now
	s.outcomes++
	if o == OutcomeFailed {
		s.failureRate += averageWeight * (1 - s.failureRate)
		s.failuresInRow++
		return
	}
	s.failureRate -= averageWeight * s.failureRate
	s.failuresInRow = 0
	s.latency = movingAverage(s.latency, took.Seconds())
}

// movingAverage adds a value to an exponentially weighted moving average.
func movingAverage(mean, v float64) float64 {
	if mean == 0 {
		return v
	}
	return mean + averageWeight*(v-mean)
}
