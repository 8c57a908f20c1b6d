package proxy

import (
	"math/rand/v2"
	"slices"
	"sync"

	"azurering/core"
	"azurering/core/codes"
	"azurering/core/routes"
)

// splitter distributes the requests of each route over its parts in
// proportion to their weights, by smooth weighted round robin. What the parts of a
// route are owed lasts while versions of the configuration leave its split alone, and
// goes with the split: a part that loses its weight is owed nothing.
type splitter struct {
	mu      sync.Mutex
	table   *routes.Table
	credits map[*core.RoutingRule][]float64 // accumulated credit of each part, by the split routes of table
}

// next returns the service for the next request of a route of a table. It fails with
// NoServer if no part of the route has a weight.
func (s *splitter) next(t *routes.Table, r *core.RoutingRule) (core.ServiceID, error) {
	total := totalWeight(r.Split)
	if total <= 0 {
		return "", codes.New(codes.NoServer, "proxy: no service of route %s has a weight", r.Name)
	}
	if len(r.Split) == 1 {
		return r.Split[0].Service, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(t)
	credits, ok := s.credits[r]
	if !ok {
		// The request was admitted by a table that is no longer in force.
		return r.Split[draw(r.Split, total)].Service, nil
	}
	begins := credits == nil
	if begins {
		credits = make([]float64, len(r.Split))
		s.credits[r] = credits
	}
	best := -1
	for i, p := range r.Split {
		credits[i] += p.Weight
		if p.Weight > 0 && (best < 0 || credits[i] > credits[best]) {
			best = i
		}
	}
	if begins {
		// All hosts begin a split at the same time. If all of them sent their first
		// requests to the same part, its share would be too large in between.
		best = draw(r.Split, total)
	}
	credits[best] -= total
	return r.Split[best].Service, nil
}

// adopt makes the routes of a newer table the current ones. Credits pass to a route of
// the same name whose split is the same, and end otherwise.
func (s *splitter) adopt(t *routes.Table) {
	if t == s.table || s.table != nil && t.Version < s.table.Version {
		return
	}
	before := make(map[string]*core.RoutingRule, len(s.credits))
	for r := range s.credits {
		before[r.Name] = r
	}
	credits := make(map[*core.RoutingRule][]float64)
	for _, r := range t.Splits() {
		credits[r] = nil
		if old := before[r.Name]; old != nil && slices.Equal(old.Split, r.Split) {
			credits[r] = s.credits[old]
		}
	}
	s.table, s.credits = t, credits
}

func totalWeight(parts []core.WeightedService) float64 {
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	return total
}

// draw returns the index of a random part, with the probabilities of their weights,
// which sum up to total.
func draw(parts []core.WeightedService, total float64) int {
	point, last := rand.Float64()*total, 0
	for i, p := range parts {
		if p.Weight <= 0 {
			continue
		}
		last = i
		if point -= p.Weight; point < 0 {
			break
		}
	}
	return last
}
