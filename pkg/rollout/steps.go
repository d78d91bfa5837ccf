package rollout

import "time"

// step is the share of requests that the new version gets, and the fraction of the duration
// before which it does not get that share.
type step struct {
	from  float64
	share float64
}

// steps begin with a long trial of few requests: a version may turn bad later, or under load,
// and by then must not have had much more than a tenth of the requests. The rest moves in steps
// because servers of the new version know no keys and would otherwise get first uses of all keys
// at once.
var steps = []step{{0, 0.05}, {0.6, 0.1}, {0.7, 0.2}, {0.78, 0.4}, {0.86, 0.7}}

const lastStep = 4

const (
	// trialSteps is the number of steps that need no proof that the version is good: the users'
	// bound on the requests of a bad version allows their shares throughout.
	trialSteps = 2
	// widenAt is the fraction of the duration after which the second step is taken if the
	// version is not shown to be good yet, so that evidence comes faster.
	widenAt = 0.3
	// fewRequests is the number of requests of a service in the duration below which steps wait
	// for no proof, since so few answers can give none.
	fewRequests = 300
	// rateKnownAfter is how long a box must have known an order to know how many requests the
	// service gets: boxes that have started with it report none at first.
	rateKnownAfter = 6 * time.Second

	// completeAt is the fraction of the duration after which an order that has gone well is
	// complete, and completeAtLeast the fraction before which it is not. The rest, which is
	// writeTime if that is more, is for writing to the store and for other boxes to learn of it.
	completeAt      = 0.92
	completeAtLeast = 0.88
	writeTime       = 1500 * time.Millisecond
	// dwellShare is the fraction of the duration that a step lasts at least, within the bounds
	// that follow. It sets the pace of an order that is late.
	dwellShare = 0.04
	minDwell   = 500 * time.Millisecond
	maxDwell   = 2 * time.Second
)

// shareAfter returns the share of the version's requests after the next step: 1 once the order
// is complete.
func shareAfter(current int) float64 {
	if current >= lastStep {
		return 1
	}
	return steps[current+1].share
}

// nextStepAt returns the running time before which the step after the current one is not taken.
func nextStepAt(current int, duration time.Duration) time.Duration {
	fraction := completeAt
	if current < lastStep {
		fraction = steps[current+1].from
	} else if duration > 0 {
		fraction = max(completeAtLeast, min(completeAt, 1-writeTime.Seconds()/duration.Seconds()))
	}
	return time.Duration(fraction * float64(duration))
}

// dwell returns how long a step lasts at least.
func dwell(duration time.Duration) time.Duration {
	return max(minDwell, min(maxDwell, time.Duration(dwellShare*float64(duration))))
}

// isPaced reports whether it is time for the next step.
func (a *active) isPaced(now time.Time) bool {
	at := nextStepAt(a.progress.Step, a.Duration)
	if a.progress.Step == 0 && !a.verdict.Good {
		at = time.Duration(widenAt * float64(a.Duration))
	}
	return a.ran(now) >= at && now.Sub(a.steppedAt) >= dwell(a.Duration)
}

// isProven reports whether the version is shown to be good, as far as the next step needs it. A box
// that has just started goes by what was shown before, since evidence begins anew with it.
func (a *active) isProven(now time.Time) bool {
	if a.verdict.Good || a.progress.Step+1 < trialSteps {
		return true
	}
	if now.Sub(a.firstSeen) < rateKnownAfter {
		return a.progress.Proven
	}
	return a.evidence.mostPerSecond*a.Duration.Seconds() < fewRequests
}
