package quota

import (
	"math"
	"time"
)

const (
	// demandSpan is the span over which an allocator averages its zone's demand, and
	// recentSpan a shorter one, for when clients have just come or gone. The allocator borrows
	// for the greater of the two averages, and keeps tokens for the lesser when it lends.
	demandSpan = time.Second
	recentSpan = 200 * time.Millisecond
	// reserveTime is for how long an allocator keeps tokens for the demand of its own zone
	// before it lends any.
	reserveTime = 300 * time.Millisecond
	// forgetAfter is how long after its last report a box is forgotten.
	forgetAfter = 10 * time.Second
)

// allocator grants the tokens of a zone's customers to the zone's boxes.
type allocator struct {
	self        uint64
	incarnation int64
	now         time.Time
	started     time.Time
	leases      *leases
	buckets     map[ID]*bucket
	// low are the buckets that may have to borrow.
	low   map[ID]*bucket
	boxes map[uint64]*boxState
	loans loans
	// divide returns the zone's share of a customer's limit; ok is false if the customer is
	// unknown or has no limit.
	divide func(id ID) (d division, ok bool)
	// send sends a message to a box.
	send func(to Box, m Message)
}

// boxState is the state of a box that reports to this allocator.
type boxState struct {
	box         Box
	incarnation int64
	usage       map[ID]*boxUsage
	heard       time.Time
}

// boxUsage is what the allocator knows of one customer's tokens at a box.
type boxUsage struct {
	arrived uint32
	used    uint32
	ceiling uint32
	// returned is the number of tokens that the box has returned.
	returned uint32
	want     int
	waiting  int
}

// held returns how many unused tokens the box has.
func (l *boxUsage) held() int { return int(int32(l.ceiling - l.used)) }

// needed returns how many more tokens the box's waiting requests need.
func (l *boxUsage) needed() int { return max(0, l.waiting-l.held()) }

// missing returns how many more tokens the box wants.
func (l *boxUsage) missing() int { return max(0, l.want+l.waiting-l.held()) }

// bucket holds a customer's tokens.
type bucket struct {
	id ID
	division
	tokens float64
	// weightSeconds is the value of leases.weightSecondsOf when tokens were last added.
	weightSeconds float64
	// heldByBoxes is the number of unused tokens at boxes.
	heldByBoxes int
	// demand is the zone's demand averaged over demandSpan, and recent over recentSpan.
	demand rate
	recent rate
	// short are the boxes, by their keys, that want more tokens than they got.
	short map[uint64]*boxUsage
	loans bucketLoans
}

// countDemand counts requests of the zone's clients.
func (b *bucket) countDemand(requests float64, now time.Time) {
	b.demand.add(requests, now)
	b.recent.add(requests, now)
}

// rate is a moving average of events per second over a span.
type rate struct {
	perSecond float64
	span      float64
	at        time.Time
}

func newRate(span time.Duration, now time.Time) rate { return rate{span: span.Seconds(), at: now} }

// add counts events.
func (r *rate) add(events float64, now time.Time) {
	if passed := now.Sub(r.at).Seconds(); passed > 0 {
		r.perSecond *= math.Exp(-passed / r.span)
		r.at = now
	}
	r.perSecond += events / r.span
}

// now returns the average at the given time.
func (r *rate) now(now time.Time) float64 {
	r.add(0, now)
	return r.perSecond
}

func newAllocator(self uint64, incarnation int64, now time.Time, divide func(id ID) (division, bool), send func(to Box, m Message)) *allocator {
	return &allocator{
		self: self, incarnation: incarnation, now: now, started: now, leases: newLeases(self, now), divide: divide, send: send,
		buckets: map[ID]*bucket{}, low: map[ID]*bucket{}, boxes: map[uint64]*boxState{}, loans: newLoans(),
	}
}

// advance sets the allocator's time.
func (a *allocator) advance(now time.Time) {
	a.now = now
	a.leases.advance(now)
}

// stamp returns the time of the allocator's clock as it is sent to boxes.
func (a *allocator) stamp() Stamp {
	return Stamp{Incarnation: a.incarnation, ElapsedMs: uint32(a.now.Sub(a.started).Milliseconds())}
}

// timeOf returns the time of a stamp; ok is false if the stamp is from another incarnation or
// later than now.
func (a *allocator) timeOf(s Stamp) (at time.Time, ok bool) {
	return a.started.Add(time.Duration(s.ElapsedMs) * time.Millisecond), s.Incarnation == a.incarnation && s.ElapsedMs <= a.stamp().ElapsedMs
}

// bucket returns the customer's bucket, filled up to the current time, or nil if the customer
// is unknown or has no limit.
func (a *allocator) bucket(id ID) *bucket {
	d, ok := a.divide(id)
	if !ok {
		return nil
	}
	b := a.buckets[id]
	if b == nil {
		b = &bucket{id: id, demand: newRate(demandSpan, a.now), recent: newRate(recentSpan, a.now), short: map[uint64]*boxUsage{}, loans: newBucketLoans()}
		a.buckets[id] = b
	}
	b.division = d
	weightSeconds := a.leases.weightSecondsOf(id)
	b.tokens = min(b.tokens+(weightSeconds-b.weightSeconds)*d.rate, d.maxSaved)
	b.weightSeconds = weightSeconds
	return b
}

// ----------------------------------------------------------------
// Boxes of the zone
// ----------------------------------------------------------------

// report handles a box's report and answers it.
func (a *allocator) report(from Box, m *Report) {
	if at, ok := a.timeOf(m.Echo); ok {
		a.leases.renew(from.Key, m.Incarnation, m.Weight, m.Allocators, at.Add(leaseTime))
	}
	g := a.boxState(from, m.Incarnation)
	if g == nil {
		return
	}
	g.heard = a.now
	answer := &Grant{Incarnation: m.Incarnation, Stamp: a.stamp()}
	for i := range m.Usage {
		u := &m.Usage[i]
		b := a.bucket(u.ID)
		if b == nil {
			continue
		}
		l := a.applyUsage(b, g, u)
		a.grant(b, from.Key, l)
		if b.short[from.Key] != nil {
			a.borrow(b)
		}
		answer.Ceilings = append(answer.Ceilings, a.ceiling(b, from.Key, l))
	}
	a.send(from, Message{Grant: answer})
}

// boxState returns the state of a box, or nil if the given incarnation has ended.
func (a *allocator) boxState(from Box, incarnation int64) *boxState {
	g := a.boxes[from.Key]
	if g != nil && incarnation < g.incarnation {
		return nil
	}
	if g == nil || g.incarnation != incarnation {
		if g != nil {
			a.forget(from.Key, g)
		}
		g = &boxState{incarnation: incarnation, usage: map[ID]*boxUsage{}}
		a.boxes[from.Key] = g
	}
	g.box = from
	return g
}

// forget drops the state of a box. The tokens that the box held are lost.
func (a *allocator) forget(key uint64, g *boxState) {
	for id, l := range g.usage {
		if b := a.buckets[id]; b != nil {
			b.heldByBoxes -= l.held()
			delete(b.short, key)
		}
	}
	delete(a.boxes, key)
}

// applyUsage records what a box has used. Tokens that this allocator has granted and the box
// has not heard of yet count as held.
func (a *allocator) applyUsage(b *bucket, g *boxState, u *Usage) *boxUsage {
	l := g.usage[u.ID]
	if l == nil {
		l = &boxUsage{arrived: u.Arrived, used: u.Used, ceiling: u.Ceiling, returned: u.Returned}
		g.usage[u.ID] = l
		b.heldByBoxes += l.held()
		b.countDemand(float64(u.Waiting), a.now)
	}
	if more := int32(u.Arrived - l.arrived); more > 0 {
		b.countDemand(float64(more), a.now)
		l.arrived = u.Arrived
	}
	held := l.held()
	if int32(u.Used-l.used) > 0 {
		l.used = u.Used
	}
	if int32(u.Ceiling-l.ceiling) > 0 {
		l.ceiling = u.Ceiling
	}
	b.heldByBoxes += l.held() - held
	if back := int32(u.Returned - l.returned); back > 0 {
		b.tokens = min(b.tokens+float64(back), max(b.tokens, b.maxSaved))
		l.returned = u.Returned
	}
	l.want, l.waiting = int(u.Want), int(u.Waiting)
	return l
}

// grant grants a box the tokens that it wants, as far as there are any. Tokens for waiting
// requests are used at once; the number that the box holds beyond these is bounded.
func (a *allocator) grant(b *bucket, key uint64, l *boxUsage) {
	room := max(l.needed(), int(b.maxHeld)-b.heldByBoxes)
	n := max(0, min(l.missing(), room, int(b.tokens)))
	b.tokens -= float64(n)
	b.heldByBoxes += n
	l.ceiling += uint32(n)
	if b.isLow() {
		a.low[b.id] = b
	}
	if l.missing() > 0 && b.tokens < 1 {
		b.short[key] = l
		return
	}
	delete(b.short, key)
}

// ceiling returns the customer's ceiling to send to the box.
func (a *allocator) ceiling(b *bucket, key uint64, l *boxUsage) Ceiling {
	return Ceiling{ID: b.id, Ceiling: l.ceiling, Exhausted: b.short[key] != nil && !a.mayBorrow(b)}
}

// serveShort grants new tokens to the boxes that got fewer than they wanted, and informs those
// for which none are expected.
func (a *allocator) serveShort(b *bucket) {
	for key, l := range b.short {
		g := a.boxes[key]
		if g == nil || g.usage[b.id] != l {
			delete(b.short, key)
			continue
		}
		before := l.ceiling
		a.grant(b, key, l)
		c := a.ceiling(b, key, l)
		if l.ceiling != before || c.Exhausted {
			a.send(g.box, Message{Grant: &Grant{Incarnation: g.incarnation, Stamp: a.stamp(), Ceilings: []Ceiling{c}}})
		}
	}
}

// isLow reports whether the zone should borrow tokens.
func (b *bucket) isLow() bool { return len(b.short) > 0 || b.tokens < b.maxSaved/2 }

// tick borrows tokens for the buckets that are low; with cleanUp set it also drops state that
// has not been used for a while.
func (a *allocator) tick(cleanUp bool) {
	a.expireLoans()
	for id, b := range a.low {
		if a.bucket(id) == nil || !b.isLow() {
			delete(a.low, id)
			continue
		}
		a.borrow(b)
	}
	if cleanUp {
		a.cleanUp()
	}
}

// cleanUp drops buckets that are full and boxes that have stopped.
func (a *allocator) cleanUp() {
	for id, b := range a.buckets {
		a.bucket(id)
		if d, ok := a.divide(id); !ok || len(b.short) == 0 && b.heldByBoxes == 0 && b.tokens >= d.maxSaved {
			delete(a.buckets, id)
			delete(a.low, id)
			if !ok {
				a.dropUsage(id)
			}
		}
	}
	for key, g := range a.boxes {
		if a.now.Sub(g.heard) > forgetAfter {
			a.forget(key, g)
		}
	}
	if len(a.leases.sets) > maxSets {
		a.pruneSets()
	}
}

// dropUsage drops the boxes' usage of a limit that has ended. If the limit applies again, the
// boxes continue from their counts.
func (a *allocator) dropUsage(id ID) {
	for _, g := range a.boxes {
		delete(g.usage, id)
	}
}

// maxSets is how many sets of allocators are kept: the current ones and some that boxes saw
// before.
const maxSets = 8

// pruneSets drops the sets that no box sees any more, without changing the tokens in the
// buckets.
func (a *allocator) pruneSets() {
	for id := range a.buckets {
		a.bucket(id)
	}
	a.leases.prune()
	for id, b := range a.buckets {
		b.weightSeconds = a.leases.weightSecondsOf(id)
	}
}
