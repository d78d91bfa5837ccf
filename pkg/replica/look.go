package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ================================================================
// A box that has had no word of the list of servers for long asks the store itself.
// ================================================================

const (
	// lookShare is after which part of the time in which a server drains, without any
	// word of the list, a box looks itself. What is left is for the way to the store and
	// back, twice where the connection is new: 0.3 s from the farthest region.
	lookShare = 0.8
	// lookTime bounds a look.
	lookTime = 1200 * time.Millisecond
	// lookAgain is how many times of contact a box waits after a look that was not
	// answered: the store may be down, and then all boxes look for nothing.
	lookAgain = 4
)

// looks are this box's own questions.
type looks struct {
	mu      sync.Mutex
	running bool
	// next is before which no other look begins.
	next time.Time
}

func (l *looks) begin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running || now.Before(l.next) {
		return false
	}
	l.running = true
	return true
}

func (l *looks) end(next time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running, l.next = false, next
}

// lookForLeaving asks the store for what has changed where no other box has told of the
// list of servers for long: those that ask in this one's place may have been turned away,
// frozen or cut off, which their zone finds out later than a leaving server must be known
// (TestBoxAsksItselfWhereAllThatAskAreTurnedAway).
func (r *Replica) lookForLeaving() {
	ago := r.contact.list.ago()
	longest := time.Duration(lookShare * float64(r.Drain))
	if r.watching.Load() || !r.synced() || ago < longest || !r.looks.begin(time.Now()) {
		return
	}
	r.Go(func() {
		fields := map[string]any{"confirmed_ago_ms": ago.Milliseconds()}
		made := time.Now()
		if err := r.look(); err != nil {
			fields["error"] = err.Error()
			r.BoxLog.Warn("look at the store not answered", fields)
			r.looks.end(made.Add(lookAgain * r.Contact))
			return
		}
		r.looks.end(time.Time{})
		r.BoxLog.Info("looked at the store", fields)
	})
}

// look asks the store once for the changes of each kind, the servers' first. The error is
// that of the first call that is not answered.
func (r *Replica) look() error {
	ctx, cancel := context.WithTimeout(r.Context, lookTime)
	defer cancel()
	for _, kind := range r.Kinds.all() {
		metrics.GetOrRegisterCounter("store.looks", r.Metrics).Inc(1)
		if err := r.followers[kind].Look(ctx); err != nil {
			return err
		}
		r.contact.noteAnswer()
	}
	return nil
}
