package replica

import (
	"sync"
	"sync/atomic"
	"time"
)

// contact is what a box has seen of the platform's store.
type contact struct {
	// now is the clock, started the start of the box, and within the time of contact.
	now     func() time.Time
	started time.Time
	within  time.Duration
	// answered is when the store last did, and failed when the last call was made that
	// it did not answer, in nanoseconds since the start; failed is 0 if there is none.
	answered atomic.Int64
	failed   atomic.Int64
	// configuration and list tell when this box's copies of the configuration and of
	// the list of servers were last known to be the newest.
	configuration, list confirmation
	// failing are the kinds of objects whose last call was not answered.
	mu      sync.Mutex
	failing map[string]bool
}

// confirmation is when a copy was last known to be the newest.
type confirmation struct {
	// now is the clock and started the start of the box. The moments are in nanoseconds after
	// it, 0 if there is none: own, by this box's own calls; heard, by the word of another box.
	now        func() time.Time
	started    time.Time
	own, heard atomic.Int64
}

// note notes that the copy was the newest at a time, by a call of this box's own.
func (c *confirmation) note(at time.Time) { raise(&c.own, int64(at.Sub(c.started))) }

// hear notes the same by the word of another box.
func (c *confirmation) hear(at time.Time) { raise(&c.heard, int64(at.Sub(c.started))) }

// ago is how long ago the copy was last known to be the newest, or how long the box has run
// if it never was.
func (c *confirmation) ago() time.Duration {
	return c.now().Sub(c.started) - time.Duration(max(c.own.Load(), c.heard.Load()))
}

// ever reports whether the copy was ever known to be the newest.
func (c *confirmation) ever() bool { return c.own.Load() != 0 || c.heard.Load() != 0 }

// told returns what heartbeats tell of the copy: how long ago it was the newest, in
// milliseconds and one more; 0 if this box does not ask the store. What it has only heard
// is not told on: each word counts from when it is heard, so two boxes that told each other
// would take a copy to be newer the more they talk, by the time of their datagrams each time.
func (c *confirmation) told(watching bool) uint32 {
	own := c.own.Load()
	if own == 0 || !watching {
		return 0
	}
	ago := c.now().Sub(c.started) - time.Duration(own)
	return 1 + uint32(ago.Milliseconds())
}

func newContact(now func() time.Time, within time.Duration) *contact {
	started := now()
	c := &contact{now: now, started: started, within: within, failing: map[string]bool{}}
	c.configuration.now, c.list.now = now, now
	c.configuration.started, c.list.started = started, started
	return c
}

// setFailing notes whether the last call for a kind failed, and reports whether the
// one before did.
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

// lost reports whether the last call for any kind was not answered.
func (c *contact) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, failing := range c.failing {
		if failing {
			return true
		}
	}
	return false
}

// forgetFailures takes no kind for failing any more: the box asks from now on, or has
// left that to others.
func (c *contact) forgetFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.failing)
}

func (c *contact) age() time.Duration { return c.now().Sub(c.started) }

func (c *contact) noteAnswer() { c.answered.Store(int64(c.age())) }

// raise sets a moment to a later one.
func raise(moment *atomic.Int64, to int64) {
	for {
		known := moment.Load()
		if to <= known || moment.CompareAndSwap(known, to) {
			return
		}
	}
}

// noteFailure notes that a call was not answered, given when it was made: that is when
// the store was silent. One that a watch met is known seconds later; counted from then
// on, the list of servers would not be trusted until seconds after the time of contact, and
// servers that left meanwhile without a word would be kept.
func (c *contact) noteFailure(made time.Time) {
	raise(&c.failed, int64(made.Sub(c.started)))
}

// answeredLately reports whether the store has answered this box lately.
func (c *contact) answeredLately() bool {
	return c.age()-time.Duration(c.answered.Load()) < c.within
}

// healthy reports whether the store has answered this box without fail for a
// while.
func (c *contact) healthy() bool {
	failed := c.failed.Load()
	return c.answeredLately() && (failed == 0 || c.age()-time.Duration(failed) > c.within)
}

// of returns what is known of the copy of a kind, nil for evacuations, of which nothing is
// told.
func (c *contact) of(kinds Kinds, kind string) *confirmation {
	switch kind {
	case kinds.Configuration:
		return &c.configuration
	case kinds.Servers:
		return &c.list
	}
	return nil
}
