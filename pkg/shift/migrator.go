package shift

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/decide"
)

// Migrator holds a box's active assignment of one service, and moves it towards the plan
// within the cap.
type Migrator struct {
	mu     sync.Mutex
	active *Plan
	// assigned is inForce in the form that package decide uses.
	assigned map[string]*decide.Assignment
	moves    []move
	// counts and previous are the numbers of requests in this window and in the one
	// before, by client region and bucket.
	counts   map[string]*[decide.Buckets]float64
	previous map[string]*[decide.Buckets]float64
	rotated  time.Time
}

// move is a change of the region of one bucket.
type move struct {
	at     time.Time
	client string
	bucket int
}

// NewMigrator makes a migrator that applies its first plan at once, since a box that has
// just started has no traffic to move.
func NewMigrator() *Migrator {
	return &Migrator{counts: map[string]*[decide.Buckets]float64{}, previous: map[string]*[decide.Buckets]float64{}}
}

// Count counts a request.
func (w *Migrator) Count(client string, bucket int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.counts[client]
	if c == nil {
		c = &[decide.Buckets]float64{}
		w.counts[client] = c
	}
	c[bucket]++
}

// Active returns the active assignment, or nil before the first plan.
func (w *Migrator) Active() *Plan {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}

// Advance moves towards the plan as far as the cap allows, and returns the active
// assignment. In any window, the moved buckets of a client region are at most the cap's
// fraction of its buckets and of its counted requests.
func (w *Migrator) Advance(now time.Time, service string, plan *Plan, limit float64, window time.Duration) *Plan {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active == nil {
		w.active = plan
		return plan
	}
	w.rotate(now, window)
	if w.active == plan {
		return plan
	}
	w.dropMovesBefore(now.Add(-window - windowMargin(window)))
	for client := range plan.Assign {
		w.advanceClient(now, service, client, plan, limit)
	}
	if Distance(w.active, plan) == 0 {
		w.active = plan
		w.assigned = nil
	}
	return w.active
}

// Assignments returns the active assignment in the form that package decide uses, or nil
// before the first plan.
func (w *Migrator) Assignments() map[string]*decide.Assignment {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.assigned == nil && w.active != nil {
		w.assigned = w.active.Assignments()
	}
	return w.assigned
}

// windowMargin returns the time that is added to the window, since requests routed before
// a move may reach their region after it.
func windowMargin(window time.Duration) time.Duration { return window / 10 }

func (w *Migrator) advanceClient(now time.Time, service, client string, plan *Plan, limit float64) {
	moved, weight := w.movedOf(client)
	total := w.weightOf(client, -1)
	accepted := map[int]string{}
	for _, bucket := range bucketOrder(service, client) {
		to := plan.Region(client, bucket)
		if to == "" || to == w.active.Region(client, bucket) {
			continue
		}
		own := w.weightOf(client, bucket)
		if float64(moved+1) > limit*decide.Buckets+rounding {
			break
		}
		if weight+own > limit*total+rounding {
			continue
		}
		moved++
		weight += own
		accepted[bucket] = to
		w.moves = append(w.moves, move{at: now, client: client, bucket: bucket})
	}
	if len(accepted) > 0 {
		w.active = w.active.WithMoves(client, accepted)
		w.assigned = nil
	}
}

func (w *Migrator) movedOf(client string) (n int, weight float64) {
	for _, m := range w.moves {
		if m.client == client {
			n++
			weight += w.weightOf(client, m.bucket)
		}
	}
	return n, weight
}

// weightOf returns the number of requests of a bucket, or of all buckets if it is
// negative.
func (w *Migrator) weightOf(client string, bucket int) float64 {
	sum := 0.0
	for _, counts := range []*[decide.Buckets]float64{w.counts[client], w.previous[client]} {
		if counts == nil {
			continue
		}
		if bucket >= 0 {
			sum += counts[bucket]
			continue
		}
		for _, n := range counts {
			sum += n
		}
	}
	return sum
}

func (w *Migrator) dropMovesBefore(before time.Time) {
	kept := w.moves[:0]
	for _, m := range w.moves {
		if m.at.After(before) {
			kept = append(kept, m)
		}
	}
	w.moves = kept
}

func (w *Migrator) rotate(now time.Time, window time.Duration) {
	if now.Sub(w.rotated) < window {
		return
	}
	w.previous = w.counts
	w.counts = map[string]*[decide.Buckets]float64{}
	w.rotated = now
}
