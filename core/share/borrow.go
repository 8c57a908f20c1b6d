package share

import (
	"context"
	"time"

	"azurering/core"
)

// BorrowForeign asks other domains: it renews their loans as far as they are still
// needed, and asks one further domain at a time for what is short.
func (h *Borrower) BorrowForeign(ctx context.Context) {
	if h.cfg.ForeignDomains == nil {
		return
	}
	list := h.cfg.ForeignDomains()
	for _, d := range list {
		if h.renewDue(d) {
			_, _ = h.ask(ctx, d, func(now time.Duration) []core.LoanItem { return h.foreignItems(d, now, false) })
		}
	}
	d, lack := h.nextLender(list)
	if lack == 0 {
		return
	}
	gained, err := h.ask(ctx, d, func(now time.Duration) []core.LoanItem { return h.foreignItems(d, now, true) })
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil && gained*4 >= lack {
		h.fails = 0
		return
	}
	h.turn++
	h.fails++
	if h.fails >= len(list) {
		h.fails = 0
		for r := range h.lacks {
			h.dry[r] = h.cfg.Timer.Now() + h.cfg.RenewInterval/3
		}
		clear(h.lacks)
		h.pause = h.cfg.Timer.Now() + h.cfg.RenewInterval
	}
}

// renewDue reports whether an ask about the loans of another domain is due.
func (h *Borrower) renewDue(d core.DomainID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, l := h.cfg.Timer.Now(), h.lenders[d]
	return l != nil && (now >= l.next || (l.urgent && now >= l.last+h.cfg.MinRequestInterval))
}

// nextLender picks the next other domain to ask, and returns the rate that
// is short.
func (h *Borrower) nextLender(list []core.DomainID) (core.DomainID, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Timer.Now()
	if len(list) == 0 || now < h.pause {
		return "", 0
	}
	d := list[h.turn%len(list)]
	if l := h.lenders[d]; l != nil && now < l.last+h.cfg.MinRequestInterval {
		return "", 0
	}
	var lack int64
	for r := range h.wants {
		lack += max(h.lack(r, now), 0)
	}
	for _, tokens := range h.lacks {
		lack += tokens
	}
	return d, lack
}

// foreignItems lists what is held from another domain, with as much of it
// wanted as is still needed, and what is short if more is set.
func (h *Borrower) foreignItems(d core.DomainID, now time.Duration, more bool) []core.LoanItem {
	var items []core.LoanItem
	for _, r := range h.resources() {
		held := h.heldFrom(d, r, now)
		lack := h.lack(r, now)
		short := int64(0)
		if more {
			short = h.lacks[r]
		}
		if held.IsZero() && short == 0 && (!more || lack <= 0) {
			continue
		}
		want := core.Amount{Rate: max(held.Rate+lack, 0)}
		if SumLoans(h.loans[r], now).Burst < h.wants[r].Burst {
			want.Burst = h.wants[r].Burst
		}
		items = append(items, core.LoanItem{Resource: r, Held: held, Demand: want, TokenDeficit: short})
	}
	return items
}

// slack is a rate below which loans are not moved: the estimate of a small
// demand varies by about this much, and tokens out of the seat holders'
// buckets make up for it.
const slack = request / 2

// small returns how much of a need the seat holder may keep in its bucket.
func small(need int64) int64 { return need - pooled(need) }

// lack returns the rate that the loans are short of, negative if they are
// more than is wanted. Loans between the need and a third more are left as
// they are: other domains keep what they do not need for those that are
// short. Only what the own domain has been asked for counts. Loans whose
// burst is below the largest request admit nothing and count as short.
func (h *Borrower) lack(r core.Resource, now time.Duration) int64 {
	need := min(h.wants[r].Rate, h.asked[r].Rate)
	held := SumLoans(h.loans[r], now)
	switch {
	case need <= 0:
		return -held.Rate
	case held.Burst < h.wants[r].Burst:
		return max(need-held.Rate, need/8, 1)
	case held.Rate < need+need/16-slack-small(need):
		return need + need/5 - held.Rate
	case held.Rate > need+need/3+slack:
		return need + need/3 - held.Rate
	default:
		return 0
	}
}

// credit passes on tokens. What the own domain could not give is asked of
// the others.
func (h *Borrower) credit(d core.DomainID, item core.LoanItem, loan core.Loan, now time.Duration) int64 {
	if item.TokenDeficit <= 0 || h.cfg.OnTokens == nil {
		return 0
	}
	tokens := min(max(loan.Tokens, 0), item.TokenDeficit)
	if tokens > 0 {
		h.cfg.OnTokens(now, item.Resource, tokens)
	}
	left := item.TokenDeficit - tokens
	if d == h.cfg.Domain && tokens == 0 && h.cfg.ForeignDomains == nil {
		h.dry[item.Resource] = now + h.cfg.RenewInterval/3
	}
	if left > 0 && h.cfg.ForeignDomains != nil {
		h.lacks[item.Resource] = left
	} else {
		delete(h.lacks, item.Resource)
	}
	return tokens
}

// shortItems lists only the resources that are short of tokens. The others
// keep their loans.
func (h *Borrower) shortItems(now time.Duration) []core.LoanItem {
	var items []core.LoanItem
	for _, item := range h.ownItems(now) {
		if item.TokenDeficit > 0 {
			items = append(items, item)
		}
	}
	return items
}
