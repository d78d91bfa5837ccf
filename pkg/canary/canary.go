// Package canary judges a new version of a service's servers by comparing their answers with those
// of the service's other servers, and draws the requests for the version so that there is something
// to compare. It does no input or output.
//
// Each box observes the requests that it has sent and reports them to the boxes that judge. A
// report holds what the other servers did, as histograms, and single answers of the version:
// whether one of its servers has met a key before is known only from all boxes' answers together.
package canary

import (
	"time"
)

// Parameters sets how a version is judged.
type Parameters struct {
	// FalseRate is the probability with which a version that is as good as the other servers is
	// found bad during an order, MissRate the one with which a version that is worse by Margin
	// is called good.
	FalseRate float64
	MissRate  float64
	// Margin is by how much the share of bad answers of a bad version exceeds that of others.
	Margin float64
	// SlowFactor is how many times longer than the typical answer of others an answer takes to
	// count as bad.
	SlowFactor float64
}

// DefaultParameters returns the parameters that apply if no others are set.
func DefaultParameters() Parameters {
	return Parameters{FalseRate: 0.001, MissRate: 0.02, Margin: 0.08, SlowFactor: 2}
}

// Sample is how a server handled a request that reached it.
type Sample struct {
	Route string
	// Server is the server's id, and IsNew is true if it is of the version that is judged.
	Server string
	IsNew  bool
	// Servers is the number of servers of the judged version that the box knows; 0 if it does not count
	// them.
	Servers int
	// Key is the hash of the request's affinity key, 0 if it has none. Known means that the server
	// has recently answered this box for the key.
	Key   uint64
	Known bool
	// Cold means that the server was in its cold start, and Remote that it is in another region
	// than the box. Fill is the estimated number of requests there as a multiple of its slots,
	// this one included; above 1 it waited for a slot.
	Cold   bool
	Remote bool
	Fill   float64
	// Failed means that the server failed the request or broke off its answer; Late means that
	// it did not answer in time.
	Failed bool
	Late   bool
	Took   time.Duration
}

// Verdict is the result of comparing a version with other servers.
type Verdict struct {
	Bad bool
	// Good means that enough answers were compared to rule out a bad version with the set error
	// rate.
	Good bool
	// Route is the route with the strongest evidence, or empty for all routes together.
	Route string
	// BadShare is the share of bad answers in the evidence, OthersShare the share that other
	// servers could have had, and Servers the number of servers with evidence of any kind.
	BadShare    float64
	OthersShare float64
	Servers     int
	// Slowdown is how many times longer than others the version takes for comparable answers; 0
	// if there are none.
	Slowdown float64
	// Answers is how many answers of the version were judged.
	Answers float64
}

const (
	// maxPending bounds the answers of the version that a judge holds until its next verdict.
	maxPending = 4096
	// findingValid is how long a finding holds if nobody has asked for the verdict meanwhile.
	findingValid = 2 * time.Second
	// trialTime is how long the only known server of a version must have been answering until
	// its evidence suffices by itself: others may not have started yet.
	trialTime = 3 * time.Second
	// fairPart is the part of the version's answers from which on a route must be shown to be
	// good by itself.
	fairPart = 0.05
	// all is the name under which the routes are compared together.
	all = ""
)

// Judge compares a version with the service's other servers. It is not safe for concurrent use.
type Judge struct {
	Parameters Parameters

	// own counts the other servers' results at this box, and others holds the last report of
	// each other box.
	own    *tallies
	others map[string]received
	// outbox holds the version's answers for the next report, pending those of all boxes since
	// the last verdict.
	outbox  reservoir
	pending []answer
	// uses holds which keys the version's servers have met, and servers since when each answers.
	uses    uses
	servers map[uint32]time.Time
	// listed is the number of servers of the version that this box knows.
	listed int
	// tests holds the tests by route and of all routes together, seen the number of answers of each.
	tests map[string]*test
	seen  map[string]float64
	// ratios averages how many times longer than others the version takes.
	ratios ratios
	// found is the last verdict that the version is bad.
	found   Verdict
	foundAt time.Time
}

// received is what another box has reported, and when. It stays encoded, since a report is much
// smaller than the histograms in it.
type received struct {
	report Report
	at     time.Time
}

// NewJudge returns a judge without samples.
func NewJudge(now time.Time) *Judge {
	return &Judge{
		Parameters: DefaultParameters(), own: newTallies(now), others: map[string]received{}, uses: uses{},
		servers: map[uint32]time.Time{}, tests: map[string]*test{}, seen: map[string]float64{},
	}
}

// Observe counts a sample of this box.
func (j *Judge) Observe(s *Sample, now time.Time) {
	j.listed = s.Servers
	switch {
	case s.IsNew:
		a := answerOf(s, now)
		j.outbox.add(a)
		j.hold(a)
	case !s.Cold:
		j.own.add(s, j.Parameters.SlowFactor, now)
	}
}

func (j *Judge) hold(a answer) {
	if len(j.pending) < maxPending {
		j.pending = append(j.pending, a)
	}
}

// Report returns what this box has seen since its last report, for the boxes that judge.
func (j *Judge) Report(now time.Time) Report {
	j.own.decay(now)
	return encodeReport(j.own, j.outbox.take(), now)
}

// AddReport adds another box's report. What it says of other servers replaces the box's last report.
func (j *Judge) AddReport(box string, r Report, now time.Time) {
	for _, a := range r.answers(now) {
		j.hold(a)
	}
	r.Answers = nil
	j.others[box] = received{report: r, at: now}
}

// Verdict returns whether the version is bad, on all routes together or on a single one.
func (j *Judge) Verdict(now time.Time) Verdict {
	j.own.decay(now)
	sum := j.sum(now)
	health := sum.health()
	sortByEnd(j.pending)
	for i := range j.pending {
		j.judge(&j.pending[i], sum, &health, now)
	}
	j.pending = j.pending[:0]
	if j.found.Bad && now.Sub(j.foundAt) <= findingValid {
		return j.found
	}
	return j.verdict()
}

// sum adds up what all boxes have seen of other servers.
func (j *Judge) sum(now time.Time) *tallies {
	sum := newTallies(now)
	sum.merge(j.own)
	for box, r := range j.others {
		if now.Sub(r.at) > reportMaxAge {
			delete(j.others, box)
			continue
		}
		r.report.addTo(sum)
	}
	return sum
}

// judge compares one answer of the version.
func (j *Judge) judge(a *answer, others *tallies, health *Health, now time.Time) {
	if a.cold {
		j.uses.forget(a.server)
		return
	}
	j.seen[all]++
	if _, ok := j.seen[a.route]; ok || len(j.seen) <= maxRoutes {
		j.seen[a.route]++
	}
	// What a box remembers says nothing of what the server has forgotten since.
	known := a.known && !a.hasKey || j.uses.usedBefore(a)
	j.uses.add(a)
	if _, ok := j.servers[a.server]; !ok && len(j.servers) < maxServers {
		j.servers[a.server] = now
	}
	route := others.routes[a.route]
	if route == nil {
		route = &tally{}
	}
	c := route.compare(a, known, j.Parameters.SlowFactor, &j.ratios)
	c.failedShare = max(c.failedShare, health.share(len(j.servers), false))
	c.share = max(c.share, health.share(len(j.servers), c.isTimed))
	j.test(a.route, a, &c, now)
	j.test(all, a, &c, now)
}

// test adds a compared answer to the test of a route, or of all.
func (j *Judge) test(name string, a *answer, c *comparison, now time.Time) {
	t := j.tests[name]
	if t == nil {
		if len(j.tests) > maxRoutes {
			return
		}
		t = newTest()
		j.tests[name] = t
	}
	t.add(a, c, j.Parameters.Margin, j.threshold())
	if t.isBad(j.threshold(), a.server == 0 || j.isSingle(now)) {
		j.found, j.foundAt = j.describe(name, t), now
		j.found.Bad = true
	}
}

// isSingle reports whether the version has one server only, which then decides by itself.
func (j *Judge) isSingle(now time.Time) bool {
	if len(j.servers) > 1 || j.listed > 1 {
		return false
	}
	for _, since := range j.servers {
		if now.Sub(since) < trialTime {
			return false
		}
	}
	return true
}

// threshold returns the sum of log-likelihood ratios at which a test decides. Each route has its
// tests.
func (j *Judge) threshold() float64 { return thresholdOf(j.Parameters.FalseRate, len(j.tests)) }

// verdict describes the strongest evidence.
func (j *Judge) verdict() Verdict {
	v, strongest := Verdict{Slowdown: j.ratios.typical()}, -1.0
	for name, t := range j.tests {
		if level := t.level(); level > strongest || level == strongest && name == all {
			v, strongest = j.describe(name, t), level
		}
	}
	v.Good = j.isGood()
	return v
}

// isGood reports whether the version is shown to be good on all routes together, and on each that has
// a fair part of the answers.
func (j *Judge) isGood() bool {
	t := j.tests[all]
	if t == nil || !t.isGood(j.Parameters.MissRate) || t.level() > j.threshold()/2 {
		return false
	}
	for name, route := range j.tests {
		if j.seen[name] >= fairPart*j.seen[all] && !route.isGood(j.Parameters.MissRate) {
			return false
		}
	}
	return true
}

func (j *Judge) describe(route string, t *test) Verdict {
	return Verdict{
		Route: route, BadShare: t.bad / max(1, t.answers), OthersShare: t.others / max(1, t.answers), Servers: len(t.small.servers),
		Slowdown: j.ratios.typical(), Answers: j.seen[all],
	}
}
