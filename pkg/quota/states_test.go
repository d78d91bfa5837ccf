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

// world is three boxes of one zone, which can see each other or not, with the
// messages that are on their way between them. A test plays steps on it and looks
// after each whether a part of the limit is with two allocators at a time, or more
// tokens are used than were made.
type world struct {
	now   time.Time
	boxes [3]*Limiter
	// alone: the box sees no other one.
	alone [3]bool
	down  [3]time.Time
	lives [3]int64
	mail  []mail
	// made and used are the tokens of lives that have ended.
	made, used float64
	// endless: what was lent does not end by itself.
	endless bool
}

type mail struct {
	from, to int
	message  Message
}

const (
	worldCustomer = "studio"
	worldRate     = 40
)

func newWorld(endless bool) *world {
	w := &world{now: simStart, endless: endless}
	for i := range w.boxes {
		w.begin(i)
	}
	for range 12 {
		w.tick(100 * time.Millisecond)
		w.deliverAll()
	}
	return w
}

func worldBox(i int) Box { return Box{Key: KeyOf(fmt.Sprint("box-", i)), Address: fmt.Sprint(i)} }

func (w *world) begin(i int) {
	w.lives[i]++
	l := &Limiter{
		Tolerance: simTerms, Zone: "a", Zones: []string{"a"}, Self: worldBox(i), Incarnation: w.lives[i],
		Now: func() time.Time { return w.now }, Random: func() float64 { return 0.5 },
	}
	l.Start()
	l.SetCustomers([]customer.Customer{{Name: worldCustomer, Rate: worldRate, Burst: worldRate}})
	w.boxes[i] = l
}

func (w *world) up(i int) bool { return w.boxes[i] != nil }

func (w *world) view(i int) View {
	v := View{Weight: 1.0 / 3}
	for j := range w.boxes {
		if j == i || !w.alone[i] && !w.alone[j] && w.up(j) {
			v.First = append(v.First, worldBox(j))
		}
	}
	return v
}

// collect takes what a box has to send.
func (w *world) collect(i int) {
	for _, e := range w.boxes[i].TakeMessages() {
		to := int(e.To.Address[0] - '0')
		m := e.Message
		m.From = worldBox(i).Key
		w.mail = append(w.mail, mail{from: i, to: to, message: m})
	}
}

// tick lets time pass, and each box do what is due.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for i := range w.boxes {
		if !w.up(i) && w.now.Sub(w.down[i]) >= restartTime {
			w.begin(i)
		}
		if w.up(i) {
			w.boxes[i].Tick(w.view(i))
			w.collect(i)
		}
	}
}

func (w *world) deliver(m mail) {
	if w.up(m.to) {
		w.boxes[m.to].Receive(&m.message, fmt.Sprint(m.from))
		w.collect(m.to)
	}
}

func (w *world) deliverAll() {
	for len(w.mail) > 0 {
		m := w.mail[0]
		w.mail = w.mail[1:]
		w.deliver(m)
	}
}

func (w *world) kill(i int) {
	if !w.up(i) {
		return
	}
	w.made += w.madeBy(i)
	w.used += w.usedBy(i)
	w.boxes[i] = nil
	w.down[i] = w.now
}

func (w *world) madeBy(i int) float64 {
	a := w.boxes[i].allocator
	a.advance(w.now)
	return a.leases.weightSecondsOf(IDOf(worldCustomer)) * worldRate
}

func (w *world) usedBy(i int) float64 {
	if a := w.boxes[i].accounts[IDOf(worldCustomer)]; a != nil {
		return float64(a.ceiling)
	}
	return 0
}

// steps are what may happen.
var steps = []struct {
	name string
	run  func(w *world)
}{
	{"request 0", func(w *world) { w.request(0) }},
	{"request 1", func(w *world) { w.request(1) }},
	{"request 2", func(w *world) { w.request(2) }},
	{"tick", func(w *world) { w.tick(100 * time.Millisecond) }},
	{"long tick", func(w *world) { w.tick(400 * time.Millisecond) }},
	{"stand still", func(w *world) { w.now = w.now.Add(leaseTime + 100*time.Millisecond) }},
	{"deliver all", func(w *world) { w.deliverAll() }},
	{"deliver first", func(w *world) {
		if len(w.mail) > 0 {
			m := w.mail[0]
			w.mail = w.mail[1:]
			w.deliver(m)
		}
	}},
	{"deliver last", func(w *world) {
		if n := len(w.mail); n > 0 {
			m := w.mail[n-1]
			w.mail = w.mail[:n-1]
			w.deliver(m)
		}
	}},
	{"deliver twice", func(w *world) {
		if len(w.mail) > 0 {
			w.deliver(w.mail[0])
		}
	}},
	{"lose all", func(w *world) { w.mail = nil }},
	{"kill 0", func(w *world) { w.kill(0) }},
	{"kill 1", func(w *world) { w.kill(1) }},
	{"0 alone", func(w *world) { w.alone[0] = !w.alone[0] }},
	{"1 alone", func(w *world) { w.alone[1] = !w.alone[1] }},
}

func (w *world) request(i int) {
	if w.up(i) {
		w.boxes[i].Arrive(IDOf(worldCustomer))
		w.collect(i)
	}
}

// problem says what is wrong, or nothing.
func (w *world) problem() string {
	id := IDOf(worldCustomer)
	for lender := range w.boxes {
		var with []string
		for i, l := range w.boxes {
			if l == nil {
				continue
			}
			b := l.allocator.leases.boxes[worldBox(lender).Key]
			if b == nil || b.weight == 0 || !w.now.Before(b.until) || owner(id, b.set.allocators) != l.Self.Key {
				continue
			}
			with = append(with, fmt.Sprint(i))
		}
		if len(with) > 1 {
			return fmt.Sprintf("the part of box %d is with the allocators %s", lender, strings.Join(with, ", "))
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
		return fmt.Sprintf("%.0f tokens are used of %.2f", used, made)
	}
	return ""
}

// TestNoPartIsLentTwice plays every sequence of steps up to a depth, and many long
// ones that are drawn.
func TestNoPartIsLentTwice(t *testing.T) {
	const depth = 3
	plays := 0
	var play func(path []int)
	play = func(path []int) {
		w := newWorld(false)
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
		if path, p := draw(int64(seed), 60, false); p != "" {
			t.Fatalf("seed %d, after %s: %s", seed, pathNames(path), p)
		}
	}
	t.Logf("%d sequences of up to %d steps, and 1500 of 60", plays, depth)
}

// TestWithoutEndAPartIsLentTwice is the control: if what was lent did not end, the
// check above would find a part with two allocators.
func TestWithoutEndAPartIsLentTwice(t *testing.T) {
	for seed := range 200 {
		if _, p := draw(int64(seed), 60, true); strings.Contains(p, "is with the allocators") {
			t.Log(p)
			return
		}
	}
	t.Fatal("the check finds nothing where nothing ends")
}

// keepLends lets nothing end where the world is one without ends.
func (w *world) keepLends() {
	for _, l := range w.boxes {
		if l == nil || !w.endless {
			continue
		}
		for _, b := range l.allocator.leases.boxes {
			b.until = w.now.Add(time.Hour)
		}
	}
}

func draw(seed int64, length int, endless bool) (path []int, problem string) {
	random := rand.New(rand.NewSource(seed))
	w := newWorld(endless)
	for range length {
		s := random.Intn(len(steps))
		path = append(path, s)
		steps[s].run(w)
		w.keepLends()
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
