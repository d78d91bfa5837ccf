package objects

import (
	"bytes"
	"hash/fnv"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Mirror is this box's copy of all objects of one kind. It accepts lists and events from the
// store and from other boxes, in any order, and never returns to an older state. A store that has
// come back from an older copy begins a new era; see restore.
type Mirror struct {
	Kind string
	// OnChange is called with each object that was changed or deleted, in the order of the
	// changes. It runs under the mirror's lock and must not call the mirror.
	OnChange func(o Object, gone bool)
	// AppliesAtOnce reports whether a difference that the first list of a new era shows is applied
	// at once, although it may come from the older copy. known is nil for an object that the mirror
	// did not have. It runs under the mirror's lock.
	AppliesAtOnce func(known *Object, listed Object) bool
	// Now is the clock; it must be monotonic.
	Now func() time.Time

	mu    sync.Mutex
	items map[string]Object
	// deferred holds the differences that are not applied yet, by name.
	deferred map[string]deferral
	extent   Extent
	synced   bool
	digest   uint32
	changes  changeLog
}

// Extent is the range of revisions that a list or a set of changes reflects.
type Extent struct {
	// Era is the era of the revisions, which can be compared within an era only; 0 if the store
	// does not tell it.
	Era uint64 `json:"era,omitempty"`
	// EraSeenAt is the lowest revision that was seen of the era. Objects with a higher one were
	// written in the era, others may come from the copy with which it began.
	EraSeenAt uint64 `json:"era_seen_at,omitempty"`
	// CompleteTo is the revision up to which all changes are included.
	CompleteTo uint64 `json:"at"`
	// PartialTo is the revision after which no change is included. The pages of a long list
	// are read one after the other, and changes made meanwhile are in some of them only.
	PartialTo uint64 `json:"up_to,omitempty"`
}

// Exactly returns the extent of a state of the store at exactly one revision.
func Exactly(revision uint64) Extent { return Extent{CompleteTo: revision, PartialTo: revision} }

// Position is a revision of an era.
type Position struct{ Era, Revision uint64 }

// Before reports whether a position is older than another one.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// At returns the extent of a state of the store at exactly one position.
func At(p Position) Extent {
	return Extent{Era: p.Era, EraSeenAt: p.Revision, CompleteTo: p.Revision, PartialTo: p.Revision}
}

// merge returns the extent of two states of the same era together.
func (e Extent) merge(other Extent) Extent {
	seen := e.EraSeenAt
	if other.EraSeenAt > 0 && (seen == 0 || other.EraSeenAt < seen) {
		seen = other.EraSeenAt
	}
	return Extent{
		Era: max(e.Era, other.Era), EraSeenAt: seen,
		CompleteTo: max(e.CompleteTo, other.CompleteTo), PartialTo: max(e.PartialTo, other.PartialTo, e.CompleteTo, other.CompleteTo),
	}
}

// isSameEra reports whether the revisions of the two can be compared. A store that does not tell
// its era has only one.
func (e Extent) isSameEra(other Extent) bool {
	return e.Era == other.Era || e.Era == 0 || other.Era == 0
}

// Version lets boxes compare their mirrors.
type Version struct {
	// Era is the era of the revision; see Extent.
	Era uint64 `json:"era,omitempty"`
	// Revision is the store's revision up to which all changes are known.
	Revision uint64 `json:"at"`
	// Digest is equal for mirrors with equal objects.
	Digest uint32 `json:"digest"`
}

// NewerThan reports whether a mirror of this version holds something that one of the other
// version lacks.
func (v Version) NewerThan(other Version) bool {
	if v.Era != other.Era {
		return v.Era > other.Era
	}
	return v.Digest != other.Digest && v.Revision > other.Revision
}

// Position returns the revision with its era.
func (v Version) Position() Position { return Position{Era: v.Era, Revision: v.Revision} }

// NewMirror returns an empty mirror.
func NewMirror(kind string) *Mirror {
	return &Mirror{
		Kind: kind, OnChange: func(Object, bool) {}, AppliesAtOnce: func(*Object, Object) bool { return false }, Now: time.Now,
		items: map[string]Object{}, deferred: map[string]deferral{},
	}
}

// Load applies a whole list and returns true. If the list is older than the mirror, it changes
// nothing and returns false. A list of a later era replaces the mirror; see restore.
//
// The list may omit objects that were created and deleted in the meantime, which another
// mirror may hold. So changes from before the list are no longer passed on to other boxes;
// these take the whole list instead.
func (m *Mirror) Load(items []Object, extent Extent) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	isOlder := extent.CompleteTo < m.extent.CompleteTo
	switch {
	case !m.synced:
	case !extent.isSameEra(m.extent) && extent.Era < m.extent.Era:
		return false
	case !extent.isSameEra(m.extent), isOlder && m.extent.Era == 0 && extent.Era > 0:
		m.restore(items, extent)
		return true
	case isOlder:
		return false
	}
	listed := map[string]bool{}
	for _, o := range items {
		listed[o.Name] = true
		m.putNewer(o)
	}
	for name, o := range m.items {
		if !listed[name] && o.Revision <= max(extent.CompleteTo, extent.PartialTo) {
			m.remove(o)
			m.reportGone(o, true)
		}
	}
	m.synced = true
	m.extent = m.extent.merge(extent)
	m.changes.reset(m.extent.PartialTo)
	return true
}

// Apply applies events that start from the mirror's revision. Events of another era change
// nothing.
func (m *Mirror) Apply(events []Event, extent Extent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !extent.isSameEra(m.extent) {
		return
	}
	before := m.extent.CompleteTo
	m.extent = m.extent.merge(extent)
	for _, e := range events {
		known, ok := m.items[e.Object.Name]
		switch {
		case e.Deleted && !ok:
			// Other mirrors may hold it.
			m.record(e)
			m.reportGone(e.Object, false)
		case e.Deleted && (e.Object.Revision == 0 || known.Revision <= e.Object.Revision):
			m.remove(known)
			m.record(e)
			m.reportGone(known, true)
		case !e.Deleted && (ok || e.Object.Revision > before || !m.synced):
			// An object that is missing from a newer list must not be added again.
			m.putAndRecord(e.Object)
		}
	}
}

// putAndRecord stores an object and records it as a change, unless the mirror has the same or
// a newer revision of it.
func (m *Mirror) putAndRecord(o Object) {
	if m.putNewer(o) {
		m.record(Event{Object: o})
	}
}

// putNewer stores an object and reports true, unless the mirror has the same or a newer
// revision of it.
func (m *Mirror) putNewer(o Object) bool {
	known, ok := m.items[o.Name]
	if ok && known.Revision >= o.Revision {
		return false
	}
	m.set(o)
	applied, has := m.takeApplied(o.Name, known, ok)
	if !has || !sameContent(&applied, &o) {
		m.report(o, false)
	}
	return true
}

// report calls OnChange.
func (m *Mirror) report(o Object, gone bool) {
	o.Era = m.extent.Era
	m.OnChange(o, gone)
}

// sameContent reports whether a change from one object to the other is to be reported.
func sameContent(a, b *Object) bool {
	return b.Made == "" && bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status)
}

// reportGone reports an object as deleted that was reported before. had is true if the mirror has
// had it until now.
func (m *Mirror) reportGone(o Object, had bool) {
	if applied, wasReported := m.takeApplied(o.Name, o, had); wasReported {
		m.report(applied, true)
	}
}

// record keeps a change for other boxes. The change may be as new as anything in the mirror,
// so PartialTo is used as its revision: a list may contain changes newer than its CompleteTo,
// and with CompleteTo as the revision such a change would not be passed on to boxes that are
// already past that.
func (m *Mirror) record(e Event) { m.changes.add(e, m.extent.PartialTo) }

// EventsSince returns the changes since a position and the extent reached with them; ok is
// false if these changes are no longer known, as are those since another era. An object that has
// changed several times is in its last state only.
func (m *Mirror) EventsSince(since Position) (events []Event, extent Extent, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || since.Era != m.extent.Era {
		return nil, Extent{}, false
	}
	events, ok = m.changes.since(since.Revision, m.items)
	if !ok {
		return nil, Extent{}, false
	}
	return events, m.extent, true
}

// digestOf returns an object's part of the digest. The digest is the exclusive or of all
// parts, so that the cost of a change does not depend on the length of the list.
func digestOf(o *Object) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Name))
	_, _ = h.Write([]byte(strconv.FormatUint(o.Revision, 10)))
	return h.Sum32()
}

// set stores an object, replacing the one with the same name.
func (m *Mirror) set(o Object) {
	if known, ok := m.items[o.Name]; ok {
		m.digest ^= digestOf(&known)
	}
	m.items[o.Name] = o
	m.digest ^= digestOf(&o)
}

// remove deletes an object.
func (m *Mirror) remove(o Object) {
	m.digest ^= digestOf(&o)
	delete(m.items, o.Name)
}

// Version returns the version of the mirror.
func (m *Mirror) Version() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version()
}

func (m *Mirror) version() Version {
	return Version{Era: m.extent.Era, Revision: m.extent.CompleteTo, Digest: m.digest}
}

// Lacks reports whether a mirror of the given version holds something that this one does not.
// A mirror without a list lacks any list, even an empty one.
func (m *Mirror) Lacks(v Version) bool { return m.Comparison()(v) }

// Comparison returns a function that compares other versions with the mirror as it is now,
// like Lacks, and does not lock the mirror.
func (m *Mirror) Comparison() (lacks func(v Version) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	synced, own := m.synced, m.version()
	return func(v Version) bool { return !synced || v.NewerThan(own) }
}

// Synced reports whether the mirror has loaded a whole list.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Usage is what a mirror holds.
type Usage struct {
	// Objects is the number of objects, and ObjectBytes the length of their names and contents.
	Objects, ObjectBytes int
	// Changes is the number of changes that are kept for other boxes, and ChangeBytes the length of
	// what they hold.
	Changes, ChangeBytes int
}

// Usage returns what the mirror holds.
func (m *Mirror) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := Usage{Objects: len(m.items), Changes: m.changes.entries.Len(), ChangeBytes: m.changes.nameBytes}
	for _, o := range m.items {
		u.ObjectBytes += o.Size()
	}
	return u
}

// Items returns all objects sorted by name, and their extent.
func (m *Mirror) Items() ([]Object, Extent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Object, 0, len(m.items))
	for _, o := range m.items {
		list = append(list, o)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, m.extent
}
