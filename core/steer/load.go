package steer

import (
	"sync/atomic"
	"time"

	"azurering/core"
)

// historySeconds is the number of seconds for which answers are remembered.
// It exceeds the lifetime of answers plus the age of a usable measurement.
const historySeconds = 256

// counters counts the answers since the last plan, by service, home domain
// and chosen domain. Look-ups increment it without a lock.
type counters struct {
	domainCount int
	cells       []atomic.Int64
}

func newCounters(services, domains int) *counters {
	return &counters{domainCount: domains, cells: make([]atomic.Int64, services*(domains+1)*domains)}
}

func (c *counters) add(service, home, target int) {
	c.cells[(service*(c.domainCount+1)+home)*c.domainCount+target].Add(1)
}

// answerHistory holds the number of answers per key as running sums, one per
// second.
type answerHistory struct {
	sums   [][historySeconds]float64
	second int64
}

func (h *answerHistory) grow(keys int) {
	for len(h.sums) < keys {
		h.sums = append(h.sums, [historySeconds]float64{})
	}
}

// advance moves to a second. Skipped seconds repeat the last sum.
func (h *answerHistory) advance(second int64) {
	for h.second < second {
		from := h.second % historySeconds
		h.second++
		for i := range h.sums {
			h.sums[i][h.second%historySeconds] = h.sums[i][from]
		}
	}
}

func (h *answerHistory) add(key int, n float64) { h.sums[key][h.second%historySeconds] += n }

// outstanding returns the number of answers of a key that were unexpired at a
// time in the past, given their lifetime in seconds. This is the number of
// callers that used one.
func (h *answerHistory) outstanding(key int, secondsAgo, lifetime int64) float64 {
	end := max(h.second-min(secondsAgo, historySeconds-lifetime-2), 0)
	start := max(end-lifetime, 0)
	return h.sums[key][end%historySeconds] - h.sums[key][start%historySeconds]
}

// service is the planning state of one service. Slices are indexed by domain,
// weights by home domain and domain.
type service struct {
	index           int
	answersByDomain answerHistory // by chosen domain
	answersByHome   answerHistory // by home domain; key 0 is for unknown addresses
	measurements    []measurement
	slotsPerCaller  float64 // learned mean number of slots that a caller keeps busy
	weights         [][]float64
	capacity        []float64
	promised        []float64
	budget          []float64
}

// measurement is the smoothed load of a domain.
type measurement struct {
	known       bool
	observedAt  time.Duration // local time at which the load was measured
	busyShare   float64       // busy share of the slots, 0 to 1 or more
	usableShare float64       // share of the configured capacity that takes new work
}

// AddLoads processes load measurements of failure domains; age is how old they
// are. If service is empty, they apply to all services, like the loads in
// heartbeats.
func (s *Planner) AddLoads(now time.Duration, service core.ServiceID, age time.Duration, loads []core.DomainLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, sv := range s.services {
		if service != "" && service != name {
			continue
		}
		for _, l := range loads {
			id, ok := s.domains.ids[l.Domain]
			if !ok || l.Total <= 0 || int(id) >= len(sv.measurements) {
				continue
			}
			capacity := 0.0
			for other, o := range s.services {
				if service == "" || other == name {
					capacity += o.capacity[id]
				}
			}
			sv.measurements[id].update(now-age, l, capacity, s.cfg.MaxMeasurementAge)
		}
	}
}

// smoothing is the weight of a new measurement against the smoothed value. A
// change counts almost fully after about ten measurements.
const smoothing = 0.2

// update adds a measurement made at a time. Capacity is the configured number
// of slots, and stale the age after which the smoothed value is replaced.
func (m *measurement) update(at time.Duration, l core.DomainLoad, capacity float64, stale time.Duration) {
	if m.known && at <= m.observedAt {
		return
	}
	busy := 1 - float64(l.Free)/float64(l.Total)
	share := 1.0
	if capacity > 0 {
		share = min(max(float64(l.Total)/capacity, minCapacityShare), 1)
	}
	if !m.known || at-m.observedAt > stale {
		m.busyShare, m.usableShare = busy, share
	}
	m.busyShare += smoothing * (busy - m.busyShare)
	m.usableShare += smoothing * (share - m.usableShare)
	m.known, m.observedAt = true, at
}

// collectAnswers moves the counts of the look-ups into the answer histories.
func (s *Planner) collectAnswers(now time.Duration) {
	second := int64(now / time.Second)
	s.second = second
	snap := s.current.Load()
	for _, sv := range s.services {
		sv.answersByDomain.advance(second)
		sv.answersByHome.advance(second)
		if snap == nil || snap.counters == nil {
			continue
		}
		c := snap.counters
		for home := range c.domainCount + 1 {
			offset := (sv.index*(c.domainCount+1) + home) * c.domainCount
			if offset+c.domainCount > len(c.cells) {
				continue
			}
			for target := range c.domainCount {
				n := c.cells[offset+target].Swap(0)
				if n == 0 {
					continue
				}
				sv.answersByDomain.add(target, float64(n))
				key := home + 1
				if home == c.domainCount {
					key = 0
				}
				sv.answersByHome.add(key, float64(n))
			}
		}
	}
}

// meanLifetimeSeconds returns the mean lifetime of answers in seconds.
func (s *Planner) meanLifetimeSeconds() int64 {
	return max(int64(s.cfg.Lifetime*9/10/time.Second), 1)
}

// learnSlotsPerCaller corrects the expected slots per caller from the
// measured load. It assumes that the other hosts answer about as many
// look-ups as this one.
func (s *Planner) learnSlotsPerCaller(now time.Duration, sv *service, live int) {
	var busy, callers float64
	for d := range sv.measurements {
		m := &sv.measurements[d]
		if !m.known || now-m.observedAt > s.cfg.MaxMeasurementAge {
			continue
		}
		busy += m.busyShare * sv.capacity[d]
		callers += sv.answersByDomain.outstanding(d, int64((now-m.observedAt)/time.Second), s.meanLifetimeSeconds())
	}
	if callers < 20 {
		return
	}
	measured := busy / (callers * float64(max(live, 1)))
	measured = min(max(measured, s.cfg.SlotsPerCaller/4), s.cfg.SlotsPerCaller*4)
	sv.slotsPerCaller += 0.05 * (measured - sv.slotsPerCaller)
}
