package replica

import (
	"sync/atomic"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// What an answer for one kind says of the others: the store counts all changes with one
// number.
// ================================================================

// longWatch is how long a watch waits whose answers are not needed, since those of the
// servers tell whether anything has changed at all. It saves calls where nothing does.
const longWatch = 25 * time.Second

// answerSlack is how much longer than it waits a watch may take to be answered before it is
// asked for anew: the way between the farthest regions and back, and some.
const answerSlack = 300 * time.Millisecond

// revisions is what this box has seen of the store's count of changes.
type revisions struct {
	// newest is the highest revision that any answer told.
	newest atomic.Uint64
	// shared: a watch that brought no change told a higher revision than it was asked
	// from. So it counts the changes of all kinds, and a copy that has come to the newest
	// revision lacks nothing. A store that counts each kind by itself never shows that.
	shared atomic.Bool
}

// take takes in an answer.
func (v *revisions) take(c objects.Call) {
	if c.Err != nil {
		return
	}
	for known := v.newest.Load(); c.At > known && !v.newest.CompareAndSwap(known, c.At); {
		known = v.newest.Load()
	}
	if c.Watch && c.Objects == 0 && c.At > c.Since {
		v.shared.Store(true)
	}
}

// reached reports whether a copy that has come to a revision lacks nothing that the store
// had counted when it last answered.
func (v *revisions) reached(at uint64) bool { return v.shared.Load() && at >= v.newest.Load() }

// waitNow is how long the next watch of a kind waits: as long as is needed to confirm the
// copy where anything has changed that may concern it.
func (r *Replica) waitNow(kind string, short time.Duration) time.Duration {
	if r.revisions.reached(r.mirrors[kind].Version().At) {
		return longWatch
	}
	return short
}

// serversConfirmed follows each answer to a watch of the servers. Copies of other kinds that
// have come to its revision are confirmed with it. Those that have not are asked for, unless
// they were a moment ago: their watch may wait for long, or may never be answered.
func (r *Replica) serversConfirmed(at time.Time) {
	r.contact.list.note(at)
	for _, kind := range r.Kinds.all() {
		if kind == r.Kinds.Servers {
			continue
		}
		if !r.revisions.reached(r.mirrors[kind].Version().At) {
			r.followers[kind].RestartBefore(at.Add(-r.shortWatch(kind) - answerSlack))
			continue
		}
		if c := r.contact.of(r.Kinds, kind); c != nil {
			c.note(at)
		}
	}
}
