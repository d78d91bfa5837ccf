// Package retry bounds how often requests are retried, that is, sent again. The bound holds for
// all boxes together: each box stays within its own share, so the sum stays within the bound
// even if every box uses all of its share.
package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of counting buckets. A window spans all but one of them, so the
// bucket that has just begun never displaces one that is still inside the window.
const bucketCount = 21

// usableSlack is the fraction of the slack that boxes use. The rest covers boxes that have just
// joined and are not counted yet: up to one in five.
const usableSlack = 0.8

// Bounds limit the number of retries in any window.
type Bounds struct {
	// Ratio bounds retries relative to the number of requests.
	Ratio float64
	// Slack is how many retries all boxes together may send beyond Ratio.
	Slack  float64
	Window time.Duration
}

// Budget counts the requests and retries of each service.
//
// Two bounds hold. Each request adds Ratio to a box's tokens and each retry takes one token.
// Tokens accumulate only up to the box's share of the slack (or to one token), so the retries of
// a box in any window are paid for by requests of that window, except for that share, even if
// its traffic has meanwhile moved to other boxes. In addition, the retries of a window stay
// within Ratio times its requests plus the share; this is the bound that applies where the share
// is less than one retry.
type Budget struct {
	Bounds Bounds
	// Boxes returns the number of boxes that share the slack. It returns 0 if that is not known;
	// then no box uses slack.
	Boxes func() int
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	// began is when the budget was created. Buckets are numbered from then on.
	began time.Time

	mu       sync.Mutex
	services map[string]*serviceCounts
	// maxBoxes is the largest number of boxes seen within a window, as of maxBoxesAt. Boxes that
	// are no longer visible may still use their share.
	maxBoxes   int
	maxBoxesAt time.Time
}

// serviceCounts holds the tokens and counts of one service.
type serviceCounts struct {
	tokens float64
	// requests and retries are counted over a sliding window of buckets.
	requests [bucketCount]float64
	retries  [bucketCount]float64
	at       int64
}

// NewBudget returns a budget with no requests or retries counted.
func NewBudget(bounds Bounds, boxes func() int, now func() time.Time) *Budget {
	return &Budget{Bounds: bounds, Boxes: boxes, Now: now, began: now(), services: map[string]*serviceCounts{}}
}

// Request counts a request for the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.advance(service)
	counts.requests[counts.at%bucketCount]++
	counts.tokens = min(counts.tokens+b.Bounds.Ratio, b.mostTokens())
}

// mostTokens returns how many tokens the box can have for a service.
func (b *Budget) mostTokens() float64 { return max(1, b.slackPerBox()) }

// Spend takes one retry from the budget and reports whether one was available.
func (b *Budget) Spend(service string) bool { return b.spend(service, 0) }

// SpendSpare is like Spend, but takes a retry only while the box has at least the given fraction
// of the most tokens that it can have.
func (b *Budget) SpendSpare(service string, reserve float64) bool { return b.spend(service, reserve) }

func (b *Budget) spend(service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.advance(service)
	if counts.tokens < max(1, reserve*b.mostTokens()) || sum(&counts.retries)+1 > b.allowed(counts) {
		return false
	}
	counts.tokens--
	counts.retries[counts.at%bucketCount]++
	return true
}

// allowed returns how many retries the window permits. The oldest bucket of requests is left
// out, because it may lie outside the window.
func (b *Budget) allowed(counts *serviceCounts) float64 {
	requests := sum(&counts.requests) - counts.requests[(counts.at+1)%bucketCount]
	return b.Bounds.Ratio*requests + b.slackPerBox()
}

// slackPerBox returns this box's share of the slack.
func (b *Budget) slackPerBox() float64 {
	now := b.Now()
	if n := b.Boxes(); n >= b.maxBoxes || now.Sub(b.maxBoxesAt) > b.Bounds.Window {
		b.maxBoxes = n
		b.maxBoxesAt = now
	}
	if b.maxBoxes <= 0 {
		return 0
	}
	return usableSlack * b.Bounds.Slack / float64(b.maxBoxes)
}

// advance returns the service's counts after clearing buckets that have left the window.
func (b *Budget) advance(service string) *serviceCounts {
	now := int64(b.Now().Sub(b.began) / (b.Bounds.Window / (bucketCount - 1)))
	counts := b.services[service]
	if counts == nil {
		counts = &serviceCounts{at: now}
		b.services[service] = counts
	}
	for steps := 0; counts.at < now && steps < bucketCount; steps++ {
		counts.at++
		counts.requests[counts.at%bucketCount] = 0
		counts.retries[counts.at%bucketCount] = 0
	}
	counts.at = now
	return counts
}

func sum(values *[bucketCount]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
