package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// refusal names a domain that had no slot for a service.
type refusal struct {
	service core.ServiceID
	domain  core.DomainID
}

// spillView ranks the domains to ask for a slot.
type spillView struct {
	all  []core.DomainID
	near []core.DomainID // without regions whose link is short
}

// refusedFor is how long a domain that refused a slot is not asked again.
// Slots come free at the pace of requests, so a second is many of them.
const refusedFor = time.Second

// SpillTargets returns other domains to ask for a slot, best first. The owner
// reserves a slot there and only then forwards the request. Downloads are
// not sent over links that are short. It appends to buf[:0].
func (s *Planner) SpillTargets(service core.ServiceID, class core.Class, buf []core.DomainID) []core.DomainID {
	v := s.now.Load().spills[service]
	if class == core.ClassDownload {
		return append(buf[:0], v.near...)
	}
	return append(buf[:0], v.all...)
}

// ReportRefusal notes that a domain had no slot for a service; it is not asked
// again for a second.
func (s *Planner) ReportRefusal(now time.Duration, service core.ServiceID, domain core.DomainID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[refusal{service, domain}] = now + refusedFor
	s.republishSpills(now)
}

// SetLinkExhausted notes whether the link budget to a region is short.
func (s *Planner) SetLinkExhausted(now time.Duration, to core.RegionID, short bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.short[to] == short {
		return
	}
	s.short[to] = short
	s.republishSpills(now)
}

func (s *Planner) republishSpills(now time.Duration) {
	next := *s.now.Load()
	next.spills = make(map[core.ServiceID]spillView, len(s.services))
	_, usable, _, _ := s.views()
	for name, sv := range s.services {
		next.spills[name] = s.spillView(now, sv, usable)
	}
	s.now.Store(&next)
}

func (s *Planner) spillView(now time.Duration, sv *service, usable []bool) spillView {
	home, ok := s.dict.ids[s.cfg.Self.Domain]
	if !ok {
		home = int32(len(s.dict.names))
	}
	name := core.ServiceID("")
	for n, other := range s.services {
		if other == sv {
			name = n
		}
	}
	region := make(map[core.DomainID]core.RegionID)
	for _, r := range s.sheet.Regions {
		for _, d := range r.Domains {
			region[d] = r.Name
		}
	}
	type candidate struct {
		domain core.DomainID
		delay  time.Duration
		free   int // tenths of the slots that were free
		score  uint64
	}
	var list []candidate
	self := xxhash.Sum64String(string(s.cfg.Self.Name))
	for _, d := range s.order[home] {
		domain := s.dict.names[d]
		key := refusal{name, domain}
		if till, ok := s.refused[key]; ok && till <= now {
			delete(s.refused, key)
		}
		if _, refused := s.refused[key]; refused || d == home || !usable[d] || sv.capacity[d] <= 0 {
			continue
		}
		c := candidate{domain: domain, delay: s.delay(region, s.cfg.Self.Domain, domain), free: 5}
		if m := sv.loads[d]; m.known && now-m.at <= s.cfg.MaxMeasurementAge {
			c.free = int(max(1-m.busy, 0) * 10)
		}
		c.score = mix(self, xxhash.Sum64String(string(domain)))
		list = append(list, c)
	}
	// A domain without a free slot comes last whatever its distance; equal
	// ones are asked in an order of this host's own.
	slices.SortFunc(list, func(a, b candidate) int {
		full := func(c candidate) int { return btoi(c.free == 0) }
		return cmp.Or(cmp.Compare(full(a), full(b)), cmp.Compare(a.delay, b.delay), cmp.Compare(b.free, a.free), cmp.Compare(a.score, b.score))
	})
	var v spillView
	for _, c := range list {
		v.all = append(v.all, c.domain)
		if r := region[c.domain]; r == region[s.cfg.Self.Domain] || !s.short[r] {
			v.near = append(v.near, c.domain)
		}
	}
	return v
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
