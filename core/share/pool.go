package share

import (
	"time"

	"azurering/core"
)

// pool is the token bucket of a lender over the part of the domain's amount
// that is not lent. Its rate and burst are the domain's amount minus all
// loans, so the buckets of the lender and of all hosts together stay within
// the amount. Hosts with small loans get tokens from it at once instead of
// waiting for their own refill.
type pool struct {
	rate       int64 // thousandths of a request per second, since the last refill
	tokens     int64 // thousandths of a request
	fraction   int64 // millionths of a token unit
	lastRefill time.Duration
}

// refill adds tokens up to now, for at most one minute, and clamps them to the
// burst. It is called before and after each change of the amount or of the
// loans. The lower of the old and the new rate is used, because the unlent
// rate was never below it in between.
func (p *pool) refill(now time.Duration, rate, burst int64) {
	if us := min(now-p.lastRefill, time.Minute).Microseconds(); us > 0 {
		sum := min(p.rate, rate)*us + p.fraction
		p.tokens += sum / 1e6
		p.fraction = sum % 1e6
	}
	p.lastRefill = now
	p.rate = rate
	if p.tokens >= burst {
		p.tokens, p.fraction = burst, 0
	}
}

// refillPool refills the pool of a resource up to now. While a new seat holder
// does not know all loans, no rate or burst counts as unlent.
func (k *Lender) refillPool(now time.Duration, r core.Resource, st *resourceState) {
	usable, known := k.usable(r, st)
	if !known || now < k.renewOnlyUntil {
		st.pool.refill(now, 0, 0)
		return
	}
	free := usable.Sub(st.loans.outstanding(now)).Max(core.Amount{})
	st.pool.refill(now, free.Rate, max(free.Burst-st.loans.tokensInFlight(), 0))
}

// grant takes tokens out of the pool for a borrower and returns their number.
// Borrowers of other domains get at most half of the pool.
func (p *pool) grant(wanted int64, foreign bool) int64 {
	available := p.tokens
	if foreign {
		available /= 2
	}
	granted := max(min(wanted, available), 0)
	p.tokens -= granted
	return granted
}
