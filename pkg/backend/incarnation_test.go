package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServerThatStartsAgainIsAnotherOne checks that a server that restarts under the same ID
// knows no keys, holds no requests, and is not ejected, leaving or stale because of its earlier
// incarnation.
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
	endExchange(s, first.ID, Unreachable)
	s.ApplyFailureReport("box-2", FailureReport{Server: first.Incarnation(), Stale: true})
	_, err = choose(s, 7)
	is.True(err != nil)

	second := first
	second.StartedAtMs = 2000
	s.Put(second)
	is.True(!old.Usable()) // requests that chose the earlier incarnation choose again
	lease, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(lease.StartedAtMs, int64(2000))
	is.True(!lease.KeyKnown)
	is.Equal(lease.InFlight, 0.0) // it holds no requests
	old.Done(Broken, nil)         // the end of the earlier incarnation
	old = nil
	is.Equal(s.servers[first.ID].load.own, 1)
	is.Equal(s.servers[first.ID].health.failures, 0)

	// Reports about the earlier incarnation do not apply to the later one.
	s.ApplyFailureReport("box-2", FailureReport{Server: first.Incarnation(), Stale: true})
	is.True(!s.servers[first.ID].stale)
	s.ApplyFailureReport("box-2", FailureReport{Server: second.Incarnation(), Stale: true})
	is.True(s.servers[first.ID].stale)

	// A server that left and restarts is ready.
	third := second
	third.Draining = true
	s.Put(third)
	s.Remove(first.ID, false)
	third.Draining, third.StartedAtMs = false, 3000
	s.Put(third)
	_, err = choose(s, 7)
	is.NoErr(err)

	// Each incarnation is cold from its own start.
	third.StartedAtMs, third.ColdFor = 4000, 2*time.Second
	s.Put(third)
	c.advance(1900 * time.Millisecond)
	third.StartedAtMs = 5000
	s.Put(third)
	c.advance(1900 * time.Millisecond)
	is.True(c.at.Before(s.servers[first.ID].coldUntil))
}

// TestServerThatRefusedIsTakenToBeCold checks that a server whose port refused connections counts
// as cold when it answers again under its ID, since it has just started, whatever the list still
// has of it. It gets requests at the rate of a cold server until its entry shows the new
// incarnation or should have been removed.
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
		endExchange(s, v.ID, result)
		c.advance(3 * time.Second) // its ejection is over
		s.Put(v)                   // its entry is unchanged
		is.True(sent(time.Second) <= 5)
		renewed := v
		renewed.StartedAtMs = 2000
		s.Put(renewed)
		is.Equal(sent(time.Second), 100)
		endExchange(s, v.ID, result)
		c.advance(restartWindow)
		is.Equal(sent(time.Second), 100) // it was the same incarnation
		// Servers that do not report their start have a new ID with each start.
		v.StartedAtMs = 0
		s.Put(v)
		endExchange(s, v.ID, result)
		c.advance(3 * time.Second)
		is.Equal(sent(time.Second), 100)
	}
}

// TestServerThatRefusedIsProbedWhileTheListIsOld checks that, while the store cannot show
// whether a server has restarted, the box sends it one request at a time, and counts it as cold
// once it answers, since it may have just started.
func TestServerThatRefusedIsProbedWhileTheListIsOld(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(4)
	s.Trusted = func() bool { return false }
	v := servers("east-a", 1, 4)[0]
	v.StartedAtMs = 1000
	s.Put(v)
	endExchange(s, v.ID, Refused)
	c.advance(restartWindow)
	first, err := choose(s, 7)
	is.NoErr(err)
	_, err = choose(s, 8)
	is.True(err != nil) // one request at a time
	first.Done(Refused, nil)
	c.advance(restartWindow)
	again, err := choose(s, 7)
	is.NoErr(err)
	again.Done(Answered, nil)
	for range 2 {
		l, err := choose(s, 7)
		is.NoErr(err)
		is.True(l.Cold) // it may have just started
	}
	_, err = choose(s, 7)
	is.True(err != nil) // its share is a quarter of half of 21 requests per second
	c.advance(3*time.Second + s.Policy.ColdMargin)
	for range 3 {
		_, err = choose(s, 7)
		is.NoErr(err)
	}
}
