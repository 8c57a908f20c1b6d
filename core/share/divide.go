package share

import (
	"math/bits"
	"sort"

	"azurering/core"
)

// MaxMin divides a total between parties by max-min fairness: the parts of
// parties whose demand is not met are equal, to within one unit, and no other
// part is larger. What remains after all demands are met is split equally. The
// parts sum to exactly the total. A negative demand counts as zero; a negative
// total is divided as zero.
func MaxMin(total int64, demands []int64) []int64 {
	parts := make([]int64, len(demands))
	if total <= 0 || len(demands) == 0 {
		return parts
	}
	remaining := waterFill(total, demands, parts)
	if remaining == 0 {
		return parts
	}
	for i, extra := range SplitEqually(remaining, len(parts)) {
		parts[i] += extra
	}
	return parts
}

// MaxMinUpTo divides a total as Divide does, but gives no party more than its
// demand. It returns the parts and the remainder.
func MaxMinUpTo(total int64, demands []int64) (parts []int64, remaining int64) {
	parts = make([]int64, len(demands))
	if total <= 0 {
		return parts, 0
	}
	return parts, waterFill(total, demands, parts)
}

func waterFill(total int64, demands, parts []int64) int64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return demands[order[a]] < demands[order[b]] })
	left := total
	for n, i := range order {
		parties := int64(len(order) - n)
		// Rounding up gives the odd units to the smallest demands, so that the
		// parts of equal demands differ by at most one.
		fair := (left + parties - 1) / parties
		parts[i] = min(max(demands[i], 0), fair)
		left -= parts[i]
	}
	return left
}

// SplitEqually splits a total into n parts that differ by at most one and sum to
// the total.
func SplitEqually(total int64, n int) []int64 {
	if n <= 0 {
		return nil
	}
	parts := make([]int64, n)
	base, odd := total/int64(n), total%int64(n)
	for i := range parts {
		parts[i] = base
		if int64(i) < odd {
			parts[i]++
		}
	}
	return parts
}

// SplitByWeight splits a total in proportion to weights, which must not be
// negative. The parts sum to exactly the total. If all weights are zero, it
// splits equally.
func SplitByWeight(total int64, weights []int64) []int64 {
	var sum int64
	for _, w := range weights {
		sum += w
	}
	if sum <= 0 {
		return SplitEqually(total, len(weights))
	}
	parts := make([]int64, len(weights))
	remaining := total
	for i, w := range weights {
		parts[i] = mulDiv(total, w, sum)
		remaining -= parts[i]
	}
	for i := 0; remaining > 0; i = (i + 1) % len(parts) {
		if weights[i] > 0 {
			parts[i]++
			remaining--
		}
	}
	return parts
}

// mulDiv returns a*num/den rounded down, without overflow for num <= den. It
// returns a if num >= den, and zero if an argument is zero or negative.
func mulDiv(a, num, den int64) int64 {
	if den <= 0 || a <= 0 || num <= 0 {
		return 0
	}
	if num >= den {
		return a
	}
	hi, lo := bits.Mul64(uint64(a), uint64(num))
	q, _ := bits.Div64(hi, lo, uint64(den))
	return int64(q)
}

// requestWeight is the weight of one request in thousandths of a request, the
// unit of rates and bursts.
const requestWeight = 1000

// splitLimit splits an amount equally over domains. The burst is split in
// whole requests, because a burst below one request admits nothing; its
// remainder goes to the first domain.
func splitLimit(limit core.Amount, domains int) []core.Amount {
	rates, bursts := SplitEqually(limit.Rate, domains), SplitEqually(limit.Burst/requestWeight, domains)
	parts := make([]core.Amount, domains)
	for i := range parts {
		parts[i] = core.Amount{Rate: rates[i], Burst: bursts[i] * requestWeight}
	}
	if domains > 0 {
		parts[0].Burst += limit.Burst % requestWeight
	}
	return parts
}
