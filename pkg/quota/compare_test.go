package quota

import (
	"testing"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

// Other algorithms to keep a limit over all boxes, for comparison: equal shares of the boxes
// that serve clients, and shares that follow the demand that boxes report to each other (as in
// Raghavan and others, Cloud Control with Distributed Rate Limiting, SIGCOMM 2007).

// shareLimiter has a token bucket of the box's own for each customer.
type shareLimiter struct {
	box     *simBox
	buckets map[ID]*shareBucket
	// share returns the box's share of the customer's limit.
	share func(b *simBox, id ID) float64
}

type shareBucket struct {
	limit   Limit
	tokens  float64
	at      time.Time
	arrived rate
}

func (l *shareLimiter) SetCustomers(list []customer.Customer) {
	for _, c := range list {
		l.buckets[IDOf(c.Name)] = &shareBucket{limit: Limit{Rate: c.Rate, Burst: c.Burst}, at: l.box.f.now, arrived: newRate(demandSpan, l.box.f.now)}
	}
}

func (l *shareLimiter) Arrive(id ID) Decision {
	b, now := l.buckets[id], l.box.f.now
	b.arrived.add(1, now)
	share := l.share(l.box, id)
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*share*b.limit.Rate, max(1, share*b.limit.Burst))
	b.at = now
	if b.tokens < 1 {
		return Decision{Verdict: Refused}
	}
	b.tokens--
	return Decision{Verdict: Admitted}
}

func (l *shareLimiter) Recheck(ID, bool) Decision { return Decision{Verdict: Refused} }
func (l *shareLimiter) Tick(View)                 {}
func (l *shareLimiter) TakeMessages() []Envelope  { return nil }
func (l *shareLimiter) Receive(*Message, string)  {}

// equalShare is the same share for each large box; only large boxes serve clients.
func equalShare(b *simBox, _ ID) float64 {
	n := 0.0
	for _, o := range b.f.boxes {
		if o.capacity > 1000 {
			n++
		}
	}
	return 1 / n
}

// demandShare follows the demand of the boxes that this one reaches, as if their reports took
// no time.
func demandShare(b *simBox, id ID) float64 {
	own := b.limiter.(*shareLimiter).buckets[id].arrived.now(b.f.now)
	sum, n := 0.0, 0.0
	for _, o := range b.f.boxes {
		if o.capacity > 1000 && o.up && (o == b || !b.f.cut(b, o)) {
			sum += o.limiter.(*shareLimiter).buckets[id].arrived.now(b.f.now)
			n++
		}
	}
	const floor = 0.01
	return (own + floor) / (sum + n*floor)
}

// algorithms are all that are compared.
var algorithms = []struct {
	name  string
	share func(b *simBox, id ID) float64
}{{"equal shares", equalShare}, {"shares by demand", demandShare}, {"this package", nil}}

func newAlgorithmFleet(share func(b *simBox, id ID) float64, list []customer.Customer) *fleet {
	f := newSimFleet(1, 6, 2, 10, list)
	if share != nil {
		f.limiter = func(b *simBox) simLimiter {
			return &shareLimiter{box: b, buckets: map[ID]*shareBucket{}, share: share}
		}
	}
	f.start()
	return f
}

// TestWaysCompared checks that equal shares refuse many requests below the limit where clients
// move, and that shares by demand admit three times the limit where the fleet is cut in three.
// This package's algorithm does neither.
func TestWaysCompared(t *testing.T) {
	for _, w := range algorithms {
		list, usual := customersOf(40, 800)
		var falseRefusals [3]float64
		for i, p := range clientPlacements[:3] {
			f := newAlgorithmFleet(w.share, list)
			f.sendUsual(usual, 15*time.Second, func(c int, d time.Duration) string { return p.zoneOf(f, c, d) })
			falseRefusals[i], _ = f.falseRefusals()
		}
		hot := []customer.Customer{{Name: "hot", Rate: 60, Burst: 60}}
		f := newAlgorithmFleet(w.share, hot)
		f.cut = func(a, b *simBox) bool { return a.region != b.region }
		f.load("hot", func(time.Duration) float64 { return 600 }, func(time.Duration) *simBox { return f.pickBox(f.anyZone()) }, 12*time.Second)
		f.run(13 * time.Second)
		_, part := f.worst()
		t.Logf("%s: falsely refused %.2f%% everywhere, %.2f%% each in one zone, %.2f%% moving; regions cut off from each other: %.2f of the bound",
			w.name, 100*falseRefusals[0], 100*falseRefusals[1], 100*falseRefusals[2], part)
		ours := w.share == nil
		if good := falseRefusals[1] <= 0.01 && falseRefusals[2] <= 0.01 && part <= 1; good != ours {
			t.Errorf("%s: %v, %.2f", w.name, falseRefusals, part)
		}
	}
}
