// Package retry bounds how often requests are sent again. The bound holds for
// all boxes together: each box keeps within its own part of it, so that the
// sum stays within the whole even if every box spends all it has.
package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of parts of a window that are counted. All but one of
// them make a whole window, so the part that has just begun never hides an
// older one.
const bucketCount = 21

// usableSlack is the part of the slack that boxes use. The rest covers boxes
// that have just joined and are not counted yet: one in five of them.
const usableSlack = 0.8

// Terms are the bounds on repeats in any window.
type Terms struct {
	// Ratio bounds repeats by the number of requests.
	Ratio float64
	// Slack is what all boxes together may send beyond that.
	Slack  float64
	Window time.Duration
}

// Budget counts the requests and repeats of each service.
//
// Two bounds hold. Each request adds Ratio to a box's tokens, and a repeat
// takes one; tokens are saved only up to the box's part of the slack. So what
// a box repeats in any window is earned in that window, but for that part,
// also when its traffic has moved to other boxes meanwhile. And the repeats of
// a window stay within Ratio of its requests and the part, which is what binds
// where the part is less than one repeat.
type Budget struct {
	Terms Terms
	// Boxes returns among how many boxes the slack is divided; 0 when that
	// is not known, and then nobody may use it.
	Boxes func() int
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	// began is when the budget was made; buckets are counted from then on.
	began time.Time

	mu       sync.Mutex
	services map[string]*serviceCounts
	// maxBoxes is the largest number of boxes that was seen within a window, as
	// of mostAt: those that were lost sight of may still use their part.
	maxBoxes int
	mostAt   time.Time
}

// serviceCounts is what is known of one service.
type serviceCounts struct {
	tokens float64
	// requests and repeats are counted over a sliding window, in buckets.
	requests [bucketCount]float64
	retries  [bucketCount]float64
	at       int64
}

// NewBudget makes a budget in which nothing is spent.
func NewBudget(terms Terms, boxes func() int, now func() time.Time) *Budget {
	return &Budget{Terms: terms, Boxes: boxes, Now: now, began: now(), services: map[string]*serviceCounts{}}
}

// Request counts a request for the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.advance(service)
	a.requests[a.at%bucketCount]++
	a.tokens = min(a.tokens+b.Terms.Ratio, max(1, b.slackPerBox()))
}

// Spend takes one repeat from the budget and reports whether there was one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.advance(service)
	if a.tokens < 1 || sum(&a.retries)+1 > b.allowed(a) {
		return false
	}
	a.tokens--
	a.retries[a.at%bucketCount]++
	return true
}

// allowed returns how many repeats the window bears. The oldest requests are
// left out, since they may lie outside the judged window.
func (b *Budget) allowed(a *serviceCounts) float64 {
	requests := sum(&a.requests) - a.requests[(a.at+1)%bucketCount]
	return b.Terms.Ratio*requests + b.slackPerBox()
}

// slackPerBox is this box's part of the slack.
func (b *Budget) slackPerBox() float64 {
	now := b.Now()
	if n := b.Boxes(); n >= b.maxBoxes || now.Sub(b.mostAt) > b.Terms.Window {
		b.maxBoxes = n
		b.mostAt = now
	}
	if b.maxBoxes <= 0 {
		return 0
	}
	return usableSlack * b.Terms.Slack / float64(b.maxBoxes)
}

// advance returns the service's account, with what is too old forgotten.
func (b *Budget) advance(service string) *serviceCounts {
	now := int64(b.Now().Sub(b.began) / (b.Terms.Window / (bucketCount - 1)))
	a := b.services[service]
	if a == nil {
		a = &serviceCounts{at: now}
		b.services[service] = a
	}
	for steps := 0; a.at < now && steps < bucketCount; steps++ {
		a.at++
		a.requests[a.at%bucketCount] = 0
		a.retries[a.at%bucketCount] = 0
	}
	a.at = now
	return a
}

func sum(values *[bucketCount]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
