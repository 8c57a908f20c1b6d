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
func (s *splitter) next(r *core.Rule) core.ServiceID {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.Name]
	if len(credits) != len(r.Parts) {
		credits = make([]float64, len(r.Parts))
		s.credits[r.Name] = credits
	}
	total, best := 0.0, 0
	for i, p := range r.Parts {
		total += p.Weight
		credits[i] += p.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Parts[best].Service
}
