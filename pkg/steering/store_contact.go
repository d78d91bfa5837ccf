package steering

import (
	"sync/atomic"
	"time"
)

// storeContact is what a box has seen of the platform's store.
type storeContact struct {
	// started is the start of the box, and within the time of contact.
	started time.Time
	within  time.Duration
	// answered and failed are when the store last did, in nanoseconds since the
	// start; failed is 0 if it never has.
	answered atomic.Int64
	failed   atomic.Int64
	// lost: the watch of the configuration, which notices a store that is
	// silent, has failed and not been answered since.
	lost atomic.Bool
}

func (c *storeContact) age() time.Duration { return time.Since(c.started) }

func (c *storeContact) noteAnswer() { c.answered.Store(int64(c.age())) }

func (c *storeContact) noteFailure() { c.failed.Store(int64(c.age())) }

// answeredLately reports whether the store has answered this box lately.
func (c *storeContact) answeredLately() bool {
	return c.age()-time.Duration(c.answered.Load()) < c.within
}

// healthy reports whether the store has answered this box without fail for a
// while.
func (c *storeContact) healthy() bool {
	failed := c.failed.Load()
	return c.answeredLately() && (failed == 0 || c.age()-time.Duration(failed) > c.within)
}
