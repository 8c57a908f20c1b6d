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
	// weightStep is the fraction of the difference by which a weight moves in
	// one plan, and deadBand the difference up to which weights stay. Both
	// keep delayed measurements from making callers oscillate between
	// domains.
	weightStep = 0.1
	deadBand   = 0.02
	// minDemand is the demand in slots assumed for a home without look-ups,
	// so that it has a plan.
	minDemand = 1e-6
	// minCapacityShare is the smallest share of its capacity to which a
	// measurement can reduce a domain. A wrong measurement must not take a
	// domain out of use.
	minCapacityShare = 0.1
)

// Assignment is the plan for one domain and service.
type Assignment struct {
	Domain   core.DomainID
	Capacity float64 // slots, reduced by drains and ramps
	Budget   float64 // slots that this host may assign
	Assigned float64 // slots that this host has assigned
}

// Replan makes a new plan from the counted answers and the measurements. Its
// owner calls it about once a second.
func (s *Planner) Replan(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plan(now)
}

// SetHosts replaces the list of known entry hosts and makes a plan.
func (s *Planner) SetHosts(now time.Duration, hosts []core.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
	s.plan(now)
}

// Assignments returns the plan of a service for reports, sorted by domain, or nil
// for an unknown service.
func (s *Planner) Assignments(service core.ServiceID) []Assignment {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := s.services[service]
	if sv == nil {
		return nil
	}
	var out []Assignment
	for d, name := range s.domains.names {
		if d < len(sv.capacity) && sv.capacity[d] > 0 {
			out = append(out, Assignment{Domain: name, Capacity: sv.capacity[d], Budget: sv.budget[d], Assigned: sv.promised[d]})
		}
	}
	slices.SortFunc(out, func(a, b Assignment) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// plan publishes a new snapshot.
func (s *Planner) plan(now time.Duration) {
	s.collectAnswers(now)
	s.updateRamps(now)
	domains, usable, parts, live := s.domainViews()
	snap := &snapshot{
		blocks: s.blocks, domains: domains, tables: make(map[core.ServiceID]*table, len(s.services)),
		lifetime: s.cfg.Lifetime, maxHosts: s.cfg.MaxHosts, spillOrders: make(map[core.ServiceID]spillOrder, len(s.services)),
	}
	s.updateShiftShares(live)
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		sv := s.services[name]
		s.learnSlotsPerCaller(now, sv, live)
		snap.tables[name] = s.planService(now, sv, usable, parts)
		snap.spillOrders[name] = s.spillOrder(now, sv, usable)
	}
	snap.counters = s.nextCounters()
	snap.shifts = s.shiftViews()
	s.current.Store(snap)
}

// nextCounters returns the counters of the last snapshot if they are large
// enough, so that no concurrently counted answer is lost.
func (s *Planner) nextCounters() *counters {
	old := s.current.Load()
	need := 0
	for _, sv := range s.services {
		need = max(need, sv.index+1)
	}
	if old != nil && old.counters != nil && old.counters.domainCount == len(s.domains.names) && len(old.counters.cells) >= need*(old.counters.domainCount+1)*old.counters.domainCount {
		return old.counters
	}
	return newCounters(need, len(s.domains.names))
}

// domainViews returns, by domain, the hosts for answers, whether the domain
// may get new callers, and this host's part of its capacity, and the number
// of live hosts.
func (s *Planner) domainViews() (views []domainView, usable []bool, parts []float64, live int) {
	n := len(s.domains.names)
	views, usable, parts = make([]domainView, n), make([]bool, n), make([]float64, n)
	suspects := make([][]core.Host, n)
	drainedHosts := make(map[string]bool)
	drainedDomains := make(map[core.DomainID]bool)
	for _, d := range s.sheet.Drains {
		switch d.Kind {
		case core.DrainHost:
			drainedHosts[d.Target] = true
		case core.DrainDomain:
			drainedDomains[core.DomainID(d.Target)] = true
		}
	}
	for id, name := range s.domains.names {
		views[id] = domainView{name: name, seed: xxhash.Sum64String(string(name))}
	}
	for _, h := range s.hosts {
		id, ok := s.domains.ids[h.Domain]
		if !ok || drainedDomains[h.Domain] || drainedHosts[string(h.Name)] {
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
		inDomain := len(views[id].hosts)
		usable[id] = inDomain > 0
		if inDomain == 0 {
			// Suspect hosts are used only if the domain has no live one.
			views[id].hosts = suspects[id]
		} else {
			parts[id] = s.hostPart(views[id].name == s.cfg.Self.Domain, inDomain, live)
		}
		s.assignSlots(&views[id])
	}
	return views, usable, parts, live
}

// hashSlots is the number of hash slots that the hosts of a domain share:
// about 40 per host in a domain of a hundred, so that the hosts' parts are
// about equal. It must be constant, since blocks would move when it changes.
const hashSlots = 4096

// assignSlots assigns hash slots to the hosts of a domain by rendezvous
// hashing, so that adding or removing a host moves only that host's slots.
// Domains whose hosts did not change keep their slots.
func (s *Planner) assignSlots(v *domainView) {
	if old, ok := s.slotCache[v.name]; ok && slices.Equal(old.hosts, v.hosts) {
		v.slotHosts = old.slotHosts
		return
	}
	defer func() { s.slotCache[v.name] = *v }()
	if len(v.hosts) == 0 {
		return
	}
	seeds := make([]uint64, len(v.hosts))
	for i, h := range v.hosts {
		seeds[i] = xxhash.Sum64String(string(h.Name))
	}
	v.slotHosts = make([][2]uint16, hashSlots)
	for slot := range v.slotHosts {
		var first, second uint64
		for i, seed := range seeds {
			score := hashPair(uint64(slot), seed)
			switch {
			case score >= first:
				v.slotHosts[slot][1], second = v.slotHosts[slot][0], first
				v.slotHosts[slot][0], first = uint16(i), score
			case score >= second:
				v.slotHosts[slot][1], second = uint16(i), score
			}
		}
	}
}

// hostPart returns this host's part of the capacity of a domain with inDomain
// live hosts. The parts of all hosts add up to one.
func (s *Planner) hostPart(ownDomain bool, inDomain, live int) float64 {
	switch {
	case live <= inDomain:
		return 1 / float64(max(inDomain, 1))
	case ownDomain:
		return s.cfg.LocalFraction / float64(inDomain)
	default:
		return (1 - s.cfg.LocalFraction) / float64(live-inDomain)
	}
}

// updateBudgets computes how many slots of each domain this host may assign.
func (s *Planner) updateBudgets(now time.Duration, sv *service, usable []bool, parts []float64) {
	lifetime := s.meanLifetimeSeconds()
	for d := range sv.capacity {
		capacity := sv.capacity[d]
		m := sv.measurements[d]
		measured := m.known && now-m.observedAt <= s.cfg.MaxMeasurementAge
		if measured {
			capacity *= m.usableShare
		}
		limit := capacity * s.cfg.TargetUtilization
		sv.promised[d] = sv.answersByDomain.outstanding(d, 0, lifetime) * sv.slotsPerCaller
		switch {
		case !usable[d] || limit <= 0:
			sv.budget[d] = 0
		case !measured:
			// Without a measurement this host may assign its part of the
			// configured capacity. The load is not assumed to be zero: other
			// hosts assign their own parts.
			sv.budget[d] = parts[d] * limit
		default:
			// The load at the time of the measurement includes what this host
			// had assigned by then. All its later assignments come out of its
			// part of the capacity that was free, however old the measurement
			// is.
			committed := sv.answersByDomain.outstanding(d, int64((now-m.observedAt)/time.Second), lifetime) * sv.slotsPerCaller
			busySlots := m.busyShare * capacity
			if busySlots <= limit {
				sv.budget[d] = committed + parts[d]*(limit-busySlots)
			} else {
				sv.budget[d] = committed * limit / busySlots
			}
		}
	}
}

// planService distributes the demand of each home domain over the domains
// near it.
func (s *Planner) planService(now time.Duration, sv *service, usable []bool, parts []float64) *table {
	n := len(s.domains.names)
	sv.resize(n)
	s.updateBudgets(now, sv, usable, parts)
	remaining := slices.Clone(sv.budget)
	demand := make([]float64, n+1)
	for home := range demand {
		key := home + 1
		if home == n {
			key = 0
		}
		demand[home] = max(sv.answersByHome.outstanding(key, 0, s.meanLifetimeSeconds())*sv.slotsPerCaller, minDemand)
	}
	t := &table{index: sv.index}
	t.shiftRankings = s.allocateShifts(sv, usable, demand, remaining)
	shares := s.allocate(sv, usable, demand, remaining)
	for home := range n + 1 {
		t.rankings = append(t.rankings, s.updateRanking(sv, home, shares[home], usable))
	}
	return t
}

// allocate assigns each home's demand to the domains in order of delay, as
// far as their budgets allow. Homes that request the same domain at the same
// rank get equal fractions of their demand. Demand that fits nowhere is
// distributed by capacity.
func (s *Planner) allocate(sv *service, usable []bool, demand, remaining []float64) [][]float64 {
	n := len(s.domains.names)
	shares := make([][]float64, n+1)
	unmet := slices.Clone(demand)
	for home := range shares {
		shares[home] = make([]float64, n)
	}
	total := 0.0
	for d := range sv.capacity {
		if usable[d] {
			total += sv.capacity[d]
		}
	}
	// Unknown addresses have no near domain; their demand is distributed by
	// capacity.
	for d := range remaining {
		if usable[d] && total > 0 {
			remaining[d] = max(remaining[d]-unmet[n]*sv.capacity[d]/total, 0)
		}
	}
	requested := make([]float64, n)
	for rank := range n {
		clear(requested)
		for home, order := range s.domainOrder[:n] {
			if rank < len(order) {
				requested[order[rank]] += unmet[home]
			}
		}
		for home, order := range s.domainOrder[:n] {
			if rank >= len(order) || unmet[home] <= 0 {
				continue
			}
			target := order[rank]
			if requested[target] <= 0 || remaining[target] <= 0 {
				continue
			}
			granted := unmet[home] * min(1, remaining[target]/requested[target])
			shares[home][target] += granted
			unmet[home] -= granted
		}
		for target := range remaining {
			remaining[target] = max(remaining[target]-requested[target], 0)
		}
	}
	for home := range shares {
		for d := range n {
			if usable[d] && total > 0 {
				shares[home][d] += unmet[home] * sv.capacity[d] / total
			}
			shares[home][d] /= demand[home]
		}
	}
	return shares
}

// updateRanking moves the weights of a home towards its new shares and
// returns its ranking. If all weights are zero, they take the shares at once.
func (s *Planner) updateRanking(sv *service, home int, shares []float64, usable []bool) ranking {
	weights := sv.weights[home]
	unset, maxDiff := true, 0.0
	for d := range weights {
		if sv.capacity[d] <= 0 || !usable[d] {
			weights[d] = 0
		}
		unset = unset && weights[d] == 0
		maxDiff = max(maxDiff, math.Abs(weights[d]-shares[d]))
	}
	var r ranking
	for d := range weights {
		switch {
		case unset:
			weights[d] = shares[d]
		case maxDiff > deadBand:
			weights[d] += weightStep * (shares[d] - weights[d])
		}
		if weights[d] < 1e-3 {
			weights[d] = 0
		}
		if weights[d] > 0 {
			r.weighted = append(r.weighted, s.weightedDomain(d, weights[d]))
		}
	}
	r.fallbacks = s.fallbacks(sv, home, func(d int32) bool { return weights[d] > 0 })
	return r
}

func (s *Planner) weightedDomain(d int, weight float64) weightedDomain {
	return weightedDomain{domain: int32(d), seed: xxhash.Sum64String(string(s.domains.names[d])), weight: weight}
}

// fallbacks returns the domains without a weight for a home, nearest first,
// in groups of equal delay.
func (s *Planner) fallbacks(sv *service, home int, except func(d int32) bool) []fallback {
	home = min(home, len(s.domainOrder)-1)
	var out []fallback
	first, class := 0, time.Duration(-1)
	for i, d := range s.domainOrder[home] {
		if sv.capacity[d] <= 0 || except(d) {
			continue
		}
		if s.domainDelays[home][i] != class {
			first, class = len(out), s.domainDelays[home][i]
		}
		out = append(out, fallback{domain: d, groupStart: int32(first)})
		for j := first; j < len(out); j++ {
			out[j].groupSize = int32(len(out) - first)
		}
	}
	return out
}

// resize extends all slices to n domains.
func (sv *service) resize(n int) {
	sv.answersByDomain.grow(n)
	sv.answersByHome.grow(n + 1)
	for len(sv.measurements) < n {
		sv.measurements = append(sv.measurements, measurement{})
	}
	grow := func(f []float64) []float64 {
		for len(f) < n {
			f = append(f, 0)
		}
		return f
	}
	sv.capacity, sv.promised, sv.budget = grow(sv.capacity), grow(sv.promised), grow(sv.budget)
	if len(sv.weights) != n+1 {
		// The last row is for unknown addresses; it moves to the new end.
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
