package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServerThatLeavesGetsNothing checks that a leaving server gets no request, whatever a
// possibly outdated list has of that incarnation, not even one that was about to be sent to it.
// Its next incarnation gets requests.
func TestServerThatLeavesGetsNothing(t *testing.T) {
	is := is.New(t)
	s, _ := newTestSet(1)
	list := servers("east-a", 1, 4)
	list[0].StartedAtMs = 7
	s.Replace(list, true)
	waiting, err := choose(s, 1)
	is.NoErr(err)
	s.MarkLeaving("east-a-0@6") // another incarnation
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
	is.True(err != nil) // the list shows the server as ready
	list[0].StartedAtMs = 8
	s.Put(list[0])
	_, err = choose(s, 1)
	is.NoErr(err)
}

// TestServerThatLeavesIsKnownBeforeItIsListed covers a server that another box reports as leaving
// before it is listed here, or while its entry is missing.
func TestServerThatLeavesIsKnownBeforeItIsListed(t *testing.T) {
	is := is.New(t)
	s, _ := newTestSet(1)
	s.IsLeaving = func(incarnation string) bool { return incarnation == "east-a-0@7" }
	list := servers("east-a", 1, 4)
	list[0].StartedAtMs = 7
	s.MarkLeaving("east-a-0@7") // the server is unknown, so this has no effect
	s.Replace(list, true)
	_, err := choose(s, 1)
	is.True(err != nil)
	is.True(!s.HasServers())
}

// TestServerThatLeavesAndVanishesIsGone checks that a leaving server is dropped when it vanishes,
// even from a list that is not trusted.
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

// TestRegionOfLeavingServersHasNoSlots checks that the keys of leaving servers go to other
// regions within the cap on shifts, as they do if the list shows the servers as draining.
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
