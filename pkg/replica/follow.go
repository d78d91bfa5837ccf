package replica

import (
	"math/rand/v2"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// This box's own calls of the store.
// ================================================================

const (
	// watchShare is which part of the time of contact a watch waits. A store that falls
	// silent never answers what it is asked meanwhile, and goes on answering what it was
	// asked before; so each watch notices by itself, and asks anew, within that time. Watches
	// that waited for long and relied on that of another kind would be deaf for as long after
	// a short silence.
	watchShare = 0.6
	// drainWatchShare is which part of the time in which a server drains the watches of
	// the servers and of the configuration wait, whose changes must be known within that
	// time. Each answer confirms the copy, also to the boxes that rely on this one: with a
	// heartbeat, half a second later at most.
	drainWatchShare = 0.5
)

// shortWatch is how long a watch of a kind waits whose answers are needed.
func (r *Replica) shortWatch(kind string) time.Duration {
	wait := time.Duration(watchShare * float64(r.ContactWindow))
	if kind == r.Kinds.Evacuations || kind == r.Kinds.Rollouts {
		return wait
	}
	return min(wait, time.Duration(drainWatchShare*float64(r.DrainTime)))
}

func (r *Replica) newFollower(kind string) *objects.Follower {
	wait := r.shortWatch(kind)
	f := objects.NewFollower(r.Client, r.mirrors[kind], wait, rand.Float64)
	f.Now = r.Now
	f.Allowed = r.watching.Load
	f.ContinuesList = r.readsOn
	tell := r.tellsCalls(kind)
	f.OnCall = func(c objects.Call) {
		r.revisions.take(c)
		tell(c)
	}
	f.OnSuccess = func() {
		r.contact.noteAnswer()
		r.storeSpoke(f, r.contact.setFailing(kind, false))
		r.OnAnswer()
	}
	f.OnConfirmed = func(a objects.Answer) { r.confirmed(kind, a) }
	if kind != r.Kinds.Servers {
		f.NextWait = func() time.Duration { return r.waitNow(kind, wait) }
	}
	f.OnFailure = func(error) {
		if !r.watching.Load() {
			return
		}
		r.contact.noteFailure(f.CallStart())
		r.contact.setFailing(kind, true)
	}
	return f
}

// storeSpoke makes the other followers ask at once where they failed too. If the store
// did not answer this one before, it was silent, and calls of others that are older
// than the one it has answered now may hang.
func (r *Replica) storeSpoke(answered *objects.Follower, failedBefore bool) {
	for kind, f := range r.followers {
		if f == answered {
			continue
		}
		if failedBefore {
			f.RestartBefore(answered.CallStart())
		}
		if r.contact.isFailing(kind) {
			f.RetryNow()
		}
	}
}
