// Package storepoller decides which boxes poll the platform's store: one of each availability
// zone, from which the other boxes of the zone learn. Calls of the store have a price and a
// limit, so their number must depend on the number of zones and not of boxes. This package
// does no input or output.
//
// Example: 33 boxes of a zone start at once, each with an empty copy. All request the first
// pages; within DiscoveryTime they have heard of each other, and the first two in the zone's
// order read on. Once one of them has the whole list, the others copy it from there.
package storepoller

import (
	"math"
	"time"
)

const (
	// DiscoveryTime is how long a box that starts leaves polling to others: in that time it
	// hears of its zone through the seeds, which takes two round trips between regions.
	DiscoveryTime = 300 * time.Millisecond
	// initialPollers is how many boxes of a zone poll while the store answers none of them: it
	// may reject single boxes. It may also be down for all, and then each poller makes calls
	// in vain.
	initialPollers = 2
	// readDelaySpread is the number of further contact windows over which the boxes of a zone
	// that received no list from another box begin to read it themselves.
	readDelaySpread = 4
	// takeoverDelay is how much later a box begins to poll for each idle box that comes before
	// it: enough time to hear that the first of them has begun. Without it many boxes would
	// make calls to a store that is down.
	takeoverDelay = 200 * time.Millisecond
	// maxTakeoverDelay bounds the sum of these delays.
	maxTakeoverDelay = time.Second
)

// View is what a box knows when it decides whether to poll.
type View struct {
	// HealthyBefore, UnansweredBefore and IdleBefore count the live boxes of the zone that
	// come before this one: those that the store answers, those that poll it without an
	// answer, and those that do not poll it.
	HealthyBefore    int
	UnansweredBefore int
	IdleBefore       int
	// ZoneHealthy counts all live boxes of the zone that the store answers.
	ZoneHealthy int
	// Synced: this box has copies of all that the store holds.
	Synced bool
	// Answered: the store answers this box without failures.
	Answered bool
	// StoreAnswers: the store answers this box or any other live box without failures.
	StoreAnswers bool
}

// Role is a box's role in polling the store. It is not safe for concurrent use.
type Role struct {
	// PerZone returns how many boxes of a zone are to poll the store.
	PerZone func() int
	// ContactWindow is the time within which boxes are in touch with the store in normal
	// operation.
	ContactWindow time.Duration

	started time.Time
	polling bool
	// eligibleSince is since when the box has been eligible to poll, zero if it is not.
	eligibleSince time.Time
	// lastAnswer is when the store last answered any box.
	lastAnswer time.Time
	// readDelay is the time after its start at which a box without a list reads it in any
	// case.
	readDelay time.Duration
}

// New makes the role of a box that starts now. The random number chance, from 0 to 1, makes
// the boxes of a zone begin to read the list at different times.
func New(perZone func() int, contact time.Duration, now time.Time, chance float64) *Role {
	readDelay := time.Duration((1 + readDelaySpread*chance) * float64(contact))
	return &Role{PerZone: perZone, ContactWindow: contact, started: now, lastAnswer: now, readDelay: readDelay}
}

// ShouldPoll reports whether the box is to poll the store from now on. A box that is eligible
// begins only after the eligible boxes before it have had time to.
func (r *Role) ShouldPoll(v View, now time.Time) bool {
	if v.StoreAnswers {
		r.lastAnswer = now
	}
	isEligible := r.eligible(v, now)
	switch {
	case !isEligible:
		r.eligibleSince = time.Time{}
	case r.eligibleSince.IsZero():
		r.eligibleSince = now
	}
	delay := min(time.Duration(v.IdleBefore)*takeoverDelay, maxTakeoverDelay)
	r.polling = isEligible && (r.polling || now.Sub(r.eligibleSince) >= delay)
	return r.polling
}

// eligible reports whether the box should poll the store. Where the store answers no box of
// the zone a few boxes poll, one more after ContactWindow without any answer, and another one
// each time that the outage has lasted twice as long. A box that is answered goes on polling,
// however many boxes before it poll without an answer.
func (r *Role) eligible(v View, now time.Time) bool {
	if now.Sub(r.started) < DiscoveryTime || !v.Synced && v.ZoneHealthy > 0 {
		// It gets the copy from its zone sooner than it could read it.
		return false
	}
	outage := now.Sub(r.lastAnswer)
	mayTry := initialPollers + int(math.Log2(1+outage.Seconds()/r.ContactWindow.Seconds()))
	return v.HealthyBefore < r.PerZone() && (v.Answered || v.UnansweredBefore < mayTry)
}

// ReadsAllPages reports whether a box that has no list yet goes on to read one of many pages:
// if it is to poll the store, or if no box has sent it the list within readDelay.
func (r *Role) ReadsAllPages(now time.Time) bool {
	return r.polling || now.Sub(r.started) >= r.readDelay
}
