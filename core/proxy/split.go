package proxy

import (
	"sync"

	"azurering/core"
)

// splitter distributes the requests of each route over its parts in
// proportion to their weights, by smooth weighted round robin.
type splitter struct {
	mu      sync.Mutex
	credits map[string][]float64 // by route: accumulated credit of each part
}

// next returns the service for the next request of a route.
func (s *splitter) next(r *core.RoutingRule) core.ServiceID {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.Name]
	if len(credits) != len(r.Split) {
		credits = make([]float64, len(r.Split))
		s.credits[r.Name] = credits
	}
	total, best := 0.0, 0
	for i, p := range r.Split {
		total += p.Weight
		credits[i] += p.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Split[best].Service
}
