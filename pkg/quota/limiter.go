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
	idleTicks   = 2
	// cleanUpTicks is how many ticks pass between two in which everything is looked at,
	// also what nothing has happened to. That takes too long for each tick where there are many customers.
	cleanUpTicks = 10
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

// Limiter keeps customers and backend servers within their limits: it decides for this box's
// clients, and is the allocator of its zone where it is one of the first boxes.
type Limiter struct {
	// Tolerance are what is promised of customers' limits, ServerTerms of backend servers'.
	Tolerance       Tolerance
	ServerTolerance Tolerance
	Zone            string
	Zones           []string
	Self            Box
	// Incarnation tells the lives of this box apart, and rises from one to the next.
	Incarnation int64
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64

	mu sync.Mutex
	// customers and servers are how their limits are divided.
	customers map[ID]division
	servers   map[ID]division
	accounts  map[ID]*account
	// dirty are the accounts that a report may have to tell of.
	dirty     map[ID]*account
	lending   *lending
	allocator *allocator
	view      View
	ticks     int
	out       []Envelope
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
	l.customers = map[ID]division{}
	l.servers = map[ID]division{}
	l.lending = newLending(l.Self)
	l.allocator = newAllocator(l.Self.Key, l.Incarnation, l.Now(), l.divide, l.send)
}

// SetCustomers puts the limits of a configuration in force.
func (l *Limiter) SetCustomers(list []customer.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.customers
	l.customers = map[ID]division{}
	for i := range list {
		if c := &list[i]; c.Rate > 0 {
			id := IDOf(c.Name)
			allowance := l.Tolerance.allowance(Limit{Rate: c.Rate, Burst: c.Burst})
			l.customers[id] = divide(id, c.Rate, allowance, l.Zone, l.Zones)
			l.bind(id)
		}
	}
	for id := range before {
		l.bind(id)
	}
}

const (
	// leastServerRate is how many requests a second a server gets that takes fewer: one in a
	// window of 4 s, or nobody would hear when it takes more.
	leastServerRate = 0.25
	// mostServerRate bounds what a server may name, so that counts of tokens hold it.
	mostServerRate = 1e6
)

// SetServer puts the limit that a backend server names in force, in requests a second, divided
// between the given zones.
func (l *Limiter) SetServer(id ID, perSecond float64, zones []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond = min(perSecond, mostServerRate)
	rate := max(perSecond, leastServerRate)
	allowance := l.ServerTolerance.allowance(Limit{Rate: perSecond}) - (rate-perSecond)*l.ServerTolerance.Window.Seconds()
	l.servers[id] = divide(id, rate, allowance, l.Zone, zones)
	l.bind(id)
}

// DropServer ends the limit of a backend server.
func (l *Limiter) DropServer(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropServer(id)
}

func (l *Limiter) dropServer(id ID) {
	delete(l.servers, id)
	l.bind(id)
}

// ForgetServer is DropServer for a life of a backend server that has ended, and is named no
// more: what boxes count on from is dropped too.
func (l *Limiter) ForgetServer(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropServer(id)
	delete(l.retired, id)
}

// bind has a changed limit hold for what this box has of it.
func (l *Limiter) bind(id ID) {
	a := l.accounts[id]
	if a == nil {
		return
	}
	d, limited := l.divide(id)
	if !limited {
		l.retire(a)
		return
	}
	if surplus := a.held() - int(d.maxHeld); surplus > 0 {
		// A lower limit binds what is already held.
		a.used += uint32(surplus)
		l.touch(a)
	}
}

func (l *Limiter) divide(id ID) (division, bool) {
	if d, ok := l.customers[id]; ok {
		return d, true
	}
	d, ok := l.servers[id]
	return d, ok
}

// HasLimits reports whether anything has a limit.
func (l *Limiter) HasLimits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLimited()
}

func (l *Limiter) isLimited() bool { return len(l.customers)+len(l.servers) > 0 }

// Granted reports whether this box has been granted anything yet.
func (l *Limiter) Granted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isGranted
}
