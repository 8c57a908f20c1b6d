package share

import (
	"math/bits"
	"sort"

	"azurering/core"
)

// MaxMin divides a total between parties max-min fairly: no party gets more
// than it wants while another that wants more gets less. What remains after
// all wants are met is split equally. The parts sum to exactly the total.
// Negative wants count as zero; a negative total is divided as zero.
func MaxMin(total int64, wants []int64) []int64 {
	parts := make([]int64, len(wants))
	if total <= 0 || len(wants) == 0 {
		return parts
	}
	left := fill(total, wants, parts)
	if left == 0 {
		return parts
	}
	for i, extra := range SplitEqually(left, len(parts)) {
		parts[i] += extra
	}
	return parts
}

// MaxMinUpTo divides a total as Divide does, but gives no party more than it
// wants. It returns what remains.
func MaxMinUpTo(total int64, wants []int64) (parts []int64, left int64) {
	parts = make([]int64, len(wants))
	if total <= 0 {
		return parts, 0
	}
	return parts, fill(total, wants, parts)
}

func fill(total int64, wants, parts []int64) int64 {
	order := make([]int, len(wants))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return wants[order[a]] < wants[order[b]] })
	left := total
	for n, i := range order {
		rest := int64(len(order) - n)
		// Rounding up lets the smallest wants take the odd units, so that
		// the parts of equal wants differ by at most one.
		fair := (left + rest - 1) / rest
		parts[i] = min(max(wants[i], 0), fair)
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

// SplitByWeight splits a total in proportion to weights. The parts sum to
// exactly the total; if all weights are zero, it splits equally.
func SplitByWeight(total int64, weights []int64) []int64 {
	var sum int64
	for _, w := range weights {
		sum += w
	}
	if sum <= 0 {
		return SplitEqually(total, len(weights))
	}
	parts := make([]int64, len(weights))
	left := total
	for i, w := range weights {
		parts[i] = scale(total, w, sum)
		left -= parts[i]
	}
	for i := 0; left > 0; i = (i + 1) % len(parts) {
		if weights[i] > 0 {
			parts[i]++
			left--
		}
	}
	return parts
}

// scale returns a*num/den rounded down, without overflow for num <= den.
func scale(a, num, den int64) int64 {
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

// request is the weight of one request in the unit of rates and bursts.
const request = 1000

// splitLimit splits the limit of a new row equally over domains. The burst
// is split in whole requests, because a burst below one request admits
// nothing; its remainder goes to the first domain.
func splitLimit(limit core.Amount, n int) []core.Amount {
	rates, bursts := SplitEqually(limit.Rate, n), SplitEqually(limit.Burst/request, n)
	parts := make([]core.Amount, n)
	for i := range parts {
		parts[i] = core.Amount{Rate: rates[i], Burst: bursts[i] * request}
	}
	if n > 0 {
		parts[0].Burst += limit.Burst % request
	}
	return parts
}
