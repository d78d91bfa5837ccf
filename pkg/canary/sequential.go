package canary

import "math"

// ================================================================
// The sequential test (Page 1954): sums of log-likelihood ratios between the share of bad answers that others have
// and a larger one. A sum that falls to 0 begins anew, since a version may turn bad at any time.
// ================================================================

const (
	// minBad is the least number of bad answers for which a version is found bad.
	minBad = 6
	// largeGap is the part of the gap between the others' share and 1 that a version closes
	// whose answers are mostly bad.
	largeGap = 0.75
	// mostShare bounds the others' share: above it nothing can be told apart.
	mostShare = 0.95
)

// sum is a sum of log-likelihood ratios to which each server contributes a bounded part.
type sum struct {
	servers map[uint32]float64
	total   float64
}

func (s *sum) add(server uint32, ratio, limit float64) {
	if server == 0 {
		limit = math.Inf(1)
	}
	before := s.servers[server]
	s.servers[server] = before + ratio
	s.total += min(before+ratio, limit) - min(before, limit)
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
	// decline is the evidence that the version is not worse by the margin, from answers whose time
	// was compared; it is at most 0. seen counts all answers.
	decline float64
	seen    float64
	// answers, bad and others count the answers since small began anew, the bad ones, and the sum
	// of the shares that others could have.
	answers float64
	bad     float64
	others  float64
}

func newTest() *test {
	return &test{small: sum{servers: map[uint32]float64{}}, large: sum{servers: map[uint32]float64{}}}
}

// add counts an answer, where others have the given share of bad ones. The limit is the most that a
// server can contribute.
func (t *test) add(server uint32, isBad, isTimed bool, share, margin, limit float64) {
	share = min(share, mostShare)
	small := ratio(isBad, share, min(share+margin, 1-(1-share)/2))
	t.seen++
	if isTimed {
		t.decline = min(0, t.decline+small)
	}
	t.small.add(server, small, limit)
	t.large.add(server, ratio(isBad, share, share+largeGap*(1-share)), limit)
	if t.small.total == 0 && t.large.total == 0 {
		t.answers, t.bad, t.others = 0, 0, 0
		return
	}
	t.answers++
	t.others += share
	if isBad {
		t.bad++
	}
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
	return math.Log(2 * float64(max(1, routes)) / rate)
}

func (t *test) level() float64 { return max(t.small.total, t.large.total) }

func (t *test) isBad(threshold float64) bool { return t.bad >= minBad && t.level() >= threshold }

func (t *test) isGood(missRate float64) bool { return t.decline <= math.Log(missRate) }
