package pool

import (
	"time"

	"azurering/core"
)

// Attempt describes a failed attempt of a request.
type Attempt struct {
	Kind  core.RouteKind
	State core.SendState
	// Tries is the number of attempts so far, including the failed one.
	Tries    int
	Deadline time.Duration // local monotonic time, zero for none
	// ResponseStarted means that the caller has received a part of the answer.
	ResponseStarted bool
}

// retryScale is one retry in the unit of the budget, thousandths of a retry.
const retryScale = 1000

// maxRetryBudget limits the retries that accumulate while few requests fail, so
// that a failure of many servers does not cause a burst of retries.
const maxRetryBudget = 10 * retryScale

// CountRequest adds Config.RetryRatio retries to the retry budget. It is called
// once for each new request, not for retries.
func (p *Pool) CountRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget = min(p.retryBudget+int(p.cfg.RetryRatio*retryScale), maxRetryBudget)
}

// Retry reports whether a failed request may be retried, and after which
// backoff. It takes the retry from the budget. An order is retried only if it
// certainly has not run.
func (p *Pool) Retry(now time.Duration, t Attempt) (time.Duration, bool) {
	if !isRetryable(t) || t.Tries >= p.cfg.MaxAttempts {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retryBudget < retryScale {
		return 0, false
	}
	maxPause := p.cfg.RetryBackoff << max(t.Tries-1, 0)
	pause := maxPause/2 + time.Duration(p.rand.Int64N(int64(maxPause/2)+1))
	expected := time.Duration(p.meanLatency * float64(time.Second))
	if t.Deadline > 0 && now+pause+expected >= t.Deadline {
		return 0, false
	}
	p.retryBudget -= retryScale
	p.stats.Retries++
	return pause, true
}

func isRetryable(t Attempt) bool {
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
