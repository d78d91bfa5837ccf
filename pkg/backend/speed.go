package backend

import (
	"math"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// Servers of different speed get different shares of the keys. The speed of a server shows only
// in answers for keys that it knows, given while it had a free slot; all other answers measure
// first uses and queues. All servers count as equally fast until a server has given SpeedAnswers
// such answers and the service has enough such servers to compare with.
//
// A weight changes only in steps: each box observes for itself, and a key that two boxes send to
// different servers is learned twice. A wrong estimate costs a first use for each key that moves,
// and reduces the server's weight to no less than minWeight.

const (
	// minCompared is the least number of servers from which a typical speed is derived.
	minCompared = 3
	// stepHysteresis is how far, in steps, a server must be from its current step to change it.
	// With half a step it would alternate between two steps.
	stepHysteresis = 0.75
	// minWeight and maxWeight bound a server's share of the keys relative to a typical one. If a
	// server is far outside, either it is slow or the others are.
	minWeight = 0.25
	maxWeight = 4
)

// speed is the speed of a server.
type speed struct {
	// mean is the mean latency for keys that the server knows, in seconds.
	mean    float64
	answers int
	// steps is the number of steps by which the server is slower than a typical one.
	steps float64
	// keyWeight is the server's share of the keys relative to a typical one; 0 stands for 1.
	keyWeight float64
}

// addAnswer records an answer for a key that the server knew, given while it had a free slot.
func (s *speed) addAnswer(p *policy.Policy, d time.Duration) {
	s.answers++
	s.mean += max(p.SpeedWeight, 1/float64(s.answers)) * (d.Seconds() - s.mean)
}

// weight returns the server's share of the keys relative to a typical one.
func (s *speed) weight() float64 {
	if s.keyWeight == 0 {
		return 1
	}
	return s.keyWeight
}

// compare updates the server's step, given the typical mean latency, and returns its weight.
func (s *speed) compare(p *policy.Policy, typical float64) (keyWeight float64) {
	steps := math.Log(s.mean/typical) / math.Log(p.SpeedStep)
	if math.Abs(steps-s.steps) > stepHysteresis {
		s.steps = math.Round(steps)
		s.keyWeight = max(minWeight, min(maxWeight, math.Pow(p.SpeedStep, -s.steps)))
	}
	return s.keyWeight
}

// compareEvery is how often speeds are compared. They change slowly.
const compareEvery = time.Second

// compareSpeeds compares the servers of the group with each other.
func (g *group) compareSpeeds(p *policy.Policy, now time.Time) {
	if now.Sub(g.comparedAt) < compareEvery {
		return
	}
	g.comparedAt = now
	means := make([]float64, 0, len(g.servers))
	for _, v := range g.servers {
		if v.speed.answers >= p.SpeedAnswers {
			means = append(means, v.speed.mean)
		}
	}
	if len(means) < minCompared {
		return
	}
	slices.Sort(means)
	typical := means[len(means)/2]
	for _, v := range g.servers {
		if v.speed.answers >= p.SpeedAnswers && typical > 0 {
			if before := v.speed.keyWeight; before != v.speed.compare(p, typical) {
				g.isIndexed = false
			}
		}
	}
}

// weightedScore orders servers for a key so that each one is first for a share of the keys in
// proportion to its weight, and a changed weight moves no more keys than necessary (weighted
// rendezvous hashing).
func weightedScore(hash uint64, weight float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
