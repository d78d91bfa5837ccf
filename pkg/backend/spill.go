package backend

import "time"

// spillBuckets is the number of parts of a window that are counted.
const spillBuckets = 4

// spillGuard bounds how fast the share of requests rises that leave a region
// which is full, so that a burst does not move more of a region's traffic from
// one window to the next than the cap on shifts allows.
type spillGuard struct {
	requests [2 * spillBuckets]int
	spilled  [2 * spillBuckets]int
	// began is when the first request was counted; buckets are counted from then on.
	began time.Time
	at    int64
}

// request counts a request.
func (g *spillGuard) request(terms *Bounds, now time.Time) {
	g.advance(terms, now)
	g.requests[g.at%int64(len(g.requests))]++
}

// allow takes one request that leaves the region, if the share of such requests
// rises by no more than the given rise from one window to the next.
func (g *spillGuard) allow(rise float64, terms *Bounds, now time.Time) bool {
	g.advance(terms, now)
	requests, spilled := g.sum(0)
	before, spilledBefore := g.sum(spillBuckets)
	last := 0.0
	if before > 0 {
		last = float64(spilledBefore) / float64(before)
	}
	if float64(spilled+1) > (last+rise)*float64(requests) {
		return false
	}
	g.spilled[g.at%int64(len(g.spilled))]++
	return true
}

// sum adds up a window that ends some buckets ago.
func (g *spillGuard) sum(ago int64) (requests, spilled int) {
	size := int64(len(g.requests))
	for i := ago; i < ago+spillBuckets; i++ {
		bucket := ((g.at-i)%size + size) % size
		requests += g.requests[bucket]
		spilled += g.spilled[bucket]
	}
	return requests, spilled
}

func (g *spillGuard) advance(terms *Bounds, now time.Time) {
	if g.began.IsZero() {
		g.began = now
	}
	at := int64(now.Sub(g.began) / (terms.ShiftWindow / spillBuckets))
	size := int64(len(g.requests))
	for steps := int64(0); g.at < at && steps < size; steps++ {
		g.at++
		g.requests[g.at%size] = 0
		g.spilled[g.at%size] = 0
	}
	g.at = at
}
