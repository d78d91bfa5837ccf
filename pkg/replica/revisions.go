package replica

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// What an answer for one kind shows about the others: the store counts all changes with a
// single number, one for each change.
// ================================================================

const (
	// longWait is how long a watch waits whose answers are not needed because those for the
	// servers show whether anything else has changed. This saves half of all calls while
	// nothing changes.
	longWait = 25 * time.Second
	// answerSlack is how much longer than its wait a watch may take before it is sent again:
	// the round trip between the farthest regions, and some more.
	answerSlack = 300 * time.Millisecond
	// maxSeen bounds the revisions that are kept.
	maxSeen = 4096
)

// revisions is what this box has seen of the store's revision counter.
type revisions struct {
	mu sync.Mutex
	// era is the newest era, to which all revisions here belong.
	era uint64
	// newest is the highest revision in any answer.
	newest uint64
	// sharedCounter is true once a watch without changes has returned a higher revision than
	// it was asked from. This shows that the store counts the changes of all kinds together; a
	// store that counts each kind separately never returns such an answer.
	sharedCounter bool
	// seen holds the revisions of changes of any kind that this box has received.
	seen map[uint64]bool
	// hasLongWait holds the kinds whose watch has a long wait.
	hasLongWait map[string]bool
}

func newRevisions() *revisions {
	return &revisions{seen: map[uint64]bool{}, hasLongWait: map[string]bool{}}
}

// addCall records the revision of a call's answer.
func (v *revisions) addCall(c objects.Call) {
	if c.Err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.enter(c.Era) {
		return
	}
	v.newest = max(v.newest, c.Revision)
	v.sharedCounter = v.sharedCounter || c.Watch && c.Objects == 0 && c.Revision > c.Since
}

// enter reports whether revisions of an era count, and forgets those of a past one. The caller
// holds the lock.
func (v *revisions) enter(era uint64) bool {
	if era > v.era {
		v.era, v.newest = era, 0
		clear(v.seen)
	}
	return era == v.era
}

// addEvents records the revisions of changes.
func (v *revisions) addEvents(era uint64, events []objects.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.enter(era) {
		return
	}
	if len(v.seen)+len(events) > maxSeen {
		clear(v.seen)
	}
	for i := range events {
		v.seen[events[i].Object.Revision] = true
	}
}

// knownUpTo returns the revision up to which a copy lacks nothing, given its own revision:
// each revision changes one object, so a change of another kind does not concern this copy.
// all reports whether that is as high as the store's counter when it last answered.
func (v *revisions) knownUpTo(own objects.Position) (upTo uint64, all bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.sharedCounter || own.Era != v.era {
		return own.Revision, false
	}
	upTo = own.Revision
	for v.seen[upTo+1] {
		upTo++
	}
	return upTo, upTo >= v.newest
}

func (v *revisions) setLongWait(kind string, long bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hasLongWait[kind] = long
}

func (v *revisions) waitsLong(kind string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.hasLongWait[kind]
}

// isUpToDate reports whether a copy is known to lack no change that the store had counted when
// it last answered, and advances the copy to the revision up to which that is known.
func (r *Replica) isUpToDate(kind string) bool {
	m := r.mirrors[kind]
	own := m.Version().Position()
	upTo, all := r.revisions.knownUpTo(own)
	if m.Synced() && upTo > own.Revision {
		m.Apply(nil, objects.At(objects.Position{Era: own.Era, Revision: upTo}))
	}
	return all && m.Synced()
}

// nextWait returns the wait of the next watch of a kind. It is short if a change may concern
// the copy, so that the answer confirms it soon.
func (r *Replica) nextWait(kind string, short time.Duration) time.Duration {
	long := r.isUpToDate(kind)
	r.revisions.setLongWait(kind, long)
	if long {
		return longWait
	}
	return short
}

// handleAnswer processes an answer to a watch. One for the servers, which are watched most
// often, also confirms the copies of other kinds if all changes since are known. Otherwise
// these kinds are watched again if their watch has a long wait, or is overdue and may never be
// answered.
func (r *Replica) handleAnswer(kind string, a objects.Answer) {
	r.revisions.addEvents(a.Era, a.Events)
	r.noteConfirmed(kind, a.At)
	if kind != r.Kinds.Servers {
		return
	}
	for _, other := range r.Kinds.byUrgency() {
		switch {
		case other == kind:
		case r.isUpToDate(other):
			r.noteConfirmed(other, a.At)
		default:
			r.followers[other].RestartBefore(a.At.Add(-r.maxWatchAge(other)))
		}
	}
}

// noteConfirmed records that the copy of a kind was current at a time.
func (r *Replica) noteConfirmed(kind string, at time.Time) {
	if c := r.contact.confirmationOf(r.Kinds, kind); c != nil {
		c.noteOwn(at)
	}
}

// maxWatchAge returns how old a pending watch of a kind may be before it is sent again.
func (r *Replica) maxWatchAge(kind string) time.Duration {
	if r.revisions.waitsLong(kind) {
		return answerSlack
	}
	return r.shortWait(kind) + answerSlack
}
