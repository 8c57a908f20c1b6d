package proxy

import (
	"sync"

	"azurering/core"
)

// splits spreads the requests of each route over its parts by their weights,
// with the least deviation at any moment.
type splits struct {
	mu   sync.Mutex
	sent map[string][]float64 // by route: requests sent to each part
}

// next returns the service for the next request of a route.
func (s *splits) next(r *core.RoutingRule) core.ServiceID {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.sent[r.Name]
	if len(credits) != len(r.Split) {
		credits = make([]float64, len(r.Split))
		s.sent[r.Name] = credits
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
