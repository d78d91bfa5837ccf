package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ================================================================
// A box that has had no word of the list of servers or of the configuration for long polls
// the store itself.
// ================================================================

const (
	// pollShare is after which part of the time in which a server drains, without any
	// word of a copy, a box polls. What is left is for the way to the store and
	// back, twice where the connection is new: 0.3 s from the farthest region.
	pollShare = 0.8
	// pollTime bounds a poll.
	pollTime = 1200 * time.Millisecond
	// pollAgain is how many times of contact a box waits after a poll that was not
	// answered, unless somebody tells it anything meanwhile: the store may be down, and
	// then all boxes poll in vain.
	pollAgain = 4
)

// polls are this box's own, which it makes without the role of asking the store.
type polls struct {
	mu      sync.Mutex
	running bool
	// made is when the last one was that was not answered, zero if the last one was.
	made time.Time
}

// begin reports whether a poll may begin now, given when the box was last told anything.
func (p *polls) begin(now, told time.Time, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running || !p.made.IsZero() && told.Before(p.made) && now.Sub(p.made) < pause {
		return false
	}
	p.running = true
	return true
}

// end notes how a poll has ended that was made at a time.
func (p *polls) end(made time.Time, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running, p.made = false, made
	if answered {
		p.made = time.Time{}
	}
}

// pollIfUntold polls the store where no other box has told of the list
// of servers, or of the configuration, for long: those that ask in this one's place may
// have been turned away, frozen or cut off, which their zone finds out later than a leaving
// server must be known.
func (r *Replica) pollIfUntold() {
	ago := max(r.contact.list.ago(), r.contact.configuration.ago())
	longest := time.Duration(pollShare * float64(r.DrainTime))
	if r.watching.Load() || !r.synced() || ago < longest {
		return
	}
	made := r.Now()
	if !r.polls.begin(made, made.Add(-ago), pollAgain*r.ContactWindow) {
		return
	}
	r.Go(func() {
		fields := map[string]any{"confirmed_ago_ms": ago.Milliseconds()}
		err := r.poll()
		r.polls.end(made, err == nil)
		if err != nil {
			fields["error"] = err.Error()
			r.BoxLog.Warn("poll of the store not answered", fields)
			return
		}
		r.BoxLog.Info("polled the store", fields)
	})
}

// poll asks the store once for the changes of each kind, the servers' first. The error is
// that of the first call that is not answered.
func (r *Replica) poll() error {
	ctx, cancel := context.WithTimeout(r.Context, pollTime)
	defer cancel()
	for _, kind := range r.Kinds.all() {
		if kind != r.Kinds.Servers && r.reached(kind) {
			continue // the answer for the servers has confirmed it
		}
		metrics.GetOrRegisterCounter("store.polls", r.Metrics).Inc(1)
		if err := r.followers[kind].Poll(ctx); err != nil {
			return err
		}
		r.contact.noteAnswer()
	}
	return nil
}
