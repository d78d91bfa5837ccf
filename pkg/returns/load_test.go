package returns

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/retry"
)

// The load of these tests: every server of a service sheds part of its requests although it has
// free slots. A client returns once, to a box drawn at random, and a box may send each attempt to
// one further server if the retry budget allows it.

const (
	loadLatency   = 200 * time.Millisecond
	loadDeadline  = 3 * time.Second
	loadReturn    = 10 * time.Millisecond
	loadTick      = time.Millisecond
	loadDuration  = 8 * time.Second
	loadPerTick   = 1.1
	loadReserve   = 0.7
	loadRetryRate = 0.2
	loadSlack     = 174
	loadWindow    = 10 * time.Second
)

// load is one play of that load.
type load struct {
	boxes int
	// shed is the probability that a server sheds a request.
	shed float64
	// decide is what boxes do with a shed request; recognized is how many of the returns they
	// recognize, and mistaken how many of the first attempts they take for returns.
	decide               func(Shed) Decision
	recognized, mistaken float64

	now     time.Time
	random  *rand.Rand
	budgets []*retry.Budget
	result  loadResult
}

// loadResult is what the clients got.
type loadResult struct {
	requests, returns, served, refusedTwice, retries int
}

func (l *load) play() loadResult {
	l.now, l.random = time.Unix(1000, 0), rand.New(rand.NewPCG(1, 2))
	bounds := retry.Bounds{Ratio: loadRetryRate, Slack: loadSlack, Window: loadWindow}
	for range l.boxes {
		l.budgets = append(l.budgets, retry.NewBudget(bounds, func() int { return l.boxes }, func() time.Time { return l.now }))
	}
	returning := map[time.Time]int{}
	owed := 0.0
	for end := l.now.Add(loadDuration); l.now.Before(end); l.now = l.now.Add(loadTick) {
		for range returning[l.now] {
			l.result.returns++
			if !l.attempt(true) {
				l.result.refusedTwice++
			}
		}
		for owed += loadPerTick; owed >= 1; owed-- {
			l.result.requests++
			if !l.attempt(false) {
				returning[l.now.Add(loadReturn)]++
			}
		}
	}
	return l.result
}

// attempt is one attempt of a client at a box drawn at random. It reports whether it was served.
func (l *load) attempt(isReturn bool) bool {
	budget := l.budgets[l.random.IntN(l.boxes)]
	budget.Request("shop")
	if l.random.Float64() >= l.shed {
		l.result.served++
		return true
	}
	seen := l.random.Float64() < l.mistaken
	if isReturn {
		seen = l.random.Float64() < l.recognized
	}
	allowed := false
	switch l.decide(Shed{HasRoom: true, IsReturn: seen, RetryAfter: loadReturn, Left: loadDeadline, Latency: loadLatency}) {
	case Retry:
		allowed = budget.Spend("shop")
	case RetryIfSpare:
		allowed = budget.SpendSpare("shop", loadReserve)
	}
	if !allowed {
		return false
	}
	l.result.retries++
	if l.random.Float64() < l.shed {
		return false
	}
	l.result.served++
	return true
}

func retryAlways(Shed) Decision { return Retry }

// TestFewerRequestsAreRefusedTwice checks that boxes that leave first attempts to their clients
// serve at least a tenth of the requests that are refused twice otherwise, and that the budget
// holds. In a large fleet a box has less than two retries to reserve from, and serves as many as
// otherwise.
func TestFewerRequestsAreRefusedTwice(t *testing.T) {
	for boxes, most := range map[int]float64{12: 0.9, 26: 0.9, 88: 1} {
		is := is.New(t)
		before := (&load{boxes: boxes, shed: 0.55, decide: retryAlways, recognized: 1}).play()
		after := (&load{boxes: boxes, shed: 0.55, decide: Decide, recognized: 1}).play()
		t.Logf("%d boxes: %+v, with returns first %+v", boxes, before, after)
		is.True(float64(after.refusedTwice) <= most*float64(before.refusedTwice))
		attempts := after.requests + after.returns
		is.True(float64(after.retries) <= loadRetryRate*float64(attempts)+loadSlack)
	}
}

// TestUnrecognizedReturnsLoseNothing checks that the share refused twice does not rise where boxes
// recognize no return, or take half of the first attempts for returns.
func TestUnrecognizedReturnsLoseNothing(t *testing.T) {
	is := is.New(t)
	before := (&load{boxes: 26, shed: 0.55, decide: retryAlways}).play()
	for _, mistaken := range []float64{0, 0.5, 1} {
		after := (&load{boxes: 26, shed: 0.55, decide: Decide, recognized: mistaken, mistaken: mistaken}).play()
		t.Logf("recognized %v: %+v, retrying always %+v", mistaken, after, before)
		is.True(float64(after.refusedTwice) <= 1.05*float64(before.refusedTwice))
	}
}

// TestRareShedsAreRetriedHere checks that the box itself still retries nearly all requests where
// few are shed, so that their clients need not return.
func TestRareShedsAreRetriedHere(t *testing.T) {
	is := is.New(t)
	for _, boxes := range []int{12, 26, 88} {
		before := (&load{boxes: boxes, shed: 0.05, decide: retryAlways}).play()
		after := (&load{boxes: boxes, shed: 0.05, decide: Decide}).play()
		t.Logf("%d boxes: %+v, with returns first %+v", boxes, before, after)
		is.True(float64(after.retries) >= 0.9*float64(before.retries))
		is.True(after.refusedTwice <= before.refusedTwice)
	}
}
