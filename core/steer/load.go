package steer

import (
	"sync/atomic"
	"time"

	"azurering/core"
)

// history is the number of seconds for which promises are remembered. It
// exceeds the lifetime of answers plus the age of a usable measurement.
const history = 256

// counters count the answers since the last plan, by service, home domain
// and chosen domain. Look-ups add to them without a lock.
type counters struct {
	domains int
	cells   []atomic.Int64
}

func newCounters(services, domains int) *counters {
	return &counters{domains: domains, cells: make([]atomic.Int64, services*(domains+1)*domains)}
}

func (c *counters) add(service, home, target int) {
	c.cells[(service*(c.domains+1)+home)*c.domains+target].Add(1)
}

// ledger remembers the answers per key as running sums, one per second.
type ledger struct {
	sums [][history]float64
	slot int64
}

func (l *ledger) grow(keys int) {
	for len(l.sums) < keys {
		l.sums = append(l.sums, [history]float64{})
	}
}

// advance moves to a second; the seconds between repeat the last sum.
func (l *ledger) advance(slot int64) {
	for l.slot < slot {
		from := l.slot % history
		l.slot++
		for i := range l.sums {
			l.sums[i][l.slot%history] = l.sums[i][from]
		}
	}
}

func (l *ledger) add(key int, n float64) { l.sums[key][l.slot%history] += n }

// outstanding returns the answers of a key given in the lifetime before a
// time that lies ago seconds in the past: the callers that still use one.
func (l *ledger) outstanding(key int, ago, life int64) float64 {
	end := max(l.slot-min(ago, history-life-2), 0)
	start := max(end-life, 0)
	return l.sums[key][end%history] - l.sums[key][start%history]
}

// service is the state of one service.
type service struct {
	index    int
	given    ledger // answers by chosen domain
	asked    ledger // answers by home domain
	loads    []measure
	slots    float64 // learned slots per caller
	weights  [][]float64
	capacity []float64
	promised []float64
	budget   []float64
}

// measure is the smoothed measurement of a domain.
type measure struct {
	known bool
	at    time.Duration // local time at which the load was seen
	busy  float64       // share of the slots, 0 to 1 or more
	share float64       // share of the capacity that takes new work
}

// AddLoads takes in lagging measurements of failure domains: age is how old
// they are. An empty service means that they count for all services, as the
// loads in heartbeats do.
func (s *Planner) AddLoads(now time.Duration, service core.ServiceID, age time.Duration, loads []core.DomainLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, sv := range s.services {
		if service != "" && service != name {
			continue
		}
		for _, l := range loads {
			id, ok := s.dict.ids[l.Domain]
			if !ok || l.Total <= 0 || int(id) >= len(sv.loads) {
				continue
			}
			base := 0.0
			for other, o := range s.services {
				if service == "" || other == name {
					base += o.capacity[id]
				}
			}
			sv.loads[id].take(now-age, l, base, s.cfg.MaxMeasurementAge)
		}
	}
}

// gain is the weight of a new measurement against the smoothed one. A
// measurement that comes every few seconds then counts fully after about
// ten of them.
const gain = 0.2

func (m *measure) take(at time.Duration, l core.DomainLoad, base float64, stale time.Duration) {
	if m.known && at <= m.at {
		return
	}
	busy := 1 - float64(l.Free)/float64(l.Total)
	share := 1.0
	if base > 0 {
		share = min(max(float64(l.Total)/base, floor), 1)
	}
	if !m.known || at-m.at > stale {
		m.busy, m.share = busy, share
	}
	m.busy += gain * (busy - m.busy)
	m.share += gain * (share - m.share)
	m.known, m.at = true, at
}

// collect moves the counts of the look-ups into the ledgers.
func (s *Planner) collect(now time.Duration) {
	slot := int64(now / time.Second)
	s.slot = slot
	snap := s.now.Load()
	for _, sv := range s.services {
		sv.given.advance(slot)
		sv.asked.advance(slot)
		if snap == nil || snap.counts == nil {
			continue
		}
		c := snap.counts
		for home := range c.domains + 1 {
			base := (sv.index*(c.domains+1) + home) * c.domains
			if base+c.domains > len(c.cells) {
				continue
			}
			for target := range c.domains {
				n := c.cells[base+target].Swap(0)
				if n == 0 {
					continue
				}
				sv.given.add(target, float64(n))
				key := home + 1
				if home == c.domains {
					key = 0
				}
				sv.asked.add(key, float64(n))
			}
		}
	}
}

// lifeSlots is the mean lifetime of answers in seconds.
func (s *Planner) lifeSlots() int64 {
	return max(int64(s.cfg.Lifetime*9/10/time.Second), 1)
}

// learn corrects the expected slots per caller from the measured load. It
// assumes that the other hosts answer about as many look-ups as this one.
func (s *Planner) learn(now time.Duration, sv *service, live int) {
	var busy, callers float64
	for d := range sv.loads {
		m := &sv.loads[d]
		if !m.known || now-m.at > s.cfg.MaxMeasurementAge {
			continue
		}
		busy += m.busy * sv.capacity[d]
		callers += sv.given.outstanding(d, int64((now-m.at)/time.Second), s.lifeSlots())
	}
	if callers < 20 {
		return
	}
	seen := busy / (callers * float64(max(live, 1)))
	seen = min(max(seen, s.cfg.SlotsPerCaller/4), s.cfg.SlotsPerCaller*4)
	sv.slots += 0.05 * (seen - sv.slots)
}
