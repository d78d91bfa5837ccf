package replica

import (
	"math/rand/v2"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// This box's own calls to the store.
// ================================================================

const (
	// watchShare is the part of the contact window that a watch waits. A store that stops
	// responding never answers the calls it gets meanwhile, but may go on answering earlier
	// ones. So each watch has to notice this by itself, and ask again, within the contact
	// window. With long waits that rely on the watch of another kind, a watch would bring no
	// changes for its whole wait after a short silence of the store.
	watchShare = 0.6
	// drainWatchShare is the part of the drain time that the watches of servers and of the
	// configuration wait, since their changes must be known within the drain time. Each answer
	// confirms the copy, and with the next heartbeat, at most half a second later, also the
	// copies of boxes that rely on this one.
	drainWatchShare = 0.5
)

// shortWait returns how long a watch of a kind waits if its answers are needed.
func (r *Replica) shortWait(kind string) time.Duration {
	wait := time.Duration(watchShare * float64(r.ContactWindow))
	if kind == r.Kinds.Evacuations || kind == r.Kinds.Rollouts {
		return wait
	}
	return min(wait, time.Duration(drainWatchShare*float64(r.DrainTime)))
}

func (r *Replica) newFollower(kind string) *objects.Follower {
	wait := r.shortWait(kind)
	f := objects.NewFollower(r.Client, r.mirrors[kind], wait, rand.Float64)
	f.Now = r.Now
	f.Allowed = r.isPoller.Load
	f.ReadsAllPages = r.readsAllPages
	f.NewestEra = r.era.Load
	f.OnEra = r.noteEra
	report := r.newCallReporter(kind)
	f.OnCall = func(c objects.Call) {
		r.revisions.addCall(c)
		report(c)
	}
	f.OnSuccess = func() {
		r.contact.noteAnswer()
		r.storeAnswered(f, r.contact.setFailing(kind, false))
		r.OnAnswer()
	}
	f.OnConfirmed = func(a objects.Answer) { r.handleAnswer(kind, a) }
	if kind != r.Kinds.Servers {
		f.NextWait = func() time.Duration { return r.nextWait(kind, wait) }
	}
	f.OnFailure = func(error) {
		if !r.isPoller.Load() {
			return
		}
		r.contact.noteFailure(f.CallStart())
		r.contact.setFailing(kind, true)
	}
	return f
}

// storeAnswered restarts other followers after the store has answered one. A follower whose
// last call failed calls again at once. If the answered follower had failed before, the store
// did not respond for a while, and calls of others that are older than the answered one may
// hang; these are restarted.
func (r *Replica) storeAnswered(answered *objects.Follower, failedBefore bool) {
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
