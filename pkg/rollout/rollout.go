// Package rollout moves a service's requests to a new version of its backend servers step by
// step, and back if that version is bad. It has no input or output.
//
// Example: an operator orders that a service moves to version v2 within 20 s. For the first 12 s
// one request in twenty goes to servers of v2; boxes count how these and the others fare. If v2 fails
// more often, or is several times slower, the order is rolled back; else v2 gets more and more requests,
// and the order is complete before its time is over.
package rollout

import (
	"sync"
	"time"
)

// State is how far an order has come.
type State string

// The states.
const (
	Running    State = "running"
	Complete   State = "complete"
	RolledBack State = "rolled_back"
)

// Order is an operator's wish to move a service to a version.
type Order struct {
	Service string
	Version string
	// Duration is within what time of the order it is to be complete.
	Duration time.Duration
	// Revision is that of the object's last change, for a conditional update.
	Revision uint64
	// State is what the store holds of it, empty if nobody has noted anything of this version.
	State State
}

// step is the share of requests that go to the new version from a part of the duration on.
type step struct {
	from  float64
	share float64
}

// steps begin with a long trial of few requests: a version may turn bad later, or under load, and by then
// must not have had a tenth of the requests. The rest moves in steps, since servers of the new
// version know no keys and would all be asked for first uses at once.
var steps = []step{{0, 0.05}, {0.6, 0.1}, {0.7, 0.2}, {0.78, 0.4}, {0.86, 0.7}}

// completeAt is the part of the duration after which an order that has gone well is complete: what is left
// is for the store and for the news of it.
const completeAt = 0.92

// shareAt returns the share of requests that go to the new version after a time.
func shareAt(elapsed, duration time.Duration) float64 {
	part := elapsed.Seconds() / max(duration.Seconds(), 0.001)
	share := 0.0
	for _, s := range steps {
		if part >= s.from {
			share = s.share
		}
	}
	return share
}

// Rule is what holds for choices of a service's servers.
type Rule struct {
	Version string
	// Share is the share of requests that go to servers of the version; the others go to other servers.
	Share float64
	// Excluded: the version gets nothing, whatever else there is.
	Excluded bool
}

// active is an order with what this box knows of it.
type active struct {
	Order
	seen time.Time
	// isBad: this box found the version to be bad, before the store has word of it.
	isBad bool
}

// Table holds the orders that are known, and how the versions fare.
type Table struct {
	// Box is this box's name.
	Box string
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	mu     sync.Mutex
	orders map[string]*active
	// own are this box's tallies by service, and reports the last ones of others by box.
	own     map[string]*scores
	reports map[string]received
}

// received is a report and when it came.
type received struct {
	Report
	at time.Time
}

// NewTable makes a table without orders.
func NewTable(box string, now func() time.Time) *Table {
	return &Table{Box: box, Now: now, orders: map[string]*active{}, own: map[string]*scores{}, reports: map[string]received{}}
}

// Set takes in an order, in place of an earlier one for its service.
func (t *Table) Set(o Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.orders[o.Service]
	if known != nil && known.Version == o.Version && known.Duration == o.Duration {
		known.Order = o
		return
	}
	t.orders[o.Service] = &active{Order: o, seen: t.Now()}
	t.forget(o.Service)
}

// Remove drops the order for a service.
func (t *Table) Remove(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.orders, service)
	t.forget(service)
}

// forget drops what was counted of a service.
func (t *Table) forget(service string) {
	delete(t.own, service)
	for box, r := range t.reports {
		if r.Service == service {
			delete(t.reports, box)
		}
	}
}

// Rules returns what holds now, by service.
func (t *Table) Rules() map[string]Rule {
	t.mu.Lock()
	defer t.mu.Unlock()
	rules := map[string]Rule{}
	for service, a := range t.orders {
		rules[service] = a.rule(t.Now())
	}
	return rules
}

func (a *active) rule(now time.Time) Rule {
	switch {
	case a.State == Complete:
		return Rule{Version: a.Version, Share: 1}
	case a.State == RolledBack || a.isBad:
		return Rule{Version: a.Version, Excluded: true}
	}
	return Rule{Version: a.Version, Share: shareAt(now.Sub(a.seen), a.Duration)}
}

// Change is a state that an order has come to and the store has no word of.
type Change struct {
	Order Order
	State State
	// Verdict is what was found, for the log.
	Verdict Verdict
}

// Changes returns the states that are to be written to the store.
func (t *Table) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var list []Change
	for service, a := range t.orders {
		if a.State == Complete || a.State == RolledBack {
			continue
		}
		verdict := t.judge(service, now)
		a.isBad = a.isBad || verdict.Bad
		switch {
		case a.isBad:
			list = append(list, Change{Order: a.Order, State: RolledBack, Verdict: verdict})
		case now.Sub(a.seen).Seconds() >= completeAt*a.Duration.Seconds():
			list = append(list, Change{Order: a.Order, State: Complete, Verdict: verdict})
		case a.State == "":
			list = append(list, Change{Order: a.Order, State: Running, Verdict: verdict})
		}
	}
	return list
}
