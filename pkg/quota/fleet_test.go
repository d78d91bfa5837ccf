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

// fleet is a model of boxes with a network between them, in simulated time. Messages
// are encoded and decoded as on the wire.
type fleet struct {
	random *rand.Rand
	now    time.Time
	events eventHeap
	order  int
	terms  Tolerance
	zones  []string
	boxes  []*simBox
	byName map[string]*simBox
	list   []customer.Customer
	// loss is the part of messages that are lost, and cut reports whether two boxes
	// cannot reach each other.
	loss float64
	cut  func(a, b *simBox) bool
	// customers are what happened to each customer's requests.
	customers map[string]*simCustomer
	bytes     map[string]int
	messages  map[string]int
	// servers are backend servers that name limits; see server_test.go.
	servers []simServer
	// limiter makes a box's limiter; other ways than this package's are compared.
	limiter func(b *simBox) simLimiter
}

// simLimiter is what the model needs of a limiter.
type simLimiter interface {
	Arrive(id ID) Decision
	Recheck(id ID, last bool) Decision
	Tick(v View)
	TakeMessages() []Envelope
	Receive(m *Message, address string)
	SetCustomers(list []customer.Customer)
}

// simBox is one box of the model.
type simBox struct {
	f        *fleet
	name     string
	zone     string
	region   int
	capacity float64
	life     int64
	limiter  simLimiter
	up       bool
	frozen   bool
	since    time.Time
	// lost is when another box was last out of reach, by its index.
	lost  map[int]time.Time
	index int
}

// simCustomer is one customer of the model.
type simCustomer struct {
	id       ID
	limit    Limit
	admitted []time.Time
	sent     int
	refused  int
	// falsely are the refusals of requests that one token bucket of the whole limit
	// would have let pass.
	falsely  int
	bucket   float64
	bucketAt time.Time
	waited   time.Duration
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

var simTerms = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// newSimFleet makes a fleet of large and small boxes in each of the zones, two zones a
// region.
func newSimFleet(seed int64, zones, large, small int, list []customer.Customer) *fleet {
	f := &fleet{
		random: rand.New(rand.NewSource(seed)), now: simStart, terms: simTerms, list: list,
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
			b := &simBox{f: f, name: fmt.Sprintf("%s-%d", zone, i), zone: zone, region: z / 2, capacity: capacity, index: len(f.boxes), lost: map[int]time.Time{}}
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
			Tolerance: f.terms, ServerTolerance: simServerTerms, Zone: b.zone, Zones: f.zones, Self: Box{Key: KeyOf(b.name), Address: b.name}, Incarnation: b.life,
			Now: func() time.Time { return f.now }, Random: f.random.Float64,
		}
		l.Start()
		return l
	}
	return f
}

// start starts all boxes within some milliseconds, and lets them run for a while.
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

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// start makes a box begin a life after a time.
func (b *simBox) start(d time.Duration) {
	b.f.after(d, func() {
		b.life++
		b.up, b.frozen = true, false
		b.since = b.f.now
		b.limiter = b.f.limiter(b)
		b.limiter.SetCustomers(b.f.list)
		b.hearOfServers()
		b.tick(b.life)
	})
}

func (b *simBox) kill() {
	b.up = false
	b.limiter = nil
}

func (b *simBox) tick(life int64) {
	if !b.up || b.life != life {
		return
	}
	if !b.frozen {
		b.limiter.Tick(b.view())
		b.flush()
	}
	b.f.after(ReportEvery, func() { b.tick(life) })
}

// settle is how long a box of the model waits before it holds its part, and silence
// after what time one that is out of reach is taken for silent.
const (
	simSettle = 400 * time.Millisecond
	// simHolders is how many first boxes of a zone hold a part.
	simHolders = 4
	simSilence = 2500 * time.Millisecond
)

// reaches reports whether the box has lately heard of the other one.
func (b *simBox) reaches(o *simBox) bool {
	if o == b {
		return true
	}
	if o.up && !o.frozen && !b.f.cut(b, o) {
		b.lost[o.index] = b.f.now
	}
	return b.f.now.Sub(b.lost[o.index]) < simSilence && b.lost[o.index].After(b.since.Add(-simSilence))
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
			if place < simHolders {
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
	if b.f.now.Sub(b.since) > simSettle && own < simHolders {
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
	way := "zone"
	delay := time.Millisecond / 2
	switch {
	case from.region != to.region:
		way, delay = "region", 35*time.Millisecond
	case from.zone != to.zone:
		way, delay = "near", time.Millisecond
	}
	datagram := Encode(&e.Message)
	f.bytes[way] += len(datagram) + 28
	f.messages[way]++
	if f.cut(from, to) || f.random.Float64() < f.loss {
		return
	}
	life := to.life
	f.after(delay+time.Duration(f.random.Intn(200))*time.Microsecond, func() {
		if !to.up || to.frozen || to.life != life || f.cut(from, to) {
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

// request sends a request of a customer to a box, which may hold it until its
// allocator has answered, but no longer than 100 ms.
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
	f.decided(b, name, d, within, f.now, b.life)
}

func (f *fleet) decided(b *simBox, name string, d Decision, within bool, start time.Time, life int64) {
	c := f.customers[name]
	switch d.Verdict {
	case Admitted:
		c.admitted = append(c.admitted, f.now)
		c.waited += f.now.Sub(start)
	case Refused:
		c.refused++
		if within {
			c.falsely++
		}
	case Waiting:
		f.after(3*time.Millisecond, func() {
			if !b.up || b.life != life {
				return
			}
			if !b.frozen {
				d = b.limiter.Recheck(c.id, f.now.Sub(start) >= 150*time.Millisecond)
				b.flush()
			}
			f.decided(b, name, d, within, start, life)
		})
	}
}

// load sends a customer's requests at a rate that may change, to boxes that are
// picked for each, until an end.
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

// most returns the most requests that were admitted in any window, and how many may be.
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

// worst returns the customer that comes nearest to its bound, as a part of it.
func (f *fleet) worst() (name string, part float64) {
	for n, c := range f.customers {
		if most, allowed := c.most(f.terms); float64(most)/allowed > part {
			name, part = n, float64(most)/allowed
		}
	}
	return name, part
}

// falsely returns the part of requests that were refused although the limit left
// room, and for how long requests waited on average.
func (f *fleet) falsely() (part float64, waited time.Duration) {
	sent, falsely := 0, 0
	var total time.Duration
	for _, c := range f.customers {
		sent += c.sent
		falsely += c.falsely
		total += c.waited
	}
	return float64(falsely) / float64(max(1, sent)), total / time.Duration(max(1, sent))
}
