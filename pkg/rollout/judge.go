package rollout

import (
	"math"
	"time"

	"github.com/stoneworks/stoneworks/pkg/packet"
)

const (
	// span is that of all tallies, which fade: a version may turn bad at any time, and what it did well
	// before must not hide that.
	span = 4 * time.Second
	// reportHolds is for how long another box's report counts.
	reportHolds = 2 * time.Second

	// leastBad is how many bad answers must have come of a version that is to be rolled back, and
	// badFactor and badMargin by how much the share of these must exceed that of other servers.
	leastBad  = 6
	badFactor = 3
	badMargin = 0.05
	// leastTimed is how many answers make a typical time, and slowFactor how many times longer than other
	// servers a bad version takes.
	leastTimed = 6
	slowFactor = 2.2
	// lateShare is the share of first uses without an answer in time from which on a version is bad where others had
	// too few first uses to compare with.
	lateShare = 0.5
	// mostRoutes bounds the routes of a service that are counted by themselves.
	mostRoutes = 16
)

// Timing adds up times of answers, and of requests without one in time, which are Late.
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

func (t *Timing) fade(by float32) {
	t.Count *= by
	t.Late *= by
	t.Seconds *= by
}

// worseLate reports whether so many more of these are late than of the others that it is no chance. Known keys
// and first uses are compared each with their like: on a route with little time all first uses may be late.
func (t *Timing) worseLate(others Timing) bool {
	if others.Count < leastTimed {
		return t.Late >= 2*leastBad && t.Late > lateShare*t.Count
	}
	return t.Late >= leastBad && t.Late/t.Count > badFactor*others.Late/others.Count+badMargin
}

// Tally is how servers fared lately.
type Tally struct {
	Answers float32
	// Bad are failures.
	Bad float32
	// Known are the times for keys that the server knew, First those for all others: these take
	// longer by themselves, and a new version begins with them.
	Known Timing
	First Timing
}

func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Bad += o.Bad
	t.Known.add(o.Known)
	t.First.add(o.First)
}

func (t *Tally) fade(by float32) {
	t.Answers *= by
	t.Bad *= by
	t.Known.fade(by)
	t.First.fade(by)
}

func (t *Tally) badShare() float32 { return t.Bad / max(1, t.Answers) }

// Comparison is how the new version fared, and all others.
type Comparison struct {
	Route string
	New   Tally
	Old   Tally
}

func (p *Comparison) add(o *Comparison) {
	p.New.add(o.New)
	p.Old.add(o.Old)
}

// Verdict is what is found of a version.
type Verdict struct {
	Bad bool
	// Route is where, empty for all routes together, and Share and Slower are the share of bad answers and how
	// many times longer it takes.
	Route    string
	BadShare float64
	Slowdown float64
}

// verdict compares the version with other servers.
func (p *Comparison) verdict() Verdict {
	share, old := p.New.badShare(), p.Old.badShare()
	slower := max(slowerBy(p.New.Known, p.Old.Known), slowerBy(p.New.First, p.Old.First))
	isBad := p.New.Bad >= leastBad && share > badFactor*old+badMargin || slower > slowFactor ||
		p.New.Known.worseLate(p.Old.Known) || p.New.First.worseLate(p.Old.First)
	return Verdict{Bad: isBad, Route: p.Route, BadShare: float64(share), Slowdown: float64(slower)}
}

// slowerBy is how many times longer the new ones took, 0 if that is not known.
func slowerBy(fresh, old Timing) float32 {
	if fresh.Count < leastTimed || old.Count < leastTimed || old.Seconds <= 0 {
		return 0
	}
	return (fresh.Seconds / fresh.Count) / (old.Seconds / old.Count)
}

// scores are a box's tallies of a service by route.
type scores struct {
	pairs map[string]*Comparison
	at    time.Time
}

// now fades the tallies.
func (s *scores) now(now time.Time) {
	by := float32(math.Exp(-now.Sub(s.at).Seconds() / span.Seconds()))
	s.at = now
	for _, p := range s.pairs {
		p.New.fade(by)
		p.Old.fade(by)
	}
}

// Outcome is how a server has dealt with a request.
type Outcome struct {
	Service string
	Route   string
	Version string
	// Failed: the server failed it, or broke its answer off; Late: it gave none in time.
	Failed bool
	Late   bool
	// Known: the server was known to know the key.
	Known bool
	Took  time.Duration
}

// Observe counts how a server has dealt with a request, if its service is being moved.
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
		s = &scores{pairs: map[string]*Comparison{}, at: now}
		t.own[o.Service] = s
	}
	s.now(now)
	p := s.pairs[o.Route]
	if p == nil {
		if len(s.pairs) >= mostRoutes {
			return
		}
		p = &Comparison{Route: o.Route}
		s.pairs[o.Route] = p
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

// judge finds whether the version of a service's order is bad, on all routes together or on one. The
// caller holds the lock.
func (t *Table) judge(service string, now time.Time) Verdict {
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
		s.now(now)
		for _, p := range s.pairs {
			add(p)
		}
	}
	for _, r := range t.reports {
		if r.Service != service || now.Sub(r.at) > reportHolds {
			continue
		}
		for i := range r.Pairs {
			add(&r.Pairs[i])
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
// What boxes tell each other
// ----------------------------------------------------------------

// wireVersion is the first byte of a report; other messages to the same port begin with others.
const wireVersion = 0xf6

// Report is what a box has counted of a service that is being moved.
type Report struct {
	Box     string
	Service string
	Version string
	Pairs   []Comparison
}

// Wire packs reports.
var Wire = packet.Codec[Report]{Kind: "rollout reports", FirstByte: wireVersion}

// Reports returns what those that judge are to know.
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
		s.now(now)
		r := Report{Box: t.Box, Service: service, Version: a.Version}
		for _, p := range s.pairs {
			r.Pairs = append(r.Pairs, *p)
		}
		list = append(list, r)
	}
	return list
}

// AddReport takes in another box's report. One of another order is left out.
func (t *Table) AddReport(r *Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[r.Service]
	if a == nil || a.Version != r.Version || r.Box == t.Box {
		return
	}
	t.reports[r.Box+"\x00"+r.Service] = received{Report: *r, at: t.Now()}
}
