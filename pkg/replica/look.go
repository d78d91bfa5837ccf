package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ================================================================
// A box that has had no word of the list of servers or of the configuration for long asks
// the store itself.
// ================================================================

const (
	// lookShare is after which part of the time in which a server drains, without any
	// word of a copy, a box looks itself. What is left is for the way to the store and
	// back, twice where the connection is new: 0.3 s from the farthest region.
	lookShare = 0.8
	// lookTime bounds a look.
	lookTime = 1200 * time.Millisecond
	// lookAgain is how many times of contact a box waits after a look that was not
	// answered, unless somebody tells it anything meanwhile: the store may be down, and
	// then all boxes look for nothing.
	lookAgain = 4
)

// looks are this box's own questions.
type looks struct {
	mu      sync.Mutex
	running bool
	// made is when the last one was that was not answered, zero if the last one was.
	made time.Time
}

// begin reports whether a look may begin now, given when the box was last told anything.
func (l *looks) begin(now, told time.Time, pause time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running || !l.made.IsZero() && told.Before(l.made) && now.Sub(l.made) < pause {
		return false
	}
	l.running = true
	return true
}

// end notes how a look has ended that was made at a time.
func (l *looks) end(made time.Time, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running, l.made = false, made
	if answered {
		l.made = time.Time{}
	}
}

// lookIfUntold asks the store for what has changed where no other box has told of the list
// of servers, or of the configuration, for long: those that ask in this one's place may
// have been turned away, frozen or cut off, which their zone finds out later than a leaving
// server must be known (TestBoxAsksItselfWhereAllThatAskAreTurnedAway).
func (r *Replica) lookIfUntold() {
	ago := max(r.contact.list.ago(), r.contact.configuration.ago())
	longest := time.Duration(lookShare * float64(r.Drain))
	if r.watching.Load() || !r.synced() || ago < longest {
		return
	}
	made := time.Now()
	if !r.looks.begin(made, made.Add(-ago), lookAgain*r.Contact) {
		return
	}
	r.Go(func() {
		fields := map[string]any{"confirmed_ago_ms": ago.Milliseconds()}
		err := r.look()
		r.looks.end(made, err == nil)
		if err != nil {
			fields["error"] = err.Error()
			r.BoxLog.Warn("look at the store not answered", fields)
			return
		}
		r.BoxLog.Info("looked at the store", fields)
	})
}

// look asks the store once for the changes of each kind, the servers' first. The error is
// that of the first call that is not answered.
func (r *Replica) look() error {
	ctx, cancel := context.WithTimeout(r.Context, lookTime)
	defer cancel()
	for _, kind := range r.Kinds.all() {
		if kind != r.Kinds.Servers && r.reached(kind) {
			continue // the answer for the servers has confirmed it
		}
		metrics.GetOrRegisterCounter("store.looks", r.Metrics).Inc(1)
		if err := r.followers[kind].Look(ctx); err != nil {
			return err
		}
		r.contact.noteAnswer()
	}
	return nil
}
