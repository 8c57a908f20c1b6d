package rates

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"azurering/core"
	"azurering/core/share"
)

// RequestWeight is the weight of one ordinary request, in thousandths of a
// request.
const RequestWeight int64 = 1000

// Stats counts the decisions about one resource.
type Stats struct {
	Admitted uint64
	Refused  uint64
	// RefusedWithoutLoan counts the refusals while no loan was held. They say nothing
	// about the workspace's rate; all other refusals may also be inside the
	// fleet-wide rate, which a single host cannot know.
	RefusedWithoutLoan uint64
	// AdmittedFromQueue counts the admissions out of the queue.
	AdmittedFromQueue uint64
	// AdmittedWeight is the admitted weight in thousandths of a request.
	AdmittedWeight int64
}

// bucket is a token bucket over the loans of one resource. Its rate and
// burst are the sums over the loans that have not expired.
type bucket struct {
	mu       sync.Mutex
	resource core.Resource
	name     core.WorkspaceID
	parts    []share.Loan
	rate     int64
	burst    int64
	tokens   int64 // thousandths of a request
	frac     int64 // billionths of a token unit
	last     time.Duration
	queued   int64         // weight in the queue
	needAt   time.Duration // earliest next ask for tokens
	stats    Stats
	demand   demand
}

// set replaces the loans. Tokens are clamped to a smaller burst; a larger
// burst adds none.
func (b *bucket) set(now time.Duration, parts []share.Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.refill(now)
	b.parts = b.parts[:0]
	b.rate, b.burst = 0, 0
	for _, p := range parts {
		if p.ExpiresAt <= now {
			continue
		}
		b.parts = append(b.parts, p)
		b.rate += p.Amount.Rate
		b.burst += p.Amount.Burst
	}
	b.clamp()
}

func (b *bucket) clamp() {
	if b.tokens >= b.burst {
		b.tokens, b.frac = b.burst, 0
	}
}

// refill adds tokens up to now. It goes through the expiries since the last
// call in their order, so that each loan counts exactly until its end. It
// returns the later of now and the time of the last call.
func (b *bucket) refill(now time.Duration) time.Duration {
	if now <= b.last {
		return b.last
	}
	for {
		i, at := b.nextExpiry(now)
		b.add(at - b.last)
		b.last = at
		if i < 0 {
			return now
		}
		b.rate -= b.parts[i].Amount.Rate
		b.burst -= b.parts[i].Amount.Burst
		n := len(b.parts) - 1
		b.parts[i] = b.parts[n]
		b.parts = b.parts[:n]
		b.clamp()
	}
}

func (b *bucket) nextExpiry(now time.Duration) (int, time.Duration) {
	found, at := -1, now
	for i := range b.parts {
		if b.parts[i].ExpiresAt <= at {
			found, at = i, max(b.parts[i].ExpiresAt, b.last)
		}
	}
	return found, at
}

func (b *bucket) add(d time.Duration) {
	if d <= 0 || b.rate <= 0 {
		return
	}
	hi, lo := bits.Mul64(uint64(b.rate), uint64(d))
	lo, carry := bits.Add64(lo, uint64(b.frac), 0)
	hi += carry
	if hi >= uint64(time.Second) {
		b.tokens, b.frac = b.burst, 0
		return
	}
	q, rest := bits.Div64(hi, lo, uint64(time.Second))
	if q >= uint64(b.burst) || b.tokens+int64(q) >= b.burst {
		b.tokens, b.frac = b.burst, 0
		return
	}
	b.tokens += int64(q)
	b.frac = int64(rest)
}

// take takes weight tokens if they are there.
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

// needGap is the shortest time between two asks of a bucket for tokens, so
// that a flood of requests does not become a flood of asks.
const needGap = 100 * time.Millisecond

// lack returns the tokens to ask for, or zero if it is too early to ask
// again.
func (b *bucket) lack(now time.Duration, weight int64) int64 {
	if now < b.needAt {
		return 0
	}
	lack := b.queued + weight - b.tokens
	if lack > 0 {
		b.needAt = now + needGap
	}
	return max(lack, 0)
}

// never is the answer of until if the present loans can never admit.
const never = time.Duration(math.MaxInt64)

// until returns how long the present loans need to admit the weight after
// all that is queued before it.
func (b *bucket) until(weight, before int64) time.Duration {
	need := weight + before - b.tokens
	if need <= 0 {
		return 0
	}
	if b.rate <= 0 || weight > b.burst {
		return never
	}
	hi, lo := bits.Mul64(uint64(need), uint64(time.Second))
	if hi >= uint64(b.rate) {
		return never
	}
	q, rest := bits.Div64(hi, lo, uint64(b.rate))
	if rest > 0 {
		q++
	}
	if q >= uint64(never) {
		return never
	}
	return time.Duration(q)
}
