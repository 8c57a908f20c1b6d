package share

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"azurering/core"
)

// borrower is one run of a host. An earlier run of a restarted host counts
// on its own until its loans expire.
type borrower struct {
	host        core.HostID
	incarnation uint64
}

// debt is what a keeper knows about the loan of one borrower.
type debt struct {
	domain core.DomainID
	// amount is the most that the borrower may hold until the time until.
	amount core.Amount
	until  time.Duration
	want   core.Amount
	asked  time.Duration
	// flying are tokens that were given in the last answer. They count
	// until the next ask shows that the answer arrived or never will.
	flying int64
}

// ledger holds the debts of one resource.
type ledger map[borrower]*debt

// lent returns the sum of what borrowers may hold, and forgets borrowers
// whose loans and wants are past.
func (l ledger) lent(now time.Duration) core.Amount {
	var sum core.Amount
	for b, d := range l {
		if d.until > now {
			sum = sum.Add(d.amount)
			continue
		}
		d.amount, d.flying = core.Amount{}, 0
		if now-d.asked > time.Minute {
			delete(l, b)
		}
	}
	return sum
}

// flying returns the tokens that may be on their way. It is called after
// lent.
func (l ledger) flying() int64 {
	var sum int64
	for _, d := range l {
		sum += d.flying
	}
	return sum
}

// active lists the borrowers that asked lately, in a fixed order, those of
// the domain first.
func (l ledger) active(now, within time.Duration, domain core.DomainID) (own, foreign []borrower) {
	for b, d := range l {
		switch {
		case now-d.asked > within:
		case d.domain == domain:
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

// wants returns the wanted rates or slots of borrowers and their sum.
func (l ledger) wants(list []borrower, part func(core.Amount) int64) (wants []int64, sum int64) {
	wants = make([]int64, 0, len(list))
	for _, b := range list {
		w := max(part(l[b].want), 0)
		wants = append(wants, w)
		sum += w
	}
	return wants, sum
}

func rateOf(a core.Amount) int64  { return a.Rate }
func slotsOf(a core.Amount) int64 { return a.Slots }

// target returns what borrower b should hold of the usable amount, given the
// active borrowers. Needs of the domain's hosts come first, max-min fairly. Borrowers of other domains
// get at most three quarters of what is left. Half of the rest is lent to the
// domain's hosts as headroom, in proportion to their needs; the other half
// stays free for the next ask.
func (l ledger) target(usable core.Amount, own, foreign []borrower, b borrower) core.Amount {
	t := core.Amount{
		Rate:  l.part(usable.Rate, own, foreign, b, rateOf),
		Slots: l.part(usable.Slots, own, nil, b, slotsOf),
	}
	if l.bursts(own) <= usable.Burst-poolBurst {
		t.Rate = pooled(t.Rate)
	}
	// The other half of the burst is the keeper's bucket, from which hosts
	// get tokens at once when they are short.
	t.Burst = scale(usable.Burst, t.Rate, usable.Rate) / 2
	if t.Rate > 0 {
		// A burst below the largest request admits nothing.
		t.Burst = max(t.Burst, l[b].want.Burst)
	}
	return t
}

// pooled returns what is lent of a host's part. The smaller the part, the
// more of it stays in the keeper's bucket: a host with few requests per
// second would leave tokens unused while another refuses.
func pooled(part int64) int64 {
	return scale(part, part, part+poolBelow)
}

// bursts returns the sum of the smallest useful bursts of borrowers.
func (l ledger) bursts(list []borrower) int64 {
	var sum int64
	for _, b := range list {
		sum += l[b].want.Burst
	}
	return sum
}

// poolBurst is the burst that the keeper's bucket needs to be of use. With
// less, all of a host's part is lent.
const poolBurst = 2 * request

// poolBelow is the rate of which half is lent.
const poolBelow = 2 * request

func (l ledger) part(usable int64, own, foreign []borrower, b borrower, part func(core.Amount) int64) int64 {
	if usable <= 0 {
		// A resource has either a rate or slots.
		return 0
	}
	needs, _ := l.wants(own, part)
	parts, left := MaxMinUpTo(usable, needs)
	wants, _ := l.wants(foreign, part)
	lent, rest := MaxMinUpTo(left*3/4, wants)
	for i, f := range foreign {
		if f == b {
			return lent[i]
		}
	}
	rest += left - left*3/4
	for i, o := range own {
		if o == b && needs[i] > 0 {
			// Rounded up, so that the only free slot of a server is lent.
			return parts[i] + SplitByWeight((rest+1)/2, needs)[i]
		}
	}
	return 0
}
