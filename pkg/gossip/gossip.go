// Package gossip tracks which boxes are live. Each box sends heartbeats as datagrams to some
// boxes of its own zone and some of other zones. A heartbeat also carries compact liveness
// records of other boxes.
//
// A box's own zone decides whether the box is silent. The boxes of a zone hear of each other
// directly or through other boxes of the zone, and probe a box that they have not heard of for
// a while before they consider it silent. Then they report it to the other zones. Those need
// not hear of every single box: they consider a box live as long as anything is heard of its
// zone and its zone does not report it silent. So what a box sends does not grow with the
// fleet, and a wrong report of silence takes the loss of many datagrams, not of a few.
//
// Example: box b loses its power. The boxes of its zone a receive no higher sequence number of
// it, probe it, and after SuspectAfter report it silent with their next heartbeats. Boxes of
// zone c stop naming it to clients when the first of these heartbeats arrives.
//
// Heartbeats are datagrams and use no connections, since the next heartbeat replaces a lost
// one, and sending must not block on a box that is cut off.
//
// This package does no input or output: it takes in and returns Messages.
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
	// SuspectAfter is how long a box may be silent before boxes of its own zone stop naming it
	// to clients; SuspectFarAfter is how long a whole zone may be silent before boxes of other
	// zones stop naming its boxes.
	SuspectAfter    = 5 * Interval
	SuspectFarAfter = 8 * Interval
	// knownTime is how long a box of the own zone that was only heard of has to answer to a greeting
	// and a probe: it is suspected with the second heartbeat after it has become known.
	knownTime = Interval + Interval/2
	// probeAfter is how long a box may be silent before boxes of its zone probe it for an
	// answer. It is probed three times before it is suspected, since datagrams may be lost.
	probeAfter = 2 * Interval
	// ForgetAfter is how long a silent box is still counted as one that may be sending
	// requests.
	ForgetAfter = time.Minute
	// silentRepeats is the number of heartbeats in which a box reports that another one of its
	// zone is silent, and liveRepeats the number in which it reports that one has joined or
	// come back; silentForwards is the number in which boxes of other zones forward a silence.
	silentRepeats  = 12
	liveRepeats    = 8
	silentForwards = 6
)

// Member is another box as this one sees it.
type Member struct {
	Record
	// Silent is how long ago its sequence number last rose.
	Silent time.Duration
	live   bool
}

// Live reports whether the box may be named to clients.
func (m *Member) Live() bool { return m.live }

// Table holds what this box knows of all boxes.
type Table struct {
	// Seeds returns addresses at which other boxes may be found.
	Seeds func() []string
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Random returns a number in [0, n).
	Random func(n int) int
	// OnChange is called when a box is first heard of, comes back or falls silent.
	OnChange func(r Record, what string)

	mu   sync.Mutex
	self Record
	// updated is when this box's own record was last changed.
	updated time.Time
	members map[string]*entry
	// sorted lists the members by name.
	sorted []*entry
	// ids maps the IDs of liveness records to members.
	ids   map[uint32]*entry
	zones map[string]*zone
	// ownZone is this box's zone.
	ownZone *zone
	// requested is when the record of an ID was last requested.
	requested map[uint32]time.Time
	// servingSince is since when clients have sent this box requests.
	servingSince time.Time
	// generation changes with everything that the choice of boxes for clients depends on.
	generation uint64
	// lastReceived is when the last message of any box came.
	lastReceived time.Time
	heartbeats   int
	// zoneOffset is the distance, in the own zone's list, from this box's place to the next box
	// that a heartbeat goes to.
	zoneOffset int
	// farQueue lists the boxes of other zones that are still to be sent a heartbeat in this
	// round.
	farQueue []*entry
	// recent lists the boxes that were heard of since the last heartbeat, and updates those
	// with a membership update that is still to be sent. They are kept so that a heartbeat
	// need not look at all boxes of the fleet.
	recent, updates []*entry
}

// zone is what is known of an availability zone.
type zone struct {
	// heard is when anything was last heard of the zone.
	heard time.Time
	// members are its boxes by name.
	members []*entry
}

// zoneOf returns the zone of that name, and adds it if it is not known.
func (t *Table) zoneOf(name string) *zone {
	z := t.zones[name]
	if z == nil {
		z = &zone{}
		t.zones[name] = z
	}
	return z
}

// entry is a member and the state that is needed to judge its liveness and to pass it on.
type entry struct {
	Record
	ID    uint32
	zone  *zone
	heard time.Time
	// servingHeard is when the box was last heard to serve clients.
	servingHeard time.Time
	// silent: this box or the member's own zone considers it silent.
	silent bool
	// inRecent: the entry is in Table.recent, since its sequence number has risen since this
	// box's last heartbeat.
	inRecent bool
	// updatesLeft is the number of heartbeats that are still to carry its membership update;
	// see setUpdatesLeft.
	updatesLeft int
	// inUpdates: the entry is in Table.updates.
	inUpdates bool
}

// setUpdatesLeft sets the number of heartbeats that are to carry an update about the box.
func (t *Table) setUpdatesLeft(e *entry, beats int) {
	e.updatesLeft = beats
	if beats > 0 && !e.inUpdates {
		e.inUpdates = true
		t.updates = append(t.updates, e)
	}
}

// currentLiveness returns the liveness record that is sent to other boxes.
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
		zones: map[string]*zone{}, requested: map[uint32]time.Time{},
	}
	t.ownZone = t.zoneOf(self.Zone)
	return t
}

// Update changes this box's own record. The function must neither call the table nor wait for a
// lock under which the table is called.
func (t *Table) Update(change func(self *Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	served, placed := t.self.Serving, t.self.placement()
	change(&t.self)
	t.noteIfPlaced(placed, &t.self)
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
// Queries
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

// EachLive calls f with the record of each live box, by name. It must neither keep the record
// nor call the table, and must not wait for a lock under which the table is called.
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

// Stays reports whether a box is live and not leaving.
func (t *Table) Stays(box string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[box]
	return e != nil && !e.Leaving && t.live(e, t.Now())
}

// PeersOf returns the address of a live box for other boxes, "" if it is not known.
func (t *Table) PeersOf(box string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.members[box]; e != nil && t.live(e, t.Now()) {
		return e.Peers
	}
	return ""
}

// Generation returns a number that changes whenever a box joins, comes back, falls silent or
// changes what the choice of boxes for clients depends on. A box that is no longer live may be
// noticed only by the next Expire.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// noteIfPlaced changes the generation if the record differs from its former placement.
func (t *Table) noteIfPlaced(former placement, r *Record) {
	if r.placement() != former {
		t.generation++
	}
}

// Alone reports whether no other box was ever heard of.
func (t *Table) Alone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) == 0
}

// AnyStoreHealthy reports whether the store answers any other live box without failures. Boxes
// of the own zone are checked first, since usually one of them is healthy.
func (t *Table) AnyStoreHealthy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	isHealthy := func(e *entry) bool { return e.StoreHealthy && t.live(e, now) }
	return slices.ContainsFunc(t.ownZone.members, isHealthy) || slices.ContainsFunc(t.sorted, isHealthy)
}

// Count returns how many boxes may be sending requests, this one included.
func (t *Table) Count() int {
	count := 1
	t.EachPossibleSender(func(*Record, bool) { count++ })
	return count
}

// EachPossibleSender calls f for each other box that may be sending requests, with whether the
// box is live. It must not call the table.
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

// StoreContacts counts the boxes of this box's own zone by their contact with the store.
// "Before" counts only those that precede this box in the order in which boxes take on work
// for the zone.
type StoreContacts struct {
	// Healthy counts the boxes that the store answers.
	Healthy       int
	HealthyBefore int
	// UnansweredBefore counts boxes that poll the store without an answer, IdleBefore those
	// that do not poll it.
	UnansweredBefore int
	IdleBefore       int
}

// StoreContacts counts the boxes of this box's zone that were heard of within the given time
// and are not leaving.
func (t *Table) StoreContacts(within time.Duration) StoreContacts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var z StoreContacts
	now := t.Now()
	for _, e := range t.ownZone.members {
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
	if e.zone == t.ownZone {
		return now.Sub(e.heard) <= SuspectAfter
	}
	return now.Sub(e.zone.heard) <= SuspectFarAfter
}

// Expire marks the boxes that have fallen silent. It is to be called with each heartbeat.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	// A box that hears nobody is itself cut off, or was suspended.
	hears := now.Sub(t.lastReceived) <= probeAfter
	for _, e := range t.sorted {
		if e.silent || t.live(e, now) {
			continue
		}
		t.markSilent(e)
		if hears && e.Zone == t.self.Zone {
			t.setUpdatesLeft(e, silentRepeats)
		}
	}
	for id, at := range t.requested {
		if now.Sub(at) > ForgetAfter {
			delete(t.requested, id)
		}
	}
}

// markSilent marks a box as silent.
func (t *Table) markSilent(e *entry) {
	e.silent = true
	t.generation++
	t.OnChange(e.Record, "silent")
}

// add puts a box that was not known into the table.
func (t *Table) add(e *entry) {
	t.members[e.Box], t.ids[e.ID] = e, e
	t.sorted = insertByName(t.sorted, e)
	t.setZone(e)
	t.generation++
}

// setZone moves a box into its zone's list of members.
func (t *Table) setZone(e *entry) {
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
