package quota

import (
	"slices"
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

// ----------------------------------------------------------------
// Requests of this box's clients
// ----------------------------------------------------------------

// Verdict is what becomes of a request.
type Verdict int

// The verdicts.
const (
	// Admitted: it is within the limit.
	Admitted Verdict = iota
	// Refused: it is not.
	Refused
	// Waiting: its allocator has been asked.
	Waiting
)

// Decision is the verdict on one request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when to come back, where it is refused.
	RetryAfter time.Duration
	// Answered is closed when the allocator has answered, where it is waiting; the
	// request is then to be decided again.
	Answered <-chan struct{}
}

// Arrive decides on a request of a customer, which has just come.
func (l *Limiter) Arrive(name string) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	if a == nil {
		return Decision{}
	}
	a.arrive(l.Now())
	l.touch(a)
	d := l.decide(a)
	if d.Verdict == Waiting {
		a.waiting++
		l.reportNow(a)
	}
	return d
}

// Again decides on a request that has waited. With last set it waits no longer.
func (l *Limiter) Again(name string, last bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	if a == nil {
		return Decision{}
	}
	d := l.decide(a)
	if d.Verdict == Waiting && last {
		d = l.refuse(a)
	}
	if d.Verdict != Waiting {
		a.waiting = max(0, a.waiting-1)
	}
	return d
}

// Statement is what has become of a customer's requests at this box since it started.
// Counts begin anew after 4,294,967,295.
type Statement struct {
	Arrived  uint32
	Admitted uint32
	Refused  uint32
	// PerSecond is how many came lately.
	PerSecond float64
	// Held is how many unused tokens the box holds.
	Held int
}

// Statement returns what is known of a customer here; all zero where it has no limit.
func (l *Limiter) Statement(name string) Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := IDOf(name)
	a := l.accounts[id]
	if a == nil {
		c := l.retired[id]
		return Statement{Arrived: c.arrived, Admitted: c.arrived - c.refused, Refused: c.refused}
	}
	return Statement{
		Arrived: a.arrived, Admitted: a.arrived - a.refused - uint32(a.waiting), Refused: a.refused,
		PerSecond: a.arrivals.now(l.Now()), Held: a.held(),
	}
}

// GiveBack returns the token of a request that was admitted and has not run.
func (l *Limiter) GiveBack(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.account(name); a != nil {
		a.giveBack()
		l.touch(a)
	}
}

// touch notes that something has happened to an account.
func (l *Limiter) touch(a *account) {
	a.changed = true
	l.dirty[a.id] = a
}

// account returns the account of a customer, or nil if it has no limit.
func (l *Limiter) account(name string) *account {
	id := IDOf(name)
	if _, limited := l.limits[id]; !limited {
		return nil
	}
	a := l.accounts[id]
	if a == nil {
		a = newAccount(id, l.retired[id], l.Now())
		l.accounts[id] = a
		delete(l.retired, id)
	}
	return a
}

// retire drops an account. What it held is given up.
func (l *Limiter) retire(a *account) {
	l.retired[a.id] = counts{arrived: a.arrived, used: a.ceiling, refused: a.refused}
	delete(l.accounts, a.id)
	delete(l.dirty, a.id)
}

func (l *Limiter) decide(a *account) Decision {
	switch {
	case a.take():
		return Decision{Verdict: Admitted}
	case l.Now().Before(a.dryUntil):
		return l.refuse(a)
	}
	return Decision{Verdict: Waiting, Answered: a.answered}
}

func (l *Limiter) refuse(a *account) Decision {
	now := l.Now()
	a.refused++
	a.refusals.add(1, now)
	return Decision{Verdict: Refused, RetryAfter: a.returnAfter(l.Random(), now)}
}

// ----------------------------------------------------------------
// Messages
// ----------------------------------------------------------------

// Tick does what is due: call it every ReportEvery, with what is known of other
// boxes.
func (l *Limiter) Tick(v View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	l.allocator.advance(now)
	l.view = v
	l.allocator.loans.zones = v.Zones
	l.lending.choose(v.First, now)
	l.ticks++
	tidy := l.ticks%tidyReports == 0
	if tidy {
		l.tidy(now)
	}
	l.report(v.Weight > 0 && l.ticks%idleReports == 0)
	l.allocator.tick(tidy)
}

// tidy gives unused tokens back and drops accounts of customers that send nothing.
func (l *Limiter) tidy(now time.Time) {
	for _, a := range l.accounts {
		if a.lapse(owner(a.id, l.lending.target), now) {
			l.touch(a)
		}
		if !a.changed && a.waiting == 0 && now.Sub(a.usedAt) > forgetAfter {
			l.retire(a)
		}
	}
}

// Take returns what is to be sent now.
func (l *Limiter) Take() []Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.out
	l.out = nil
	return out
}

// Receive takes in a message; address is where it came from.
func (l *Limiter) Receive(m *Message, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receive(m, Box{Key: m.From, Address: address})
}

func (l *Limiter) receive(m *Message, from Box) {
	l.allocator.advance(l.Now())
	switch {
	case m.Report != nil && len(l.limits) > 0:
		// One that knows no limits yet says nothing, so that others are asked.
		l.allocator.report(from, m.Report)
	case m.Ask != nil:
		l.allocator.lend(from, m.Ask)
	case m.Loan != nil:
		l.allocator.borrowed(from, m.Loan)
	case m.Grant != nil:
		l.granted(m.Grant, from)
	}
}

// granted takes in what this box was granted. A first answer is reported at once: only
// then does what this box lends count.
func (l *Limiter) granted(m *Grant, from Box) {
	if m.Life != l.Life {
		return
	}
	p := l.lending.peers[from.Key]
	first := p != nil && p.echo.Life != m.Stamp.Life && slices.Contains(l.lending.target, from.Key)
	l.lending.heard(from.Key, m.Stamp)
	now := l.Now()
	for _, c := range m.Ceilings {
		if a := l.accounts[c.ID]; a != nil {
			l.isGranted = a.granted(c, now) || l.isGranted
		}
	}
	if first {
		l.reportTo(p, nil, now)
	}
}

// send hands a message over; one to this box itself is taken in at once.
func (l *Limiter) send(to Box, m Message) {
	m.From = l.Self.Key
	if to.Key == l.Self.Key {
		l.receive(&m, l.Self)
		return
	}
	l.out = append(l.out, Envelope{To: to, Message: m})
}

// reportNow tells of one account at once, since a request waits. What has changed of
// others is told with the next tick: looking at all for each request that waits would
// take time with the number of customers.
func (l *Limiter) reportNow(a *account) {
	now := l.Now()
	l.allocator.advance(now)
	p := l.lending.peers[owner(a.id, l.lending.target)]
	if p == nil {
		// Before the first tick nobody is known yet.
		return
	}
	a.changed, a.toldAt = false, now
	l.reportTo(p, []Usage{a.usage(p.box.Key, now)}, now)
}

// report tells each allocator what has changed of its customers, and where bare is
// set also those of whom nothing has.
func (l *Limiter) report(bare bool) {
	now := l.Now()
	changed := map[uint64][]Usage{}
	for id, a := range l.dirty {
		if !a.due(now) {
			if !a.mayBeDue(now) {
				delete(l.dirty, id)
			}
			continue
		}
		a.changed, a.toldAt = false, now
		key := owner(id, l.lending.target)
		changed[key] = append(changed[key], a.usage(key, now))
	}
	for _, key := range l.lending.target {
		if p := l.lending.peers[key]; bare || len(changed[key]) > 0 {
			l.reportTo(p, changed[key], now)
		}
	}
}

// reportTo sends a report, in as many messages as it needs.
func (l *Limiter) reportTo(p *lendingPeer, usage []Usage, now time.Time) {
	p.told = now
	if p.asked.IsZero() {
		p.asked = now
	}
	for first := true; first || len(usage) > 0; first = false {
		n := min(len(usage), entriesTogether)
		r := &Report{Life: l.Life, Echo: p.echo, Allocators: l.lending.lent(now), Usage: usage[:n]}
		if l.lending.lends(p, now) {
			r.Weight = l.view.Weight
			l.lending.hasLent = l.lending.hasLent || r.Weight > 0
		}
		if p.box.Key == l.Self.Key {
			r.Echo = l.allocator.stamp()
		}
		usage = usage[n:]
		l.send(p.box, Message{Report: r})
	}
}
