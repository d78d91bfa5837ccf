package replica

import (
	"sync"
	"sync/atomic"
	"time"
)

// contact records the answers and failures of the platform's store that a box has seen.
type contact struct {
	// now is the clock, started the start of the box, and window the contact window.
	now     func() time.Time
	started time.Time
	window  time.Duration
	// answered is when the store last answered; failed is when the last call was made that it
	// did not answer, or 0 if there is none. Both are in nanoseconds since the start.
	answered atomic.Int64
	failed   atomic.Int64
	// configuration and list record when this box's copies of the configuration and of the
	// list of servers were last known to be current.
	configuration, list confirmation
	// failing holds the kinds of objects whose last call was not answered.
	mu      sync.Mutex
	failing map[string]bool
}

// confirmation records when a copy was last known to be current.
type confirmation struct {
	// now is the clock and started the start of the box. own is set by this box's own calls,
	// remote by reports of other boxes. Both are in nanoseconds since the start, 0 if there is
	// none.
	now         func() time.Time
	started     time.Time
	own, remote atomic.Int64
}

// noteOwn records that a call of this box has shown the copy to be current at a time.
func (c *confirmation) noteOwn(at time.Time) { advance(&c.own, int64(at.Sub(c.started))) }

// noteRemote records the same from a report of another box.
func (c *confirmation) noteRemote(at time.Time) { advance(&c.remote, int64(at.Sub(c.started))) }

// age returns how long ago the copy was last known to be current, or how long the box has run
// if it never was.
func (c *confirmation) age() time.Duration {
	return c.now().Sub(c.started) - time.Duration(max(c.own.Load(), c.remote.Load()))
}

// known reports whether the copy was ever known to be current.
func (c *confirmation) known() bool { return c.own.Load() != 0 || c.remote.Load() != 0 }

// reported returns the value for heartbeats: how long ago the copy was current, in
// milliseconds plus one, or 0 if this box does not poll the store. Reports of other boxes are
// not passed on: each counts from when it arrives, so two boxes that reported to each other
// would take a copy to be newer with each report, by the delay of the datagram.
func (c *confirmation) reported(isPoller bool) uint32 {
	own := c.own.Load()
	if own == 0 || !isPoller {
		return 0
	}
	ago := c.now().Sub(c.started) - time.Duration(own)
	return 1 + uint32(ago.Milliseconds())
}

func newContact(now func() time.Time, window time.Duration) *contact {
	started := now()
	c := &contact{now: now, started: started, window: window, failing: map[string]bool{}}
	c.configuration.now, c.list.now = now, now
	c.configuration.started, c.list.started = started, started
	return c
}

// setFailing records whether the last call for a kind failed, and returns whether the one
// before did.
func (c *contact) setFailing(kind string, failing bool) (before bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before = c.failing[kind]
	c.failing[kind] = failing
	return before
}

// isFailing reports whether the last call for a kind was not answered.
func (c *contact) isFailing(kind string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing[kind]
}

// anyFailing reports whether the last call for any kind was not answered.
func (c *contact) anyFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, failing := range c.failing {
		if failing {
			return true
		}
	}
	return false
}

// forgetFailures marks no kind as failing: the box has just become a poller or ceased to be
// one.
func (c *contact) forgetFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.failing)
}

func (c *contact) sinceStart() time.Duration { return c.now().Sub(c.started) }

func (c *contact) noteAnswer() { c.answered.Store(int64(c.sinceStart())) }

// advance sets a moment unless it already has a later value.
func advance(moment *atomic.Int64, to int64) {
	for {
		known := moment.Load()
		if to <= known || moment.CompareAndSwap(known, to) {
			return
		}
	}
}

// noteFailure records that a call was not answered, given when it was made, which is when the
// store did not respond. A watch notices this only seconds later. Counted from then, the list
// of servers would not be trusted until seconds after the contact window, and servers whose
// entries vanish meanwhile would be kept.
func (c *contact) noteFailure(made time.Time) {
	advance(&c.failed, int64(made.Sub(c.started)))
}

// answeredRecently reports whether the store has answered this box within the contact window.
func (c *contact) answeredRecently() bool {
	return c.sinceStart()-time.Duration(c.answered.Load()) < c.window
}

// healthy reports whether, within the contact window, the store has answered this box and no
// call has failed.
func (c *contact) healthy() bool {
	failed := c.failed.Load()
	return c.answeredRecently() && (failed == 0 || c.sinceStart()-time.Duration(failed) > c.window)
}

// confirmationOf returns the confirmation of the copy of a kind, or nil for kinds of which
// heartbeats report nothing.
func (c *contact) confirmationOf(kinds Kinds, kind string) *confirmation {
	switch kind {
	case kinds.Configuration:
		return &c.configuration
	case kinds.Servers:
		return &c.list
	}
	return nil
}
