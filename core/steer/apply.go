package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

type warmKey = core.ServerID

// Apply brings a new configuration into force. The sheet must not change
// afterwards. The table of blocks is kept if the blocks did not change, and
// at no cost if the sheets share the list.
func (s *Planner) Apply(now time.Duration, sheet *core.Sheet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collect(now)
	first := s.sheet == nil
	topology := first || !sameTopology(s.sheet, sheet)
	s.sheet = sheet
	for _, r := range sheet.Regions {
		for _, d := range r.Domains {
			s.dict.id(d)
		}
	}
	s.blocks = s.blocks.updated(&s.dict, sheet.Blocks)
	s.blocks.other = int32(len(s.dict.names))
	if topology || len(s.order) != len(s.dict.names)+1 {
		s.topology()
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

// topology orders all domains by nearness for each home. Domains equally
// near come in an order of the home's own, so that spilled callers spread.
func (s *Planner) topology() {
	region := make(map[core.DomainID]core.RegionID)
	var current []int32
	for _, r := range s.sheet.Regions {
		for _, d := range r.Domains {
			region[d] = r.Name
			current = append(current, s.dict.ids[d])
		}
	}
	s.near = make(map[core.RegionID]map[core.RegionID]time.Duration)
	set := func(a, b core.RegionID, d time.Duration) {
		if s.near[a] == nil {
			s.near[a] = make(map[core.RegionID]time.Duration)
		}
		s.near[a][b] = d
	}
	for _, l := range s.sheet.Links {
		set(l.From, l.To, l.Delay)
		if _, ok := s.near[l.To][l.From]; !ok {
			set(l.To, l.From, l.Delay)
		}
	}
	s.order = make([][]int32, len(s.dict.names)+1)
	s.class = make([][]time.Duration, len(s.order))
	for home := range s.order {
		name := core.DomainID("")
		if home < len(s.dict.names) {
			name = s.dict.names[home]
		}
		seed := xxhash.Sum64String(string(name))
		order := slices.Clone(current)
		slices.SortFunc(order, func(a, b int32) int {
			x, y := s.dict.names[a], s.dict.names[b]
			if c := cmp.Compare(s.delay(region, name, x), s.delay(region, name, y)); c != 0 {
				return c
			}
			return cmp.Compare(mix(seed, xxhash.Sum64String(string(x))), mix(seed, xxhash.Sum64String(string(y))))
		})
		s.order[home] = order
		s.class[home] = make([]time.Duration, len(order))
		for i, d := range order {
			s.class[home][i] = s.delay(region, name, s.dict.names[d])
		}
	}
}

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
	} else if d, ok := s.near[x][y]; ok {
		return max(d, s.cfg.RegionDelay+1)
	}
	return s.cfg.DefaultDelay
}

func (s *Planner) applyServices() {
	have := make(map[core.ServiceID]bool)
	next := 0
	for _, sv := range s.services {
		next = max(next, sv.index+1)
	}
	for _, listed := range s.sheet.Services {
		have[listed.Name] = true
		if s.services[listed.Name] == nil {
			s.services[listed.Name] = &service{
				index: next, slots: s.cfg.SlotsPerCaller, given: ledger{slot: s.slot}, asked: ledger{slot: s.slot},
			}
			next++
		}
	}
	for name := range s.services {
		if !have[name] {
			delete(s.services, name)
		}
	}
}

// applyServers notes which servers take no work and which come back cold.
func (s *Planner) applyServers(now time.Duration, first bool) {
	drained := make(map[string]bool)
	for _, d := range s.sheet.Drains {
		if d.Kind == core.DrainServer || d.Kind == core.DrainDomain {
			drained[string(d.Kind)+"/"+d.Target] = true
		}
	}
	before := s.taken
	s.taken = make(map[warmKey]bool, len(s.sheet.Servers))
	for _, server := range s.sheet.Servers {
		off := drained["server/"+string(server.Name)] || drained["domain/"+string(server.Domain)]
		s.taken[server.Name] = off
		wasOff, known := before[server.Name]
		switch {
		case off:
			delete(s.warming, server.Name)
		case !first && (!known || wasOff):
			s.warming[server.Name] = now
		}
	}
	s.capacities(now)
}

// warm recomputes capacities while servers ramp up.
func (s *Planner) warm(now time.Duration) {
	if len(s.warming) > 0 {
		s.capacities(now)
	}
}

func (s *Planner) capacities(now time.Duration) {
	warm := make(map[core.ServiceID]time.Duration, len(s.sheet.Services))
	for _, service := range s.sheet.Services {
		warm[service.Name] = service.SlowStart
	}
	for _, sv := range s.services {
		sv.resize(len(s.dict.names))
		clear(sv.capacity)
	}
	for _, server := range s.sheet.Servers {
		sv := s.services[server.Service]
		id, ok := s.dict.ids[server.Domain]
		if sv == nil || !ok || s.taken[server.Name] {
			continue
		}
		share := 1.0
		if since, ok := s.warming[server.Name]; ok {
			share = ramped(now-since, warm[server.Service])
			if share >= 1 {
				delete(s.warming, server.Name)
			}
		}
		sv.capacity[id] += share * float64(server.Slots)
	}
}

// rampStart is the share of its slots that a server takes right after a cold
// start; without any load it would not warm up.
const rampStart = 0.1

// ramped is the share of its slots that a server takes some time after a
// cold start.
func ramped(since, warm time.Duration) float64 {
	if since >= warm {
		return 1
	}
	return rampStart + (1-rampStart)*float64(since)/float64(warm)
}
