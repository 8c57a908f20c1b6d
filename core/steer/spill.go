package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"azurering/core"
)

// serviceDomain is the key of a refusal: a service and the domain that had no
// slot for it.
type serviceDomain struct {
	service core.ServiceID
	domain  core.DomainID
}

// spillOrder lists the domains to ask for a slot, best first.
type spillOrder struct {
	all          []core.DomainID
	forDownloads []core.DomainID // without regions whose link budget is short
}

// refusalTTL is how long a domain that refused a slot is not asked again.
// Slots become free at the rate of requests, so many do within a second.
const refusalTTL = time.Second

// SpillTargets returns other domains to ask for a slot, best first. The entry host
// must reserve a slot in one before it forwards a request there. For
// downloads, regions whose link budget is short are left out. SpillTargets
// appends the domains to buf[:0].
func (s *Planner) SpillTargets(service core.ServiceID, class core.Class, buf []core.DomainID) []core.DomainID {
	v := s.current.Load().spillOrders[service]
	if class == core.ClassDownload {
		return append(buf[:0], v.forDownloads...)
	}
	return append(buf[:0], v.all...)
}

// ReportRefusal records that a domain had no slot for a service.
// SpillTargets leaves the domain out for a second.
func (s *Planner) ReportRefusal(now time.Duration, service core.ServiceID, domain core.DomainID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedUntil[serviceDomain{service, domain}] = now + refusalTTL
	s.republishSpillOrders(now)
}

// SetLinkExhausted records whether the link budget to a region is short.
func (s *Planner) SetLinkExhausted(now time.Duration, to core.RegionID, short bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shortLinks[to] == short {
		return
	}
	s.shortLinks[to] = short
	s.republishSpillOrders(now)
}

// republishSpillOrders publishes the last snapshot with new spill orders.
func (s *Planner) republishSpillOrders(now time.Duration) {
	next := *s.current.Load()
	next.spillOrders = make(map[core.ServiceID]spillOrder, len(s.services))
	_, usable, _, _ := s.domainViews()
	for name, sv := range s.services {
		next.spillOrders[name] = s.spillOrder(now, sv, usable)
	}
	s.current.Store(&next)
}

// spillOrder sorts the domains that this host may ask for a slot of a
// service.
func (s *Planner) spillOrder(now time.Duration, sv *service, usable []bool) spillOrder {
	home, ok := s.domains.ids[s.cfg.Self.Domain]
	if !ok {
		home = int32(len(s.domains.names))
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
		domain     core.DomainID
		delay      time.Duration
		freeTenths int // free slots in tenths of all
		score      uint64
	}
	var candidates []candidate
	self := xxhash.Sum64String(string(s.cfg.Self.Name))
	for _, d := range s.domainOrder[home] {
		domain := s.domains.names[d]
		key := serviceDomain{name, domain}
		if until, ok := s.refusedUntil[key]; ok && until <= now {
			delete(s.refusedUntil, key)
		}
		if _, refused := s.refusedUntil[key]; refused || d == home || !usable[d] || sv.capacity[d] <= 0 {
			continue
		}
		c := candidate{domain: domain, delay: s.delay(region, s.cfg.Self.Domain, domain), freeTenths: 5}
		if m := sv.measurements[d]; m.known && now-m.observedAt <= s.cfg.MaxMeasurementAge {
			c.freeTenths = int(max(1-m.busyShare, 0) * 10)
		}
		c.score = hashPair(self, xxhash.Sum64String(string(domain)))
		candidates = append(candidates, c)
	}
	// A domain without a free slot comes last whatever its delay. Otherwise
	// equal domains are sorted by a hash that depends on this host.
	slices.SortFunc(candidates, func(a, b candidate) int {
		full := func(c candidate) int { return boolToInt(c.freeTenths == 0) }
		return cmp.Or(cmp.Compare(full(a), full(b)), cmp.Compare(a.delay, b.delay), cmp.Compare(b.freeTenths, a.freeTenths), cmp.Compare(a.score, b.score))
	})
	var v spillOrder
	for _, c := range candidates {
		v.all = append(v.all, c.domain)
		if r := region[c.domain]; r == region[s.cfg.Self.Domain] || !s.shortLinks[r] {
			v.forDownloads = append(v.forDownloads, c.domain)
		}
	}
	return v
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
