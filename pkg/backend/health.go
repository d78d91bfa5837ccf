package backend

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// health is what this box derives from its exchanges with one server.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	// boundEjectedUntil is the same for bound requests alone, for which there was no path to the
	// server.
	boundEjectedUntil time.Time
	// latency is a moving average of the latency without the wait for a slot; 0 before the first
	// answer.
	latency time.Duration
	answers int
	// suspected is true if the server is ejected, or was ejected and has not yet proved its
	// recovery.
	suspected bool
	// answeredAt is when the server last answered a request or shed one.
	answeredAt time.Time
}

// succeeded records an answer.
func (h *health) succeeded(p *policy.Policy, latency time.Duration) {
	h.failures = 0
	h.ejections = 0
	h.addLatency(p, latency)
}

// unfinished records an exchange that was given up. It would have taken at least that long.
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

// failed records a failure of the given weight and reports whether the server is ejected from now
// on.
func (h *health) failed(p *policy.Policy, now time.Time, weight int) bool {
	h.failures += weight
	if h.failures < p.FailuresToRest {
		return false
	}
	ejection := min(p.FirstRest<<min(h.ejections, 10), p.LongestRest)
	h.ejections++
	h.failures = 0
	h.ejectedUntil = now.Add(ejection)
	return true
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// ejectedUntilFor returns until when the server is ejected for a request.
func (h *health) ejectedUntilFor(r *Request) time.Time {
	if r.Bound && h.boundEjectedUntil.After(h.ejectedUntil) {
		return h.boundEjectedUntil
	}
	return h.ejectedUntil
}

// loadEstimate is the estimated load of a server: this box's own requests, and those of other
// boxes as last reported by the server.
type loadEstimate struct {
	own    int
	others float64
	at     time.Time
}

// update records the load that the server reported while this box had own requests there,
// including the one that was answered.
func (l *loadEstimate) update(load Load, now time.Time) {
	l.others = max(0, float64(load.Running+load.Waiting-l.own))
	l.at = now
}

// loadHoldFactor limits how long a reported load counts in full, as a multiple of the time in
// which the server works off its requests. A box that considers a server full sends it nothing
// and gets no newer report from it: without this limit a fast server would be denied requests for
// a long time although it could serve them.
const loadHoldFactor = 6

// inFlight returns the estimated number of requests at the server. work is how long the server
// works on one request, 0 if that is unknown.
func (l *loadEstimate) inFlight(p *policy.Policy, slots int, work time.Duration, now time.Time) float64 {
	pace := 1.0
	if work > 0 {
		fill := (float64(l.own) + l.others) / float64(max(1, slots))
		pace = min(1, loadHoldFactor*float64(work)*max(1, fill)/float64(p.LoadHolds))
	}
	age := time.Duration(float64(now.Sub(l.at)) / pace)
	left := float64(p.LoadFades-age) / float64(p.LoadFades-p.LoadHolds)
	return float64(l.own) + l.others*max(0, min(1, left))
}
