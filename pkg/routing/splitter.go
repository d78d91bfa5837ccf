package routing

import "sync"

// Splitter divides requests among the weighted backends of routes by smooth weighted round
// robin: it keeps a credit for every backend of a route, in requests, and picks the backend with
// the most. So shares are met within a few requests (within one for two backends) rather than
// only on average.
type Splitter struct {
	mu     sync.Mutex
	credit map[string][]float64
}

// NewSplitter returns a splitter that has divided no requests yet.
func NewSplitter() *Splitter { return &Splitter{credit: map[string][]float64{}} }

// Pick returns the index of the backend for the next request of the route.
func (s *Splitter) Pick(r *Route) int {
	if len(r.Backends) == 1 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := splitKey(r)
	owed := s.credit[key]
	if owed == nil {
		owed = make([]float64, len(r.Backends))
		s.credit[key] = owed
	}
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	best := 0
	for i, b := range r.Backends {
		owed[i] += b.Weight / total
		if owed[i] > owed[best] {
			best = i
		}
	}
	owed[best]--
	return best
}

// splitKey identifies a route and the services of its backends, so that a change of these starts
// the division anew. A change of weights goes on from the credits, so that shares are also met
// while weights change often.
func splitKey(r *Route) string {
	key := r.Host + r.PathPrefix
	for _, b := range r.Backends {
		key += "|" + b.Service
	}
	return key
}
