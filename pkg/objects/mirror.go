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
	// Changed is called with each object that changed, gone or not, in the
	// order of changes. It runs under the mirror's lock and must not call it.
	Changed func(o Object, gone bool)

	mu     sync.Mutex
	items  map[string]Object
	at     uint64
	synced bool
	digest uint32
	// changes are the last changes in their order, with the revision up to
	// which the mirror was brought with each; those up to forgotten are not
	// all there any more.
	changes   []change
	forgotten uint64
}

// change is a change of one object.
type change struct {
	event Event
	at    uint64
}

// maxChanges bounds the changes that a mirror remembers for other boxes.
const maxChanges = 1024

// Version tells boxes whose mirror is newer.
type Version struct {
	// At is the store's revision up to which changes are known.
	At uint64 `json:"at"`
	// Digest is equal on mirrors with equal objects.
	Digest uint32 `json:"digest"`
}

// NewerThan reports whether the mirror holds something that the other lacks.
func (v Version) NewerThan(other Version) bool { return v.Digest != other.Digest && v.At > other.At }

// NewMirror makes an empty mirror.
func NewMirror(kind string) *Mirror {
	return &Mirror{Kind: kind, Changed: func(Object, bool) {}, items: map[string]Object{}}
}

// Load takes in a whole list. One that is older than what is known changes
// nothing; the return value tells.
func (m *Mirror) Load(items []Object, at uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.synced && at < m.at {
		return false
	}
	listed := map[string]bool{}
	for _, o := range items {
		listed[o.Name] = true
		m.put(o)
	}
	for name, o := range m.items {
		if !listed[name] {
			m.drop(o)
			m.note(o, true)
		}
	}
	m.advance(at)
	if !m.synced {
		m.synced = true
		m.forgotten = at
	}
	return true
}

// Apply takes in events that lead up to the revision.
func (m *Mirror) Apply(events []Event, at uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range events {
		known, ok := m.items[e.Object.Name]
		switch {
		case e.Gone && ok && (e.Object.Revision == 0 || known.Revision <= e.Object.Revision):
			m.drop(known)
			m.note(known, true)
		case !e.Gone && (ok || e.Object.Revision > m.at || !m.synced):
			// An object that a newer list no longer held is not revived.
			m.put(e.Object)
		}
	}
	m.advance(at)
}

func (m *Mirror) put(o Object) {
	known, ok := m.items[o.Name]
	if ok && known.Revision >= o.Revision {
		return
	}
	m.set(o)
	if ok && bytes.Equal(known.Spec, o.Spec) {
		m.remember(o, false)
		return
	}
	m.note(o, false)
}

// note remembers a change and tells of it.
func (m *Mirror) note(o Object, gone bool) {
	m.remember(o, gone)
	m.Changed(o, gone)
}

// remember keeps a change for other boxes. Its revision is not known yet; see
// advance.
func (m *Mirror) remember(o Object, gone bool) {
	m.changes = append(m.changes, change{event: Event{Object: o, Gone: gone}})
	if len(m.changes) > maxChanges {
		m.forgotten = m.changes[0].at
		m.changes = append(m.changes[:0], m.changes[1:]...)
	}
}

// EventsSince returns what has changed since a revision, and the revision up
// to which that leads; ok is false if that is not known any more.
func (m *Mirror) EventsSince(at uint64) (events []Event, upTo uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.synced || at < m.forgotten {
		return nil, 0, false
	}
	for _, c := range m.changes {
		if c.at > at {
			events = append(events, c.event)
		}
	}
	return events, m.at, true
}

func (m *Mirror) advance(at uint64) {
	m.at = max(m.at, at)
	for i := len(m.changes) - 1; i >= 0 && m.changes[i].at == 0; i-- {
		m.changes[i].at = m.at
	}
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
	return Version{At: m.at, Digest: m.digest}
}

// Lacks reports whether a mirror of the version holds something that this one
// does not: any does that has a list, be it empty, where this one has none.
func (m *Mirror) Lacks(v Version) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.synced || v.NewerThan(Version{At: m.at, Digest: m.digest})
}

// Synced reports whether a whole list was ever taken in.
func (m *Mirror) Synced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.synced
}

// Items returns all objects by name, and the revision.
func (m *Mirror) Items() ([]Object, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Object, 0, len(m.items))
	for _, o := range m.items {
		list = append(list, o)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, m.at
}
