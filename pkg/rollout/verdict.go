package rollout

import (
	"math"
	"time"

	"github.com/stoneworks/stoneworks/pkg/packet"
)

const (
	// decayTime is the time constant with which all tallies decay exponentially: a version may
	// turn bad at any time, and its good results from before must not hide that.
	decayTime = 4 * time.Second
	// reportMaxAge is how long another box's report counts.
	reportMaxAge = 2 * time.Second

	// minBad is the least number of bad answers for which a version is rolled back. badFactor
	// and badMargin are how far their share must exceed the share of other servers.
	minBad    = 6
	badFactor = 3
	badMargin = 0.05
	// minTimed is the least number of answers for a typical time; slowFactor is how many times
	// longer than other servers a bad version takes.
	minTimed   = 6
	slowFactor = 2.2
	// lateShare is the share of first uses without an answer in time above which a version is
	// bad if other servers had too few first uses to compare with.
	lateShare = 0.5
	// maxRoutes bounds the number of routes of a service that are counted separately.
	maxRoutes = 16
)

// Timing sums the durations of answers and of requests without an answer in time, which are
// counted in Late.
type Timing struct {
	Count   float32
	Late    float32
	Seconds float32
}

func (t *Timing) add(o Timing) {
	t.Count += o.Count
	t.Late += o.Late
	t.Seconds += o.Seconds
}

func (t *Timing) decay(by float32) {
	t.Count *= by
	t.Late *= by
	t.Seconds *= by
}

// isLater reports whether significantly more of these requests are late than of the others.
// Known keys and first uses are compared separately: on a route with a short timeout all first
// uses may be late.
func (t *Timing) isLater(others Timing) bool {
	if others.Count < minTimed {
		return t.Late >= 2*minBad && t.Late > lateShare*t.Count
	}
	return t.Late >= minBad && t.Late/t.Count > badFactor*others.Late/others.Count+badMargin
}

// Tally counts the recent results of servers.
type Tally struct {
	Answers float32
	// Bad is the number of failures.
	Bad float32
	// Known holds the times for keys that the server already knew, First those for all other
	// keys. First uses take longer, and a new version starts with them.
	Known Timing
	First Timing
}

func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Bad += o.Bad
	t.Known.add(o.Known)
	t.First.add(o.First)
}

func (t *Tally) decay(by float32) {
	t.Answers *= by
	t.Bad *= by
	t.Known.decay(by)
	t.First.decay(by)
}

func (t *Tally) badShare() float32 { return t.Bad / max(1, t.Answers) }

// Comparison holds the tallies of the new version and of all other servers on a route.
type Comparison struct {
	Route string
	New   Tally
	Old   Tally
}

func (p *Comparison) add(o *Comparison) {
	p.New.add(o.New)
	p.Old.add(o.Old)
}

// Verdict is the result of comparing a version with other servers.
type Verdict struct {
	Bad bool
	// Route is the route that was compared, or empty for all routes together. BadShare is the
	// share of bad answers; Slowdown is how many times longer the version takes.
	Route    string
	BadShare float64
	Slowdown float64
}

// verdict compares the version with other servers.
func (p *Comparison) verdict() Verdict {
	share, old := p.New.badShare(), p.Old.badShare()
	slower := max(slowdown(p.New.Known, p.Old.Known), slowdown(p.New.First, p.Old.First))
	isBad := p.New.Bad >= minBad && share > badFactor*old+badMargin || slower > slowFactor ||
		p.New.Known.isLater(p.Old.Known) || p.New.First.isLater(p.Old.First)
	return Verdict{Bad: isBad, Route: p.Route, BadShare: float64(share), Slowdown: float64(slower)}
}

// slowdown returns how many times longer the new version took, or 0 if that is not known.
func slowdown(fresh, old Timing) float32 {
	if fresh.Count < minTimed || old.Count < minTimed || old.Seconds <= 0 {
		return 0
	}
	return (fresh.Seconds / fresh.Count) / (old.Seconds / old.Count)
}

// routeTallies holds a box's tallies of a service by route.
type routeTallies struct {
	comparisons map[string]*Comparison
	at          time.Time
}

// decay reduces the tallies according to the time since the last call.
func (s *routeTallies) decay(now time.Time) {
	by := float32(math.Exp(-now.Sub(s.at).Seconds() / decayTime.Seconds()))
	s.at = now
	for _, p := range s.comparisons {
		p.New.decay(by)
		p.Old.decay(by)
	}
}

// Outcome is the result of a request at a server.
type Outcome struct {
	Service string
	Route   string
	Version string
	// Failed means that the server failed the request or broke off its answer; Late means that
	// it did not answer in time.
	Failed bool
	Late   bool
	// Known means that the server already knew the key.
	Known bool
	Took  time.Duration
}

// Observe counts the result of a request if its service is being moved.
func (t *Table) Observe(o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[o.Service]
	if a == nil || a.State == Complete || a.State == RolledBack {
		return
	}
	now := t.Now()
	s := t.own[o.Service]
	if s == nil {
		s = &routeTallies{comparisons: map[string]*Comparison{}, at: now}
		t.own[o.Service] = s
	}
	s.decay(now)
	p := s.comparisons[o.Route]
	if p == nil {
		if len(s.comparisons) >= maxRoutes {
			return
		}
		p = &Comparison{Route: o.Route}
		s.comparisons[o.Route] = p
	}
	tally := &p.Old
	if o.Version == a.Version {
		tally = &p.New
	}
	tally.note(&o)
}

func (t *Tally) note(o *Outcome) {
	t.Answers++
	if o.Failed {
		t.Bad++
		return
	}
	timing := &t.First
	if o.Known {
		timing = &t.Known
	}
	one := Timing{Count: 1, Seconds: float32(o.Took.Seconds())}
	if o.Late {
		one.Late = 1
	}
	timing.add(one)
}

// evaluate returns whether the version of a service's order is bad, on all routes together or
// on a single one. The caller holds the lock.
func (t *Table) evaluate(service string, now time.Time) Verdict {
	all := Comparison{}
	routes := map[string]*Comparison{}
	add := func(p *Comparison) {
		all.add(p)
		if routes[p.Route] == nil {
			routes[p.Route] = &Comparison{Route: p.Route}
		}
		routes[p.Route].add(p)
	}
	if s := t.own[service]; s != nil {
		s.decay(now)
		for _, p := range s.comparisons {
			add(p)
		}
	}
	for _, r := range t.reports {
		if r.Service != service || now.Sub(r.at) > reportMaxAge {
			continue
		}
		for i := range r.Comparisons {
			add(&r.Comparisons[i])
		}
	}
	for _, p := range routes {
		if v := p.verdict(); v.Bad {
			return v
		}
	}
	return all.verdict()
}

// ----------------------------------------------------------------
// Reports between boxes
// ----------------------------------------------------------------

// wireVersion is the first byte of a report; other messages to the same port start with other
// bytes.
const wireVersion = 0xf6

// Report is what a box has counted for a service that is being moved.
type Report struct {
	Box         string
	Service     string
	Version     string
	Comparisons []Comparison
}

// Wire encodes and decodes reports.
var Wire = packet.Codec[Report]{Kind: "rollout reports", FirstByte: wireVersion}

// Reports returns this box's reports for the boxes that evaluate versions.
func (t *Table) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var list []Report
	for service, s := range t.own {
		a := t.orders[service]
		if a == nil || a.State == Complete || a.State == RolledBack {
			continue
		}
		s.decay(now)
		r := Report{Box: t.Box, Service: service, Version: a.Version}
		for _, p := range s.comparisons {
			r.Comparisons = append(r.Comparisons, *p)
		}
		list = append(list, r)
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
	t.reports[r.Box+"\x00"+r.Service] = received{Report: *r, at: t.Now()}
}
