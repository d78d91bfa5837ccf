package rollout

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/canary"
)

// ================================================================
// The status in the store. One judge writes it, and the others if that one does not.
// ================================================================

const (
	// turnTime is how long each judge leaves a write to the one before it.
	turnTime = time.Second
	// retryPause is the delay after a failed write. It doubles up to maxRetryPause.
	retryPause    = 500 * time.Millisecond
	maxRetryPause = 4 * time.Second
)

// Change is the status of an order that is to be written to the store.
type Change struct {
	Order Order
	State State
	// Verdict is the comparison behind the change, for the log.
	Verdict canary.Verdict
}

// writes is what this box knows about its writes of an order's status.
type writes struct {
	// state and step are what is to be written, wanted since the given time.
	state State
	step  int
	since time.Time
	// doneAt is the object's revision for which a write succeeded or came too late.
	doneAt uint64
	// retryAt is when the next attempt is due after one that failed, and pause the last delay.
	retryAt time.Time
	pause   time.Duration
	running bool
}

// wanted returns the state that the store should hold, and false if it does.
func (a *active) wanted() (State, bool) {
	switch {
	case a.progress.Final != "":
		return a.progress.Final, a.isStatusLost && a.State != a.progress.Final
	case a.progress.Bad:
		return RolledBack, true
	case a.isDue:
		return Complete, true
	}
	return Running, a.State == "" || a.progress.Step > a.Order.Step || a.progress.Proven && !a.Order.Proven
}

// change returns the status to be written.
func (a *active) change(state State, now time.Time, wallMS int64) Change {
	o := a.Order
	o.Step, o.Ran, o.Proven = a.progress.Step, a.ran(now), a.progress.Proven
	if o.Begun == 0 {
		o.Begun = wallMS - o.Ran.Milliseconds()
	}
	return Change{Order: o, State: state, Verdict: a.verdict}
}

// Changes returns the statuses that this box is to write to the store now; see Written. turn is
// its place among the boxes that write.
func (t *Table) Changes(turn int) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var list []Change
	for _, a := range t.orders {
		state, isWanted := a.wanted()
		w := &a.writes
		if !isWanted {
			w.state = ""
			continue
		}
		if w.state != state || w.step != a.progress.Step {
			w.state, w.step, w.since = state, a.progress.Step, now
		}
		if w.running || w.doneAt == a.Revision || now.Before(w.retryAt) || now.Sub(w.since) < time.Duration(turn)*turnTime {
			continue
		}
		w.running = true
		list = append(list, a.change(state, now, t.WallMS()))
	}
	return list
}

// Written notes how the write of a change ended. isSettled is true if it was done or came too
// late; then nothing is written before the store shows a newer revision.
func (t *Table) Written(c *Change, isSettled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[c.Order.Service]
	if a == nil {
		return
	}
	w := &a.writes
	w.running = false
	if a.Given != c.Order.Given {
		return
	}
	if isSettled {
		w.doneAt, w.pause, w.retryAt = max(w.doneAt, c.Order.Revision), 0, time.Time{}
		return
	}
	w.pause = max(retryPause, min(2*w.pause, maxRetryPause))
	w.retryAt = t.Now().Add(w.pause)
}
