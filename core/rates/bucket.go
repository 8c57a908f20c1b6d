package rates

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/share"
)

// RequestWeight is the weight of one ordinary request, in thousandths of a request.
const RequestWeight int64 = 1000

// Stats counts the decisions about one resource.
type Stats struct {
	Admitted uint64
	Refused  uint64
	// RefusedWithoutLoan counts the part of Refused that was refused because the
	// host held no loan. No refusal shows that the workspace exceeded its
	// fleet-wide rate: a host knows only its own loans.
	RefusedWithoutLoan uint64
	// AdmittedFromQueue counts the admissions out of the queue. They are part of Admitted.
	AdmittedFromQueue uint64
	// AdmittedWeight is the admitted weight in thousandths of a request.
	AdmittedWeight int64
}

// bucket is a token bucket over the loans of one resource. Its rate and burst
// are the sums over the loans that have not expired.
type bucket struct {
	mu               sync.Mutex
	resource         core.Resource
	workspace        core.WorkspaceID
	loans            []share.Loan
	rate             int64
	burst            int64
	tokens           int64 // thousandths of a request
	fraction         int64 // billionths of a token unit
	lastRefill       time.Duration
	queuedWeight     int64         // weight of the waiting requests
	nextTokenRequest time.Duration // earliest time of the next request for tokens
	stats            Stats
	demand           demand
}

// setLoans replaces the loans. Tokens are clamped to a smaller burst; a larger
// burst adds none.
func (b *bucket) setLoans(now time.Duration, loans []share.Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.refill(now)
	b.loans = b.loans[:0]
	b.rate, b.burst = 0, 0
	for _, p := range loans {
		if p.ExpiresAt <= now {
			continue
		}
		b.loans = append(b.loans, p)
		b.rate += p.Amount.Rate
		b.burst += p.Amount.Burst
	}
	b.clamp()
}

func (b *bucket) clamp() {
	if b.tokens >= b.burst {
		b.tokens, b.fraction = b.burst, 0
	}
}

// refill adds the tokens up to now. It processes the expiries since the last
// call in their order, so that each loan counts exactly until its end. It
// returns the later of now and the time of the last call.
func (b *bucket) refill(now time.Duration) time.Duration {
	if now <= b.lastRefill {
		return b.lastRefill
	}
	for {
		i, at := b.nextExpiry(now)
		b.addTokens(at - b.lastRefill)
		b.lastRefill = at
		if i < 0 {
			return now
		}
		b.rate -= b.loans[i].Amount.Rate
		b.burst -= b.loans[i].Amount.Burst
		n := len(b.loans) - 1
		b.loans[i] = b.loans[n]
		b.loans = b.loans[:n]
		b.clamp()
	}
}

func (b *bucket) nextExpiry(now time.Duration) (int, time.Duration) {
	found, at := -1, now
	for i := range b.loans {
		if b.loans[i].ExpiresAt <= at {
			found, at = i, max(b.loans[i].ExpiresAt, b.lastRefill)
		}
	}
	return found, at
}

func (b *bucket) addTokens(d time.Duration) {
	if d <= 0 || b.rate <= 0 {
		return
	}
	hi, lo := bits.Mul64(uint64(b.rate), uint64(d))
	lo, carry := bits.Add64(lo, uint64(b.fraction), 0)
	hi += carry
	if hi >= uint64(time.Second) {
		b.tokens, b.fraction = b.burst, 0
		return
	}
	q, rest := bits.Div64(hi, lo, uint64(time.Second))
	if q >= uint64(b.burst) || b.tokens+int64(q) >= b.burst {
		b.tokens, b.fraction = b.burst, 0
		return
	}
	b.tokens += int64(q)
	b.fraction = int64(rest)
}

// take removes the tokens of a request and reports whether there were enough.
func (b *bucket) take(now time.Duration, weight int64) bool {
	b.refill(now)
	if b.tokens < weight {
		return false
	}
	b.tokens -= weight
	b.stats.Admitted++
	b.stats.AdmittedWeight += weight
	return true
}

// tokenRequestInterval is the shortest time between two token requests of a
// bucket, so that a flood of requests does not become a flood of loan
// requests.
const tokenRequestInterval = 100 * time.Millisecond

// tokenDeficit returns the tokens to request from the lender, or zero if none
// are missing or the last token request is too recent.
func (b *bucket) tokenDeficit(now time.Duration, weight int64) int64 {
	if now < b.nextTokenRequest {
		return 0
	}
	deficit := b.queuedWeight + weight - b.tokens
	if deficit > 0 {
		b.nextTokenRequest = now + tokenRequestInterval
	}
	return max(deficit, 0)
}

// unreachable is the result of timeUntil if the present loans can never admit
// the weight.
const unreachable = time.Duration(math.MaxInt64)

// timeUntil returns how long the present loans need to admit the weight after
// the weight that is queued ahead of it.
func (b *bucket) timeUntil(weight, weightAhead int64) time.Duration {
	missing := weight + weightAhead - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 || weight > b.burst {
		return unreachable
	}
	hi, lo := bits.Mul64(uint64(missing), uint64(time.Second))
	if hi >= uint64(b.rate) {
		return unreachable
	}
	q, rest := bits.Div64(hi, lo, uint64(b.rate))
	if rest > 0 {
		q++
	}
	if q >= uint64(unreachable) {
		return unreachable
	}
	return time.Duration(q)
}
