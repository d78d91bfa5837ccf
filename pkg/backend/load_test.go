package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullServer returns a set whose only server has answered within a time, and told that it has
// ten requests at its four slots.
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

// TestLoadOfAQuickServerIsSoonOld: six boxes began to send at the same moment, and a server of
// 15 ms a request told two of them that it had ten at its four slots. It had worked them off within
// 40 ms. The two boxes refused what belonged there for 0.8 s, since a load that was told counted in
// full for half a second whatever the server's pace, and nothing that they sent could tell them
// better: 25 of 689 requests, with all faults over.
//
// Evidence: the boxes' logs, in which no request to that server ended in this time, and the fill
// of the refusals stood at 2.5 for 0.5 s and then fell as told loads fade.
func TestLoadOfAQuickServerIsSoonOld(t *testing.T) {
	is := is.New(t)
	s, c := fullServer(t, 15*time.Millisecond)
	_, err := choose(s, 1)
	is.True(err != nil) // it has just told that it is full
	c.advance(350 * time.Millisecond)
	_, err = choose(s, 1)
	is.NoErr(err)
}

// TestLoadOfASlowServerHolds: one that needs 300 ms a request is as full for a while.
func TestLoadOfASlowServerHolds(t *testing.T) {
	is := is.New(t)
	s, c := fullServer(t, 300*time.Millisecond)
	c.advance(350 * time.Millisecond)
	_, err := choose(s, 1)
	is.True(err != nil)
}
