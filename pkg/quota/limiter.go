package quota

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

const (
	// ReportEvery is how often a box whose clients send requests reports, and the
	// interval of Tick. One that has nothing to tell reports every idleReports times.
	ReportEvery = 100 * time.Millisecond
	idleReports = 2
	// tidyReports is how many ticks pass between two in which everything is looked at,
	// also what nothing has happened to. With each tick that took 197 ms for 100,000
	// customers (BenchmarkArrive).
	tidyReports = 10
)

// View is what a box knows of others.
type View struct {
	// Weight is the box's part of its zone's part, 0 while it does not know its zone.
	Weight float64
	// First are the first live boxes of the zone, this one included, in the order in
	// which they take on the zone's work.
	First []Box
	// Zones are the first live boxes of each other zone.
	Zones map[string][]Box
}

// Envelope is a message and where it goes to.
type Envelope struct {
	To      Box
	Message Message
}

// Limiter keeps customers within their limits: it decides for this box's clients, and
// is the allocator of its zone where it is one of the first boxes.
type Limiter struct {
	Terms Terms
	Zone  string
	Zones []string
	Self  Box
	// Life tells the lives of this box apart, and rises from one to the next.
	Life int64
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64

	mu       sync.Mutex
	limits   map[ID]Limit
	accounts map[ID]*account
	// dirty are the accounts that a report may have to tell of.
	dirty     map[ID]*account
	lending   *lending
	allocator *allocator
	view      View
	ticks     int
	out       []Envelope
	divisions map[ID]division
	// retired are the counts of accounts that were dropped: they go on from there,
	// since allocators may remember them.
	retired map[ID]counts
	// isGranted: the box has been granted something.
	isGranted bool
}

// Start prepares the limiter. All exported fields must be set before.
func (l *Limiter) Start() {
	l.accounts = map[ID]*account{}
	l.dirty = map[ID]*account{}
	l.retired = map[ID]counts{}
	l.limits = map[ID]Limit{}
	l.lending = newLending(l.Self)
	l.allocator = newAllocator(l.Self.Key, l.Life, l.Now(), l.divide, l.send)
}

// SetCustomers puts the limits of a configuration in force.
func (l *Limiter) SetCustomers(list []customer.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = map[ID]Limit{}
	l.divisions = map[ID]division{}
	for i := range list {
		if c := &list[i]; c.Rate > 0 {
			id := IDOf(c.Name)
			l.limits[id] = Limit{Rate: c.Rate, Burst: c.Burst}
			l.divisions[id] = l.Terms.divide(id, l.limits[id], l.Zone, l.Zones)
		}
	}
	for id, a := range l.accounts {
		if d, limited := l.divisions[id]; !limited {
			l.retire(a)
		} else if surplus := a.held() - int(d.held); surplus > 0 {
			// A lower limit binds what is already held.
			a.used += uint32(surplus)
			l.touch(a)
		}
	}
}

func (l *Limiter) divide(id ID) (division, bool) {
	d, ok := l.divisions[id]
	return d, ok
}

// Limited reports whether any customer has a limit.
func (l *Limiter) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limits) > 0
}

// Granted reports whether this box has been granted anything yet.
func (l *Limiter) Granted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isGranted
}
