package customerstats

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// decayTime is the span of the averages: some bursts long, so that a customer of a few
	// requests a second has a share that means something.
	decayTime = 10 * time.Second
	// minRequests is how many requests within the span make a customer count among the
	// worst: with fewer, one late answer is most of its share.
	minRequests = 5
	// worstFraction is which part of the customers is the worst.
	worstFraction = 0.1
)

// Ledger counts how this box's customers are served. It has no input or output.
type Ledger struct {
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	mu     sync.Mutex
	totals map[string]*counts
}

// counts is what became of one customer's requests: all since the start, and the lately
// ended ones, which fade.
type counts struct {
	completed, inTime    uint32
	recent, recentInTime float64
	updated              time.Time
}

// NewLedger makes a ledger in which nothing has ended.
func NewLedger(now func() time.Time) *Ledger { return &Ledger{Now: now, totals: map[string]*counts{}} }

// Record notes that a request of a customer has ended, in time or not. Requests over the
// customer's limit, and those that their client left, are not noted.
func (l *Ledger) Record(customer string, inTime bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.totals[customer]
	if t == nil {
		t = &counts{updated: l.Now()}
		l.totals[customer] = t
	}
	t.decay(l.Now())
	t.completed++
	t.recent++
	if inTime {
		t.inTime++
		t.recentInTime++
	}
}

func (t *counts) decay(now time.Time) {
	left := math.Exp(-now.Sub(t.updated).Seconds() / decayTime.Seconds())
	t.recent *= left
	t.recentInTime *= left
	t.updated = now
}

// Counts returns how many requests of a customer have ended since the start, and how many of
// these in time.
func (l *Ledger) Counts(customer string) (settled, inTime uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.totals[customer]
	if t == nil {
		return 0, 0
	}
	return t.completed, t.inTime
}

// WorstTenth returns the share of requests answered in time of the worst-served tenth of the
// customers, lately, and of how many customers that is; 1 and 0 where too few have asked.
func (l *Ledger) WorstTenth() (share float64, customers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var shares []float64
	for _, t := range l.totals {
		t.decay(l.Now())
		if t.recent >= minRequests {
			shares = append(shares, t.recentInTime/t.recent)
		}
	}
	return worstTenth(shares)
}

// worstTenth returns the mean of the worst tenth of shares, rounded up, and how many that are.
func worstTenth(shares []float64) (mean float64, count int) {
	if len(shares) == 0 {
		return 1, 0
	}
	slices.Sort(shares)
	count = int(math.Ceil(worstFraction * float64(len(shares))))
	for _, share := range shares[:count] {
		mean += share / float64(count)
	}
	return mean, count
}
