package routing

import "sync"

// Splitter divides requests among the weighted backends of routes. It keeps,
// for each route, what every backend is owed, and gives each request to the
// one that is owed most (smooth weighted round robin), so that shares are met
// within one request and not by chance alone.
type Splitter struct {
	mu     sync.Mutex
	credit map[string][]float64
}

// NewSplitter makes an empty splitter.
func NewSplitter() *Splitter { return &Splitter{credit: map[string][]float64{}} }

// Pick returns the index of the backend that the next request of the route
// goes to.
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
	best := 0
	for i, b := range r.Backends {
		owed[i] += b.Weight
		total += b.Weight
		if owed[i] > owed[best] {
			best = i
		}
	}
	owed[best] -= total
	return best
}

// splitKey names a route with its backends, so that changed weights begin
// anew.
func splitKey(r *Route) string {
	key := r.Host + r.PathPrefix
	for _, b := range r.Backends {
		key += "|" + b.Service
	}
	return key
}
