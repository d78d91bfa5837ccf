// Package gossip keeps boxes aware of each other. Each box sends heartbeats
// to others as datagrams, with its own record and a few that it heard of; a
// box is live while its heartbeats rise, whoever passed them on.
//
// Datagrams are used and not connections, since a heartbeat that is lost is
// replaced by the next, and none may hang on a box that is cut off.
//
// This package has no input or output: Messages are handed in and out.
package gossip

import (
	"sort"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// Tuning of heartbeats.
const (
	// Interval is the time between two heartbeats of a box.
	Interval = 500 * time.Millisecond
	// SuspectAfter is how long a box may be silent before it is not named to
	// clients any more; SuspectFarAfter the same for one of another zone,
	// whose heartbeats come by chance where boxes are many.
	SuspectAfter    = 5 * Interval
	SuspectFarAfter = 8 * Interval
	// forgetAfter is how long a silent box counts among those that may still
	// be sending requests.
	forgetAfter = time.Minute
	// zoneFanOut and farFanOut bound the boxes of the own zone and of others
	// that one heartbeat goes to.
	zoneFanOut = 16
	farFanOut  = 12
	// relayed bounds the records that a heartbeat within the zone carries of
	// boxes of other zones, as they were heard since the one before.
	relayed = 12
	// relayEvery: one in so many heartbeats to other zones carries records of
	// this zone's boxes, relayedFar at most, for boxes that cannot hear them.
	relayEvery = 4
	relayedFar = 3
	// deadEvery: one in so many heartbeats also goes to silent boxes, so that
	// boxes find each other again after a cut.
	deadEvery = 4
)

// Record is what a box tells of itself.
type Record struct {
	Box  string `json:"box"`
	Zone string `json:"zone"`
	// Clients and Peers are the box's addresses.
	Clients string `json:"clients"`
	Peers   string `json:"peers"`
	// Started tells the lives of a box apart, in nanoseconds of its clock.
	Started int64 `json:"started"`
	// Capacity is about how many requests a second the box bears; 0 if that is
	// not known.
	Capacity float64 `json:"capacity,omitempty"`
	// Beat rises with each heartbeat of a life.
	Beat    uint64 `json:"beat"`
	Ready   bool   `json:"ready,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// StoreHealthy: the store has answered this box without fail for a while.
	StoreHealthy bool `json:"store_healthy,omitempty"`
	// Trying: the box asks the store, but has no healthy contact with it.
	Trying bool `json:"trying,omitempty"`
	// Versions tells how new the box's mirrors are, by kind.
	Versions map[string]objects.Version `json:"versions,omitempty"`
}

// newer reports whether r replaces old.
func (r *Record) newer(old *Record) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	return r.Beat > old.Beat
}

// Message is one heartbeat.
type Message struct {
	From   Record   `json:"from"`
	Others []Record `json:"others,omitempty"`
}

// Envelope is a message and the addresses that it goes to.
type Envelope struct {
	Message Message
	To      []string
}

// Member is another box as this one sees it.
type Member struct {
	Record
	// Silent is how long its heartbeats have not risen.
	Silent time.Duration
	// bound is how long it may be silent.
	bound time.Duration
}

// Live reports whether the box may be named to clients.
func (m *Member) Live() bool { return m.Silent <= m.bound }

// Table holds what is known of all boxes.
type Table struct {
	// Seeds are addresses at which boxes may be found.
	Seeds func() []string
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Random returns a number in [0, n).
	Random func(n int) int
	// Changed is told when a box is first heard, comes back or falls silent.
	Changed func(r Record, what string)

	mu      sync.Mutex
	self    Record
	members map[string]*entry
	beats   int
}

type entry struct {
	Record
	heard  time.Time
	silent bool
	// fresh: it was heard from itself since this box's last heartbeat.
	fresh bool
}

// bound is how long the box may be silent.
func (t *Table) bound(e *entry) time.Duration {
	if e.Zone == t.self.Zone {
		return SuspectAfter
	}
	return SuspectFarAfter
}

// NewTable makes a table that knows only this box.
func NewTable(self Record, now func() time.Time, random func(n int) int) *Table {
	return &Table{
		Seeds: func() []string { return nil }, Now: now, Random: random, Changed: func(Record, string) {},
		self: self, members: map[string]*entry{},
	}
}

// Update changes this box's own record.
func (t *Table) Update(change func(self *Record)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.self)
}

// Beat returns the next heartbeat: one message for the own zone, which passes
// on what was heard of other zones, and one for some boxes of those.
func (t *Table) Beat() []Envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.beats++
	zone, far, silent := t.addresses()
	shuffle(zone, t.Random)
	shuffle(far, t.Random)
	to := far[:min(len(far), farFanOut)]
	if t.beats%deadEvery == 1 {
		shuffle(silent, t.Random)
		to = append(to, silent[:min(len(silent), farFanOut)]...)
	}
	near, others := t.heard()
	farMessage := Message{From: t.self}
	if t.beats%relayEvery == 0 {
		farMessage.Others = near[:min(len(near), relayedFar)]
	}
	return []Envelope{
		{Message: Message{From: t.self, Others: others[:min(len(others), relayed)]}, To: zone[:min(len(zone), zoneFanOut)]},
		{Message: farMessage, To: to},
	}
}

// Introduce returns messages for a box that was not known: all live boxes, in
// parts that fit datagrams.
func (t *Table) Introduce() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	messages := []Message{{From: t.self}}
	for _, e := range t.sorted() {
		if t.Now().Sub(e.heard) > t.bound(e) {
			continue
		}
		last := &messages[len(messages)-1]
		if len(last.Others) == relayed {
			messages = append(messages, Message{From: t.self})
			last = &messages[len(messages)-1]
		}
		r := e.Record
		r.Versions = nil
		last.Others = append(last.Others, r)
	}
	return messages
}

// Announce returns a heartbeat out of turn, and the addresses of the live
// boxes of this box's zone.
func (t *Table) Announce() Envelope {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	var to []string
	now := t.Now()
	for _, e := range t.sorted() {
		if e.Zone == t.self.Zone && now.Sub(e.heard) <= SuspectAfter {
			to = append(to, e.Peers)
		}
	}
	return Envelope{Message: Message{From: t.self}, To: to}
}

// Ahead returns how many boxes of this box's zone come before it by name and
// have been heard within the time, of those that had the store answer them,
// and of those that are trying.
func (t *Table) Ahead(within time.Duration) (healthy, trying int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, e := range t.members {
		if e.Zone != t.self.Zone || e.Box >= t.self.Box || e.Leaving || now.Sub(e.heard) > within {
			continue
		}
		switch {
		case e.StoreHealthy:
			healthy++
		case e.Trying:
			trying++
		}
	}
	return healthy, trying
}

// addresses returns where live boxes are, of the own zone and of others, and
// where silent ones and seeds that are not known may be.
func (t *Table) addresses() (zone, far, silent []string) {
	known := map[string]bool{t.self.Peers: true}
	now := t.Now()
	for _, e := range t.sorted() {
		if now.Sub(e.heard) > forgetAfter {
			continue
		}
		known[e.Peers] = true
		switch {
		case now.Sub(e.heard) > t.bound(e):
			silent = append(silent, e.Peers)
		case e.Zone == t.self.Zone:
			zone = append(zone, e.Peers)
		default:
			far = append(far, e.Peers)
		}
	}
	for _, seed := range t.Seeds() {
		if !known[seed] {
			known[seed] = true
			silent = append(silent, seed)
		}
	}
	return zone, far, silent
}

// heard returns the records that came from boxes themselves since the last
// heartbeat, of the own zone and of others, in an order of chance.
func (t *Table) heard() (near, others []Record) {
	for _, e := range t.sorted() {
		if !e.fresh {
			continue
		}
		e.fresh = false
		r := e.Record
		// What a box's mirrors hold is asked of that box itself.
		r.Versions = nil
		if e.Zone == t.self.Zone {
			near = append(near, r)
		} else {
			others = append(others, r)
		}
	}
	shuffle(near, t.Random)
	shuffle(others, t.Random)
	return near, others
}

func (t *Table) sorted() []*entry {
	list := make([]*entry, 0, len(t.members))
	for _, e := range t.members {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Box < list[j].Box })
	return list
}

// Receive takes in a heartbeat. The return value tells whether its sender was
// not known before; such a sender should be answered at once.
func (t *Table) Receive(m *Message) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isNew = t.take(&m.From, true)
	for i := range m.Others {
		t.take(&m.Others[i], false)
	}
	return isNew
}

func (t *Table) take(r *Record, direct bool) (isNew bool) {
	if r.Box == "" || r.Box == t.self.Box {
		return false
	}
	old := t.members[r.Box]
	if old == nil {
		t.members[r.Box] = &entry{Record: *r, heard: t.Now(), fresh: direct}
		t.Changed(*r, "seen")
		return true
	}
	if !t.accepts(r, old, direct) {
		return false
	}
	restarted := r.Started != old.Started
	versions := old.Versions
	old.Record = *r
	if !direct && !restarted {
		old.Versions = versions
	}
	old.heard = t.Now()
	old.fresh = old.fresh || direct
	if old.silent || restarted {
		old.silent = false
		t.Changed(*r, "back")
	}
	return restarted
}

// accepts reports whether the record replaces what is known. What a box says
// itself of a new life counts even if its clock was set back in between, and
// so does what others say once the life that is known has fallen silent.
func (t *Table) accepts(r *Record, old *entry, direct bool) bool {
	if r.newer(&old.Record) {
		return true
	}
	return r.Started != old.Started && (direct || t.Now().Sub(old.heard) > t.bound(old))
}

// Members returns the other boxes by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	list := make([]Member, 0, len(t.members))
	for _, e := range t.sorted() {
		list = append(list, Member{Record: e.Record, Silent: now.Sub(e.heard), bound: t.bound(e)})
	}
	return list
}

// Self returns this box's own record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Count returns how many boxes may be sending requests, this one included.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 1
	now := t.Now()
	for _, e := range t.members {
		if now.Sub(e.heard) <= forgetAfter {
			count++
		}
	}
	return count
}

// Expire notes which boxes have fallen silent. Call it with each heartbeat.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	for _, e := range t.sorted() {
		if !e.silent && now.Sub(e.heard) > t.bound(e) {
			e.silent = true
			t.Changed(e.Record, "silent")
		}
	}
}

func shuffle[T any](list []T, random func(n int) int) {
	for i := len(list) - 1; i > 0; i-- {
		j := random(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}
