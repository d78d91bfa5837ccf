package backend

import "time"

// Tuning of what a box makes of failures and of load.
const (
	// failuresToEject is how many exchanges in a row must fail before a
	// server rests; a connection that does not come up counts as that many.
	failuresToEject = 3
	// silence is for how long a server must not have answered anything before
	// a request that got no answer in time counts against it. A server that
	// is only busy goes on answering, and must keep its keys: elsewhere they
	// are not known, and would cost more than waiting.
	silence = time.Second
	// firstRest and longestRest bound the rest, which doubles each time.
	firstRest   = 500 * time.Millisecond
	longestRest = 8 * time.Second
	// latencyWeight is the weight of a new latency in the moving average, and
	// recoveryWeight that of one below half of it: a server that has recovered
	// should be known soon, although it gets few requests.
	latencyWeight  = 0.2
	recoveryWeight = 0.5
	// slowFactor is how many times longer than its group's typical server a
	// server must take to count as slow, and slowFloor how long at least. What
	// is compared is the time without that of waiting for a slot.
	slowFactor = 3
	// leastAnswers is how many answers make a latency.
	leastAnswers = 3
	slowFloor    = 300 * time.Millisecond
	// slowRest is for how long a slow server gets nothing before it is tried
	// with one request. All boxes try it.
	slowRest = 4 * time.Second
	// loadHolds is how long a told load counts in full, and loadFades when it
	// no longer counts at all.
	loadHolds = 500 * time.Millisecond
	loadFades = 2 * time.Second
	// coldMargin is added to how long a server is said to be cold.
	coldMargin = 300 * time.Millisecond
)

// health is what a box makes of the exchanges with one server.
type health struct {
	failures  int
	rests     int
	restUntil time.Time
	// latency is a moving average of the time without waiting for a slot, 0
	// before the first answer.
	latency time.Duration
	answers int
	// suspected: it rests, or has rested and not shown that it has recovered.
	suspected bool
	// heard is when the server last answered anything.
	heard time.Time
}

// succeeded takes in an answer.
func (h *health) succeeded(latency time.Duration) {
	h.failures = 0
	h.rests = 0
	h.took(latency)
}

// unfinished takes in an exchange that was given up after some time: it would
// have taken at least as long.
func (h *health) unfinished(latency time.Duration) {
	if latency >= h.latency {
		h.took(latency)
	}
}

func (h *health) took(latency time.Duration) {
	h.answers++
	weight := latencyWeight
	if latency < h.latency/2 {
		weight = recoveryWeight
	}
	if h.latency == 0 {
		weight = 1
	}
	h.latency += time.Duration(weight * float64(latency-h.latency))
}

// slow reports whether the server is much slower than is typical of its group.
func (h *health) slow(typical time.Duration) bool {
	return h.answers >= leastAnswers && h.latency > max(slowFloor, slowFactor*typical)
}

// failed takes in a failure of some weight and reports whether the server
// rests from now on.
func (h *health) failed(now time.Time, weight int) bool {
	h.failures += weight
	if h.failures < failuresToEject {
		return false
	}
	rest := min(firstRest<<min(h.rests, 10), longestRest)
	h.rests++
	h.failures = 0
	h.restUntil = now.Add(rest)
	return true
}

func (h *health) resting(now time.Time) bool { return now.Before(h.restUntil) }

// loadEstimate is how busy a server is: this box's own requests, and those of
// others as far as the server has lately told.
type loadEstimate struct {
	own    int
	others float64
	at     time.Time
}

// told takes in what the server said, while own requests of this box, this
// one included, were at the server.
func (l *loadEstimate) told(load Load, now time.Time) {
	l.others = max(0, float64(load.Running+load.Waiting-l.own))
	l.at = now
}

// busy returns how many requests the server holds, as far as is known.
func (l *loadEstimate) busy(now time.Time) float64 {
	age := now.Sub(l.at)
	left := float64(loadFades-age) / float64(loadFades-loadHolds)
	return float64(l.own) + l.others*max(0, min(1, left))
}
