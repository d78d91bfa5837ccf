// Package canary judges a new version of a service's servers by comparing their answers with those
// of the service's other servers. It does no input or output.
//
// Each box observes the requests that it has sent and reports them to the boxes that judge, which
// add up all reports.
package canary

import (
	"math"
	"time"
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
	// Answers is how many answers of the version the verdict is based on.
	Answers float64
}

// verdict compares the version with other servers.
func (p *Comparison) verdict() Verdict {
	share, old := p.New.badShare(), p.Old.badShare()
	slower := max(slowdown(p.New.Known, p.Old.Known), slowdown(p.New.First, p.Old.First))
	isBad := p.New.Bad >= minBad && share > badFactor*old+badMargin || slower > slowFactor ||
		p.New.Known.isLater(p.Old.Known) || p.New.First.isLater(p.Old.First)
	return Verdict{
		Bad: isBad, Route: p.Route, BadShare: float64(share), Slowdown: float64(slower), Answers: float64(p.New.Answers),
	}
}

// slowdown returns how many times longer the new version took, or 0 if that is not known.
func slowdown(fresh, old Timing) float32 {
	if fresh.Count < minTimed || old.Count < minTimed || old.Seconds <= 0 {
		return 0
	}
	return (fresh.Seconds / fresh.Count) / (old.Seconds / old.Count)
}

// Sample is how a server handled a request that reached it.
type Sample struct {
	Route string
	// Server is the server's id, and IsNew is true if it is of the version that is judged.
	Server string
	IsNew  bool
	// Key is the hash of the request's affinity key, 0 if it has none. Known means that the server
	// has recently answered this box for the key.
	Key   uint64
	Known bool
	// Cold means that the server was in its cold start, Queued that the request probably waited
	// there for a slot, and Remote that the server is in another region than the box.
	Cold   bool
	Queued bool
	Remote bool
	// Failed means that the server failed the request or broke off its answer; Late means that
	// it did not answer in time.
	Failed bool
	Late   bool
	Took   time.Duration
}

// Report is what a box has counted.
type Report struct {
	Comparisons []Comparison
}

// received is a report and the time when it arrived.
type received struct {
	Report
	at time.Time
}

// Judge compares a version with the service's other servers. It is not safe for concurrent use.
type Judge struct {
	// comparisons holds this box's own tallies by route, as of time at.
	comparisons map[string]*Comparison
	at          time.Time
	// reports holds the last report of each other box.
	reports map[string]received
}

// NewJudge returns a judge without samples.
func NewJudge(now time.Time) *Judge {
	return &Judge{comparisons: map[string]*Comparison{}, at: now, reports: map[string]received{}}
}

// decay reduces the tallies according to the time since the last call.
func (j *Judge) decay(now time.Time) {
	by := float32(math.Exp(-now.Sub(j.at).Seconds() / decayTime.Seconds()))
	j.at = now
	for _, p := range j.comparisons {
		p.New.decay(by)
		p.Old.decay(by)
	}
}

// Observe counts a sample of this box.
func (j *Judge) Observe(s *Sample, now time.Time) {
	j.decay(now)
	p := j.comparisons[s.Route]
	if p == nil {
		if len(j.comparisons) >= maxRoutes {
			return
		}
		p = &Comparison{Route: s.Route}
		j.comparisons[s.Route] = p
	}
	tally := &p.Old
	if s.IsNew {
		tally = &p.New
	}
	tally.note(s)
}

func (t *Tally) note(s *Sample) {
	t.Answers++
	if s.Failed {
		t.Bad++
		return
	}
	timing := &t.First
	if s.Known {
		timing = &t.Known
	}
	one := Timing{Count: 1, Seconds: float32(s.Took.Seconds())}
	if s.Late {
		one.Late = 1
	}
	timing.add(one)
}

// Report returns what this box has counted, for the boxes that judge.
func (j *Judge) Report(now time.Time) Report {
	j.decay(now)
	var r Report
	for _, p := range j.comparisons {
		r.Comparisons = append(r.Comparisons, *p)
	}
	return r
}

// AddReport stores another box's report, which replaces its last one.
func (j *Judge) AddReport(box string, r Report, now time.Time) {
	j.reports[box] = received{Report: r, at: now}
}

// Verdict returns whether the version is bad, on all routes together or on a single one.
func (j *Judge) Verdict(now time.Time) Verdict {
	all := Comparison{}
	routes := map[string]*Comparison{}
	add := func(p *Comparison) {
		all.add(p)
		if routes[p.Route] == nil {
			routes[p.Route] = &Comparison{Route: p.Route}
		}
		routes[p.Route].add(p)
	}
	j.decay(now)
	for _, p := range j.comparisons {
		add(p)
	}
	for _, r := range j.reports {
		if now.Sub(r.at) > reportMaxAge {
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
