package backend

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// health is what a box makes of the exchanges with one server.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	// latency is a moving average of the time without waiting for a slot, 0
	// before the first answer.
	latency time.Duration
	answers int
	// suspected: it rests, or has rested and not shown that it has recovered.
	suspected bool
	// answeredAt is when the server last answered anything.
	answeredAt time.Time
}

// succeeded takes in an answer.
func (h *health) succeeded(p *policy.Policy, latency time.Duration) {
	h.failures = 0
	h.ejections = 0
	h.addLatency(p, latency)
}

// unfinished takes in an exchange that was given up after some time: it would
// have taken at least as long.
func (h *health) unfinished(p *policy.Policy, latency time.Duration) {
	if latency >= h.latency {
		h.addLatency(p, latency)
	}
}

func (h *health) addLatency(p *policy.Policy, latency time.Duration) {
	h.answers++
	weight := p.LatencyWeight
	if latency < h.latency/2 {
		weight = p.RecoveryWeight
	}
	if h.latency == 0 {
		weight = 1
	}
	h.latency += time.Duration(weight * float64(latency-h.latency))
}

// slow reports whether the server is much slower than is typical of its group.
func (h *health) slow(p *policy.Policy, typical time.Duration) bool {
	return h.answers >= p.SlowAnswers && h.latency > max(p.SlowFloor, time.Duration(p.SlowFactor*float64(typical)))
}

// failed takes in a failure of some weight and reports whether the server
// rests from now on.
func (h *health) failed(p *policy.Policy, now time.Time, weight int) bool {
	h.failures += weight
	if h.failures < p.FailuresToRest {
		return false
	}
	rest := min(p.FirstRest<<min(h.ejections, 10), p.LongestRest)
	h.ejections++
	h.failures = 0
	h.ejectedUntil = now.Add(rest)
	return true
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// loadEstimate is how busy a server is: this box's own requests, and those of
// others as far as the server has lately told.
type loadEstimate struct {
	own    int
	others float64
	at     time.Time
}

// update takes in what the server said, while own requests of this box, this
// one included, were at the server.
func (l *loadEstimate) update(load Load, now time.Time) {
	l.others = max(0, float64(load.Running+load.Waiting-l.own))
	l.at = now
}

// loadHoldFactor is for how many times of working off what a server holds its word on that
// counts in full. A box that takes a server for full sends it nothing, and hears nothing from
// it either: a quick one would be refused requests for long that it could have done.
const loadHoldFactor = 6

// busy returns how many requests the server holds, as far as is known, given how long it
// works on one; 0 if that is not known.
func (l *loadEstimate) busy(p *policy.Policy, slots int, work time.Duration, now time.Time) float64 {
	pace := 1.0
	if work > 0 {
		fill := (float64(l.own) + l.others) / float64(max(1, slots))
		pace = min(1, loadHoldFactor*float64(work)*max(1, fill)/float64(p.LoadHolds))
	}
	age := time.Duration(float64(now.Sub(l.at)) / pace)
	left := float64(p.LoadFades-age) / float64(p.LoadFades-p.LoadHolds)
	return float64(l.own) + l.others*max(0, min(1, left))
}
