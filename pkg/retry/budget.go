// Package retry bounds how often requests are sent again. The bound holds for
// all boxes together: each box keeps within its own part of it, so that the
// sum stays within the whole even if every box spends all it has.
package retry

import (
	"sync"
	"time"
)

// buckets is the number of parts that are counted. All but one of them make a
// whole window, so the part that has just begun never hides an older one.
const buckets = 21

// Terms are the bounds on repeats in any window.
type Terms struct {
	// Ratio bounds repeats by the number of requests.
	Ratio float64
	// Slack is what all boxes together may send beyond that.
	Slack  float64
	Window time.Duration
}

// Budget counts the requests and repeats of each service.
type Budget struct {
	Terms Terms
	// Boxes returns among how many boxes the slack is divided; 0 when that
	// is not known, and then nobody may use it.
	Boxes func() int
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	mu       sync.Mutex
	services map[string]*window
}

// window counts over a sliding window, in buckets.
type window struct {
	first   [buckets]float64
	repeats [buckets]float64
	at      int64
}

// NewBudget makes a budget in which nothing is spent.
func NewBudget(terms Terms, boxes func() int, now func() time.Time) *Budget {
	return &Budget{Terms: terms, Boxes: boxes, Now: now, services: map[string]*window{}}
}

// Request counts a request for the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service)
	w.first[w.at%buckets]++
}

// Spend takes one repeat from the budget and reports whether there was one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.advance(service)
	if sum(&w.repeats)+1 > b.allowed(w) {
		return false
	}
	w.repeats[w.at%buckets]++
	return true
}

// allowed returns how many repeats the window bears. The oldest requests are
// left out, since they may lie outside the judged window; and only half of
// the slack is used, since a box that has just restarted has forgotten what
// it spent.
func (b *Budget) allowed(w *window) float64 {
	requests := sum(&w.first) - w.first[(w.at+1)%buckets]
	allowed := b.Terms.Ratio * requests
	if boxes := b.Boxes(); boxes > 0 {
		allowed += b.Terms.Slack / (2 * float64(boxes))
	}
	return allowed
}

func (b *Budget) advance(service string) *window {
	now := b.Now().UnixNano() / int64(b.Terms.Window/(buckets-1))
	w := b.services[service]
	if w == nil {
		w = &window{at: now}
		b.services[service] = w
	}
	for steps := 0; w.at < now && steps < buckets; steps++ {
		w.at++
		w.first[w.at%buckets] = 0
		w.repeats[w.at%buckets] = 0
	}
	w.at = now
	return w
}

func sum(values *[buckets]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
