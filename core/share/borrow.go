package share

import (
	"context"
	"time"

	"azurering/core"
)

// BorrowForeign requests loans from other domains. It renews the loans that are still
// needed, and requests the remaining deficit from one more domain per call. A
// failed request is repeated by a later call. Borrow waits for the answers.
func (h *Borrower) BorrowForeign(ctx context.Context) {
	if h.cfg.ForeignDomains == nil {
		return
	}
	list := h.cfg.ForeignDomains()
	for _, d := range list {
		if h.renewalDue(d) {
			_, _ = h.requestLoans(ctx, d, func(now time.Duration) []core.LoanItem { return h.foreignItems(d, now, false) })
		}
	}
	d, deficit := h.nextLender(list)
	if deficit == 0 {
		return
	}
	gained, err := h.requestLoans(ctx, d, func(now time.Duration) []core.LoanItem { return h.foreignItems(d, now, true) })
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil && gained*4 >= deficit {
		h.failures = 0
		return
	}
	h.nextForeign++
	h.failures++
	if h.failures >= len(list) {
		h.failures = 0
		for r := range h.foreignTokenRequests {
			h.tokenRetryAt[r] = h.cfg.Timer.Now() + h.cfg.RenewInterval/3
		}
		clear(h.foreignTokenRequests)
		h.foreignRetryAt = h.cfg.Timer.Now() + h.cfg.RenewInterval
	}
}

// renewalDue reports whether the loans of another domain are due for renewal.
func (h *Borrower) renewalDue(d core.DomainID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, l := h.cfg.Timer.Now(), h.lenderStates[d]
	return l != nil && (now >= l.nextRenewal || (l.urgent && now >= l.lastRequest+h.cfg.MinRequestInterval))
}

// nextLender returns the next other domain to ask and the sum of all rate and
// token deficits. The sum is zero if there is no deficit or no request is
// allowed yet.
func (h *Borrower) nextLender(list []core.DomainID) (core.DomainID, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Timer.Now()
	if len(list) == 0 || now < h.foreignRetryAt {
		return "", 0
	}
	d := list[h.nextForeign%len(list)]
	if l := h.lenderStates[d]; l != nil && now < l.lastRequest+h.cfg.MinRequestInterval {
		return "", 0
	}
	var deficit int64
	for r := range h.demands {
		deficit += max(h.rateDeficit(r, now), 0)
	}
	for _, tokens := range h.foreignTokenRequests {
		deficit += tokens
	}
	return d, deficit
}

// foreignItems returns the items of a request to another domain: what is held
// from it, reduced to what is still needed. includeDeficits adds what is
// missing.
func (h *Borrower) foreignItems(d core.DomainID, now time.Duration, includeDeficits bool) []core.LoanItem {
	var items []core.LoanItem
	for _, r := range h.resources() {
		held := h.heldFrom(d, r, now)
		deficit := h.rateDeficit(r, now)
		shortTokens := int64(0)
		if includeDeficits {
			shortTokens = h.foreignTokenRequests[r]
		}
		if held.IsZero() && shortTokens == 0 && (!includeDeficits || deficit <= 0) {
			continue
		}
		demand := core.Amount{Rate: max(held.Rate+deficit, 0)}
		if SumLoans(h.loans[r], now).Burst < h.demands[r].Burst {
			demand.Burst = h.demands[r].Burst
		}
		items = append(items, core.LoanItem{Resource: r, Held: held, Demand: demand, TokenDeficit: shortTokens})
	}
	return items
}

// rateTolerance is the rate difference within which loans stay as they are:
// the estimate of a small demand varies by about this much, and tokens from
// the lenders' pools make up for it.
const rateTolerance = requestWeight / 2

// pooledShare returns how much of a demand the lender may leave in its pool
// instead of lending it.
func pooledShare(demand int64) int64 { return demand - lentShare(demand) }

// rateDeficit returns the rate that the loans are short of, or a negative
// value if they exceed the demand. Loans between the demand and a third more
// stay as they are: other domains keep what they do not need for hosts that
// need it. Only demand that was reported to the host's own domain counts.
// Loans whose burst is below the largest request admit nothing and always
// count as a deficit.
func (h *Borrower) rateDeficit(r core.Resource, now time.Duration) int64 {
	demand := min(h.demands[r].Rate, h.reported[r].Rate)
	held := SumLoans(h.loans[r], now)
	switch {
	case demand <= 0:
		return -held.Rate
	case held.Burst < h.demands[r].Burst:
		return max(demand-held.Rate, demand/8, 1)
	case held.Rate < demand+demand/16-rateTolerance-pooledShare(demand):
		return demand + demand/5 - held.Rate
	case held.Rate > demand+demand/3+rateTolerance:
		return demand + demand/3 - held.Rate
	default:
		return 0
	}
}

// creditTokens passes received tokens on to BorrowerConfig.OnTokens and returns
// their number. What the host's own domain did not give is requested from
// other domains.
func (h *Borrower) creditTokens(d core.DomainID, item core.LoanItem, loan core.Loan, now time.Duration) int64 {
	if item.TokenDeficit <= 0 || h.cfg.OnTokens == nil {
		return 0
	}
	tokens := min(max(loan.Tokens, 0), item.TokenDeficit)
	if tokens > 0 {
		h.cfg.OnTokens(now, item.Resource, tokens)
	}
	rest := item.TokenDeficit - tokens
	if d == h.cfg.Domain && tokens == 0 && h.cfg.ForeignDomains == nil {
		h.tokenRetryAt[item.Resource] = now + h.cfg.RenewInterval/3
	}
	if rest > 0 && h.cfg.ForeignDomains != nil {
		h.foreignTokenRequests[item.Resource] = rest
	} else {
		delete(h.foreignTokenRequests, item.Resource)
	}
	return tokens
}

// tokenItems returns the items of the resources that need tokens. Resources
// that are not in a request keep their loans.
func (h *Borrower) tokenItems(now time.Duration) []core.LoanItem {
	var items []core.LoanItem
	for _, item := range h.ownItems(now) {
		if item.TokenDeficit > 0 {
			items = append(items, item)
		}
	}
	return items
}
