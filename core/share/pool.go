package share

import (
	"time"

	"azurering/core"
)

// pool is the token bucket of a keeper over what it has not lent. It is one
// more bucket of the fleet: its rate and burst are what the domain's amount
// leaves beside all loans, so the sums over all buckets stay within the
// domain's amount. Hosts with small loans get tokens from it at once instead
// of waiting for their own refill.
type pool struct {
	rate   int64 // rate since the last settling
	tokens int64 // thousandths of a request
	frac   int64 // millionths of a token unit
	last   time.Duration
}

// settle adds tokens up to now and clamps them to the burst. It is called
// before and after each change of the amount or of the loans; between two
// calls the free rate is never below the smaller of the two ends.
func (p *pool) settle(now time.Duration, rate, burst int64) {
	if us := min(now-p.last, time.Minute).Microseconds(); us > 0 {
		sum := min(p.rate, rate)*us + p.frac
		p.tokens += sum / 1e6
		p.frac = sum % 1e6
	}
	p.last = now
	p.rate = rate
	if p.tokens >= burst {
		p.tokens, p.frac = burst, 0
	}
}

// settlePool brings the pool of a resource up to date. While a new holder
// does not know all loans, nothing counts as free.
func (k *Lender) settlePool(now time.Duration, r core.Resource, a *account) {
	usable, known := k.usable(r, a)
	if !known || now < k.adopting {
		a.pool.settle(now, 0, 0)
		return
	}
	free := usable.Sub(a.debts.lent(now)).Max(core.Amount{})
	a.pool.settle(now, free.Rate, max(free.Burst-a.debts.flying(), 0))
}

// dole takes tokens for a borrower that is short. Borrowers of other domains
// get at most half of them.
func (p *pool) dole(short int64, foreign bool) int64 {
	most := p.tokens
	if foreign {
		most /= 2
	}
	given := max(min(short, most), 0)
	p.tokens -= given
	return given
}
