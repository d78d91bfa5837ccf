package canary

import "math"

// ================================================================
// The sequential test (Page 1954): sums of log-likelihood ratios between the share of bad answers that others have
// and a larger one. A sum that falls to 0 begins anew, since a version may turn bad at any time.
// ================================================================

const (
	// minBad is the least number of bad answers for which a version is found bad.
	minBad = 6
	// testsOfRoute is the number of sums for each route.
	testsOfRoute = 4
	// largeGap is the part of the gap between the others' share and 1 that a version closes
	// whose answers are mostly bad.
	largeGap = 0.75
	// severalServers is the number of servers that the evidence must come from, or leastPart of
	// the threshold from each where there are many.
	severalServers = 3
	leastPart      = 0.25
	// mostShare is the share of bad answers of others up to which a version can be judged.
	mostShare = 0.6
)

// sum is a sum of log-likelihood ratios to which each server contributes at most the limit.
type sum struct {
	servers map[uint32]float64
	total   float64
	limit   float64
}

// part returns what a server contributes; the limit does not hold for an unknown one.
func (s *sum) part(server uint32, part float64) float64 {
	if server == 0 {
		return part
	}
	return min(part, s.limit)
}

// without returns the sum without the server that contributes most.
func (s *sum) without() float64 {
	most := 0.0
	for server, part := range s.servers {
		if server != 0 {
			most = max(most, min(part, s.limit))
		}
	}
	return s.total - most
}

func (s *sum) add(server uint32, ratio, limit float64) {
	if limit != s.limit {
		s.limit, s.total = limit, 0
		for other, part := range s.servers {
			s.total += s.part(other, part)
		}
	}
	before := s.servers[server]
	s.servers[server] = before + ratio
	s.total += s.part(server, before+ratio) - s.part(server, before)
	if s.total <= 0 {
		s.total = 0
		clear(s.servers)
	}
}

// test compares the answers of a version on a route, or on all, with those of others.
type test struct {
	// small tests for a share that is larger by the margin, large for one of mostly bad answers.
	small sum
	large sum
	// failures is as small, for failures alone: others have fewer of these.
	failures sum
	// lates is as large, for answers of which only lateness is compared.
	lates sum
	// decline is the evidence that the version is not worse by the margin, from answers whose time
	// was compared; it is at most 0.
	decline float64
	// servers holds the servers that have answered since the test began.
	servers map[uint32]bool
	// answers, bad and others count the answers since all sums were 0, the bad ones, and the sum
	// of the shares that others could have.
	answers float64
	bad     float64
	others  float64
}

func newSum() sum { return sum{servers: map[uint32]float64{}} }

func newTest() *test {
	return &test{servers: map[uint32]bool{}, small: newSum(), large: newSum(), failures: newSum(), lates: newSum()}
}

// add counts an answer.
func (t *test) add(a *answer, c *comparison, margin, threshold float64) {
	if len(t.servers) < maxServers {
		t.servers[a.server] = true
	}
	limit := threshold * min(1, max(leastPart, severalServers/float64(len(t.servers))))
	if c.failedShare <= mostShare {
		t.failures.add(a.server, marginRatio(a.failed, c.failedShare, margin), limit)
	}
	switch {
	case c.share > mostShare:
	case c.countsLate:
		t.lates.add(a.server, ratio(c.isBad, c.share, c.share+largeGap*(1-c.share)), limit)
	case c.isTimed:
		small := marginRatio(c.isBad, c.share, margin)
		t.decline = min(0, t.decline+small)
		t.small.add(a.server, small, limit)
		t.large.add(a.server, ratio(c.isBad, c.share, c.share+largeGap*(1-c.share)), limit)
	}
	t.count(c)
}

// count counts an answer for the description of the evidence.
func (t *test) count(c *comparison) {
	if t.level() == 0 {
		t.answers, t.bad, t.others = 0, 0, 0
		return
	}
	t.answers++
	t.others += c.share
	if c.isBad {
		t.bad++
	}
}

// marginRatio returns the log-likelihood ratio of an answer for a share that is larger by the margin.
func marginRatio(isBad bool, share, margin float64) float64 {
	return ratio(isBad, share, min(share+margin, 1-(1-share)/2))
}

// ratio returns the log-likelihood ratio of an answer between two shares of bad answers.
func ratio(isBad bool, usual, larger float64) float64 {
	if isBad {
		return math.Log(larger / usual)
	}
	return math.Log((1 - larger) / (1 - usual))
}

// thresholdOf returns the threshold for which the probability that any of the tests of that many
// routes decides wrongly is at most the rate (Wald 1945).
func thresholdOf(rate float64, routes int) float64 {
	return math.Log(testsOfRoute * float64(max(1, routes)) / rate)
}

func (t *test) level() float64 {
	return max(t.small.total, t.large.total, t.failures.total, t.lates.total)
}

// isBad reports whether the version is bad. Where it has several servers, that has to hold without the
// worst of them as well.
func (t *test) isBad(threshold float64, single bool) bool {
	if t.bad < minBad || t.level() < threshold {
		return false
	}
	return single || max(t.small.without(), t.large.without(), t.failures.without(), t.lates.without()) >= threshold
}

func (t *test) isGood(missRate float64) bool { return t.decline <= math.Log(missRate) }
