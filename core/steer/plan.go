package steer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

const (
	// step is the part of the way that a weight moves in one plan, and band
	// the difference below which it stays. Both keep lagging measurements
	// from swinging callers back and forth.
	step = 0.1
	band = 0.02
	// idle is the demand assumed for a home without look-ups, so that it has
	// a plan.
	idle = 1e-6
	// floor is the least share of its capacity that a measurement can leave
	// a domain: a measurement that misleads must not take it out of use.
	floor = 0.1
)

// Assignment is the plan for one domain and service.
type Assignment struct {
	Domain   core.DomainID
	Capacity float64 // slots, less drains and ramps
	Budget   float64 // slots that this host may promise
	Assigned float64 // slots that this host has promised
}

// Replan makes a new plan from what was counted and measured. Its owner calls
// it about once a second.
func (s *Planner) Replan(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan(now)
}

// SetHosts replaces the known entry hosts.
func (s *Planner) SetHosts(now time.Duration, hosts []core.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
	s.plan(now)
}

// Assignments returns the plan of a service for reports, sorted by domain.
func (s *Planner) Assignments(service core.ServiceID) []Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.services[service]
	if sv == nil {
		return nil
	}
	var out []Assignment
	for d, name := range s.dict.names {
		if d < len(sv.capacity) && sv.capacity[d] > 0 {
			out = append(out, Assignment{Domain: name, Capacity: sv.capacity[d], Budget: sv.budget[d], Assigned: sv.promised[d]})
		}
	}
	slices.SortFunc(out, func(a, b Assignment) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// plan publishes a new snapshot.
func (s *Planner) plan(now time.Duration) {
	s.collect(now)
	s.warm(now)
	domains, usable, parts, live := s.views()
	snap := &snapshot{
		blocks: s.blocks, domains: domains, services: make(map[core.ServiceID]*table, len(s.services)),
		life: s.cfg.Lifetime, ranked: s.cfg.MaxHosts, spills: make(map[core.ServiceID]spillView, len(s.services)),
	}
	s.shiftShares(live)
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		sv := s.services[name]
		s.learn(now, sv, live)
		snap.services[name] = s.planService(now, sv, usable, parts)
		snap.spills[name] = s.spillView(now, sv, usable)
	}
	snap.counts = s.counters()
	snap.shifts = s.shiftViews()
	s.now.Store(snap)
}

// counters returns the counters of the last snapshot if they are large
// enough, so that no answer counted meanwhile is lost.
func (s *Planner) counters() *counters {
	old := s.now.Load()
	need := 0
	for _, sv := range s.services {
		need = max(need, sv.index+1)
	}
	if old != nil && old.counts != nil && old.counts.domains == len(s.dict.names) && len(old.counts.cells) >= need*(old.counts.domains+1)*old.counts.domains {
		return old.counts
	}
	return newCounters(need, len(s.dict.names))
}

// views returns the domains with the hosts to hand out, which of them may
// get new callers, and this host's part of each.
func (s *Planner) views() (views []domainView, usable []bool, parts []float64, live int) {
	n := len(s.dict.names)
	views, usable, parts = make([]domainView, n), make([]bool, n), make([]float64, n)
	suspects := make([][]core.Host, n)
	drained := make(map[string]bool)
	gone := make(map[core.DomainID]bool)
	for _, d := range s.sheet.Drains {
		switch d.Kind {
		case core.DrainHost:
			drained[d.Target] = true
		case core.DrainDomain:
			gone[core.DomainID(d.Target)] = true
		}
	}
	for id, name := range s.dict.names {
		views[id] = domainView{name: name, seed: xxhash.Sum64String(string(name))}
	}
	for _, h := range s.hosts {
		id, ok := s.dict.ids[h.Domain]
		if !ok || gone[h.Domain] || drained[string(h.Name)] {
			continue
		}
		switch h.State {
		case core.HostLive, "":
			views[id].hosts = append(views[id].hosts, h)
			live++
		case core.HostSuspect:
			suspects[id] = append(suspects[id], h)
		}
	}
	for id := range views {
		in := len(views[id].hosts)
		usable[id] = in > 0
		if in == 0 {
			// Callers reach suspects only if nobody better is left.
			views[id].hosts = suspects[id]
		} else {
			parts[id] = s.part(views[id].name == s.cfg.Self.Domain, in, live)
		}
		s.spreadHosts(&views[id])
	}
	return views, usable, parts, live
}

// hostSlots is the number of slots of the hash that the hosts of a domain
// share: about 40 per host in a domain of a hundred, so that parts are about
// equal. It is constant, or else blocks would move when it changes.
const hostSlots = 4096

// spreadHosts assigns hash slots to the hosts of a domain by rendezvous
// hashing, so that a host that comes or goes moves only its own part.
// Domains whose hosts did not change keep their slots.
func (s *Planner) spreadHosts(v *domainView) {
	if old, ok := s.spread[v.name]; ok && slices.Equal(old.hosts, v.hosts) {
		v.slots = old.slots
		return
	}
	defer func() { s.spread[v.name] = *v }()
	if len(v.hosts) == 0 {
		return
	}
	seeds := make([]uint64, len(v.hosts))
	for i, h := range v.hosts {
		seeds[i] = xxhash.Sum64String(string(h.Name))
	}
	v.slots = make([][2]uint16, hostSlots)
	for slot := range v.slots {
		var first, second uint64
		for i, seed := range seeds {
			score := mix(uint64(slot), seed)
			switch {
			case score >= first:
				v.slots[slot][1], second = v.slots[slot][0], first
				v.slots[slot][0], first = uint16(i), score
			case score >= second:
				v.slots[slot][1], second = uint16(i), score
			}
		}
	}
}

// part is this host's part of the capacity of a domain with in live hosts.
// The parts of all hosts add up to one.
func (s *Planner) part(own bool, in, live int) float64 {
	switch {
	case live <= in:
		return 1 / float64(max(in, 1))
	case own:
		return s.cfg.LocalFraction / float64(in)
	default:
		return (1 - s.cfg.LocalFraction) / float64(live-in)
	}
}

// budgets computes how much this host may promise of each domain.
func (s *Planner) budgets(now time.Duration, sv *service, usable []bool, parts []float64) {
	life := s.lifeSlots()
	for d := range sv.capacity {
		capacity := sv.capacity[d]
		m := sv.loads[d]
		seen := m.known && now-m.at <= s.cfg.MaxMeasurementAge
		if seen {
			capacity *= m.share
		}
		limit := capacity * s.cfg.TargetUtilization
		sv.promised[d] = sv.given.outstanding(d, 0, life) * sv.slots
		switch {
		case !usable[d] || limit <= 0:
			sv.budget[d] = 0
		case !seen:
			// Without measurements the configured capacity counts. The load
			// is not taken as zero: others have their own parts.
			sv.budget[d] = parts[d] * limit
		default:
			// What this host had promised when the load was seen is part of
			// that load. All promises since then come out of its part of what
			// was free, however old the measurement is.
			had := sv.given.outstanding(d, int64((now-m.at)/time.Second), life) * sv.slots
			busy := m.busy * capacity
			if busy <= limit {
				sv.budget[d] = had + parts[d]*(limit-busy)
			} else {
				sv.budget[d] = had * limit / busy
			}
		}
	}
}

// planService spreads the demand of each home over the domains near it.
func (s *Planner) planService(now time.Duration, sv *service, usable []bool, parts []float64) *table {
	n := len(s.dict.names)
	sv.resize(n)
	s.budgets(now, sv, usable, parts)
	left := slices.Clone(sv.budget)
	demand := make([]float64, n+1)
	for home := range demand {
		key := home + 1
		if home == n {
			key = 0
		}
		demand[home] = max(sv.asked.outstanding(key, 0, s.lifeSlots())*sv.slots, idle)
	}
	t := &table{index: sv.index}
	t.shifts = s.fillShifts(sv, usable, demand, left)
	shares := s.fill(sv, usable, demand, left)
	for home := range n + 1 {
		t.rows = append(t.rows, s.row(sv, home, shares[home], usable))
	}
	return t
}

// fill grants each home the domains in order of nearness, as far as their
// budgets go. Homes that want the same domain at the same rank get equal
// parts of their demand. What fits nowhere is spread by capacity.
func (s *Planner) fill(sv *service, usable []bool, demand, left []float64) [][]float64 {
	n := len(s.dict.names)
	shares := make([][]float64, n+1)
	rest := slices.Clone(demand)
	for home := range shares {
		shares[home] = make([]float64, n)
	}
	total := 0.0
	for d := range sv.capacity {
		if usable[d] {
			total += sv.capacity[d]
		}
	}
	// Unknown addresses have no near domain: all of them are spread.
	for d := range left {
		if usable[d] && total > 0 {
			left[d] = max(left[d]-rest[n]*sv.capacity[d]/total, 0)
		}
	}
	want := make([]float64, n)
	for rank := range n {
		clear(want)
		for home, order := range s.order[:n] {
			if rank < len(order) {
				want[order[rank]] += rest[home]
			}
		}
		for home, order := range s.order[:n] {
			if rank >= len(order) || rest[home] <= 0 {
				continue
			}
			t := order[rank]
			if want[t] <= 0 || left[t] <= 0 {
				continue
			}
			got := rest[home] * min(1, left[t]/want[t])
			shares[home][t] += got
			rest[home] -= got
		}
		for t := range left {
			left[t] = max(left[t]-want[t], 0)
		}
	}
	for home := range shares {
		for d := range n {
			if usable[d] && total > 0 {
				shares[home][d] += rest[home] * sv.capacity[d] / total
			}
			shares[home][d] /= demand[home]
		}
	}
	return shares
}

// row moves the weights of a home towards its new shares.
func (s *Planner) row(sv *service, home int, shares []float64, usable []bool) row {
	old := sv.weights[home]
	fresh, far := true, 0.0
	for d := range old {
		if sv.capacity[d] <= 0 || !usable[d] {
			old[d] = 0
		}
		fresh = fresh && old[d] == 0
		far = max(far, math.Abs(old[d]-shares[d]))
	}
	var r row
	for d := range old {
		switch {
		case fresh:
			old[d] = shares[d]
		case far > band:
			old[d] += step * (shares[d] - old[d])
		}
		if old[d] < 1e-3 {
			old[d] = 0
		}
		if old[d] > 0 {
			r.picks = append(r.picks, s.pick(d, old[d]))
		}
	}
	r.rest = s.rest(sv, home, func(d int32) bool { return old[d] > 0 })
	return r
}

func (s *Planner) pick(d int, weight float64) pick {
	return pick{domain: int32(d), seed: xxhash.Sum64String(string(s.dict.names[d])), weight: weight}
}

// rest lists the domains that stand by for a home, nearest first, in groups
// of equal distance.
func (s *Planner) rest(sv *service, home int, except func(d int32) bool) []standby {
	home = min(home, len(s.order)-1)
	var out []standby
	first, class := 0, time.Duration(-1)
	for i, d := range s.order[home] {
		if sv.capacity[d] <= 0 || except(d) {
			continue
		}
		if s.class[home][i] != class {
			first, class = len(out), s.class[home][i]
		}
		out = append(out, standby{domain: d, first: int32(first)})
		for j := first; j < len(out); j++ {
			out[j].size = int32(len(out) - first)
		}
	}
	return out
}

func (sv *service) resize(n int) {
	sv.given.grow(n)
	sv.asked.grow(n + 1)
	for len(sv.loads) < n {
		sv.loads = append(sv.loads, measure{})
	}
	grow := func(f []float64) []float64 {
		for len(f) < n {
			f = append(f, 0)
		}
		return f
	}
	sv.capacity, sv.promised, sv.budget = grow(sv.capacity), grow(sv.promised), grow(sv.budget)
	if len(sv.weights) != n+1 {
		// The last row is that of unknown addresses; it moves up.
		old := sv.weights
		sv.weights = make([][]float64, n+1)
		for i := range old {
			at := i
			if i == len(old)-1 {
				at = n
			}
			sv.weights[at] = old[i]
		}
	}
	for i := range sv.weights {
		sv.weights[i] = grow(sv.weights[i])
	}
}
