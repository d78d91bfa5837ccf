// Package membership knows which boxes there are and which of them are alive.
//
// The platform's list says which boxes exist; it lags. The exchange between
// boxes corrects it: each box raises the version of its own record at every
// heartbeat, records spread from box to box, and a record whose version has
// not risen for a while belongs to a box that is suspected, then dead.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/platform"
)

// How long a box may be silent.
const (
	// SuspectAfter is the silence after which a box gets no new work.
	SuspectAfter = 2 * time.Second
	// DeadAfter is the silence after which a box counts as dead.
	DeadAfter = 6 * time.Second
	// ForgetAfter is the silence after which a box that the platform's list
	// does not name is forgotten.
	ForgetAfter = time.Minute
)

// State is how a box seems to be.
type State string

// The states of a box.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Dead    State = "dead"
	Leaving State = "leaving"
	// Listed: named by the platform's list, not heard of yet.
	Listed State = "listed"
)

// ServiceLoad is what a box tells about its part of one service's slots.
type ServiceLoad struct {
	Service string `json:"s"`
	Share   int    `json:"n"`
	InUse   int    `json:"u"`
}

// SlotViews lists, by availability zone, the boxes among which a box splits
// the slots of that zone's backend servers.
type SlotViews struct {
	// Version rises with every change, also over restarts of the box.
	Version uint64              `json:"v"`
	Zones   map[string][]string `json:"z"`
}

// ViewsVersion returns the version of the latest views; 0 if there are none.
func (r *Record) ViewsVersion() uint64 {
	if len(r.Views) == 0 {
		return 0
	}
	return r.Views[len(r.Views)-1].Version
}

// Record is what a box says of itself.
type Record struct {
	Box         string `json:"box"`
	Zone        string `json:"zone"`
	Incarnation string `json:"inc"`
	// Started orders a box's lives: milliseconds since 1970 by its own clock.
	Started int64 `json:"started"`
	// Version rises with every heartbeat of one life.
	Version uint64 `json:"v"`
	// AgeMS is how long the box has run.
	AgeMS   int64 `json:"age"`
	Leaving bool  `json:"leaving,omitempty"`
	// Gone is set when a leaving box takes nothing new: it has given up its
	// slots but for the excess that it tells.
	Gone         bool          `json:"gone,omitempty"`
	Ready        bool          `json:"ready"`
	Callers      string        `json:"callers"`
	Peers        string        `json:"peers"`
	Operators    string        `json:"operators"`
	ConfigDigest string        `json:"config"`
	Load         []ServiceLoad `json:"load,omitempty"`
	// Partial is set on a record that left its region: it lacks the views,
	// what was seen, and the excess.
	Partial bool `json:"partial,omitempty"`
	// Views are the views of slots that still count, the latest last.
	Views []SlotViews `json:"views,omitempty"`
	// Seen has the version of the latest views seen of each box of the region.
	Seen map[string]uint64 `json:"seen,omitempty"`
	// Excess tells, by service and server, by how much requests in flight
	// keep this box above its part.
	Excess map[string]int `json:"excess,omitempty"`
}

// newer reports whether r is later news than other of the same box.
func (r *Record) newer(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Started > other.Started
	}
	return r.Version > other.Version
}

// Member is a box as this box sees it.
type Member struct {
	Record
	State State
	// LastHeard is when the record's version last rose, by this box's clock.
	LastHeard time.Time
	// SilentFor is how long ago that was.
	SilentFor time.Duration
	// InList is true if the platform's list names the box.
	InList bool
}

// Table is this box's view of all boxes, its own record included.
type Table struct {
	Now func() time.Time
	// Self is the name of this box.
	Self string
	// SameRegion reports whether a zone is in this box's region.
	SameRegion func(zone string) bool

	mu      sync.RWMutex
	records map[string]*entry
	listed  map[string]platform.Box
}

type entry struct {
	record    Record
	lastHeard time.Time
}

// NewTable makes a table that knows only its own box.
func NewTable(self string, now func() time.Time) *Table {
	return &Table{Now: now, Self: self, SameRegion: func(string) bool { return false }, records: map[string]*entry{}, listed: map[string]platform.Box{}}
}

// Merge takes in records heard from another box.
func (t *Table) Merge(records []Record) {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if r.Box == t.Self || r.Box == "" {
			continue
		}
		e, ok := t.records[r.Box]
		if !ok {
			t.records[r.Box] = &entry{record: r, lastHeard: now}
			continue
		}
		if t.replaces(&r, &e.record) {
			e.record, e.lastHeard = r, now
		}
	}
}

// replaces reports whether r takes the place of a record. Of a box of this
// region, a partial record must never hide what a full one of the same life
// says, though its version be higher: the slots depend on it.
func (t *Table) replaces(r, known *Record) bool {
	if r.Incarnation == known.Incarnation && t.SameRegion(r.Zone) && r.Partial != known.Partial {
		return known.Partial
	}
	return r.newer(known)
}

// SetSelf replaces this box's own record.
func (t *Table) SetSelf(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[t.Self] = &entry{record: r, lastHeard: t.Now()}
}

// SetListed takes in the platform's list.
func (t *Table) SetListed(list []platform.Box) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[string]platform.Box, len(list))
	for _, b := range list {
		t.listed[b.Box] = b
	}
}

// ResetSilence restarts the clock of every record, after this process stood
// still: the silence was its own.
func (t *Table) ResetSilence() {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.records {
		e.lastHeard = now
	}
}

// Expire forgets boxes that are long silent and no longer listed.
func (t *Table) Expire() {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, e := range t.records {
		if _, ok := t.listed[name]; !ok && name != t.Self && now.Sub(e.lastHeard) > ForgetAfter {
			delete(t.records, name)
		}
	}
}

// UpdatedSince returns the records that rose since the given time, own one included.
func (t *Table) UpdatedSince(since time.Time) []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var news []Record
	for _, e := range t.records {
		if !e.lastHeard.Before(since) {
			news = append(news, e.record)
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].Box < news[j].Box })
	return news
}

// Members returns every box known, by name.
func (t *Table) Members() []Member {
	now := t.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	members := make([]Member, 0, len(t.records)+len(t.listed))
	for _, e := range t.records {
		members = append(members, t.member(e, now))
	}
	for name, b := range t.listed {
		if _, known := t.records[name]; !known {
			members = append(members, Member{
				Record: Record{Box: b.Box, Zone: b.Zone, Callers: b.Callers, Peers: b.Peers, Operators: b.Operators, Leaving: b.Leaving},
				State:  Listed,
				InList: true,
			})
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Box < members[j].Box })
	return members
}

// Get returns one box.
func (t *Table) Get(box string) (Member, bool) {
	now := t.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.records[box]
	if !ok {
		return Member{}, false
	}
	return t.member(e, now), true
}

func (t *Table) member(e *entry, now time.Time) Member {
	m := Member{Record: e.record, LastHeard: e.lastHeard, SilentFor: now.Sub(e.lastHeard)}
	listed, ok := t.listed[e.record.Box]
	m.InList = ok
	switch {
	case e.record.Box == t.Self:
		m.State, m.SilentFor = Live, 0
	case m.Gone:
		m.State = Dead
	case m.SilentFor > DeadAfter:
		m.State = Dead
	case m.SilentFor > SuspectAfter:
		m.State = Suspect
	default:
		m.State = Live
	}
	if m.State == Live && (m.Leaving || (ok && listed.Leaving)) {
		m.State = Leaving
	}
	return m
}
