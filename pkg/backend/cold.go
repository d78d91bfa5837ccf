package backend

import (
	"math"
	"time"
)

// coldWindow is the span in which a cold server's requests are counted.
const coldWindow = time.Second

// mayWarm reports whether this box may send one more request to a cold
// server. The bound holds for the sum over all boxes, which do not ask each
// other: each has its part of it, and where that is less than one request
// nobody may send.
func (s *Set) mayWarm(v *server, now time.Time) bool {
	part := s.coldPart(v)
	if part < 1 {
		return false
	}
	recent := v.coldSends[:0]
	for _, at := range v.coldSends {
		if now.Sub(at) <= coldWindow {
			recent = append(recent, at)
		}
	}
	v.coldSends = recent
	return len(recent) < part
}

// coldPart is how many requests in any second this box may send.
func (s *Set) coldPart(v *server) int {
	boxes := s.Boxes()
	if boxes <= 0 {
		return 0
	}
	terms := s.terms[v.Service]
	total := terms.ColdPerSecond*s.Terms.ColdOverage + s.Terms.ColdSlack
	return int(math.Floor(total / float64(boxes)))
}
