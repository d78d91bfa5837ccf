package quota

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

const (
	// ReportEvery is the interval of Tick, at which a box whose clients send requests reports.
	// A box that has nothing to report sends an empty report every idleTicks ticks.
	ReportEvery = 100 * time.Millisecond
	idleTicks   = 2
	// cleanUpTicks is the number of ticks between two that also look at accounts and buckets
	// to which nothing has happened. With many customers that takes too long for each tick.
	cleanUpTicks = 10
)

// View is what a box knows of other boxes.
type View struct {
	// Weight is the part of its zone's share that the box has, 0 while the box does not know
	// its zone.
	Weight float64
	// First are the first live boxes of the zone, including this one, in the order in which
	// they become allocators.
	First []Box
	// Zones are the first live boxes of each other zone, by zone.
	Zones map[string][]Box
}

// Envelope is a message and its recipient.
type Envelope struct {
	To      Box
	Message Message
}

// Limiter keeps customers and backend servers within their limits: it decides on requests of
// this box's clients, and is an allocator of its zone if the box is one of the first.
type Limiter struct {
	// Tolerance is how far customers' limits may be exceeded, ServerTolerance how far those of
	// backend servers may be.
	Tolerance       Tolerance
	ServerTolerance Tolerance
	Zone            string
	Zones           []string
	Self            Box
	// Incarnation identifies the incarnation of this box; it increases from one to the next.
	Incarnation int64
	// Now returns the current time of a monotonic clock.
	Now func() time.Time
	// Random returns a number in [0, 1).
	Random func() float64

	mu sync.Mutex
	// customers and servers are the divisions of their limits.
	customers map[ID]division
	servers   map[ID]division
	accounts  map[ID]*account
	// dirty are the accounts that a report may have to include.
	dirty     map[ID]*account
	lender    *lender
	allocator *allocator
	view      View
	ticks     int
	outgoing  []Envelope
	// retired are the counts of dropped accounts. A new account continues from them, since
	// allocators may remember them.
	retired map[ID]counts
	// isGranted is set once the box has been granted a token.
	isGranted bool
}

// Start initializes the limiter. All exported fields must be set before.
func (l *Limiter) Start() {
	l.accounts = map[ID]*account{}
	l.dirty = map[ID]*account{}
	l.retired = map[ID]counts{}
	l.customers = map[ID]division{}
	l.servers = map[ID]division{}
	l.lender = newLender(l.Self)
	l.allocator = newAllocator(l.Self.Key, l.Incarnation, l.Now(), l.divide, l.send)
}

// SetCustomers applies the customers' limits of a configuration.
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
			l.applyLimit(id)
		}
	}
	for id := range before {
		l.applyLimit(id)
	}
}

const (
	// minServerRate is the rate, in requests per second, of a server that declares a lower
	// limit: one request in a window of 4 s, since otherwise no box would learn when it
	// accepts more.
	minServerRate = 0.25
	// maxServerRate bounds the limit that a server may declare, so that it fits into counts of
	// tokens.
	maxServerRate = 1e6
)

// SetServer applies the limit that a backend server declares, in requests per second, divided
// between the given zones.
func (l *Limiter) SetServer(id ID, perSecond float64, zones []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	perSecond = min(perSecond, maxServerRate)
	rate := max(perSecond, minServerRate)
	allowance := l.ServerTolerance.allowance(Limit{Rate: perSecond}) - (rate-perSecond)*l.ServerTolerance.Window.Seconds()
	l.servers[id] = divide(id, rate, allowance, l.Zone, zones)
	l.applyLimit(id)
}

// DropServer removes the limit of a backend server.
func (l *Limiter) DropServer(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropServer(id)
}

func (l *Limiter) dropServer(id ID) {
	delete(l.servers, id)
	l.applyLimit(id)
}

// ForgetServer is DropServer for an incarnation of a backend server that has ended and will
// not be named again: it also drops the counts from which a new account would continue.
func (l *Limiter) ForgetServer(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropServer(id)
	delete(l.retired, id)
}

// applyLimit applies a changed limit to this box's account.
func (l *Limiter) applyLimit(id ID) {
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
		// A lower limit also applies to the tokens already held.
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

// HasLimits reports whether there is any limit.
func (l *Limiter) HasLimits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasLimits()
}

func (l *Limiter) hasLimits() bool { return len(l.customers)+len(l.servers) > 0 }

// Granted reports whether this box has been granted any token yet.
func (l *Limiter) Granted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isGranted
}
