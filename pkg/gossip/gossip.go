// Package gossip keeps boxes aware of each other. Each box sends heartbeats
// as datagrams to some of its zone and some of other zones, and with them what
// it heard of others, in short.
//
// A box's own zone decides whether it is silent. The boxes of a zone hear each
// other from themselves or from any of the zone, and ask one that was not heard
// for a while before they take it for silent; then they tell the other zones.
// Those need not hear each single box: one is live for them as long as anything
// is heard of its zone and nobody there says that it is silent. So what a box
// sends does not grow with the fleet, and a silence that is told wrongly needs
// the loss of many datagrams, not of a few.
//
// Example: box b loses its power. Its zone a hears no higher beat of it, asks
// it twice, and after SuspectAfter tells it as silent with its next heartbeats;
// boxes of zone c drop it from what they name to clients with the first of these.
//
// Datagrams are used and not connections, since a heartbeat that is lost is
// replaced by the next, and none may hang on a box that is cut off.
//
// This package has no input or output: Messages are handed in and out.
package gossip

import (
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// Interval is the time between two heartbeats of a box.
	Interval = 500 * time.Millisecond
	// SuspectAfter is how long a box may be silent for those of its zone before
	// it is not named to clients any more; SuspectFarAfter is how long a whole
	// zone may be for the boxes of others.
	SuspectAfter    = 5 * Interval
	SuspectFarAfter = 8 * Interval
	// probeAfter is how long a box may be silent before those of its zone ask
	// it for an answer: it is asked three times before it is suspected, since
	// datagrams are lost.
	probeAfter = 2 * Interval
	// ForgetAfter is how long a silent box counts among those that may still
	// be sending requests.
	ForgetAfter = time.Minute
	// silentRepeats is for how many heartbeats a box tells that another one of its
	// zone is silent, and tellLive for how many that one has come or come back;
	// passSilent is for how many boxes of other zones pass a silence on.
	silentRepeats  = 12
	liveRepeats    = 8
	silentForwards = 6
)

// Member is another box as this one sees it.
type Member struct {
	Record
	// Silent is how long its heartbeats have not risen.
	Silent time.Duration
	live   bool
}

// Live reports whether the box may be named to clients.
func (m *Member) Live() bool { return m.live }

// Table holds what is known of all boxes.
type Table struct {
	// Seeds are addresses at which boxes may be found.
	Seeds func() []string
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Random returns a number in [0, n).
	Random func(n int) int
	// OnChange is told when a box is first heard, comes back or falls silent.
	OnChange func(r Record, what string)

	mu   sync.Mutex
	self Record
	// updated is when this box's own record was last changed.
	updated time.Time
	members map[string]*entry
	// sorted are the members by name.
	sorted []*entry
	// ids are the members by the IDs of their sightings.
	ids   map[uint32]*entry
	zones map[string]*zone
	// own is this box's zone.
	own *zone
	// asked is when the record of an ID was last asked for.
	asked map[uint32]time.Time
	// servingSince is since when clients send this box requests.
	servingSince time.Time
	// received is when any message last came.
	received time.Time
	beats    int
	// turn is how far the heartbeats to the own zone have come round it.
	turn int
	// queue are the boxes of other zones whose turn is still to come.
	queue []*entry
	// recent are those that were heard since the last heartbeat, and updates those of which there
	// is still something to tell. A heartbeat must not look at all boxes of the fleet for these.
	recent, updates []*entry
}

// zone is what is known of an availability zone.
type zone struct {
	// heard is when anything was last heard of it.
	heard time.Time
	// members are its boxes by name.
	members []*entry
}

// zoneOf returns what is known of a zone.
func (t *Table) zoneOf(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{}
		t.zones[name] = z
	}
	return z
}

// entry is a member with what is needed to judge and to pass on.
type entry struct {
	Record
	ID    uint32
	zone  *zone
	heard time.Time
	// served is when it was last heard that clients send it requests.
	served time.Time
	// silent: it was taken for silent, by this box or by its zone.
	silent bool
	// inRecent: its beat has inRecent since this box's last heartbeat.
	inRecent bool
	// updatesLeft is for how many heartbeats it is still news; see setTell.
	updatesLeft int
	// inUpdates: it stands in the table's list of those that are.
	inUpdates bool
}

// setUpdatesLeft makes a box news for so many heartbeats.
func (t *Table) setUpdatesLeft(e *entry, beats int) {
	e.updatesLeft = beats
	if beats > 0 && !e.inUpdates {
		e.inUpdates = true
		t.updates = append(t.updates, e)
	}
}

// currentLiveness is the box as it is currentLiveness to others.
func (e *entry) currentLiveness() LivenessRecord {
	s := e.livenessRecord()
	s.ID = e.ID
	if e.silent {
		s.Flags = FlagSilent
	}
	return s
}

// NewTable makes a table that knows only this box.
func NewTable(self Record, now func() time.Time, random func(n int) int) *Table {
	t := &Table{
		Seeds: func() []string { return nil }, Now: now, Random: random, OnChange: func(Record, string) {},
		self: self, members: map[string]*entry{}, ids: map[uint32]*entry{},
		zones: map[string]*zone{}, asked: map[uint32]time.Time{},
	}
	t.own = t.zoneOf(self.Zone)
	return t
}

// Update changes this box's own record.
func (t *Table) Update(change func(self *Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	served := t.self.Serving
	change(&t.self)
	t.updated = t.Now()
	if t.self.Serving && !served {
		t.servingSince = t.Now()
	}
}

// Self returns this box's own record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// ----------------------------------------------------------------
// What is known
// ----------------------------------------------------------------

// Members returns the other boxes by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	list := make([]Member, 0, len(t.members))
	for _, e := range t.sorted {
		list = append(list, Member{Record: e.Record, Silent: now.Sub(e.heard), live: t.live(e, now)})
	}
	return list
}

// EachLive calls f with the record of each live box by name. It must not keep
// the record, nor call the table.
func (t *Table) EachLive(f func(r *Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, e := range t.sorted {
		if t.live(e, now) {
			f(&e.Record)
		}
	}
}

// Alone reports whether no other box was ever heard of.
func (t *Table) Alone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) == 0
}

// AnyStoreHealthy reports whether the store answers any other live box without fail. Boxes of the own zone are
// looked at first: one of them is, on most days.
func (t *Table) AnyStoreHealthy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	isHealthy := func(e *entry) bool { return e.StoreHealthy && t.live(e, now) }
	return slices.ContainsFunc(t.own.members, isHealthy) || slices.ContainsFunc(t.sorted, isHealthy)
}

// Count returns how many boxes may be sending requests, this one included.
func (t *Table) Count() int {
	count := 1
	t.EachPossibleSender(func(*Record, bool) { count++ })
	return count
}

// EachPossibleSender calls f for each of the other boxes that may be sending requests, and tells whether it is live.
// It must not call the table.
func (t *Table) EachPossibleSender(f func(r *Record, live bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, e := range t.sorted {
		if now.Sub(e.heard) <= ForgetAfter {
			f(&e.Record, t.live(e, now))
		}
	}
}

// StoreContacts is what the boxes of this box's own zone say of the store. "Before" are
// those that come before this box in the order of the zone's work.
type StoreContacts struct {
	// Healthy are those that the store answers.
	Healthy       int
	HealthyBefore int
	// UnansweredBefore ask the store without an answer, IdleBefore do not ask it.
	UnansweredBefore int
	IdleBefore       int
}

// StoreContacts counts the boxes of this box's zone that have been heard within the time
// and do not leave.
func (t *Table) StoreContacts(within time.Duration) StoreContacts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var z StoreContacts
	now := t.Now()
	for _, e := range t.own.members {
		if e.Leaving || now.Sub(e.heard) > within {
			continue
		}
		before := e.precedes(&t.self)
		switch {
		case e.StoreHealthy && before:
			z.HealthyBefore++
			z.Healthy++
		case e.StoreHealthy:
			z.Healthy++
		case e.StoreUnanswered && before:
			z.UnansweredBefore++
		case before:
			z.IdleBefore++
		}
	}
	return z
}

// live reports whether a box may be named to clients.
func (t *Table) live(e *entry, now time.Time) bool {
	if e.silent || now.Sub(e.heard) > ForgetAfter {
		return false
	}
	if e.zone == t.own {
		return now.Sub(e.heard) <= SuspectAfter
	}
	return now.Sub(e.zone.heard) <= SuspectFarAfter
}

// Expire notes which boxes have fallen silent. Call it with each heartbeat.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	// A box that hears nobody is cut off itself, or stood still.
	hears := now.Sub(t.received) <= probeAfter
	for _, e := range t.sorted {
		if e.silent || t.live(e, now) {
			continue
		}
		t.silence(e)
		if hears && e.Zone == t.self.Zone {
			t.setUpdatesLeft(e, silentRepeats)
		}
	}
	for id, at := range t.asked {
		if now.Sub(at) > ForgetAfter {
			delete(t.asked, id)
		}
	}
}

// silence takes a box for silent.
func (t *Table) silence(e *entry) {
	e.silent = true
	t.OnChange(e.Record, "silent")
}

// add puts a box that was not known into the table.
func (t *Table) add(e *entry) {
	t.members[e.Box], t.ids[e.ID] = e, e
	t.sorted = insertByName(t.sorted, e)
	t.settle(e)
}

// settle puts a box among those of its zone.
func (t *Table) settle(e *entry) {
	z := t.zoneOf(e.Zone)
	if e.zone == z {
		return
	}
	if e.zone != nil {
		e.zone.members = slices.DeleteFunc(e.zone.members, func(other *entry) bool { return other == e })
	}
	e.zone = z
	z.members = insertByName(z.members, e)
}

func insertByName(list []*entry, e *entry) []*entry {
	at := sort.Search(len(list), func(i int) bool { return list[i].Box >= e.Box })
	return slices.Insert(list, at, e)
}
