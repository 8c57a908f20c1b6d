package picker

import (
	"math"
	"time"

	"azurering/core"
)

const (
	// demandLife is the time constant with which a change of demand moves
	// requests between failure domains. Faster moves would take objects away
	// from servers that remember them, and pass the cap on shifts between
	// regions while demand swings.
	demandLife = 8 * time.Second
	// typicalLoad is the part of all slots that is taken to be busy at least.
	// It keeps requests in place while there is no traffic.
	typicalLoad = 0.4
	// localLoad is the part of a failure domain's slots that its own callers
	// may fill. Requests beyond it go to other domains, as some servers own
	// more objects than the mean.
	localLoad = 0.6
	// priorLoad is the load, as a part of all slots, with which an even
	// demand of all failure domains counts beside the measured one.
	priorLoad = 0.05
	// leastShare is the weight of a failure domain that has no part in the
	// requests of this one, as a part of an even share.
	leastShare = 0.001
)

// demand is the work that the callers of each failure domain have at the
// servers of one service, in busy slots.
type demand struct {
	at   time.Duration
	work map[core.DomainID]float64 // moving averages
}

// observe takes in the requests in flight now.
func (d *demand) observe(now time.Duration, inFlight map[core.DomainID]float64) {
	old := math.Exp(-float64(now-d.at) / float64(demandLife))
	if d.work == nil {
		d.work = make(map[core.DomainID]float64)
	}
	for domain := range d.work {
		d.work[domain] *= old
	}
	for domain, n := range inFlight {
		d.work[domain] += (1 - old) * n
	}
	d.at = now
}

// area is a set of servers that weigh alike: those of a failure domain, or
// of a region.
type area struct {
	group string  // areas of one group are closer to one another than to others
	slots float64 // of servers that may be used
	work  float64 // busy slots that its callers need
}

// spread returns the areas with the demand that is expected of them, and the
// part of the slots that callers may fill anywhere.
func spread(list map[string]*area) float64 {
	slots, work := 0.0, 0.0
	for _, a := range list {
		slots += a.slots
		work += a.work
	}
	level := max(typicalLoad, work/max(slots, 1))
	prior := priorLoad * slots
	for _, a := range list {
		a.work = level * slots * (a.work + prior/float64(len(list))) / (work + prior)
	}
	return max(localLoad, level)
}

// shares returns the weight of a slot in each area for requests from one of
// them: as much as fits stays there, the rest goes to spare slots of its
// group, and then to those of other groups.
func shares(own string, list map[string]*area, fill float64) map[string]float64 {
	spare, short := make(map[string]float64), make(map[string]float64)
	slots := 0.0
	for _, a := range list {
		room := fill*a.slots - a.work
		spare[a.group] += max(room, 0)
		short[a.group] += max(-room, 0)
		slots += a.slots
	}
	home := list[own]
	beyond := max(home.work-fill*home.slots, 0)
	near := 0.0
	if beyond > 0 {
		near = beyond * min(1, spare[home.group]/short[home.group])
	}
	elsewhere := 0.0 // room that other groups do not need themselves
	for group := range spare {
		if group != home.group {
			elsewhere += max(spare[group]-short[group], 0)
		}
	}
	weights := make(map[string]float64, len(list))
	for name, a := range list {
		if a.slots == 0 {
			continue
		}
		room := max(fill*a.slots-a.work, 0)
		got := leastShare * home.work * a.slots / slots
		switch {
		case name == own:
			got += home.work - beyond
		case room == 0:
		case a.group == home.group:
			got += near * room / spare[a.group]
		case elsewhere > 0:
			left := max(spare[a.group]-short[a.group], 0) / spare[a.group]
			got += (beyond - near) * room * left / elsewhere
		}
		weights[name] = got / a.slots
	}
	return weights
}

// reweigh sets the weight of each server: its share of the objects. An object
// has an owner in each region, so that few servers have to learn it; one with
// large answers has an owner in each failure domain, as bytes between domains
// cost. Servers of one area weigh alike by slot, so that all hosts agree on
// their order for an object.
func (v *Picker) reweigh() {
	for service, servers := range v.services {
		d := v.demands[service]
		if d == nil {
			d = &demand{at: v.cfg.Timer.Now()}
			v.demands[service] = d
		}
		domains, regions := v.areas(servers, d)
		byDomain, byRegion := map[string]float64{}, map[string]float64{}
		if domains[string(v.cfg.Domain)] != nil && regions[string(v.cfg.Region)] != nil {
			byDomain = shares(string(v.cfg.Domain), domains, spread(domains))
			byRegion = shares(string(v.cfg.Region), regions, spread(regions))
		}
		for _, s := range servers {
			s.weight = slotWeight(byRegion[string(v.cfg.Regions[s.Domain])]) * float64(s.Slots)
			s.large = slotWeight(byDomain[string(s.Domain)]) * float64(s.Slots)
		}
	}
}

// slotWeight returns the weight of a slot; 1 in an area that the settings do
// not name.
func slotWeight(w float64) float64 {
	if w > 0 {
		return w
	}
	return 1
}

// areas returns the failure domains and regions with the slots and the
// demand of a service.
func (v *Picker) areas(servers []*server, d *demand) (domains, regions map[string]*area) {
	domains, regions = make(map[string]*area), make(map[string]*area)
	for domain, region := range v.cfg.Regions {
		domains[string(domain)] = &area{group: string(region), work: d.work[domain]}
		regions[string(region)] = &area{}
	}
	for _, s := range servers {
		if a := domains[string(s.Domain)]; a != nil && !v.evacuated[s.Domain] {
			a.slots += float64(s.Slots)
		}
	}
	for _, a := range domains {
		regions[a.group].slots += a.slots
		regions[a.group].work += a.work
	}
	return domains, regions
}

// SetRemoteInFlight replaces what other hosts have in flight at each server, by the
// failure domain of the host.
func (v *Picker) SetRemoteInFlight(counts map[core.DomainID]map[core.ServerID]int) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refresh()
	inFlight := make(map[core.ServiceID]map[core.DomainID]float64)
	add := func(s *server, domain core.DomainID, n int) {
		if inFlight[s.Service] == nil {
			inFlight[s.Service] = make(map[core.DomainID]float64)
		}
		inFlight[s.Service][domain] += float64(n)
	}
	for _, s := range v.servers {
		s.remote = 0
		if s.inFlight > 0 {
			add(s, v.cfg.Domain, s.inFlight)
		}
	}
	for domain, servers := range counts {
		for id, n := range servers {
			if s := v.servers[id]; s != nil {
				s.remote += n
				add(s, domain, n)
			}
		}
	}
	for service, d := range v.demands {
		d.observe(now, inFlight[service])
	}
	v.reweigh()
}
