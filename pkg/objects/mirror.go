package objects

import (
	"bytes"
	"hash/fnv"
	"sort"
	"strconv"
	"sync"
)

// Mirror is this box's copy of all objects of one kind. It accepts lists and events from the
// store and from other boxes, in any order, and never returns to an older state.
type Mirror struct {
	Kind string
	// OnChange is called with each object that was changed or deleted, in the order of the
	// changes. It runs under the mirror's lock and must not call the mirror.
	OnChange func(o Object, gone bool)

	mu     sync.Mutex
	items  map[string]Object
	extent Extent
	synced bool
	digest uint32
	// changes[first:] are the latest changes in their order. Changes up to revision trimmedTo
	// may be missing.
	changes   []change
	first     int
	trimmedTo uint64
}

// Extent is the range of revisions that a list or a set of changes reflects.
type Extent struct {
	// CompleteTo is the revision up to which all changes are included.
	CompleteTo uint64 `json:"at"`
	// PartialTo is the revision after which no change is included. The pages of a long list
	// are read one after the other, and changes made meanwhile are in some of them only.
	PartialTo uint64 `json:"up_to,omitempty"`
}

// Exactly returns the extent of a state of the store at exactly one revision.
func Exactly(revision uint64) Extent { return Extent{CompleteTo: revision, PartialTo: revision} }

// merge returns the extent of the two states together.
func (e Extent) merge(other Extent) Extent {
	return Extent{CompleteTo: max(e.CompleteTo, other.CompleteTo), PartialTo: max(e.PartialTo, other.PartialTo, e.CompleteTo, other.CompleteTo)}
}

// change is a change of one object, made at maxRevision or before.
type change struct {
	event       Event
	maxRevision uint64
}

// maxChanges bounds the changes that a mirror keeps for other boxes.
const maxChanges = 1024

// Version lets boxes compare their mirrors.
type Version struct {
	// Revision is the store's revision up to which all changes are known.
	Revision uint64 `json:"at"`
	// Digest is equal for mirrors with equal objects.
	Digest uint32 `json:"digest"`
}

// NewerThan reports whether a mirror of this version holds something that one of the other
// version lacks.
func (v Version) NewerThan(other Version) bool {
	return v.Digest != other.Digest && v.Revision > other.Revision
}

// NewMirror returns an empty mirror.
func NewMirror(kind string) *Mirror {
	return &Mirror{Kind: kind, OnChange: func(Object, bool) {}, items: map[string]Object{}}
}

// Load applies a whole list and returns true. If the list is older than the mirror, it changes
// nothing and returns false.
//
// The list may omit objects that were created and deleted in the meantime, which another
// mirror may hold. So changes from before the list are no longer passed on to other boxes;
// these take the whole list instead.
func (m *Mirror) Load(items []Object, extent Extent) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.synced && extent.CompleteTo < m.extent.CompleteTo {
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
			m.OnChange(o, true)
		}
	}
	m.synced = true
	m.extent = m.extent.merge(extent)
	clear(m.changes)
	m.changes, m.first = m.changes[:0], 0
	m.trimmedTo = m.extent.PartialTo
	return true
}

// Apply applies events that start from the mirror's revision.
func (m *Mirror) Apply(events []Event, extent Extent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.extent.CompleteTo
	m.extent = m.extent.merge(extent)
	for _, e := range events {
		known, ok := m.items[e.Object.Name]
		switch {
		case e.Deleted && !ok:
			// Other mirrors may hold it.
			m.record(e)
		case e.Deleted && (e.Object.Revision == 0 || known.Revision <= e.Object.Revision):
			m.remove(known)
			m.record(e)
			m.OnChange(known, true)
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
	if !ok || o.Made != "" || !bytes.Equal(known.Spec, o.Spec) || !bytes.Equal(known.Status, o.Status) {
		m.OnChange(o, false)
	}
	return true
}

// record keeps a change for other boxes. The change may be as new as anything in the mirror,
// so PartialTo is used as its revision: a list may contain changes newer than its CompleteTo,
// and with CompleteTo as the revision such a change would not be passed on to boxes that are
// already past that.
func (m *Mirror) record(e Event) {
	m.changes = append(m.changes, change{event: e, maxRevision: m.extent.PartialTo})
	if len(m.changes)-m.first > maxChanges {
		m.trimmedTo = m.changes[m.first].maxRevision
		m.first++
	}
	if m.first == maxChanges {
		// Move the entries only once per maxChanges changes: moving all of them with each
		// change takes longer than the rest of it.
		kept := copy(m.changes, m.changes[m.first:])
		clear(m.changes[kept:])
		m.changes, m.first = m.changes[:kept], 0
	}
}

// EventsSince returns the changes since a revision and the extent reached with them; ok is
// false if these changes are no longer known.
func (m *Mirror) EventsSince(revision uint64) (events []Event, extent Extent, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || revision < m.trimmedTo {
		return nil, Extent{}, false
	}
	for _, c := range m.changes[m.first:] {
		if c.maxRevision > revision {
			events = append(events, c.event)
		}
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
	return Version{Revision: m.extent.CompleteTo, Digest: m.digest}
}

// Lacks reports whether a mirror of the given version holds something that this one does not.
// A mirror without a list lacks any list, even an empty one.
func (m *Mirror) Lacks(v Version) bool { return m.Comparison()(v) }

// Comparison returns a function that compares other versions with the mirror as it is now,
// like Lacks, and does not lock the mirror.
func (m *Mirror) Comparison() (lacks func(v Version) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	synced, own := m.synced, Version{Revision: m.extent.CompleteTo, Digest: m.digest}
	return func(v Version) bool { return !synced || v.NewerThan(own) }
}

// Synced reports whether the mirror has loaded a whole list.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
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
