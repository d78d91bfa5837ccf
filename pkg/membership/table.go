// Package membership keeps track of which boxes exist and which of them are alive.
//
// The platform's list of boxes lags, so heartbeats between boxes supplement it. Each box
// increments the version of its own record at every heartbeat, and records spread from
// box to box. A box whose version has not increased for a while is suspect, then dead.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/platform"
)

// Limits of the time without a new version of a box's record.
const (
	// SuspectAfter is the time after which a box gets no new requests.
	SuspectAfter = 2 * time.Second
	// DeadAfter is the time after which a box is considered dead.
	DeadAfter = 6 * time.Second
	// ForgetAfter is the time after which a box that is not in the platform's list
	// is removed from the table.
	ForgetAfter = time.Minute
)

// State is the state of a box as seen by this box.
type State string

// The states of a box.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Dead    State = "dead"
	Leaving State = "leaving"
	// Listed means that the box is in the platform's list and no record of it has
	// arrived yet.
	Listed State = "listed"
)

// ServiceLoad is a box's share of the slots of a service, and how many are in use.
type ServiceLoad struct {
	Service string `json:"s"`
	Share   int    `json:"n"`
	InUse   int    `json:"u"`
}

// SlotViews holds, by availability zone, the boxes among which a box divides the slots of
// the zone's backend servers.
type SlotViews struct {
	// Version increases with every change, also across restarts of the box.
	Version uint64              `json:"v"`
	Zones   map[string][]string `json:"z"`
}

// ViewsVersion returns the version of the latest views, or 0 if there are none.
func (r *Record) ViewsVersion() uint64 {
	if len(r.Views) == 0 {
		return 0
	}
	return r.Views[len(r.Views)-1].Version
}

// Record is what a box reports about itself in its heartbeats.
type Record struct {
	Box         string `json:"box"`
	Zone        string `json:"zone"`
	Incarnation string `json:"inc"`
	// Started is the start of the incarnation in milliseconds since 1970 by the box's
	// clock. It orders the incarnations of a box.
	Started int64 `json:"started"`
	// Version increases with every heartbeat of an incarnation.
	Version uint64 `json:"v"`
	// AgeMS is the time since the box started, in milliseconds.
	AgeMS   int64 `json:"age"`
	Leaving bool  `json:"leaving,omitempty"`
	// Gone is set when a leaving box accepts no new requests: it has released its
	// slots except for those that Excess reports.
	Gone         bool          `json:"gone,omitempty"`
	Ready        bool          `json:"ready"`
	Callers      string        `json:"callers"`
	Peers        string        `json:"peers"`
	Operators    string        `json:"operators"`
	ConfigDigest string        `json:"config"`
	Load         []ServiceLoad `json:"load,omitempty"`
	// Partial is set on a record that was sent to another region: it lacks Views, Seen
	// and Excess.
	Partial bool `json:"partial,omitempty"`
	// Views are the active views of slots, the latest last.
	Views []SlotViews `json:"views,omitempty"`
	// Seen holds, for each box of the region, the version of the latest views received.
	Seen map[string]uint64 `json:"seen,omitempty"`
	// Excess is the number of slots that requests in flight use above this box's
	// share, by service and server.
	Excess map[string]int `json:"excess,omitempty"`
}

// newer reports whether r is newer than other, a record of the same box.
func (r *Record) newer(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Started > other.Started
	}
	return r.Version > other.Version
}

// Member is a box as seen by this box.
type Member struct {
	Record
	State State
	// LastHeard is the time of the last new version of the record, by this box's clock.
	LastHeard time.Time
	// SilentFor is the time since LastHeard.
	SilentFor time.Duration
	// InList reports whether the box is in the platform's list.
	InList bool
}

// Table holds the records of all boxes known to this box, including its own.
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

// NewTable makes an empty table.
func NewTable(self string, now func() time.Time) *Table {
	return &Table{Now: now, Self: self, SameRegion: func(string) bool { return false }, records: map[string]*entry{}, listed: map[string]platform.Box{}}
}

// Merge merges records received from another box.
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

// replaces reports whether r replaces a known record. For a box of this region, a partial
// record never replaces a full one of the same incarnation, even with a higher version,
// since the division of slots depends on the fields that it lacks.
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

// SetListed replaces the platform's list.
func (t *Table) SetListed(list []platform.Box) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[string]platform.Box, len(list))
	for _, b := range list {
		t.listed[b.Box] = b
	}
}

// ResetSilence sets LastHeard of every record to now. It is called after a suspension of
// this process, during which it could not receive heartbeats.
func (t *Table) ResetSilence() {
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.records {
		e.lastHeard = now
	}
}

// Expire removes boxes that are not in the platform's list and have been silent for
// longer than ForgetAfter.
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

// UpdatedSince returns the records that have changed since the given time, including this
// box's own.
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

// Members returns all known boxes, sorted by name.
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

// Get returns the box of that name, and whether there is a record of it.
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
