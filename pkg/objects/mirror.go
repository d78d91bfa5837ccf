package objects

import (
	"bytes"
	"hash/fnv"
	"sort"
	"strconv"
	"sync"
)

// Mirror is this box's copy of all objects of one kind. It takes in lists and
// events from the store and lists from other boxes, in any order, and never
// goes back to an older list.
type Mirror struct {
	Kind string
	// OnChange is called with each object that changed, gone or not, in the
	// order of changes. It runs under the mirror's lock and must not call it.
	OnChange func(o Object, gone bool)

	mu     sync.Mutex
	items  map[string]Object
	held   Extent
	synced bool
	digest uint32
	// changes are the last changes in their order, from oldest on; those up to forgotten are not
	// all there.
	changes   []change
	oldest    int
	forgotten uint64
}

// Extent tells how far a list, or some changes, follow the store.
type Extent struct {
	// CompleteTo: all that changed up to this revision is in it.
	CompleteTo uint64 `json:"at"`
	// PartialTo: nothing that changed after this revision is. The pages of a long list
	// are read one after the other, and what changes meanwhile is in some of them.
	PartialTo uint64 `json:"up_to,omitempty"`
}

// Exactly is the extent of what is as the store was at one revision.
func Exactly(at uint64) Extent { return Extent{CompleteTo: at, PartialTo: at} }

// and returns the extent of what two things together hold.
func (e Extent) and(other Extent) Extent {
	return Extent{CompleteTo: max(e.CompleteTo, other.CompleteTo), PartialTo: max(e.PartialTo, other.PartialTo, e.CompleteTo, other.CompleteTo)}
}

// change is a change of one object. It was made at the revision upTo or before.
type change struct {
	event Event
	upTo  uint64
}

// maxChanges bounds the changes that a mirror remembers for other boxes.
const maxChanges = 1024

// Version tells boxes whose mirror is newer.
type Version struct {
	// Revision is the store's revision up to which changes are known.
	Revision uint64 `json:"at"`
	// Digest is equal on mirrors with equal objects.
	Digest uint32 `json:"digest"`
}

// NewerThan reports whether the mirror holds something that the other lacks.
func (v Version) NewerThan(other Version) bool {
	return v.Digest != other.Digest && v.Revision > other.Revision
}

// NewMirror makes an empty mirror.
func NewMirror(kind string) *Mirror {
	return &Mirror{Kind: kind, OnChange: func(Object, bool) {}, items: map[string]Object{}}
}

// Load takes in a whole list. One that is older than what is known changes
// nothing; the return value tells.
//
// The list may skip objects that came and went, which another mirror holds. So what
// changed since before it is not told to others from then on; they take the whole list.
func (m *Mirror) Load(items []Object, held Extent) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.synced && held.CompleteTo < m.held.CompleteTo {
		return false
	}
	listed := map[string]bool{}
	for _, o := range items {
		listed[o.Name] = true
		m.take(o)
	}
	for name, o := range m.items {
		if !listed[name] && o.Revision <= max(held.CompleteTo, held.PartialTo) {
			m.drop(o)
			m.OnChange(o, true)
		}
	}
	m.synced = true
	m.held = m.held.and(held)
	clear(m.changes)
	m.changes, m.oldest = m.changes[:0], 0
	m.forgotten = m.held.PartialTo
	return true
}

// Apply takes in events that lead on from the mirror's revision.
func (m *Mirror) Apply(events []Event, held Extent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.held.CompleteTo
	m.held = m.held.and(held)
	for _, e := range events {
		known, ok := m.items[e.Object.Name]
		switch {
		case e.Deleted && !ok:
			// Others may hold it.
			m.remember(e)
		case e.Deleted && (e.Object.Revision == 0 || known.Revision <= e.Object.Revision):
			m.drop(known)
			m.remember(e)
			m.OnChange(known, true)
		case !e.Deleted && (ok || e.Object.Revision > before || !m.synced):
			// An object that a newer list no longer held is not revived.
			m.put(e.Object)
		}
	}
}

// put takes in an object unless the mirror has it as new or newer, and remembers it as a change.
func (m *Mirror) put(o Object) {
	if m.take(o) {
		m.remember(Event{Object: o})
	}
}

// take takes in an object, and reports whether the mirror did not have it as new or newer.
func (m *Mirror) take(o Object) bool {
	known, ok := m.items[o.Name]
	if ok && known.Revision >= o.Revision {
		return false
	}
	m.set(o)
	if !ok || !bytes.Equal(known.Spec, o.Spec) || !bytes.Equal(known.Status, o.Status) {
		m.OnChange(o, false)
	}
	return true
}

// remember keeps a change for other boxes. It may be as new as anything that the
// mirror holds, and counts as such: told by the revision that the mirror had come to,
// a change that a list had brought early was told to nobody who had come further.
func (m *Mirror) remember(e Event) {
	m.changes = append(m.changes, change{event: e, upTo: m.held.PartialTo})
	if len(m.changes)-m.oldest > maxChanges {
		m.forgotten = m.changes[m.oldest].upTo
		m.oldest++
	}
	if m.oldest == maxChanges {
		// Moved together once in a while: to move all with each change takes longer than all else of it.
		kept := copy(m.changes, m.changes[m.oldest:])
		clear(m.changes[kept:])
		m.changes, m.oldest = m.changes[:kept], 0
	}
}

// EventsSince returns what has changed since a revision, and how far that leads; ok
// is false if that is not known any more.
func (m *Mirror) EventsSince(at uint64) (events []Event, held Extent, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || at < m.forgotten {
		return nil, Extent{}, false
	}
	for _, c := range m.changes[m.oldest:] {
		if c.upTo > at {
			events = append(events, c.event)
		}
	}
	return events, m.held, true
}

// digestOf is an object's part of the digest. The digest is the exclusive or of
// all parts, so that a change costs as much in a long list as in a short one.
func digestOf(o *Object) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Name))
	_, _ = h.Write([]byte(strconv.FormatUint(o.Revision, 10)))
	return h.Sum32()
}

// set puts an object in the place of the one of its name.
func (m *Mirror) set(o Object) {
	if known, ok := m.items[o.Name]; ok {
		m.digest ^= digestOf(&known)
	}
	m.items[o.Name] = o
	m.digest ^= digestOf(&o)
}

// drop removes an object.
func (m *Mirror) drop(o Object) {
	m.digest ^= digestOf(&o)
	delete(m.items, o.Name)
}

// Version returns how new the mirror is.
func (m *Mirror) Version() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Version{Revision: m.held.CompleteTo, Digest: m.digest}
}

// Lacks reports whether a mirror of the version holds something that this one
// does not: any does that has a list, be it empty, where this one has none.
func (m *Mirror) Lacks(v Version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.synced || v.NewerThan(Version{Revision: m.held.CompleteTo, Digest: m.digest})
}

// Synced reports whether a whole list was ever taken in.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Items returns all objects by name, and how far they follow the store.
func (m *Mirror) Items() ([]Object, Extent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Object, 0, len(m.items))
	for _, o := range m.items {
		list = append(list, o)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, m.held
}
