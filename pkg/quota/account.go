package quota

import (
	"math"
	"time"
)

const (
	// prefetchTime is for how long ahead a box wants tokens of a customer: two reports.
	// One that asks less than leastStock times in that is granted its tokens one by one,
	// as its requests come. A larger leastStock has more requests wait for their tokens.
	prefetchTime = 200 * time.Millisecond
	leastStock   = 0.05
	// idleReturnAfter is after what time without a request a box gives unused tokens back.
	idleReturnAfter = 4 * time.Second
	// exhaustedFor is for how long a box refuses without asking again after it was told
	// that there are no tokens: until its next report is answered.
	exhaustedFor = 100 * time.Millisecond
	// changeReportDelay is after what time an account is told of that needs nothing.
	changeReportDelay = 400 * time.Millisecond
	// minRetryAfter and latestReturn bound when a refused client is asked to come
	// back.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// counts are those of Usage, and the requests that were refused.
type counts struct {
	arrived uint32
	used    uint32
	refused uint32
}

// account is what a box holds of one limit.
type account struct {
	id ID
	counts
	ceiling uint32
	waiting int
	// arrivals, grants and refusals are averages.
	arrivals       rate
	grants         rate
	refusals       rate
	usedAt         time.Time
	exhaustedUntil time.Time
	// denied: the last answer brought nothing.
	denied bool
	// returned are the tokens given back to each allocator, by its key.
	returned map[uint64]uint32
	// changed: a report is to tell of it; toldAt is when the last one did.
	changed    bool
	reportedAt time.Time
	// answered is closed when the allocator has answered.
	answered chan struct{}
}

// newAccount makes an account that holds nothing and counts on.
func newAccount(id ID, c counts, now time.Time) *account {
	r := newRate(demandSpan, now)
	return &account{id: id, counts: c, ceiling: c.used, arrivals: r, grants: r, refusals: r, usedAt: now, answered: make(chan struct{})}
}

// held is how many unused tokens there are.
func (a *account) held() int { return int(int32(a.ceiling - a.used)) }

// arrive counts a request.
func (a *account) arrive(now time.Time) {
	a.arrived++
	a.arrivals.add(1, now)
	a.usedAt = now
}

// take uses a token if there is one.
func (a *account) take() bool {
	if a.held() <= 0 {
		return false
	}
	a.used++
	return true
}

// giveBack returns the token of a request that has not run.
func (a *account) giveBack() {
	a.used--
}

// want is how many unused tokens to hold.
func (a *account) want(now time.Time) int {
	expected := a.arrivals.now(now) * prefetchTime.Seconds()
	if expected < leastStock {
		return 0
	}
	return int(math.Ceil(expected))
}

// applyCeiling takes in an allocator's word and reports whether it brought something. What
// is applyCeiling twice by two allocators counts once.
func (a *account) applyCeiling(c Ceiling, now time.Time) bool {
	more := int32(c.Ceiling - a.ceiling)
	if more > 0 {
		a.ceiling = c.Ceiling
		a.grants.add(float64(more), now)
	}
	a.denied = more <= 0
	if c.Exhausted {
		a.exhaustedUntil = now.Add(exhaustedFor)
	}
	close(a.answered)
	a.answered = make(chan struct{})
	return more > 0
}

// returnIdle gives tokens that were not used for long back to an allocator, and reports
// whether there were any.
func (a *account) returnIdle(allocator uint64, now time.Time) bool {
	held := a.held()
	if held <= 0 || now.Sub(a.usedAt) <= idleReturnAfter {
		return false
	}
	if a.returned == nil {
		a.returned = map[uint64]uint32{}
	}
	a.returned[allocator] += uint32(held)
	a.used += uint32(held)
	return true
}

// retryAfter is when a refused client finds a token: as many as were refused lately
// come back, spread over as long as their tokens take. The number chance is from 0
// to 1.
func (a *account) retryAfter(chance float64, now time.Time) time.Duration {
	supply := a.grants.now(now)
	queue := 1 + a.refusals.now(now)*demandSpan.Seconds()
	if supply <= 0 {
		supply = 1
	}
	seconds := (0.5 + chance) * queue / supply
	return max(minRetryAfter, min(maxRetryAfter, time.Duration(seconds*float64(time.Second))))
}

// due reports whether a report is to tell of the account now: if it needs tokens, or
// has changed a while ago. A word of each request would be most of what is sent.
func (a *account) due(now time.Time) bool {
	switch {
	case a.waiting > 0 || !a.denied && 2*a.held() < a.want(now):
		return true
	}
	return (a.changed || a.denied) && now.Sub(a.reportedAt) >= changeReportDelay
}

// mayBeDue reports whether a later report may have to tell of the account although
// nothing more happens to it.
func (a *account) mayBeDue(now time.Time) bool {
	return a.changed || a.denied || a.waiting > 0 || 2*a.held() < a.want(now)
}

// usage is the account in a report to an allocator.
func (a *account) usage(allocator uint64, now time.Time) Usage {
	return Usage{
		ID: a.id, Arrived: a.arrived, Used: a.used, Ceiling: a.ceiling, Returned: a.returned[allocator],
		Want: uint16(min(a.want(now), math.MaxUint16)), Waiting: uint16(min(a.waiting, math.MaxUint16)),
	}
}
