// Package watcher decides which boxes ask the platform's store: one of each
// availability zone, from which the others of the zone learn. Calls of the store
// have a price and a bound, so their number must follow the zones and not the
// boxes. This package has no input or output.
//
// Example: 33 boxes of a zone start at once, each with an empty copy. All ask for
// the first pages; within MeetTime they have heard of each other, the first two in
// the order of the zone read on, and once one of them holds the whole list the
// others take it from there.
package storepoller

import (
	"math"
	"time"
)

const (
	// MeetTime is how long a box that starts leaves the role to others: in that
	// time it hears of its zone through the seeds, over two ways between regions
	// and back.
	MeetTime = 300 * time.Millisecond
	// fewTrying is how many boxes of a zone try while the store answers none:
	// it may turn away single ones. It may also be down for all, and then every
	// box that tries makes calls for nothing.
	fewTrying = 2
	// patienceSpread is over how many more times of contact the boxes of a zone
	// that were handed no list begin to read it themselves.
	patienceSpread = 4
	// standBack is how much later a box takes the role up for each idle one that
	// comes before it: time enough to hear that the first of them has. Without
	// it many boxes would make calls to a store that is down.
	standBack = 200 * time.Millisecond
	// longestStandBack bounds that.
	longestStandBack = time.Second
)

// View is what a box knows when it decides.
type View struct {
	// HealthyBefore, TryingBefore and IdleBefore are the live boxes of the zone
	// that come before this one: those that the store answers, those that ask
	// it in vain, and those that do not ask it.
	HealthyBefore    int
	UnansweredBefore int
	IdleBefore       int
	// ZoneHealthy are all live boxes of the zone that the store answers.
	ZoneHealthy int
	// Synced: this box has copies of all that the store holds.
	Synced bool
	// Answered: the store answers this box without fail.
	Answered bool
	// StoreAnswers: the store answers this box or any live one without fail.
	StoreAnswers bool
}

// Role is a box's part in asking the store. It is not safe for use by several
// goroutines at once.
type Role struct {
	// PerZone returns how many boxes of a zone are to ask the store.
	PerZone func() int
	// Contact is the time within which calm boxes are in touch with the store.
	Contact time.Duration

	started  time.Time
	watching bool
	// wanted is since when the box was to take the role up, zero if it is not.
	wanted time.Time
	// answered is when the store last answered any box.
	answered time.Time
	// patience is after what time a box without a list reads it in any case.
	patience time.Duration
}

// New makes the role of a box that starts now. The number chance, from 0 to 1,
// tells the boxes of a zone apart.
func New(perZone func() int, contact time.Duration, now time.Time, chance float64) *Role {
	patience := time.Duration((1 + patienceSpread*chance) * float64(contact))
	return &Role{PerZone: perZone, Contact: contact, started: now, answered: now, patience: patience}
}

// ShouldPoll reports whether the box is to ask the store from now on. A box that is
// to take the role up does so only when those before it have had time to.
func (r *Role) ShouldPoll(v View, now time.Time) bool {
	if v.StoreAnswers {
		r.answered = now
	}
	wants := r.wants(v, now)
	switch {
	case !wants:
		r.wanted = time.Time{}
	case r.wanted.IsZero():
		r.wanted = now
	}
	back := min(time.Duration(v.IdleBefore)*standBack, longestStandBack)
	r.watching = wants && (r.watching || now.Sub(r.wanted) >= back)
	return r.watching
}

// wants reports whether the box should ask the store. Where no box of the zone is
// answered a few try, and one more after the time of contact without any answer,
// and another one each time that this has lasted twice as long. One that is
// answered stays, however many before it try in vain.
func (r *Role) wants(v View, now time.Time) bool {
	if now.Sub(r.started) < MeetTime || !v.Synced && v.ZoneHealthy > 0 {
		// The zone hands it the copy sooner than it could read it.
		return false
	}
	without := now.Sub(r.answered)
	mayTry := fewTrying + int(math.Log2(1+without.Seconds()/r.Contact.Seconds()))
	return v.HealthyBefore < r.PerZone() && (v.Answered || v.UnansweredBefore < mayTry)
}

// ReadsAllPages reports whether a box that has no list yet reads one of many pages: when
// it is to ask the store, or when nobody has handed it the list for long.
func (r *Role) ReadsAllPages(now time.Time) bool {
	return r.watching || now.Sub(r.started) >= r.patience
}
