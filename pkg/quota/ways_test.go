package quota

import (
	"testing"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

// Other ways to keep a limit over all boxes, for comparison: equal parts of the boxes
// that serve clients, and parts that follow the demand that boxes tell each other (as
// in Raghavan and others, Cloud Control with Distributed Rate Limiting, SIGCOMM 2007).

// partLimiter is a bucket of a box's own for each customer.
type partLimiter struct {
	box     *simBox
	buckets map[ID]*partBucket
	// part returns the box's part of the customer's limit.
	part func(b *simBox, id ID) float64
}

type partBucket struct {
	limit   Limit
	tokens  float64
	at      time.Time
	arrived rate
}

func (l *partLimiter) SetCustomers(list []customer.Customer) {
	for _, c := range list {
		l.buckets[IDOf(c.Name)] = &partBucket{limit: Limit{Rate: c.Rate, Burst: c.Burst}, at: l.box.f.now, arrived: newRate(demandSpan, l.box.f.now)}
	}
}

func (l *partLimiter) Arrive(id ID) Decision {
	b, now := l.buckets[id], l.box.f.now
	b.arrived.add(1, now)
	part := l.part(l.box, id)
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*part*b.limit.Rate, max(1, part*b.limit.Burst))
	b.at = now
	if b.tokens < 1 {
		return Decision{Verdict: Refused}
	}
	b.tokens--
	return Decision{Verdict: Admitted}
}

func (l *partLimiter) Recheck(ID, bool) Decision { return Decision{Verdict: Refused} }
func (l *partLimiter) Tick(View)                 {}
func (l *partLimiter) TakeMessages() []Envelope  { return nil }
func (l *partLimiter) Receive(*Message, string)  {}

// equalPart is one of as many as there are large boxes, which serve clients.
func equalPart(b *simBox, _ ID) float64 {
	n := 0.0
	for _, o := range b.f.boxes {
		if o.capacity > 1000 {
			n++
		}
	}
	return 1 / n
}

// demandPart follows the demand of the boxes that this one reaches. What they tell is
// as new as if it took no time.
func demandPart(b *simBox, id ID) float64 {
	own := b.limiter.(*partLimiter).buckets[id].arrived.now(b.f.now)
	sum, n := 0.0, 0.0
	for _, o := range b.f.boxes {
		if o.capacity > 1000 && o.up && (o == b || !b.f.cut(b, o)) {
			sum += o.limiter.(*partLimiter).buckets[id].arrived.now(b.f.now)
			n++
		}
	}
	const floor = 0.01
	return (own + floor) / (sum + n*floor)
}

// ways are all that are compared.
var ways = []struct {
	name string
	part func(b *simBox, id ID) float64
}{{"equal parts", equalPart}, {"parts by demand", demandPart}, {"this package", nil}}

func newWayFleet(part func(b *simBox, id ID) float64, list []customer.Customer) *fleet {
	f := newSimFleet(1, 6, 2, 10, list)
	if part != nil {
		f.limiter = func(b *simBox) simLimiter {
			return &partLimiter{box: b, buckets: map[ID]*partBucket{}, part: part}
		}
	}
	f.start()
	return f
}

// TestWaysCompared: where clients move, equal parts refuse much that is below the
// limit; where the fleet is cut in three, parts by demand let three times the limit
// pass. This package's way does neither.
func TestWaysCompared(t *testing.T) {
	for _, w := range ways {
		list, usual := customersOf(40, 800)
		var falsely [3]float64
		for i, p := range places[:3] {
			f := newWayFleet(w.part, list)
			f.drive(usual, 15*time.Second, func(c int, d time.Duration) string { return p.zoneOf(f, c, d) })
			falsely[i], _ = f.falsely()
		}
		hot := []customer.Customer{{Name: "hot", Rate: 60, Burst: 60}}
		f := newWayFleet(w.part, hot)
		f.cut = func(a, b *simBox) bool { return a.region != b.region }
		f.load("hot", func(time.Duration) float64 { return 600 }, func(time.Duration) *simBox { return f.serving(f.anyZone()) }, 12*time.Second)
		f.run(13 * time.Second)
		_, part := f.worst()
		t.Logf("%s: falsely refused %.2f%% everywhere, %.2f%% each in one zone, %.2f%% moving; regions cut off from each other: %.2f of the bound",
			w.name, 100*falsely[0], 100*falsely[1], 100*falsely[2], part)
		ours := w.part == nil
		if good := falsely[1] <= 0.01 && falsely[2] <= 0.01 && part <= 1; good != ours {
			t.Errorf("%s: %v, %.2f", w.name, falsely, part)
		}
	}
}
