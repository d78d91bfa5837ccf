package objects

import "container/list"

const (
	// maxChanges bounds the changes that a mirror keeps for other boxes, and maxChangeBytes the
	// length of their names.
	maxChanges     = 1024
	maxChangeBytes = 128 << 10
)

// changeLog lists the objects of a mirror that have changed or were deleted, in the order of their
// last changes. It holds names and no contents: another box is sent the objects as they are when
// it asks, so that what the log holds depends neither on how long an object is nor on how often it
// changes.
type changeLog struct {
	// entries are of type *change, and byName holds them by the object's name.
	entries list.List
	byName  map[string]*list.Element
	// nameBytes is the length of the names.
	nameBytes int
	// trimmedTo is the revision up to which changes may be missing.
	trimmedTo uint64
}

// change is the last change of an object, made at maxRevision or before.
type change struct {
	name        string
	maxRevision uint64
	// deleted is the last deletion of the object, which may have been created again since; nil if
	// there is none.
	deleted *deletion
}

// deletion is a deletion of an object, made at maxRevision or before. revision is the one that the
// store gave the event.
type deletion struct {
	revision, maxRevision uint64
}

// add records a change. Revisions must not fall.
func (l *changeLog) add(e Event, maxRevision uint64) {
	c := l.take(e.Object.Name)
	c.maxRevision = maxRevision
	if e.Deleted {
		c.deleted = &deletion{revision: e.Object.Revision, maxRevision: maxRevision}
	}
	if l.byName == nil {
		l.byName = map[string]*list.Element{}
	}
	l.byName[c.name] = l.entries.PushBack(c)
	l.nameBytes += len(c.name)
	for l.entries.Len() > maxChanges || l.nameBytes > maxChangeBytes {
		oldest := l.entries.Front().Value.(*change)
		l.trimmedTo = oldest.maxRevision
		l.take(oldest.name)
	}
}

// take removes the change of an object and returns it, or a new one if there is none.
func (l *changeLog) take(name string) *change {
	known, ok := l.byName[name]
	if !ok {
		return &change{name: name}
	}
	delete(l.byName, name)
	l.nameBytes -= len(name)
	return l.entries.Remove(known).(*change)
}

// reset forgets all changes; those up to a revision may be missing from now on.
func (l *changeLog) reset(trimmedTo uint64) { *l = changeLog{trimmedTo: trimmedTo} }

// since returns the changes after a revision, given the objects as they are now. ok is false if
// some of them are no longer known.
func (l *changeLog) since(revision uint64, items map[string]Object) (events []Event, ok bool) {
	if revision < l.trimmedTo {
		return nil, false
	}
	first := l.entries.Back()
	for first != nil && first.Value.(*change).maxRevision > revision {
		first = first.Prev()
	}
	if first == nil {
		first = l.entries.Front()
	} else {
		first = first.Next()
	}
	for at := first; at != nil; at = at.Next() {
		events = at.Value.(*change).appendTo(events, revision, items)
	}
	return events, true
}

// appendTo appends the events of a change: the deletion, if it came after the revision, and the
// object, if there is one.
func (c *change) appendTo(events []Event, revision uint64, items map[string]Object) []Event {
	if c.deleted != nil && c.deleted.maxRevision > revision {
		events = append(events, Event{Object: Object{Name: c.name, Revision: c.deleted.revision}, Deleted: true})
	}
	if o, ok := items[c.name]; ok {
		events = append(events, Event{Object: o})
	}
	return events
}
