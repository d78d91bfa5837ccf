package customerstats

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// decayTime is the time constant of the averages. It covers several bursts, so that the
	// share of a customer with a few requests a second is meaningful.
	decayTime = 10 * time.Second
	// minRequests is how many requests, recent ones or all, a customer needs to be considered
	// for the worst tenth: with fewer, one late answer makes up most of its share.
	minRequests = 5
	// worstFraction is the fraction of the customers that counts as the worst tenth.
	worstFraction = 0.1
)

// Ledger counts how this box's customers are served. It does no input or output.
type Ledger struct {
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	mu     sync.Mutex
	totals map[string]*counts
}

// counts are the results of one customer's requests: completed and inTime since the start,
// recent and recentInTime as counts that decay with decayTime.
type counts struct {
	completed, inTime    uint32
	recent, recentInTime float64
	updated              time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(now func() time.Time) *Ledger { return &Ledger{Now: now, totals: map[string]*counts{}} }

// Record records that a customer's request has ended, and whether it was answered in time.
// Requests over the customer's limit and requests that their client abandoned are not to be
// recorded.
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
// them were answered in time.
func (l *Ledger) Counts(customer string) (completed, inTime uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.totals[customer]
	if t == nil {
		return 0, 0
	}
	return t.completed, t.inTime
}

// WorstTenth returns the mean share of recent requests answered in time of the worst-served
// tenth of the customers, and how many customers that tenth has. It returns 1 and 0 if no
// customer has enough recent requests.
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

// worstTenth returns the mean of the lowest tenth of shares, and how many shares that tenth
// has, rounded up.
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
