package quota

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

// zoneModel is a model of three boxes of one zone, which may or may not see each other, and of
// the messages in transit between them. A test runs steps on it and checks after each that no
// share of the limit is leased to two allocators at a time and that no more tokens are used
// than were made.
type zoneModel struct {
	now   time.Time
	boxes [3]*Limiter
	// alone is set for a box that sees no other one.
	alone        [3]bool
	down         [3]time.Time
	incarnations [3]int64
	queue        []queuedMessage
	// made and used are the tokens of incarnations that have ended.
	made, used float64
	// noExpiry keeps leases from expiring.
	noExpiry bool
}

type queuedMessage struct {
	from, to int
	message  Message
}

const (
	modelCustomer = "studio"
	modelRate     = 40
)

func newZoneModel(noExpiry bool) *zoneModel {
	w := &zoneModel{now: simStart, noExpiry: noExpiry}
	for i := range w.boxes {
		w.start(i)
	}
	for range 12 {
		w.tick(100 * time.Millisecond)
		w.deliverAll()
	}
	return w
}

func modelBox(i int) Box { return Box{Key: KeyOf(fmt.Sprint("box-", i)), Address: fmt.Sprint(i)} }

func (w *zoneModel) start(i int) {
	w.incarnations[i]++
	l := &Limiter{
		Tolerance: simTolerance, Zone: "a", Zones: []string{"a"}, Self: modelBox(i), Incarnation: w.incarnations[i],
		Now: func() time.Time { return w.now }, Random: func() float64 { return 0.5 },
	}
	l.Start()
	l.SetCustomers([]customer.Customer{{Name: modelCustomer, Rate: modelRate, Burst: modelRate}})
	w.boxes[i] = l
}

func (w *zoneModel) up(i int) bool { return w.boxes[i] != nil }

func (w *zoneModel) view(i int) View {
	v := View{Weight: 1.0 / 3}
	for j := range w.boxes {
		if j == i || !w.alone[i] && !w.alone[j] && w.up(j) {
			v.First = append(v.First, modelBox(j))
		}
	}
	return v
}

// collect queues the messages that a box has to send.
func (w *zoneModel) collect(i int) {
	for _, e := range w.boxes[i].TakeMessages() {
		to := int(e.To.Address[0] - '0')
		m := e.Message
		m.From = modelBox(i).Key
		w.queue = append(w.queue, queuedMessage{from: i, to: to, message: m})
	}
}

// tick advances the time and runs the periodic work of each box.
func (w *zoneModel) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.boxes {
		if !w.up(i) && w.now.Sub(w.down[i]) >= minRestartTime {
			w.start(i)
		}
		if w.up(i) {
			w.boxes[i].Tick(w.view(i))
			w.collect(i)
		}
	}
}

func (w *zoneModel) deliver(m queuedMessage) {
	if w.up(m.to) {
		w.boxes[m.to].Receive(&m.message, fmt.Sprint(m.from))
		w.collect(m.to)
	}
}

func (w *zoneModel) deliverAll() {
	for len(w.queue) > 0 {
		m := w.queue[0]
		w.queue = w.queue[1:]
		w.deliver(m)
	}
}

func (w *zoneModel) kill(i int) {
	if !w.up(i) {
		return
	}
	w.made += w.madeBy(i)
	w.used += w.usedBy(i)
	w.boxes[i] = nil
	w.down[i] = w.now
}

func (w *zoneModel) madeBy(i int) float64 {
	a := w.boxes[i].allocator
	a.advance(w.now)
	return a.leases.weightSecondsOf(IDOf(modelCustomer)) * modelRate
}

func (w *zoneModel) usedBy(i int) float64 {
	if a := w.boxes[i].accounts[IDOf(modelCustomer)]; a != nil {
		return float64(a.ceiling)
	}
	return 0
}

// steps are the possible steps.
var steps = []struct {
	name string
	run  func(w *zoneModel)
}{
	{"request 0", func(w *zoneModel) { w.request(0) }},
	{"request 1", func(w *zoneModel) { w.request(1) }},
	{"request 2", func(w *zoneModel) { w.request(2) }},
	{"tick", func(w *zoneModel) { w.tick(100 * time.Millisecond) }},
	{"long tick", func(w *zoneModel) { w.tick(400 * time.Millisecond) }},
	{"stand still", func(w *zoneModel) { w.now = w.now.Add(leaseTime + 100*time.Millisecond) }},
	{"deliver all", func(w *zoneModel) { w.deliverAll() }},
	{"deliver first", func(w *zoneModel) {
		if len(w.queue) > 0 {
			m := w.queue[0]
			w.queue = w.queue[1:]
			w.deliver(m)
		}
	}},
	{"deliver last", func(w *zoneModel) {
		if n := len(w.queue); n > 0 {
			m := w.queue[n-1]
			w.queue = w.queue[:n-1]
			w.deliver(m)
		}
	}},
	{"deliver twice", func(w *zoneModel) {
		if len(w.queue) > 0 {
			w.deliver(w.queue[0])
		}
	}},
	{"lose all", func(w *zoneModel) { w.queue = nil }},
	{"kill 0", func(w *zoneModel) { w.kill(0) }},
	{"kill 1", func(w *zoneModel) { w.kill(1) }},
	{"0 alone", func(w *zoneModel) { w.alone[0] = !w.alone[0] }},
	{"1 alone", func(w *zoneModel) { w.alone[1] = !w.alone[1] }},
}

func (w *zoneModel) request(i int) {
	if w.up(i) {
		w.boxes[i].Arrive(IDOf(modelCustomer))
		w.collect(i)
	}
}

// problem describes what is wrong; it is empty if nothing is.
func (w *zoneModel) problem() string {
	id := IDOf(modelCustomer)
	for lender := range w.boxes {
		var holders []string
		for i, l := range w.boxes {
			if l == nil {
				continue
			}
			b := l.allocator.leases.boxes[modelBox(lender).Key]
			if b == nil || b.weight == 0 || !w.now.Before(b.until) || owner(id, b.set.allocators) != l.Self.Key {
				continue
			}
			holders = append(holders, fmt.Sprint(i))
		}
		if len(holders) > 1 {
			return fmt.Sprintf("the share of box %d is leased to the allocators %s", lender, strings.Join(holders, ", "))
		}
	}
	made, used := w.made, w.used
	for i := range w.boxes {
		if w.up(i) {
			made += w.madeBy(i)
			used += w.usedBy(i)
		}
	}
	if used > made+1e-6 {
		return fmt.Sprintf("%.0f tokens were used of %.2f made", used, made)
	}
	return ""
}

// TestNoPartIsLentTwice runs every sequence of steps up to a depth, and many long random ones.
func TestNoPartIsLentTwice(t *testing.T) {
	const depth = 3
	plays := 0
	var play func(path []int)
	play = func(path []int) {
		w := newZoneModel(false)
		for _, s := range path {
			steps[s].run(w)
		}
		plays++
		if p := w.problem(); p != "" {
			t.Fatalf("after %s: %s", pathNames(path), p)
		}
		if len(path) == depth {
			return
		}
		for s := range steps {
			play(append(slices.Clone(path), s))
		}
	}
	play(nil)
	for seed := range 1500 {
		if path, p := playRandom(int64(seed), 60, false); p != "" {
			t.Fatalf("seed %d, after %s: %s", seed, pathNames(path), p)
		}
	}
	t.Logf("%d sequences of up to %d steps, and 1500 of 60", plays, depth)
}

// TestWithoutExpiryAPartIsLentTwice is the control: if leases did not expire, the check of
// TestNoPartIsLentTwice would find a share that is leased to two allocators.
func TestWithoutExpiryAPartIsLentTwice(t *testing.T) {
	for seed := range 200 {
		if _, p := playRandom(int64(seed), 60, true); strings.Contains(p, "is leased to the allocators") {
			t.Log(p)
			return
		}
	}
	t.Fatal("the check finds no problem although no lease expires")
}

// extendLeases keeps all leases from expiring if noExpiry is set.
func (w *zoneModel) extendLeases() {
	for _, l := range w.boxes {
		if l == nil || !w.noExpiry {
			continue
		}
		for _, b := range l.allocator.leases.boxes {
			b.until = w.now.Add(time.Hour)
		}
	}
}

func playRandom(seed int64, length int, noExpiry bool) (path []int, problem string) {
	random := rand.New(rand.NewSource(seed))
	w := newZoneModel(noExpiry)
	for range length {
		s := random.Intn(len(steps))
		path = append(path, s)
		steps[s].run(w)
		w.extendLeases()
		if p := w.problem(); p != "" {
			return path, p
		}
	}
	return path, ""
}

func pathNames(path []int) string {
	var names []string
	for _, s := range path {
		names = append(names, steps[s].name)
	}
	return strings.Join(names, ", ")
}
