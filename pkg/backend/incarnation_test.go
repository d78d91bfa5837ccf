package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServerThatStartsAgainIsAnotherOne: under the id that it had, it knows no keys, holds
// nothing, and is neither resting, leaving nor stale for what was known of it before.
func TestServerThatStartsAgainIsAnotherOne(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	first := servers("east-a", 1, 4)[0]
	first.StartedAtMs = 1000
	s.Put(first)
	old, err := choose(s, 7)
	is.NoErr(err)
	again, err := choose(s, 7)
	is.NoErr(err)
	again.Done(Answered, &Load{Running: 4, Waiting: 8, Slots: 4})
	lose(s, first.ID, Unreachable)
	s.ApplyFailureReport("box-2", FailureReport{Server: first.Incarnation(), Stale: true})
	_, err = choose(s, 7)
	is.True(err != nil)

	second := first
	second.StartedAtMs = 2000
	s.Put(second)
	is.True(!old.Usable()) // what was chosen for the earlier life is chosen anew
	lease, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(lease.StartedAtMs, int64(2000))
	is.True(!lease.KeyKnown)
	is.Equal(lease.InFlight, 0.0) // it holds nothing
	old.Done(Broken, nil)         // the end of the earlier life
	old = nil
	is.Equal(s.servers[first.ID].load.own, 1)
	is.Equal(s.servers[first.ID].health.failures, 0)

	// What is told of the earlier life does not concern the later one.
	s.ApplyFailureReport("box-2", FailureReport{Server: first.Incarnation(), Stale: true})
	is.True(!s.servers[first.ID].stale)
	s.ApplyFailureReport("box-2", FailureReport{Server: second.Incarnation(), Stale: true})
	is.True(s.servers[first.ID].stale)

	// One that left and starts again is ready.
	third := second
	third.Draining = true
	s.Put(third)
	s.Remove(first.ID, false)
	third.Draining, third.StartedAtMs = false, 3000
	s.Put(third)
	_, err = choose(s, 7)
	is.NoErr(err)

	// Each life is cold from its own start.
	third.StartedAtMs, third.ColdFor = 4000, 2*time.Second
	s.Put(third)
	c.advance(1900 * time.Millisecond)
	third.StartedAtMs = 5000
	s.Put(third)
	c.advance(1900 * time.Millisecond)
	is.True(c.at.Before(s.servers[first.ID].coldUntil))
}

// TestServerThatRefusedIsTakenToBeCold: one whose port refused connections has ended; what
// answers there later under its id has just started, whatever the list says yet. So it gets
// no more than a cold one, until its entry tells of the new life or must have gone.
func TestServerThatRefusedIsTakenToBeCold(t *testing.T) {
	is := is.New(t)
	for _, result := range []Result{Refused, Crashed} {
		s, c := newTestSet(4)
		v := servers("east-a", 1, 4)[0]
		v.StartedAtMs = 1000
		sent := func(span time.Duration) (n int) {
			for end := c.at.Add(span); c.at.Before(end); c.advance(10 * time.Millisecond) {
				if lease, err := choose(s, 7); err == nil {
					lease.Done(Answered, nil)
					n++
				}
			}
			return n
		}
		s.Put(v)
		lose(s, v.ID, result)
		c.advance(3 * time.Second) // its rest is over
		s.Put(v)                   // and its entry as it was
		is.True(sent(time.Second) <= 5)
		renewed := v
		renewed.StartedAtMs = 2000
		s.Put(renewed)
		is.Equal(sent(time.Second), 100)
		lose(s, v.ID, result)
		c.advance(restartWindow)
		is.Equal(sent(time.Second), 100) // it was the same one
		// Without word of its starts each has an id of its own.
		v.StartedAtMs = 0
		s.Put(v)
		lose(s, v.ID, result)
		c.advance(3 * time.Second)
		is.Equal(sent(time.Second), 100)
	}
}

// TestServerThatRefusedWhileTheListIsOldIsTriedFirst: while the store cannot tell whether a server
// has started again, it gets one request of a box at a time, and is taken to be cold once it
// answers: it may have started just before.
func TestServerThatRefusedWhileTheListIsOldIsTriedFirst(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(4)
	s.Trusted = func() bool { return false }
	v := servers("east-a", 1, 4)[0]
	v.StartedAtMs = 1000
	s.Put(v)
	lose(s, v.ID, Refused)
	c.advance(restartWindow)
	first, err := choose(s, 7)
	is.NoErr(err)
	_, err = choose(s, 8)
	is.True(err != nil) // one at a time
	first.Done(Refused, nil)
	c.advance(restartWindow)
	again, err := choose(s, 7)
	is.NoErr(err)
	again.Done(Answered, nil)
	for range 2 {
		l, err := choose(s, 7)
		is.NoErr(err)
		is.True(l.Cold) // it has just started, for all that is known
	}
	_, err = choose(s, 7)
	is.True(err != nil) // and gets no more than its part: a quarter of half of 21 in a second
	c.advance(3*time.Second + s.Policy.ColdMargin)
	for range 3 {
		_, err = choose(s, 7)
		is.NoErr(err)
	}
}
