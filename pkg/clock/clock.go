// Package clock is the monotonic clock of a box. It never steps, and unlike the clock of the
// Go runtime it counts the time for which the machine was suspended: whatever a box holds for
// a limited time, from leases to liveness records, has aged meanwhile.
//
// Example: a machine is suspended for five seconds. The runtime's clock (CLOCK_MONOTONIC on
// Linux, see clock_gettime(2)) does not advance meanwhile, so a share of a limit that was lent
// for two seconds would seem valid for two more seconds, although its lender has lent it to
// another box.
//
// The runtime's timers and deadlines also stop during a suspension. Do not pass them a time of
// this clock; pass the difference of two of its times.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest time that counts as a suspension. Reading two clocks one after
// the other takes far less, and no decision depends on so short a time.
const minSuspension = time.Millisecond

// Clock is a monotonic clock that counts suspensions.
type Clock struct {
	// OnResume is called for each suspension that is found, with its duration.
	OnResume func(suspended time.Duration)
	// boottime reads a clock that counts suspensions.
	boottime        func() (time.Duration, error)
	started         time.Time
	boottimeAtStart time.Duration
	// err is why boottime cannot be read, nil if it can.
	err error
	// suspended is how long the machine has been suspended since the start, in nanoseconds.
	suspended atomic.Int64
}

// New returns a clock. If the system has no clock that counts suspensions, Err returns the
// reason and the clock is the runtime's.
func New() *Clock { return NewWithBoottime(boottime) }

// NewWithBoottime returns a clock that finds suspensions by how far boottime runs ahead of the
// runtime's clock.
func NewWithBoottime(boottime func() (time.Duration, error)) *Clock {
	c := &Clock{OnResume: func(time.Duration) {}, boottime: boottime, started: time.Now()}
	c.boottimeAtStart, c.err = boottime()
	return c
}

// Err returns why suspensions cannot be found, nil if they can.
func (c *Clock) Err() error { return c.err }

// Now returns the time. It includes a suspension once Sync has found it.
func (c *Clock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// Since returns the time that has passed since t, a time of this clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Sync checks whether the machine was suspended. Call it before any decision that depends on
// how long something is held: at the beginning of each request, with each message of another
// box, and several times a second. It takes one system call.
func (c *Clock) Sync() {
	if c.err != nil {
		return
	}
	at, err := c.boottime()
	if err != nil {
		return // temporary, since it could be read at the start
	}
	// Time that passes between the two readings makes the result smaller, never larger.
	suspended := at - c.boottimeAtStart - time.Since(c.started)
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
