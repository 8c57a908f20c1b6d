package rates

import (
	"math"
	"time"

	"azurering/core"
)

// The estimate of a demand follows a rise beyond random variation within
// about two seconds, so that the loans grow before the burst is spent, and
// all else more slowly, so that random variation does not move loans. A resource without requests for
// idleAfter is no longer asked for.
const (
	riseTime  = 1500 * time.Millisecond
	fallTime  = 5 * time.Second
	idleAfter = 30 * time.Second
)

// demand estimates the offered rate of one resource.
type demand struct {
	offered int64   // weight since the last update
	rate    float64 // thousandths of a request per second
	largest int64   // largest weight lately
	last    time.Duration
	seen    time.Duration // time of the last offer
	ever    bool
}

func (d *demand) offer(now time.Duration, weight int64) {
	d.offered += weight
	d.largest = max(d.largest, weight)
	d.seen, d.ever = now, true
}

// update folds the offers since the last update into the estimate.
func (d *demand) update(now time.Duration) {
	dt := now - d.last
	if dt <= 0 {
		return
	}
	sample := float64(d.offered) / dt.Seconds()
	tau := fallTime
	// Twice the standard deviation of random arrivals at the present rate.
	noise := 2 * math.Sqrt(max(d.rate, float64(Request))*float64(Request)/dt.Seconds())
	if sample > d.rate+noise {
		tau = riseTime
	}
	d.rate += (sample - d.rate) * (1 - math.Exp(-dt.Seconds()/tau.Seconds()))
	d.offered, d.last = 0, now
	if !d.ever || now-d.seen > idleAfter {
		d.rate, d.largest, d.ever = 0, 0, false
	}
}

// want returns what the host needs: the estimate without headroom. Lenders
// add headroom from what no host needs.
func (d *demand) want() core.Amount {
	if !d.ever {
		return core.Amount{}
	}
	return core.Amount{Rate: int64(d.rate) + 1, Burst: max(d.largest, Request)}
}
