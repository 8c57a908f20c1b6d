package pool

import (
	"time"

	"azurering/core"
)

// Attempt describes a request that failed.
type Attempt struct {
	Kind  core.RouteKind
	State core.SendState
	// Tries counts the tries so far, including the failed one.
	Tries    int
	Deadline time.Duration // local monotonic time, zero for none
	// ResponseStarted says that the caller has got a part of the answer.
	ResponseStarted bool
}

// retryScale is one retry in units of the budget.
const retryScale = 1000

// maxBudget bounds the retries that a calm time saves up, so that a failure
// of many servers does not start with a burst.
const maxBudget = 10 * retryScale

// CountRequest counts one request, not a retry. Each adds RetryShare of a retry
// to the budget.
func (p *Pool) CountRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget = min(p.budget+int(p.cfg.RetryRatio*retryScale), maxBudget)
}

// Retry decides whether a failed request may be tried again, after which
// pause, and takes the retry from the budget. An order is tried again only
// if it surely has not run.
func (p *Pool) Retry(now time.Duration, t Attempt) (time.Duration, bool) {
	if !repeatable(t) || t.Tries >= p.cfg.MaxAttempts {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budget < retryScale {
		return 0, false
	}
	full := p.cfg.RetryBackoff << max(t.Tries-1, 0)
	pause := full/2 + time.Duration(p.rand.Int64N(int64(full/2)+1))
	usual := time.Duration(p.latency * float64(time.Second))
	if t.Deadline > 0 && now+pause+usual >= t.Deadline {
		return 0, false
	}
	p.budget -= retryScale
	p.stats.Retries++
	return pause, true
}

func repeatable(t Attempt) bool {
	if t.ResponseStarted {
		return false
	}
	switch t.State {
	case core.SendNotSent, core.SendRefused:
		return true
	default:
		return t.Kind == core.RouteIdempotent
	}
}
