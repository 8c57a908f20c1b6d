package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

type serverKey = core.ServerID

// Apply applies a new configuration and makes a plan. The caller must not
// change the sheet afterwards. If the blocks did not change, their table is
// kept; the comparison is free if the sheets share the slice.
func (s *Planner) Apply(now time.Duration, sheet *core.Sheet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectAnswers(now)
	first := s.sheet == nil
	topologyChanged := first || !sameTopology(s.sheet, sheet)
	s.sheet = sheet
	for _, r := range sheet.Regions {
		for _, d := range r.Domains {
			s.domains.intern(d)
		}
	}
	s.blocks = s.blocks.updated(&s.domains, sheet.Blocks)
	s.blocks.unknownHome = int32(len(s.domains.names))
	if topologyChanged || len(s.domainOrder) != len(s.domains.names)+1 {
		s.orderDomains()
	}
	s.applyServices()
	s.applyServers(now, first)
	s.applyShifts()
	s.plan(now)
}

func sameTopology(a, b *core.Sheet) bool {
	return slices.Equal(a.Links, b.Links) && slices.EqualFunc(a.Regions, b.Regions, func(x, y core.Region) bool {
		return x.Name == y.Name && slices.Equal(x.Domains, y.Domains)
	})
}

// orderDomains sorts all domains by delay for each home domain. Domains with
// equal delays are sorted by a hash that depends on the home, so that spilled
// callers spread over them.
func (s *Planner) orderDomains() {
	region := make(map[core.DomainID]core.RegionID)
	var current []int32
	for _, r := range s.sheet.Regions {
		for _, d := range r.Domains {
			region[d] = r.Name
			current = append(current, s.domains.ids[d])
		}
	}
	s.linkDelays = make(map[core.RegionID]map[core.RegionID]time.Duration)
	set := func(a, b core.RegionID, d time.Duration) {
		if s.linkDelays[a] == nil {
			s.linkDelays[a] = make(map[core.RegionID]time.Duration)
		}
		s.linkDelays[a][b] = d
	}
	for _, l := range s.sheet.Links {
		set(l.From, l.To, l.Delay)
		if _, ok := s.linkDelays[l.To][l.From]; !ok {
			set(l.To, l.From, l.Delay)
		}
	}
	s.domainOrder = make([][]int32, len(s.domains.names)+1)
	s.domainDelays = make([][]time.Duration, len(s.domainOrder))
	for home := range s.domainOrder {
		name := core.DomainID("")
		if home < len(s.domains.names) {
			name = s.domains.names[home]
		}
		seed := xxhash.Sum64String(string(name))
		order := slices.Clone(current)
		slices.SortFunc(order, func(a, b int32) int {
			x, y := s.domains.names[a], s.domains.names[b]
			if c := cmp.Compare(s.delay(region, name, x), s.delay(region, name, y)); c != 0 {
				return c
			}
			return cmp.Compare(hashPair(seed, xxhash.Sum64String(string(x))), hashPair(seed, xxhash.Sum64String(string(y))))
		})
		s.domainOrder[home] = order
		s.domainDelays[home] = make([]time.Duration, len(order))
		for i, d := range order {
			s.domainDelays[home][i] = s.delay(region, name, s.domains.names[d])
		}
	}
}

// delay returns the delay between two domains. Domains of linked regions are
// always farther apart than those of one region.
func (s *Planner) delay(region map[core.DomainID]core.RegionID, a, b core.DomainID) time.Duration {
	if a == b {
		return 0
	}
	x, ok := region[a]
	if !ok {
		return s.cfg.DefaultDelay
	}
	if y := region[b]; x == y {
		return s.cfg.RegionDelay
	} else if d, ok := s.linkDelays[x][y]; ok {
		return max(d, s.cfg.RegionDelay+1)
	}
	return s.cfg.DefaultDelay
}

func (s *Planner) applyServices() {
	inSheet := make(map[core.ServiceID]bool)
	next := 0
	for _, sv := range s.services {
		next = max(next, sv.index+1)
	}
	for _, listed := range s.sheet.Services {
		inSheet[listed.Name] = true
		if s.services[listed.Name] == nil {
			s.services[listed.Name] = &service{
				index: next, slotsPerCaller: s.cfg.SlotsPerCaller, answersByDomain: answerHistory{second: s.second}, answersByHome: answerHistory{second: s.second},
			}
			next++
		}
	}
	for name := range s.services {
		if !inSheet[name] {
			delete(s.services, name)
		}
	}
}

// applyServers records which servers are drained and which return cold.
func (s *Planner) applyServers(now time.Duration, first bool) {
	drainTargets := make(map[string]bool)
	for _, d := range s.sheet.Drains {
		if d.Kind == core.DrainServer || d.Kind == core.DrainDomain {
			drainTargets[string(d.Kind)+"/"+d.Target] = true
		}
	}
	previous := s.drained
	s.drained = make(map[serverKey]bool, len(s.sheet.Servers))
	for _, server := range s.sheet.Servers {
		drained := drainTargets["server/"+string(server.Name)] || drainTargets["domain/"+string(server.Domain)]
		s.drained[server.Name] = drained
		wasDrained, known := previous[server.Name]
		switch {
		case drained:
			delete(s.warmingSince, server.Name)
		case !first && (!known || wasDrained):
			s.warmingSince[server.Name] = now
		}
	}
	s.updateCapacities(now)
}

// updateRamps recomputes the capacities while servers ramp up.
func (s *Planner) updateRamps(now time.Duration) {
	if len(s.warmingSince) > 0 {
		s.updateCapacities(now)
	}
}

// updateCapacities sums the slots of the servers that take work, by service
// and domain.
func (s *Planner) updateCapacities(now time.Duration) {
	warmTimes := make(map[core.ServiceID]time.Duration, len(s.sheet.Services))
	for _, service := range s.sheet.Services {
		warmTimes[service.Name] = service.SlowStart
	}
	for _, sv := range s.services {
		sv.resize(len(s.domains.names))
		clear(sv.capacity)
	}
	for _, server := range s.sheet.Servers {
		sv := s.services[server.Service]
		id, ok := s.domains.ids[server.Domain]
		if sv == nil || !ok || s.drained[server.Name] {
			continue
		}
		ramp := 1.0
		if since, ok := s.warmingSince[server.Name]; ok {
			ramp = rampShare(now-since, warmTimes[server.Service])
			if ramp >= 1 {
				delete(s.warmingSince, server.Name)
			}
		}
		sv.capacity[id] += ramp * float64(server.Slots)
	}
}

// minRampShare is the share of its slots that a server takes right after a
// cold start. It must exceed zero, since a server without load would not warm
// up.
const minRampShare = 0.1

// rampShare returns the share of its slots that a server takes at a time
// since its cold start, given the service's warm-up time.
func rampShare(since, warm time.Duration) float64 {
	if since >= warm {
		return 1
	}
	return minRampShare + (1-minRampShare)*float64(since)/float64(warm)
}
