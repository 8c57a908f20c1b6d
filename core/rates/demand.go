package rates

import (
	"math"
	"time"

	"azurering/core"
)

// The demand estimate is the higher of a slow average, so that random
// variation does not move loans, and of a fast average minus its standard
// deviation, so that loans grow before the burst is spent. A resource without
// requests for idleTimeout is no longer requested.
const (
	fastTimeConstant = 2 * time.Second
	slowTimeConstant = 6 * time.Second
	idleTimeout      = 30 * time.Second
)

// demand estimates the offered rate of one resource.
type demand struct {
	offered       int64   // weight in thousandths of a request since the last update
	fast          float64 // thousandths of a request per second
	slow          float64
	largestWeight int64 // largest weight of a request since the resource was last idle
	lastUpdate    time.Duration
	lastOffer     time.Duration // time of the last request
	hasOffers     bool
}

func (d *demand) record(now time.Duration, weight int64) {
	d.offered += weight
	d.largestWeight = max(d.largestWeight, weight)
	d.lastOffer, d.hasOffers = now, true
}

// update adds the requests since the last update to the averages.
func (d *demand) update(now time.Duration) {
	dt := (now - d.lastUpdate).Seconds()
	if dt <= 0 {
		return
	}
	sample := float64(d.offered) / dt
	d.fast += (sample - d.fast) * (1 - math.Exp(-dt/fastTimeConstant.Seconds()))
	d.slow += (sample - d.slow) * (1 - math.Exp(-dt/slowTimeConstant.Seconds()))
	d.slow = max(d.slow, d.fastLowerBound())
	d.offered, d.lastUpdate = 0, now
	if !d.hasOffers || now-d.lastOffer > idleTimeout {
		*d = demand{lastUpdate: now}
	}
}

// fastLowerBound returns the fast average minus the standard deviation that it
// has for random arrivals.
func (d *demand) fastLowerBound() float64 {
	return d.fast - math.Sqrt(d.fast*float64(RequestWeight)/(2*fastTimeConstant.Seconds()))
}

// estimate returns the demand to report, without headroom. Lenders add
// headroom from what no host needs.
func (d *demand) estimate() core.Amount {
	if !d.hasOffers {
		return core.Amount{}
	}
	return core.Amount{Rate: int64(d.slow) + 1, Burst: max(d.largestWeight, RequestWeight)}
}
