package share

import (
	"slices"

	"azurering/core"
)

// Limit is the fleet-wide limit of a resource and the domains that share it.
type Limit struct {
	Amount  core.Amount
	Domains []core.DomainID
}

// Limits are the limits of one configuration version.
type Limits struct {
	Version uint64
	// Rates holds the resources with a row in the table.
	Rates map[core.Resource]Limit
	// Slots holds the slot resources; each has exactly one domain.
	Slots map[core.Resource]Limit
}

// LimitsOf derives the limits from a sheet. The rate of a workspace is
// shared by all domains, the cap of a shift by the domains of the receiving
// region, and the budget of a link by the domains of the sending region. A
// shift's burst is one second of its cap. A link's rate is in kilobits per
// second and its burst is one second of the rate.
func LimitsOf(version uint64, s core.Sheet) Limits {
	l := Limits{Version: version, Rates: make(map[core.Resource]Limit), Slots: make(map[core.Resource]Limit)}
	regions := make(map[core.RegionID][]core.DomainID)
	var all []core.DomainID
	for _, r := range s.Regions {
		regions[r.Name] = r.Domains
		all = append(all, r.Domains...)
	}
	for _, w := range s.Workspaces {
		l.Rates[core.RateResource(w.Name)] = Limit{Amount: core.Amount{Rate: w.Rate, Burst: w.Burst}, Domains: all}
	}
	for _, f := range s.Shifts {
		l.Rates[core.ShiftResource(f.Name)] = Limit{Amount: core.Amount{Rate: f.Cap, Burst: f.Cap}, Domains: regions[f.To]}
	}
	for _, k := range s.Links {
		a := core.Amount{Rate: k.BandwidthMbps * 1000, Burst: k.BandwidthMbps * 1000}
		l.Rates[core.LinkResource(k.From, k.To)] = Limit{Amount: a, Domains: regions[k.From]}
		l.Rates[core.LinkResource(k.To, k.From)] = Limit{Amount: a, Domains: regions[k.To]}
	}
	for _, v := range s.Servers {
		l.Slots[core.SlotsResource(v.Name)] = Limit{Amount: core.Amount{Slots: int64(v.Slots)}, Domains: []core.DomainID{v.Domain}}
	}
	return l
}

func (l Limit) has(d core.DomainID) bool { return slices.Contains(l.Domains, d) }
