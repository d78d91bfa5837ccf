package backend

import "time"

// spillBuckets is the number of buckets into which a window is divided.
const spillBuckets = 4

// spillGuard bounds how fast the share of requests that leave a full region rises, so that a
// burst moves no more of a region's traffic from one window to the next than the cap on shifts
// allows.
type spillGuard struct {
	requests [2 * spillBuckets]int
	spilled  [2 * spillBuckets]int
	// startedAt is when the first request was counted; buckets are numbered from then on.
	startedAt time.Time
	at        int64
}

// request counts a request.
func (g *spillGuard) request(bounds *Bounds, now time.Time) {
	g.advance(bounds, now)
	g.requests[g.at%int64(len(g.requests))]++
}

// allow counts one request that leaves the region and returns true if the share of such requests
// then rises by no more than the given rise from one window to the next.
func (g *spillGuard) allow(rise float64, bounds *Bounds, now time.Time) bool {
	g.advance(bounds, now)
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

// sum returns the totals of a window that ended the given number of buckets ago.
func (g *spillGuard) sum(ago int64) (requests, spilled int) {
	size := int64(len(g.requests))
	for i := ago; i < ago+spillBuckets; i++ {
		bucket := ((g.at-i)%size + size) % size
		requests += g.requests[bucket]
		spilled += g.spilled[bucket]
	}
	return requests, spilled
}

func (g *spillGuard) advance(bounds *Bounds, now time.Time) {
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
	at := int64(now.Sub(g.startedAt) / (bounds.ShiftWindow / spillBuckets))
	size := int64(len(g.requests))
	for steps := int64(0); g.at < at && steps < size; steps++ {
		g.at++
		g.requests[g.at%size] = 0
		g.spilled[g.at%size] = 0
	}
	g.at = at
}
