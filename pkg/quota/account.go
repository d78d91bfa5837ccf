package quota

import (
	"math"
	"time"
)

const (
	// prefetchTime is how far ahead a box requests tokens of a customer: two report intervals.
	// A box that expects fewer than minPrefetch requests in that time is granted tokens one by
	// one, as its requests arrive. With a larger minPrefetch, more requests wait for their
	// tokens.
	prefetchTime = 200 * time.Millisecond
	minPrefetch  = 0.05
	// idleReturnAfter is how long after the last request a box returns unused tokens.
	idleReturnAfter = 4 * time.Second
	// exhaustedFor is how long a box refuses requests without asking again after an allocator
	// has answered that there are no tokens: until its next report is answered.
	exhaustedFor = 100 * time.Millisecond
	// changeReportDelay is the time after the last report until an account that needs no
	// tokens is reported again.
	changeReportDelay = 400 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the delay after which a refused client is asked to
	// retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// counts are the counts of Usage and the number of refused requests.
type counts struct {
	arrived uint32
	used    uint32
	refused uint32
}

// account is the state of one limit at a box.
type account struct {
	id ID
	counts
	ceiling uint32
	waiting int
	// arrivals, grants and refusals are moving averages.
	arrivals       rate
	grants         rate
	refusals       rate
	usedAt         time.Time
	exhaustedUntil time.Time
	// denied is set when the last answer granted nothing.
	denied bool
	// returned is the number of tokens returned to each allocator, by its key.
	returned map[uint64]uint32
	// changed is set when a report has to include the account; reportedAt is when the last one
	// did.
	changed    bool
	reportedAt time.Time
	// answered is closed when the allocator has answered.
	answered chan struct{}
}

// newAccount returns an account that holds no tokens and continues from the given counts.
func newAccount(id ID, c counts, now time.Time) *account {
	r := newRate(demandSpan, now)
	return &account{id: id, counts: c, ceiling: c.used, arrivals: r, grants: r, refusals: r, usedAt: now, answered: make(chan struct{})}
}

// held returns the number of unused tokens.
func (a *account) held() int { return int(int32(a.ceiling - a.used)) }

// arrive counts a request.
func (a *account) arrive(now time.Time) {
	a.arrived++
	a.arrivals.add(1, now)
	a.usedAt = now
}

// take uses a token and reports whether there was one.
func (a *account) take() bool {
	if a.held() <= 0 {
		return false
	}
	a.used++
	return true
}

// giveBack returns the token of a request that did not run.
func (a *account) giveBack() {
	a.used--
}

// want returns how many unused tokens the box wants to hold.
func (a *account) want(now time.Time) int {
	expected := a.arrivals.now(now) * prefetchTime.Seconds()
	if expected < minPrefetch {
		return 0
	}
	return int(math.Ceil(expected))
}

// applyCeiling applies an allocator's ceiling and reports whether it granted any tokens. What
// two allocators grant twice counts once.
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

// returnIdle returns tokens that have been unused for long to an allocator, and reports
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

// retryAfter returns the delay after which a refused client finds a token: as many clients as
// were refused recently are expected to retry, spread over the time in which their tokens are
// granted. chance is a number from 0 to 1.
func (a *account) retryAfter(chance float64, now time.Time) time.Duration {
	supply := a.grants.now(now)
	queue := 1 + a.refusals.now(now)*demandSpan.Seconds()
	if supply <= 0 {
		supply = 1
	}
	seconds := (0.5 + chance) * queue / supply
	return max(minRetryAfter, min(maxRetryAfter, time.Duration(seconds*float64(time.Second))))
}

// due reports whether the account has to be reported now: if it needs tokens, or changed a
// while ago. A report of each request would be most of the traffic.
func (a *account) due(now time.Time) bool {
	switch {
	case a.waiting > 0 || !a.denied && 2*a.held() < a.want(now):
		return true
	}
	return (a.changed || a.denied) && now.Sub(a.reportedAt) >= changeReportDelay
}

// mayBeDue reports whether the account may become due without any further change.
func (a *account) mayBeDue(now time.Time) bool {
	return a.changed || a.denied || a.waiting > 0 || 2*a.held() < a.want(now)
}

// usage returns the account as an entry of a report to an allocator.
func (a *account) usage(allocator uint64, now time.Time) Usage {
	return Usage{
		ID: a.id, Arrived: a.arrived, Used: a.used, Ceiling: a.ceiling, Returned: a.returned[allocator],
		Want: uint16(min(a.want(now), math.MaxUint16)), Waiting: uint16(min(a.waiting, math.MaxUint16)),
	}
}
