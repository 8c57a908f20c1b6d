package rates

import (
	"math"
	"time"

	"azurering/core"
)

// The estimate of a demand is a slow average, so that random variation does
// not move loans, or a fast one less its standard deviation if that is
// higher, so that loans grow before the burst is spent. A resource without
// requests for idleAfter is no longer asked for.
const (
	fastTime  = 2 * time.Second
	slowTime  = 6 * time.Second
	idleAfter = 30 * time.Second
)

// demand estimates the offered rate of one resource.
type demand struct {
	offered int64   // weight since the last update
	fast    float64 // thousandths of a request per second
	slow    float64
	largest int64 // largest weight lately
	last    time.Duration
	seen    time.Duration // time of the last offer
	ever    bool
}

func (d *demand) offer(now time.Duration, weight int64) {
	d.offered += weight
	d.largest = max(d.largest, weight)
	d.seen, d.ever = now, true
}

// update folds the offers since the last update into the averages.
func (d *demand) update(now time.Duration) {
	dt := (now - d.last).Seconds()
	if dt <= 0 {
		return
	}
	sample := float64(d.offered) / dt
	d.fast += (sample - d.fast) * (1 - math.Exp(-dt/fastTime.Seconds()))
	d.slow += (sample - d.slow) * (1 - math.Exp(-dt/slowTime.Seconds()))
	d.slow = max(d.slow, d.sure())
	d.offered, d.last = 0, now
	if !d.ever || now-d.seen > idleAfter {
		*d = demand{last: now}
	}
}

// sure returns the fast average less the standard deviation that it has for
// random arrivals.
func (d *demand) sure() float64 {
	return d.fast - math.Sqrt(d.fast*float64(RequestWeight)/(2*fastTime.Seconds()))
}

// want returns what the host needs: the estimate without headroom. Lenders
// add headroom from what no host needs.
func (d *demand) want() core.Amount {
	if !d.ever {
		return core.Amount{}
	}
	return core.Amount{Rate: int64(d.slow) + 1, Burst: max(d.largest, RequestWeight)}
}
