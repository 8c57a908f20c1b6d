package share

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"azurering/core"
)

// borrower identifies one run of a host. After a restart, the earlier run
// stays a separate borrower until its loans expire.
type borrower struct {
	host        core.HostID
	incarnation uint64
}

// loanRecord is what a lender knows about the loan of one borrower.
type loanRecord struct {
	domain core.DomainID
	// amount is the most that the borrower may hold until expires.
	amount      core.Amount
	expires     time.Duration
	demand      core.Amount
	lastRequest time.Duration
	// tokensInFlight are tokens granted in the last answer. They count as used
	// until the next loan request shows that the answer was applied or never
	// will be.
	tokensInFlight int64
}

// ledger holds the loans of one resource.
type ledger map[borrower]*loanRecord

// outstanding returns the sum of what the borrowers may hold. It clears
// expired loans and removes borrowers that have sent no request for a minute.
func (l ledger) outstanding(now time.Duration) core.Amount {
	var sum core.Amount
	for b, rec := range l {
		if rec.expires > now {
			sum = sum.Add(rec.amount)
			continue
		}
		rec.amount, rec.tokensInFlight = core.Amount{}, 0
		if now-rec.lastRequest > time.Minute {
			delete(l, b)
		}
	}
	return sum
}

// tokensInFlight returns the granted tokens that may not have arrived yet.
// Call outstanding first; it clears those of expired loans.
func (l ledger) tokensInFlight() int64 {
	var sum int64
	for _, rec := range l {
		sum += rec.tokensInFlight
	}
	return sum
}

// active returns the borrowers that sent a request within the given time,
// split into those of the domain and those of other domains, each sorted.
func (l ledger) active(now, within time.Duration, domain core.DomainID) (own, foreign []borrower) {
	for b, rec := range l {
		switch {
		case now-rec.lastRequest > within:
		case rec.domain == domain:
			own = append(own, b)
		default:
			foreign = append(foreign, b)
		}
	}
	sortBorrowers(own)
	sortBorrowers(foreign)
	return own, foreign
}

func sortBorrowers(list []borrower) {
	slices.SortFunc(list, func(a, b borrower) int {
		if c := strings.Compare(string(a.host), string(b.host)); c != 0 {
			return c
		}
		return cmp.Compare(a.incarnation, b.incarnation)
	})
}

// demands returns the demand of each borrower in one component of the amount,
// and their sum.
func (l ledger) demands(list []borrower, component func(core.Amount) int64) (demands []int64, sum int64) {
	demands = make([]int64, 0, len(list))
	for _, b := range list {
		demand := max(component(l[b].demand), 0)
		demands = append(demands, demand)
		sum += demand
	}
	return demands, sum
}

func rateOf(a core.Amount) int64  { return a.Rate }
func slotsOf(a core.Amount) int64 { return a.Slots }

// target returns what borrower b should hold of the usable amount, given the
// active borrowers. Demands of the domain's own hosts come first, divided by
// max-min fairness. Borrowers of other domains get at most three quarters of
// what is left, and no slots. Half of the rest is lent to the domain's hosts
// as headroom, in proportion to their demands; the other half stays unlent for
// the next request.
//
// If the burst suffices for a pool, a host's rate is reduced by lentShare; the
// rest stays in the pool. The burst of the loan is half of the burst in
// proportion to its rate, but at least the largest request.
func (l ledger) target(usable core.Amount, own, foreign []borrower, b borrower) core.Amount {
	t := core.Amount{
		Rate:  l.fairPart(usable.Rate, own, foreign, b, rateOf),
		Slots: l.fairPart(usable.Slots, own, nil, b, slotsOf),
	}
	if l.burstDemand(own) <= usable.Burst-minPoolBurst {
		t.Rate = lentShare(t.Rate)
	}
	// The other half of the burst belongs to the lender's pool, from which
	// hosts get tokens at once when they run out.
	t.Burst = mulDiv(usable.Burst, t.Rate, usable.Rate) / 2
	if t.Rate > 0 {
		// A burst below the largest request admits nothing.
		t.Burst = max(t.Burst, l[b].demand.Burst)
	}
	return t
}

// lentShare returns how much of a host's part is lent. The smaller the part,
// the more of it stays in the lender's pool: a host with few requests per
// second would leave tokens unused while another refuses.
func lentShare(part int64) int64 {
	return mulDiv(part, part, part+halfLentRate)
}

// burstDemand returns the sum of the bursts that the borrowers need to admit
// their largest requests.
func (l ledger) burstDemand(list []borrower) int64 {
	var sum int64
	for _, b := range list {
		sum += l[b].demand.Burst
	}
	return sum
}

// minPoolBurst is the burst below which the lender's pool is of no use. With
// less, the whole part of a host is lent.
const minPoolBurst = 2 * requestWeight

// halfLentRate is the part of a host, in thousandths of a request per second,
// of which lentShare lends half.
const halfLentRate = 2 * requestWeight

func (l ledger) fairPart(usable int64, own, foreign []borrower, b borrower, component func(core.Amount) int64) int64 {
	if usable <= 0 {
		// A resource has either a rate or slots; the other component is zero.
		return 0
	}
	demands, _ := l.demands(own, component)
	parts, left := MaxMinUpTo(usable, demands)
	foreignDemands, _ := l.demands(foreign, component)
	foreignParts, headroom := MaxMinUpTo(left*3/4, foreignDemands)
	for i, f := range foreign {
		if f == b {
			return foreignParts[i]
		}
	}
	headroom += left - left*3/4
	for i, o := range own {
		if o == b && demands[i] > 0 {
			// Rounded up so that the only free slot of a server is lent.
			return parts[i] + SplitByWeight((headroom+1)/2, demands)[i]
		}
	}
	return 0
}
