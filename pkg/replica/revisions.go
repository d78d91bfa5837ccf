package replica

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// What an answer for one kind says of the others: the store counts all changes with one
// number, one for each change.
// ================================================================

const (
	// longWatch is how long a watch waits whose answers are not needed, since those of the
	// servers tell whether anything else has changed. This saves half of all calls while nothing changes.
	longWatch = 25 * time.Second
	// answerSlack is how much longer than it waits a watch may take to be answered before
	// it is asked for anew: the way between the farthest regions and back, and some.
	answerSlack = 300 * time.Millisecond
	// mostExplained bounds the revisions that are kept.
	mostExplained = 4096
)

// revisions is what this box has seen of the store's count of changes.
type revisions struct {
	mu sync.Mutex
	// newest is the highest revision that any answer told.
	newest uint64
	// shared: a watch that brought no change told a higher revision than it was asked
	// from. So the store counts the changes of all kinds together. One that counts each kind
	// by itself never shows that.
	shared bool
	// explained are revisions of changes that this box was told, of any kind.
	explained map[uint64]bool
	// long tells the kinds whose watch waits for long.
	long map[string]bool
}

func newRevisions() *revisions {
	return &revisions{explained: map[uint64]bool{}, long: map[string]bool{}}
}

// take takes in a call.
func (v *revisions) take(c objects.Call) {
	if c.Err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.newest = max(v.newest, c.Revision)
	v.shared = v.shared || c.Watch && c.Objects == 0 && c.Revision > c.Since
}

// explain takes in changes.
func (v *revisions) explain(events []objects.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.explained)+len(events) > mostExplained {
		clear(v.explained)
	}
	for i := range events {
		v.explained[events[i].Object.Revision] = true
	}
}

// reached returns up to which revision a copy lacks nothing, given the one it has come to by
// itself: each call changes one object, so a change of another kind is none of this one.
// all tells whether that is as far as the store had counted when it last answered.
func (v *revisions) reached(own uint64) (upTo uint64, all bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.shared {
		return own, false
	}
	upTo = own
	for v.explained[upTo+1] {
		upTo++
	}
	return upTo, upTo >= v.newest
}

func (v *revisions) setLong(kind string, long bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.long[kind] = long
}

func (v *revisions) isLong(kind string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.long[kind]
}

// reached reports whether a copy is known to lack nothing that the store had counted when it
// last answered, and has it come to the revision up to which that is known.
func (r *Replica) reached(kind string) bool {
	m := r.mirrors[kind]
	own := m.Version().Revision
	upTo, all := r.revisions.reached(own)
	if m.Synced() && upTo > own {
		m.Apply(nil, objects.Exactly(upTo))
	}
	return all && m.Synced()
}

// waitNow is how long the next watch of a kind waits: as long as is needed to confirm the
// copy where anything has changed that may concern it.
func (r *Replica) waitNow(kind string, short time.Duration) time.Duration {
	long := r.reached(kind)
	r.revisions.setLong(kind, long)
	if long {
		return longWatch
	}
	return short
}

// confirmed follows each answer to a watch. One for the servers, which are watched most often,
// confirms the copies of other kinds too where all changes since are explained. Where they
// are not, these kinds are asked for, if their watch waits for long, or should have been
// answered by now and may never be.
func (r *Replica) confirmed(kind string, a objects.Answer) {
	r.revisions.explain(a.Events)
	r.noteConfirmed(kind, a.At)
	if kind != r.Kinds.Servers {
		return
	}
	for _, other := range r.Kinds.all() {
		switch {
		case other == kind:
		case r.reached(other):
			r.noteConfirmed(other, a.At)
		default:
			r.followers[other].RestartBefore(a.At.Add(-r.due(other)))
		}
	}
}

// noteConfirmed notes that the copy of a kind was the newest at a time.
func (r *Replica) noteConfirmed(kind string, at time.Time) {
	if c := r.contact.of(r.Kinds, kind); c != nil {
		c.note(at)
	}
}

// due is how old a watch of a kind may be before it is asked for anew.
func (r *Replica) due(kind string) time.Duration {
	if r.revisions.isLong(kind) {
		return answerSlack
	}
	return r.shortWatch(kind) + answerSlack
}
