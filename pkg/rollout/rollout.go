// Package rollout moves a service's requests to a new version of its backend servers step by
// step, and moves them back if that version is bad. It does no input or output.
//
// Example: an operator orders that a service moves to version v2 within 20 s. At first one request
// in twenty goes to servers of v2, later one in ten, and boxes report how these servers and the
// others perform. Once that shows v2 to be good, and while it has servers enough, the boxes that
// judge raise the share further, tell all others the step, and write it to the platform's store.
// If v2 turns out to be bad, no box sends it anything more and the order is rolled back.
package rollout

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/canary"
)

// State is the state of an order.
type State string

// The states of an order.
const (
	Running    State = "running"
	Complete   State = "complete"
	RolledBack State = "rolled_back"
)

// ByHand is what an operator has asked of an order since it was given.
type ByHand string

// What operators can ask for.
const (
	// Hold keeps the version's share as it is.
	Hold ByHand = "hold"
	// Finish completes the order as soon as the version's servers can carry all requests.
	Finish ByHand = "finish"
)

// Order is an operator's order to move a service to a version, with its status in the store.
type Order struct {
	Service string
	Version string
	// Duration is the time, from when the order is given, within which it is to be complete.
	Duration time.Duration
	// Made is when the order's object was made, as the store tells it, or empty if it is not known.
	Made string
	// Revision is the revision of the object's last change, used for a conditional update. It can be
	// compared within the era Era only: in the next one, the store has come back from an older copy.
	Revision uint64
	Era      uint64
	// Given is the revision of the object when the order was given. It tells an order from an
	// earlier one of the same service and version. It is 0 if the status cannot be read.
	Given uint64

	// State is the state in the store; it is empty if none has been written for this order.
	// Step, Ran, Proven, Begun and ByHand come from the store as well. Begun is in milliseconds since
	// 1970.
	State  State
	Step   int
	Ran    time.Duration
	Proven bool
	Begun  int64
	ByHand ByHand
}

// isSame reports whether the other object asks for the same.
func (o *Order) isSame(other *Order) bool {
	isMadeAlike := o.Made == other.Made || o.Made == "" || other.Made == ""
	return o.Version == other.Version && o.Duration == other.Duration && isMadeAlike
}

// withoutStatus returns the order as it is when it has just been given.
func (o Order) withoutStatus() Order {
	return Order{
		Service: o.Service, Version: o.Version, Duration: o.Duration, Made: o.Made, Era: o.Era, Revision: o.Revision, Given: o.Revision,
	}
}

// Rule says how a service's requests are divided between the versions of its servers.
type Rule struct {
	Version string
	// Share is the share of requests that go to servers of the version; all others go to other
	// servers.
	Share float64
	// Excluded means that the version gets no requests, even if no other servers are left.
	Excluded bool
}

// active is an order and what this box knows about it.
type active struct {
	Order
	// progress is as of time at.
	progress Progress
	at       time.Time
	// firstSeen is when this box learned of the order. knowsTime is true if it did so when that was
	// given, or once it knows for how long the order has been running.
	firstSeen time.Time
	knowsTime bool
	// replaced is the revision up to which the service had another order.
	replaced uint64
	// steppedAt is when this box learned of the current step.
	steppedAt time.Time

	judge    *canary.Judge
	verdict  canary.Verdict
	evidence evidence
	// judgesSince is when this box became a judge; it is zero if it is none.
	judgesSince time.Time
	// wait is why a judge has not taken the next step, and logged holds the reasons that have been
	// logged since the last one. isDue is true once the order may be complete.
	wait   Wait
	logged map[WaitReason]bool
	isDue  bool
	writes writes
	// isStatusLost is true if the store has come back from a copy that may lack the final state.
	isStatusLost bool
}

// newActive returns an order that this box has just learned of.
func newActive(o Order, now time.Time) *active {
	if o.Given == 0 {
		o.Given = o.Revision
	}
	a := &active{at: now, firstSeen: now, knowsTime: o.State == "", steppedAt: now, judge: canary.NewJudge(now), evidence: newEvidence(now)}
	a.accept(o, now)
	return a
}

// accept takes over the order as it is in the store.
func (a *active) accept(o Order, now time.Time) {
	a.Order = o
	stored := Progress{Step: min(o.Step, lastStep), Ran: o.Ran, Proven: o.Proven}
	if o.State == Complete || o.State == RolledBack {
		stored.Final = o.State
	}
	a.join(stored, now)
}

// join takes over what is further than what this box knows, and reports whether there was any
// apart from the time.
func (a *active) join(p Progress, now time.Time) (news bool) {
	a.progress.Ran, a.at = a.ran(now), now
	step := a.progress.Step
	news = a.progress.Join(p)
	if a.progress.Step != step {
		a.steppedAt = now
	}
	return news
}

// ran returns for how long the order has been running.
func (a *active) ran(now time.Time) time.Duration { return a.progress.Ran + now.Sub(a.at) }

func (a *active) rule() Rule {
	switch {
	case a.progress.Final == Complete:
		return Rule{Version: a.Version, Share: 1}
	case a.progress.Final == RolledBack || a.progress.Bad:
		return Rule{Version: a.Version, Excluded: true}
	}
	return Rule{Version: a.Version, Share: steps[a.progress.Step].share}
}

// Table holds the known orders, and judges their versions. Its methods are safe for concurrent
// use.
type Table struct {
	// Box is this box's name.
	Box string
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// WallMS is the time of day in milliseconds since 1970. It serves to find out how long an
	// order has been running if no box is left that knows.
	WallMS func() int64

	mu     sync.Mutex
	orders map[string]*active
}

// NewTable returns a table without orders.
func NewTable(box string, now func() time.Time, wallMS func() int64) *Table {
	return &Table{Box: box, Now: now, WallMS: wallMS, orders: map[string]*active{}}
}

// Set adds an order or its new status. An order begins anew if it asks for something else than
// the service's last one, or was given again.
func (t *Table) Set(o Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	known := t.orders[o.Service]
	if known == nil {
		t.orders[o.Service] = newActive(o, now)
		return
	}
	if o.Era < known.Era || o.Era == known.Era && o.Revision < known.Revision {
		return
	}
	if o.Era > known.Era {
		known.enterEra(&o)
	}
	replaced := known.replaced
	if !known.isSame(&o) {
		replaced = known.Revision
	}
	if o.State != "" && o.Given != 0 && o.Given <= replaced {
		// The status was written for an order from before the last one.
		o = o.withoutStatus()
	}
	if !known.isSame(&o) || !known.continues(&o) {
		known = newActive(o, now)
		t.orders[o.Service] = known
	} else {
		known.accept(o.after(&known.Order), now)
	}
	known.replaced = replaced
}

// enterEra prepares for the order's object in a new era. The store may have lost its status, or the
// object, which its operator then has made again. What is known of the same order stays.
func (a *active) enterEra(o *Order) {
	a.Era, a.Revision, a.replaced, a.writes = o.Era, 0, 0, writes{}
	if o.Version == a.Version && o.Duration == a.Duration {
		a.Made, a.State = o.Made, ""
		a.isStatusLost = true
	}
}

// continues reports whether the object, which asks for the same, is still this order and not one
// that was given again.
func (a *active) continues(o *Order) bool {
	if a.State == "" || o.Given == 0 {
		return true
	}
	return o.State != "" && o.Given == a.Given
}

// after returns the order with what its object does not tell taken from the last state of the same
// order.
func (o Order) after(last *Order) Order {
	if o.State == "" && o.Given == 0 {
		o.ByHand, o.Begun = last.ByHand, last.Begun
	}
	if o.State == "" || o.Given == 0 {
		o.Given = last.Given
	}
	if o.Made == "" {
		o.Made = last.Made
	}
	return o
}

// Remove deletes the order for a service.
func (t *Table) Remove(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.orders, service)
}

// InProgress reports whether any order has not ended.
func (t *Table) InProgress() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.orders {
		if a.progress.Final == "" {
			return true
		}
	}
	return false
}

// IsMoving reports whether the service has an order that has not ended.
func (t *Table) IsMoving(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[service]
	return a != nil && a.progress.Final == ""
}

// Rules returns the current rules by service.
func (t *Table) Rules() map[string]Rule {
	t.mu.Lock()
	defer t.mu.Unlock()
	rules := map[string]Rule{}
	for service, a := range t.orders {
		rules[service] = a.rule()
	}
	return rules
}
