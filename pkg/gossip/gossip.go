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
	// clients any more.
	SuspectAfter = 5 * Interval
	// forgetAfter is how long a silent box counts among those that may still
	// be sending requests.
	forgetAfter = time.Minute
	// fanOut bounds the boxes that one heartbeat goes to.
	fanOut = 16
	// relayed is how many other records a heartbeat carries, and relayEvery:
	// only one in so many carries any. They are for boxes that cannot hear
	// each other, and for those that have just started.
	relayed    = 3
	relayEvery = 4
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
	// Beat rises with each heartbeat of a life.
	Beat    uint64 `json:"beat"`
	Ready   bool   `json:"ready,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// Untroubled: the store has answered this box without fail for a while.
	Untroubled bool `json:"untroubled,omitempty"`
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

// Member is another box as this one sees it.
type Member struct {
	Record
	// Silent is how long its heartbeats have not risen.
	Silent time.Duration
}

// Live reports whether the box may be named to clients.
func (m *Member) Live() bool { return m.Silent <= SuspectAfter }

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

// Beat returns the next heartbeat and the addresses that it goes to.
func (t *Table) Beat() (Message, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	t.beats++
	m := Message{From: t.self}
	live, silent := t.addresses()
	shuffle(live, t.Random)
	to := live[:min(len(live), fanOut)]
	if t.beats%deadEvery == 1 {
		shuffle(silent, t.Random)
		to = append(to, silent[:min(len(silent), fanOut)]...)
	}
	if t.beats%relayEvery == 0 {
		m.Others = t.sample()
	}
	return m, to
}

// Announce returns a heartbeat out of turn, and the addresses of the live
// boxes of this box's zone.
func (t *Table) Announce() (Message, []string) {
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
	return Message{From: t.self}, to
}

// Ahead returns how many boxes of this box's zone come before it by name, have
// been heard within the time, and had the store answer them.
func (t *Table) Ahead(within time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead := 0
	now := t.Now()
	for _, e := range t.members {
		if e.Zone == t.self.Zone && e.Box < t.self.Box && e.Untroubled && !e.Leaving && now.Sub(e.heard) <= within {
			ahead++
		}
	}
	return ahead
}

// addresses returns where live boxes are, and where silent ones and seeds
// that are not known may be.
func (t *Table) addresses() (live, silent []string) {
	known := map[string]bool{t.self.Peers: true}
	now := t.Now()
	for _, e := range t.sorted() {
		if now.Sub(e.heard) > forgetAfter {
			continue
		}
		known[e.Peers] = true
		if now.Sub(e.heard) <= SuspectAfter {
			live = append(live, e.Peers)
		} else {
			silent = append(silent, e.Peers)
		}
	}
	for _, seed := range t.Seeds() {
		if !known[seed] {
			known[seed] = true
			silent = append(silent, seed)
		}
	}
	return live, silent
}

func (t *Table) sample() []Record {
	var others []Record
	now := t.Now()
	for _, e := range t.sorted() {
		if now.Sub(e.heard) <= Interval*2 {
			others = append(others, e.Record)
		}
	}
	shuffle(others, t.Random)
	others = others[:min(len(others), relayed)]
	for i := range others {
		// What a box's mirrors hold is asked of that box itself.
		others[i].Versions = nil
	}
	return others
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
		t.members[r.Box] = &entry{Record: *r, heard: t.Now()}
		t.Changed(*r, "seen")
		return true
	}
	if !r.newer(&old.Record) {
		return false
	}
	restarted := r.Started != old.Started
	versions := old.Versions
	old.Record = *r
	if !direct && !restarted {
		old.Versions = versions
	}
	old.heard = t.Now()
	if old.silent || restarted {
		old.silent = false
		t.Changed(*r, "back")
	}
	return restarted
}

// Members returns the other boxes by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	list := make([]Member, 0, len(t.members))
	for _, e := range t.sorted() {
		list = append(list, Member{Record: e.Record, Silent: now.Sub(e.heard)})
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
		if !e.silent && now.Sub(e.heard) > SuspectAfter {
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
