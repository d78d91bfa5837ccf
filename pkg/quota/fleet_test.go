package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

// fleet simulates boxes and the network between them in simulated time. Messages are encoded
// and decoded as on the wire.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	events    eventHeap
	order     int
	tolerance Tolerance
	zones     []string
	boxes     []*simBox
	byName    map[string]*simBox
	list      []customer.Customer
	// loss is the fraction of messages that are lost, and cut reports whether two boxes cannot
	// reach each other.
	loss float64
	cut  func(a, b *simBox) bool
	// customers are the results of the customers' requests, by name.
	customers map[string]*simCustomer
	bytes     map[string]int
	messages  map[string]int
	// servers are backend servers that declare limits; see server_test.go.
	servers []simServer
	// limiter returns a box's limiter; a test may replace it by another algorithm.
	limiter func(b *simBox) simLimiter
}

// simLimiter is what the simulation needs of a limiter.
type simLimiter interface {
	Arrive(id ID) Decision
	Recheck(id ID, last bool) Decision
	Tick(v View)
	TakeMessages() []Envelope
	Receive(m *Message, address string)
	SetCustomers(list []customer.Customer)
}

// simBox is one box of the simulation.
type simBox struct {
	f           *fleet
	name        string
	zone        string
	region      int
	capacity    float64
	incarnation int64
	limiter     simLimiter
	up          bool
	frozen      bool
	startedAt   time.Time
	// reachedAt is when another box was last reached, by its index.
	reachedAt map[int]time.Time
	index     int
}

// simCustomer is one customer of the simulation.
type simCustomer struct {
	id       ID
	limit    Limit
	admitted []time.Time
	sent     int
	refused  int
	// falseRefusals counts the refusals of requests that a single token bucket for the whole
	// limit would have admitted.
	falseRefusals int
	bucket        float64
	bucketAt      time.Time
	waited        time.Duration
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var simStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

var simTolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// newSimFleet returns a fleet with the given numbers of large and small boxes in each zone,
// two zones per region.
func newSimFleet(seed int64, zones, large, small int, list []customer.Customer) *fleet {
	f := &fleet{
		random: rand.New(rand.NewSource(seed)), now: simStart, tolerance: simTolerance, list: list,
		cut: func(*simBox, *simBox) bool { return false }, customers: map[string]*simCustomer{},
		bytes: map[string]int{}, byName: map[string]*simBox{}, messages: map[string]int{},
	}
	for z := range zones {
		f.zones = append(f.zones, fmt.Sprintf("zone-%d", z))
	}
	for z, zone := range f.zones {
		for i := range large + small {
			capacity := 1600.0
			if i >= large {
				capacity = 125
			}
			b := &simBox{f: f, name: fmt.Sprintf("%s-%d", zone, i), zone: zone, region: z / 2, capacity: capacity, index: len(f.boxes), reachedAt: map[int]time.Time{}}
			f.boxes = append(f.boxes, b)
			f.byName[b.name] = b
		}
	}
	for i := range list {
		c := &list[i]
		l := Limit{Rate: c.Rate, Burst: c.Burst}
		f.customers[c.Name] = &simCustomer{id: IDOf(c.Name), limit: l, bucket: l.Burst, bucketAt: simStart}
	}
	f.limiter = func(b *simBox) simLimiter {
		l := &Limiter{
			Tolerance: f.tolerance, ServerTolerance: simServerTolerance, Zone: b.zone, Zones: f.zones, Self: Box{Key: KeyOf(b.name), Address: b.name}, Incarnation: b.incarnation,
			Now: func() time.Time { return f.now }, Random: f.random.Float64,
		}
		l.Start()
		return l
	}
	return f
}

// start starts all boxes within 300 ms and runs the simulation for 6 s.
func (f *fleet) start() {
	for _, b := range f.boxes {
		b.start(time.Duration(f.random.Intn(300)) * time.Millisecond)
	}
	f.run(6 * time.Second)
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{at: f.now.Add(d), order: f.order, run: run})
}

// run advances the simulated time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// start starts an incarnation of a box after a delay.
func (b *simBox) start(d time.Duration) {
	b.f.after(d, func() {
		b.incarnation++
		b.up, b.frozen = true, false
		b.startedAt = b.f.now
		b.limiter = b.f.limiter(b)
		b.limiter.SetCustomers(b.f.list)
		b.applyServerLimitsLater()
		b.tick(b.incarnation)
	})
}

func (b *simBox) kill() {
	b.up = false
	b.limiter = nil
}

func (b *simBox) tick(incarnation int64) {
	if !b.up || b.incarnation != incarnation {
		return
	}
	if !b.frozen {
		b.limiter.Tick(b.view())
		b.flush()
	}
	b.f.after(ReportEvery, func() { b.tick(incarnation) })
}

// simShareDelay is how long a box of the simulation waits before it holds its share, and
// simSilence how long a box may be unreachable until it is taken for silent.
const (
	simShareDelay = 400 * time.Millisecond
	// simShareHolders is how many of the first boxes of a zone hold a share.
	simShareHolders = 4
	simSilence      = 2500 * time.Millisecond
)

// reaches reports whether the box has recently reached the other one.
func (b *simBox) reaches(o *simBox) bool {
	if o == b {
		return true
	}
	if o.up && !o.frozen && !b.f.cut(b, o) {
		b.reachedAt[o.index] = b.f.now
	}
	return b.f.now.Sub(b.reachedAt[o.index]) < simSilence && b.reachedAt[o.index].After(b.startedAt.Add(-simSilence))
}

func (b *simBox) view() View {
	v := View{Zones: map[string][]Box{}}
	total, place := 0.0, 0
	own := -1
	for _, o := range b.f.boxes {
		if o.zone == b.zone {
			if o == b {
				own = place
			}
			if place < simShareHolders {
				total += o.capacity
			}
			place++
		}
		if !b.reaches(o) {
			continue
		}
		if o.zone == b.zone {
			v.First = append(v.First, Box{Key: KeyOf(o.name), Address: o.name})
		} else if len(v.Zones[o.zone]) < AllocatorsPerZone {
			v.Zones[o.zone] = append(v.Zones[o.zone], Box{Key: KeyOf(o.name), Address: o.name})
		}
	}
	if b.f.now.Sub(b.startedAt) > simShareDelay && own < simShareHolders {
		v.Weight = b.capacity / total
	}
	return v
}

func (b *simBox) flush() {
	for _, e := range b.limiter.TakeMessages() {
		b.f.deliver(b, e)
	}
}

func (f *fleet) deliver(from *simBox, e Envelope) {
	to := f.byName[e.To.Address]
	link := "zone"
	delay := time.Millisecond / 2
	switch {
	case from.region != to.region:
		link, delay = "region", 35*time.Millisecond
	case from.zone != to.zone:
		link, delay = "near", time.Millisecond
	}
	datagram, err := Encode(&e.Message)
	if err != nil {
		panic(err)
	}
	f.bytes[link] += len(datagram) + 28
	f.messages[link]++
	if f.cut(from, to) || f.random.Float64() < f.loss {
		return
	}
	incarnation := to.incarnation
	f.after(delay+time.Duration(f.random.Intn(200))*time.Microsecond, func() {
		if !to.up || to.frozen || to.incarnation != incarnation || f.cut(from, to) {
			return
		}
		m, err := Decode(datagram)
		if err != nil {
			panic(err)
		}
		to.limiter.Receive(m, from.name)
		to.flush()
	})
}

// request sends a customer's request to a box, which may hold it until its allocator has
// answered, but no longer than about 150 ms.
func (f *fleet) request(b *simBox, name string) {
	c := f.customers[name]
	c.sent++
	c.bucket = min(c.limit.Burst, c.bucket+f.now.Sub(c.bucketAt).Seconds()*c.limit.Rate)
	c.bucketAt = f.now
	within := c.bucket >= 1
	if within {
		c.bucket--
	}
	if !b.up || b.frozen {
		c.sent--
		return
	}
	d := b.limiter.Arrive(c.id)
	b.flush()
	f.decided(b, name, d, within, f.now, b.incarnation)
}

func (f *fleet) decided(b *simBox, name string, d Decision, within bool, start time.Time, incarnation int64) {
	c := f.customers[name]
	switch d.Verdict {
	case Admitted:
		c.admitted = append(c.admitted, f.now)
		c.waited += f.now.Sub(start)
	case Refused:
		c.refused++
		if within {
			c.falseRefusals++
		}
	case Waiting:
		f.after(3*time.Millisecond, func() {
			if !b.up || b.incarnation != incarnation {
				return
			}
			if !b.frozen {
				d = b.limiter.Recheck(c.id, f.now.Sub(start) >= 150*time.Millisecond)
				b.flush()
			}
			f.decided(b, name, d, within, start, incarnation)
		})
	}
}

// load sends a customer's requests for the given time, at a rate that may change, each to the
// box that pick returns.
func (f *fleet) load(name string, perSecond func(t time.Duration) float64, pick func(t time.Duration) *simBox, d time.Duration) {
	begin := f.now
	var next func()
	next = func() {
		t := f.now.Sub(begin)
		if t >= d {
			return
		}
		if rate := perSecond(t); rate > 0 {
			f.request(pick(t), name)
			f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), next)
			return
		}
		f.after(50*time.Millisecond, next)
	}
	f.after(time.Duration(f.random.ExpFloat64()/max(0.1, perSecond(0))*float64(time.Second)), next)
}

// most returns the largest number of requests that were admitted in any window, and how many
// are allowed.
func (c *simCustomer) most(t Tolerance) (most int, allowed float64) {
	times := c.admitted
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	begin := 0
	for i := range times {
		for times[i].Sub(times[begin]) > t.Window {
			begin++
		}
		most = max(most, i-begin+1)
	}
	return most, math.Floor((c.limit.Rate*t.Window.Seconds()+c.limit.Burst)*(1+t.Overage) + t.Slack)
}

// worst returns the customer that comes nearest to its bound, and the part of the bound that
// it uses.
func (f *fleet) worst() (name string, part float64) {
	for n, c := range f.customers {
		if most, allowed := c.most(f.tolerance); float64(most)/allowed > part {
			name, part = n, float64(most)/allowed
		}
	}
	return name, part
}

// falseRefusals returns the fraction of requests that were refused although the limit left
// room, and how long requests waited on average.
func (f *fleet) falseRefusals() (part float64, waited time.Duration) {
	sent, falseRefusals := 0, 0
	var total time.Duration
	for _, c := range f.customers {
		sent += c.sent
		falseRefusals += c.falseRefusals
		total += c.waited
	}
	return float64(falseRefusals) / float64(max(1, sent)), total / time.Duration(max(1, sent))
}
