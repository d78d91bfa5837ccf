package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullServer returns a set whose only server answered in the given time and then reported ten
// requests at its four slots.
func fullServer(t *testing.T, took time.Duration) (*Set, *clock) {
	t.Helper()
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 1, 4), true)
	for range 20 {
		l, err := choose(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		c.advance(took)
		l.Done(Answered, &Load{Running: 1, Slots: 4})
	}
	l, err := choose(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	c.advance(took)
	l.Done(Answered, &Load{Running: 4, Waiting: 6, Slots: 4})
	return s, c
}

// TestLoadOfAQuickServerIsSoonOld guards against refusing requests because of an outdated load.
// Six boxes began to send at once, and a server that takes 15 ms per request reported to two of
// them that it held ten requests at its four slots. It had worked them off within 40 ms, but a
// reported load counted in full for half a second whatever the server's speed, and the two boxes
// sent it nothing that could have brought a newer report. They refused its requests for 0.8 s: 25
// of 689 requests.
func TestLoadOfAQuickServerIsSoonOld(t *testing.T) {
	is := is.New(t)
	s, c := fullServer(t, 15*time.Millisecond)
	_, err := choose(s, 1)
	is.True(err != nil) // the server has just reported that it is full
	c.advance(350 * time.Millisecond)
	_, err = choose(s, 1)
	is.NoErr(err)
}

// TestLoadOfASlowServerCountsLonger checks that a server that takes 300 ms per request counts as full
// for longer.
func TestLoadOfASlowServerCountsLonger(t *testing.T) {
	is := is.New(t)
	s, c := fullServer(t, 300*time.Millisecond)
	c.advance(350 * time.Millisecond)
	_, err := choose(s, 1)
	is.True(err != nil)
}
