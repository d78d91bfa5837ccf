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
	first.Born = 1000
	s.Put(first)
	old, err := choose(s, 7)
	is.NoErr(err)
	again, err := choose(s, 7)
	is.NoErr(err)
	again.Done(Answered, &Load{Running: 4, Waiting: 8, Slots: 4})
	lose(s, first.ID, Unreachable)
	s.Learn("box-2", Finding{Server: first.Life(), Stale: true})
	_, err = choose(s, 7)
	is.True(err != nil)

	second := first
	second.Born = 2000
	second.Cold = 2 * time.Second
	s.Put(second)
	is.True(!old.Usable()) // what was chosen for the earlier life is chosen anew
	lease, err := choose(s, 7)
	is.NoErr(err)
	is.Equal(lease.Born, int64(2000))
	is.True(!lease.Known)
	is.True(lease.Cold)
	is.Equal(lease.Busy, s.Policy.FullFill*4) // that of a cold server, and nothing it holds
	old.Done(Broken, nil)                     // the end of the earlier life
	old = nil
	is.Equal(s.servers[first.ID].load.own, 1)
	is.Equal(s.servers[first.ID].health.failures, 0)

	// What is told of the earlier life does not concern the later one.
	s.Learn("box-2", Finding{Server: first.Life(), Stale: true})
	is.True(!s.servers[first.ID].stale)
	s.Learn("box-2", Finding{Server: second.Life(), Stale: true})
	is.True(s.servers[first.ID].stale)

	// One that left and starts again is ready.
	third := second
	third.Draining = true
	s.Put(third)
	s.Remove(first.ID, false)
	third.Draining, third.Born, third.Cold = false, 3000, 0
	s.Put(third)
	c.advance(time.Minute)
	lease, err = choose(s, 7)
	is.NoErr(err)
	is.True(!lease.Cold)
}

// TestServerThatRefusedIsTakenToBeCold: one whose port refused connections has ended; what
// answers there later under its id has just started, whatever the list says yet.
func TestServerThatRefusedIsTakenToBeCold(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(4)
	s.Put(servers("east-a", 1, 4)[0])
	lose(s, "east-a-0", Refused)
	c.advance(10 * time.Second)
	s.Put(servers("east-a", 1, 4)[0]) // its entry is as it was
	sent := 0
	for range 40 {
		if lease, err := choose(s, 7); err == nil {
			lease.Done(Answered, nil)
			sent++
		}
		c.advance(10 * time.Millisecond)
	}
	is.Equal(sent, 5) // this box's part of 11 x 1.5 + 5 in a second
	c.advance(3500 * time.Millisecond)
	lease, err := choose(s, 7)
	is.NoErr(err)
	is.True(!lease.Cold)
}
