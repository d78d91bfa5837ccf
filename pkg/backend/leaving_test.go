package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServerThatLeavesGetsNothing: whatever the list says of that life, which may be old, and also where
// a request was about to be sent to it; its next life gets requests.
func TestServerThatLeavesGetsNothing(t *testing.T) {
	is := is.New(t)
	s, _ := newTestSet(1)
	list := servers("east-a", 1, 4)
	list[0].StartedAtMs = 7
	s.Replace(list, true)
	waiting, err := choose(s, 1)
	is.NoErr(err)
	s.MarkLeaving("east-a-0@6") // another life
	is.True(waiting.Usable())
	s.MarkLeaving("east-a-0@7")
	is.True(!waiting.Usable())
	waiting.Done(Withdrawn, nil)
	_, err = choose(s, 1)
	is.True(err != nil)
	s.Replace(list, true)
	list[0].Slots = 5
	s.Put(list[0])
	_, err = choose(s, 1)
	is.True(err != nil) // the list says that it is ready
	list[0].StartedAtMs = 8
	s.Put(list[0])
	_, err = choose(s, 1)
	is.NoErr(err)
}

// TestServerThatLeavesIsKnownBeforeItIsListed: another box may tell of it first, and its entry may be
// away for a while.
func TestServerThatLeavesIsKnownBeforeItIsListed(t *testing.T) {
	is := is.New(t)
	s, _ := newTestSet(1)
	s.IsLeaving = func(life string) bool { return life == "east-a-0@7" }
	list := servers("east-a", 1, 4)
	list[0].StartedAtMs = 7
	s.MarkLeaving("east-a-0@7") // nothing to do yet
	s.Replace(list, true)
	_, err := choose(s, 1)
	is.True(err != nil)
	is.True(!s.HasServers())
}

// TestServerThatLeavesAndVanishesIsGone: also while the list cannot be trusted.
func TestServerThatLeavesAndVanishesIsGone(t *testing.T) {
	is := is.New(t)
	s, _ := newTestSet(1)
	s.Replace(servers("east-a", 2, 4), true)
	s.MarkLeaving("east-a-0")
	s.Remove("east-a-0", false)
	s.Remove("east-a-1", false)
	is.True(!s.HasIncarnation("east-a-0"))
	is.True(s.HasIncarnation("east-a-1"))
}

// TestRegionOfLeavingServersHasNoSlots: its keys go to others within the cap on shifts, as when the list
// says that they leave.
func TestRegionOfLeavingServersHasNoSlots(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(append(servers("east-a", 2, 4), servers("west-a", 2, 4)...), true)
	for _, id := range []string{"east-a-0", "east-a-1"} {
		s.MarkLeaving(id)
	}
	for key := range 100 {
		l, err := choose(s, uint64(key))
		is.NoErr(err)
		is.Equal(l.Zone, "west-a")
		l.Done(Answered, nil)
		c.advance(10 * time.Millisecond)
	}
}
