package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ================================================================
// A box that is not a poller polls the store itself if its list of servers or its
// configuration has not been confirmed for long.
// ================================================================

const (
	// pollShare is the part of the drain time, without a confirmation of a copy, after which a
	// box polls. The rest is for the way to the store and back, twice if the connection is
	// new: 0.3 s from the farthest region.
	pollShare = 0.8
	// pollTimeout bounds a poll.
	pollTimeout = 1200 * time.Millisecond
	// pollPauseFactor is how many contact windows a box waits after a poll that was not
	// answered, unless a copy is confirmed meanwhile: the store may be down, and then all
	// boxes poll in vain.
	pollPauseFactor = 4
)

// polls are the polls that a box makes although it is not a poller.
type polls struct {
	mu      sync.Mutex
	running bool
	// lastFailed is when the last poll was made if it was not answered, and zero if it was.
	lastFailed time.Time
}

// begin reports whether a poll may begin now, given when the copies were last confirmed.
func (p *polls) begin(now, confirmed time.Time, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running || !p.lastFailed.IsZero() && confirmed.Before(p.lastFailed) && now.Sub(p.lastFailed) < pause {
		return false
	}
	p.running = true
	return true
}

// end records the end of a poll that was made at a time.
func (p *polls) end(made time.Time, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running, p.lastFailed = false, made
	if answered {
		p.lastFailed = time.Time{}
	}
}

// pollIfStale polls the store if the list of servers or the configuration has not been
// confirmed for long: the pollers on which this box relies may have been refused by the store,
// suspended or cut off, which their zone finds out later than a leaving server must be known.
func (r *Replica) pollIfStale() {
	ago := max(r.contact.list.age(), r.contact.configuration.age())
	longest := time.Duration(pollShare * float64(r.DrainTime))
	if r.isPoller.Load() || !r.synced() || ago < longest {
		return
	}
	made := r.Now()
	if !r.polls.begin(made, made.Add(-ago), pollPauseFactor*r.ContactWindow) {
		return
	}
	r.Go(func() {
		fields := map[string]any{"confirmed_ago_ms": ago.Milliseconds()}
		err := r.poll()
		r.polls.end(made, err == nil)
		if err != nil {
			fields["error"] = err.Error()
			r.BoxLog.Warn("the store did not answer the poll", fields)
			return
		}
		r.BoxLog.Info("polled the store", fields)
	})
}

// poll asks the store once for the changes of each kind, those of servers first. It returns
// the error of the first call that is not answered.
func (r *Replica) poll() error {
	ctx, cancel := context.WithTimeout(r.Context, pollTimeout)
	defer cancel()
	for _, kind := range r.Kinds.byUrgency() {
		if kind != r.Kinds.Servers && r.isUpToDate(kind) {
			continue // the answer for the servers has confirmed this kind
		}
		metrics.GetOrRegisterCounter("store.polls", r.Metrics).Inc(1)
		if err := r.followers[kind].Poll(ctx); err != nil {
			return err
		}
		r.contact.noteAnswer()
	}
	return nil
}
