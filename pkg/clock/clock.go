// Package clock is the steady clock of a box. It never steps, and unlike the clock of the
// language's runtime it counts the time for which the machine was suspended: whatever a box
// holds for a time, from leases to what it believes of others, has grown older meanwhile.
//
// Example: a machine is suspended for five seconds. The runtime's clock (CLOCK_MONOTONIC on
// Linux, see clock_gettime(2)) goes on where it stood, so a part of a limit that was lent for
// two seconds would seem good for two seconds more, while its lender has lent it to another box.
//
// Timers and deadlines of the runtime stand still while the machine does. A time of this clock
// is not to be handed to them; a span between two is.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is what counts as a suspension: reading two clocks one after the other
// takes far less, and nothing is decided by so little.
const minSuspension = time.Millisecond

// Clock is a steady clock.
type Clock struct {
	// OnResume is told of each suspension that is found, and how long it was.
	OnResume func(away time.Duration)
	// boottime reads a clock that counts suspensions.
	boottime func() (time.Duration, error)
	started  time.Time
	base     time.Duration
	// err is why there is no such clock, nil if there is.
	err error
	// suspended is for how long the machine has been suspended since the start, in nanoseconds.
	suspended atomic.Int64
}

// New makes a clock. Where the system has none that counts suspensions, Err tells, and the
// clock is the runtime's.
func New() *Clock { return NewWithBoottime(boottime) }

// NewWithBoottime makes a clock that finds suspensions by another clock's running ahead.
func NewWithBoottime(boottime func() (time.Duration, error)) *Clock {
	c := &Clock{OnResume: func(time.Duration) {}, boottime: boottime, started: time.Now()}
	c.base, c.err = boottime()
	return c
}

// Err returns why suspensions cannot be found, nil if they can.
func (c *Clock) Err() error { return c.err }

// Now returns the time. It counts a suspension once Sync has found it.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// Since returns how long ago a time of this clock was.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Sync looks whether the machine was suspended. It is to be called before anything is decided
// by what is held for a time: at the beginning of each request, with each message of another
// box, and some times a second. It takes one system call.
func (c *Clock) Sync() {
	if c.err != nil {
		return
	}
	at, err := c.boottime()
	if err != nil {
		return // it could be read before, and will be again
	}
	// Whatever passes between the two readings makes this less, never more.
	suspended := at - c.base - time.Since(c.started)
	for {
		known := c.suspended.Load()
		if suspended-time.Duration(known) < minSuspension {
			return
		}
		if c.suspended.CompareAndSwap(known, int64(suspended)) {
			c.OnResume(suspended - time.Duration(known))
			return
		}
	}
}

// boottime reads the system's clock that counts suspensions. The error is a unix.Errno.
func boottime() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}
