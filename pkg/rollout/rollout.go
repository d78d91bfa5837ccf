// Package rollout moves a service's requests to a new version of its backend servers step by
// step, and moves them back if that version is bad. It does no input or output.
//
// Example: an operator orders that a service moves to version v2 within 20 s. For the first
// 12 s one request in twenty goes to servers of v2; boxes count how these servers and the
// others perform. If v2 fails more often, or is several times slower, the order is rolled
// back; otherwise v2 gets more and more requests, and the order is complete before the 20 s
// are over.
package rollout

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/canary"
	"github.com/stoneworks/stoneworks/pkg/packet"
)

// State is the progress of an order.
type State string

// The states of an order.
const (
	Running    State = "running"
	Complete   State = "complete"
	RolledBack State = "rolled_back"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	Version string
	// Duration is the time, from when the order is given, within which it is to be complete.
	Duration time.Duration
	// Revision is the revision of the object's last change, used for a conditional update.
	Revision uint64
	// State is the state in the store; it is empty if none has been written for this version.
	State State
}

// step is the share of requests that the new version gets once the given fraction of the
// duration has passed.
type step struct {
	from  float64
	share float64
}

// steps begin with a long trial of few requests: a version may turn bad later, or under load,
// and by then must not have had a tenth of the requests. The rest moves in steps because
// servers of the new version know no keys and would otherwise get first uses of all keys at
// once.
var steps = []step{{0, 0.05}, {0.6, 0.1}, {0.7, 0.2}, {0.78, 0.4}, {0.86, 0.7}}

// completeAt is the fraction of the duration after which an order that has gone well is
// complete. The rest is for writing to the store and for other boxes to learn of it.
const completeAt = 0.92

// shareAt returns the share of requests that the new version gets after the elapsed time.
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
	firstSeen time.Time
	judge     *canary.Judge
	// isBad is true once this box has found the version to be bad, which may be before the
	// store records it.
	isBad bool
}

// Table holds the known orders, and judges their versions.
type Table struct {
	// Box is this box's name.
	Box string
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	mu     sync.Mutex
	orders map[string]*active
}

// NewTable returns a table without orders.
func NewTable(box string, now func() time.Time) *Table {
	return &Table{Box: box, Now: now, orders: map[string]*active{}}
}

// Set adds an order, replacing an earlier one for the same service.
func (t *Table) Set(o Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.orders[o.Service]
	if known != nil && known.Version == o.Version && known.Duration == o.Duration {
		known.Order = o
		return
	}
	now := t.Now()
	t.orders[o.Service] = &active{Order: o, firstSeen: now, judge: canary.NewJudge(now)}
}

// Remove deletes the order for a service.
func (t *Table) Remove(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.orders, service)
}

// Rules returns the current rules by service.
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
	return Rule{Version: a.Version, Share: shareAt(now.Sub(a.firstSeen), a.Duration)}
}

// Change is a state that an order has reached and that the store does not record yet.
type Change struct {
	Order Order
	State State
	// Verdict is the comparison behind the change, for the log.
	Verdict canary.Verdict
}

// Changes returns the states that are to be written to the store.
func (t *Table) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var list []Change
	for _, a := range t.orders {
		if a.State == Complete || a.State == RolledBack {
			continue
		}
		verdict := a.judge.Verdict(now)
		a.isBad = a.isBad || verdict.Bad
		switch {
		case a.isBad:
			list = append(list, Change{Order: a.Order, State: RolledBack, Verdict: verdict})
		case now.Sub(a.firstSeen).Seconds() >= completeAt*a.Duration.Seconds():
			list = append(list, Change{Order: a.Order, State: Complete, Verdict: verdict})
		case a.State == "":
			list = append(list, Change{Order: a.Order, State: Running, Verdict: verdict})
		}
	}
	return list
}

// Observe counts how a server of the service, which runs the given version, handled a request. It
// does nothing unless the service is being moved.
func (t *Table) Observe(service, version string, s canary.Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[service]
	if a == nil || a.State == Complete || a.State == RolledBack {
		return
	}
	s.IsNew = version == a.Version
	a.judge.Observe(&s, t.Now())
}

// ----------------------------------------------------------------
// Reports between boxes
// ----------------------------------------------------------------

// wireVersion is the first byte of a report; other messages to the same port start with other
// bytes.
const wireVersion = 0xf7

// Report is what a box has counted for a service that is being moved.
type Report struct {
	Box     string
	Service string
	Version string
	Canary  canary.Report
}

// Wire encodes and decodes reports.
var Wire = packet.Codec[Report]{Kind: "rollout reports", FirstByte: wireVersion}

// Reports returns this box's reports for the boxes that judge versions.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for service, a := range t.orders {
		if a.State == Complete || a.State == RolledBack {
			continue
		}
		if r := a.judge.Report(t.Now()); len(r.Comparisons) > 0 {
			list = append(list, Report{Box: t.Box, Service: service, Version: a.Version, Canary: r})
		}
	}
	return list
}

// AddReport stores another box's report, unless it is about a version other than that of the
// current order.
func (t *Table) AddReport(r *Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[r.Service]
	if a == nil || a.Version != r.Version || r.Box == t.Box {
		return
	}
	a.judge.AddReport(r.Box, r.Canary, t.Now())
}
