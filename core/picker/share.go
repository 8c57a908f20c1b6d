package picker

import (
	"math"
	"time"

	"azurering/core"
)

const (
	// demandTimeConstant is the time constant with which a change of demand
	// moves requests between failure domains. Faster moves take objects away
	// from servers that have handled them, and exceed the cap on shifts
	// between regions when demand oscillates.
	demandTimeConstant = 8 * time.Second
	// minLoad is the fraction of all slots that is assumed to be busy at
	// least. It keeps requests in place while there is no traffic.
	minLoad = 0.4
	// localLoadLimit is the fraction of a failure domain's slots that its own
	// callers may fill. Requests beyond it go to other localities. It is well
	// below 1 because some servers own more objects than the mean and fill up
	// earlier.
	localLoadLimit = 0.6
	// priorLoad is the fraction of all slots that is added to the measured
	// demand as a prior, spread evenly over the failure domains.
	priorLoad = 0.05
	// minShare is the minimum weight of a locality for requests from another
	// one, as a fraction of an even share.
	minShare = 0.001
)

// demand is the number of busy slots that the callers of each failure domain
// need at the servers of one service.
type demand struct {
	at        time.Duration
	busySlots map[core.DomainID]float64 // exponential moving averages
}

// observe adds the current requests in flight to the averages.
func (d *demand) observe(now time.Duration, inFlight map[core.DomainID]float64) {
	decay := math.Exp(-float64(now-d.at) / float64(demandTimeConstant))
	if d.busySlots == nil {
		d.busySlots = make(map[core.DomainID]float64)
	}
	for domain := range d.busySlots {
		d.busySlots[domain] *= decay
	}
	for domain, n := range inFlight {
		d.busySlots[domain] += (1 - decay) * n
	}
	d.at = now
}

// locality is a set of servers whose slots get equal weights: those of a
// failure domain, or of a region.
type locality struct {
	group  string  // overflow goes to localities of the same group first
	slots  float64 // of servers that may be used
	demand float64 // busy slots that its callers need
}

// normalizeDemand scales the demand of each locality to the expected total
// load, and returns the fraction of its slots that a locality may fill.
func normalizeDemand(list map[string]*locality) float64 {
	slots, total := 0.0, 0.0
	for _, a := range list {
		slots += a.slots
		total += a.demand
	}
	level := max(minLoad, total/max(slots, 1))
	prior := priorLoad * slots
	for _, a := range list {
		a.demand = level * slots * (a.demand + prior/float64(len(list))) / (total + prior)
	}
	return max(localLoadLimit, level)
}

// slotWeights returns the weight of a slot in each locality for requests from
// the locality own: as much demand as fits stays there, the rest goes to
// spare slots of its group, and then to those of other groups.
func slotWeights(own string, list map[string]*locality, fillLimit float64) map[string]float64 {
	spare, deficit := make(map[string]float64), make(map[string]float64)
	slots := 0.0
	for _, a := range list {
		room := fillLimit*a.slots - a.demand
		spare[a.group] += max(room, 0)
		deficit[a.group] += max(-room, 0)
		slots += a.slots
	}
	home := list[own]
	overflow := max(home.demand-fillLimit*home.slots, 0)
	toGroup := 0.0
	if overflow > 0 {
		toGroup = overflow * min(1, spare[home.group]/deficit[home.group])
	}
	otherSpare := 0.0 // spare slots that other groups do not need themselves
	for group := range spare {
		if group != home.group {
			otherSpare += max(spare[group]-deficit[group], 0)
		}
	}
	weights := make(map[string]float64, len(list))
	for name, a := range list {
		if a.slots == 0 {
			continue
		}
		room := max(fillLimit*a.slots-a.demand, 0)
		load := minShare * home.demand * a.slots / slots
		switch {
		case name == own:
			load += home.demand - overflow
		case room == 0:
		case a.group == home.group:
			load += toGroup * room / spare[a.group]
		case otherSpare > 0:
			spareFraction := max(spare[a.group]-deficit[a.group], 0) / spare[a.group]
			load += (overflow - toGroup) * room * spareFraction / otherSpare
		}
		weights[name] = load / a.slots
	}
	return weights
}

// updateWeights sets the weight of each server, which is its share of the
// objects. An object has one owner per region, so that few servers have to
// warm up for it; an object with large answers has one owner per failure
// domain, because traffic between domains is expensive. Slots of one locality
// have equal weights, so that all hosts of a locality rank the servers of an
// object alike.
func (v *Picker) updateWeights() {
	now := v.cfg.Timer.Now()
	for service, servers := range v.services {
		d := v.demands[service]
		if d == nil {
			d = &demand{at: now}
			v.demands[service] = d
		}
		domains, regions := v.localities(now, servers, d)
		byDomain, byRegion := map[string]float64{}, map[string]float64{}
		if domains[string(v.cfg.Domain)] != nil && regions[string(v.cfg.Region)] != nil {
			byDomain = slotWeights(string(v.cfg.Domain), domains, normalizeDemand(domains))
			byRegion = slotWeights(string(v.cfg.Region), regions, normalizeDemand(regions))
		}
		for _, s := range servers {
			usable := v.usableSlots(now, s)
			s.weight = weightOrOne(byRegion[string(v.cfg.Regions[s.Domain])]) * usable
			s.largeWeight = weightOrOne(byDomain[string(s.Domain)]) * usable
		}
	}
}

// weightOrOne returns the weight of a slot: 1 in a locality that the settings
// do not name.
func weightOrOne(w float64) float64 {
	if w > 0 {
		return w
	}
	return 1
}

// localities returns the failure domains and the regions with their slots and
// the demand for a service.
func (v *Picker) localities(now time.Duration, servers []*server, d *demand) (domains, regions map[string]*locality) {
	domains, regions = make(map[string]*locality), make(map[string]*locality)
	for domain, region := range v.cfg.Regions {
		domains[string(domain)] = &locality{group: string(region), demand: d.busySlots[domain]}
		regions[string(region)] = &locality{}
	}
	for _, s := range servers {
		if a := domains[string(s.Domain)]; a != nil && !v.evacuated[s.Domain] {
			a.slots += v.usableSlots(now, s)
		}
	}
	for _, a := range domains {
		regions[a.group].slots += a.slots
		regions[a.group].demand += a.demand
	}
	return domains, regions
}

// SetRemoteInFlight replaces the in-flight counts of other hosts at each server,
// grouped by the failure domain of the host, and updates the demand and the
// weights.
func (v *Picker) SetRemoteInFlight(counts map[core.DomainID]map[core.ServerID]int) {
	now := v.cfg.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refreshServices()
	inFlight := make(map[core.ServiceID]map[core.DomainID]float64)
	add := func(s *server, domain core.DomainID, n int) {
		if inFlight[s.Service] == nil {
			inFlight[s.Service] = make(map[core.DomainID]float64)
		}
		inFlight[s.Service][domain] += float64(n)
	}
	for _, s := range v.servers {
		s.remoteInFlight = 0
		if s.inFlight > 0 {
			add(s, v.cfg.Domain, s.inFlight)
		}
	}
	for domain, servers := range counts {
		for id, n := range servers {
			if s := v.servers[id]; s != nil {
				s.remoteInFlight += n
				add(s, domain, n)
			}
		}
	}
	for service, d := range v.demands {
		d.observe(now, inFlight[service])
	}
	v.updateWeights()
}
