package backend

import (
	"math"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// Servers of unlike speed get unlike parts of the keys. How fast a server is
// shows only in answers for keys that it knows, given while it had a free slot:
// all others measure first uses and queues. Prior: all servers are alike, until
// a server has given SpeedAnswers such answers and the service has enough such
// servers to compare with.
//
// A part changes in steps only: boxes observe for themselves, and a key that
// one box takes elsewhere than another becomes known twice. A wrong estimate
// costs the keys that move first uses, and the server at most leastWeight.

const (
	// minCompared is how many servers make a typical one.
	minCompared = 3
	// stepHysteresis is how far, in steps, a server must be from its step to get
	// another one; half a step would swing between two.
	stepHysteresis = 0.75
	// minWeight and mostWeight bound a server's part of the keys against
	// that of a typical one: a server far off these is slow, or the others are.
	minWeight = 0.25
	maxWeight = 4
)

// speed is how fast a server is.
type speed struct {
	// mean is how long it takes for keys that it knows, in seconds.
	mean    float64
	answers int
	// steps is by how many steps it is slower than a typical one.
	steps float64
	// keyWeight is its keyWeight of the keys against that of a typical one, 0 for 1.
	keyWeight float64
}

// addAnswer takes in an answer for a key that the server knew, while it had a free
// slot.
func (s *speed) addAnswer(p *policy.Policy, d time.Duration) {
	s.answers++
	s.mean += max(p.SpeedWeight, 1/float64(s.answers)) * (d.Seconds() - s.mean)
}

// weight is the server's part of the keys against that of a typical one.
func (s *speed) weight() float64 {
	if s.keyWeight == 0 {
		return 1
	}
	return s.keyWeight
}

// compare finds the server's step, given how long a typical one takes, and returns its part.
func (s *speed) compare(p *policy.Policy, typical float64) (part float64) {
	steps := math.Log(s.mean/typical) / math.Log(p.SpeedStep)
	if math.Abs(steps-s.steps) > stepHysteresis {
		s.steps = math.Round(steps)
		s.keyWeight = max(minWeight, min(maxWeight, math.Pow(p.SpeedStep, -s.steps)))
	}
	return s.keyWeight
}

// compareEvery is how often speeds are compared. They change slowly.
const compareEvery = time.Second

// compareSpeeds compares the group's servers with each other.
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

// weightedScore orders servers for a key so that each is first for a part of
// the keys in proportion to its weight, and a changed weight moves no more keys
// than it must (weighted rendezvous hashing).
func weightedScore(hash uint64, weight float64) float64 {
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
