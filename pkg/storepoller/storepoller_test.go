package storepoller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const contact = 4 * time.Second

// start is when a box has discovered its zone.
var start = time.Unix(1000, 0)

func newRole(chance float64) *Role {
	return New(func() int { return 1 }, contact, start.Add(-DiscoveryTime), chance)
}

func TestOneHealthyBoxOfAZonePolls(t *testing.T) {
	is := is.New(t)
	r := newRole(0)
	is.True(r.ShouldPoll(View{Synced: true, StoreAnswers: true}, start))
	is.True(!r.ShouldPoll(View{Synced: true, StoreAnswers: true, HealthyBefore: 1, ZoneHealthy: 1}, start))
	is.True(r.ShouldPoll(View{Synced: true, StoreAnswers: true, ZoneHealthy: 1}, start)) // this box comes first
}

// TestBoxWithoutACopyDoesNotTakeOver checks that a box that starts does not poll while its
// zone has a copy, which it would take long to read itself.
func TestBoxWithoutACopyDoesNotTakeOver(t *testing.T) {
	is := is.New(t)
	is.True(!newRole(0).ShouldPoll(View{ZoneHealthy: 1, StoreAnswers: true}, start))
	is.True(newRole(0).ShouldPoll(View{}, start))
	is.True(!newRole(0).ShouldPoll(View{}, start.Add(-1))) // it has not discovered its zone
}

// TestFewPollWhileTheStoreIsDown checks that two boxes poll at first, then one more each time
// that the outage has doubled.
func TestFewPollWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	r := newRole(0)
	is.True(r.ShouldPoll(View{Synced: true, StoreAnswers: true}, start))
	for _, e := range []struct {
		after time.Duration
		tries int
	}{{0, 2}, {contact - 1, 2}, {contact, 3}, {3 * contact, 4}, {7 * contact, 5}} {
		now := start.Add(e.after)
		is.True(r.ShouldPoll(View{Synced: true, UnansweredBefore: e.tries - 1}, now))
		is.True(!r.ShouldPoll(View{Synced: true, UnansweredBefore: e.tries}, now))
	}
	is.True(!r.ShouldPoll(View{Synced: true, UnansweredBefore: 2, StoreAnswers: true}, start.Add(8*contact)))
}

// TestAnsweredBoxStays checks that if the store rejects the first boxes of the zone, the box
// that it answers goes on polling although those keep trying.
func TestAnsweredBoxStays(t *testing.T) {
	is := is.New(t)
	r := newRole(0)
	later := start.Add(contact)
	is.True(r.ShouldPoll(View{Synced: true, UnansweredBefore: 2}, later))
	is.True(r.ShouldPoll(View{Synced: true, Answered: true, StoreAnswers: true, UnansweredBefore: 2}, later.Add(tick)))
	is.True(!r.ShouldPoll(View{Synced: true, StoreAnswers: true, UnansweredBefore: 2}, later.Add(2*tick)))
}

// TestBoxesTakeOverOneAfterAnother checks that when the box that polled is gone, the next one
// takes over at once, and the others only if they do not hear that it has.
func TestBoxesTakeOverOneAfterAnother(t *testing.T) {
	is := is.New(t)
	r := newRole(0)
	polled := View{Synced: true, StoreAnswers: true, HealthyBefore: 1, ZoneHealthy: 1, IdleBefore: 2}
	gone := View{Synced: true, StoreAnswers: true, IdleBefore: 2}
	is.True(!r.ShouldPoll(polled, start))
	is.True(!r.ShouldPoll(gone, start))
	is.True(!r.ShouldPoll(gone, start.Add(2*takeoverDelay-1)))
	is.True(r.ShouldPoll(gone, start.Add(2*takeoverDelay)))
	is.True(!r.ShouldPoll(polled, start.Add(3*takeoverDelay)))
	is.True(!r.ShouldPoll(gone, start.Add(4*takeoverDelay)))
	gone.IdleBefore = 100
	is.True(!r.ShouldPoll(gone, start.Add(5*takeoverDelay)))
	is.True(r.ShouldPoll(gone, start.Add(4*takeoverDelay+maxTakeoverDelay)))
	gone.IdleBefore = 0
	is.True(!r.ShouldPoll(polled, start.Add(time.Minute)))
	is.True(r.ShouldPoll(gone, start.Add(time.Minute)))
}

// TestLongListsAreReadByPollers checks that other boxes wait to receive the list from one that
// has it, but not forever, and that they do not begin to read it at the same time.
func TestLongListsAreReadByPollers(t *testing.T) {
	is := is.New(t)
	poller, early, late := newRole(0), newRole(0), newRole(0.99)
	is.True(!poller.ReadsAllPages(start))
	is.True(poller.ShouldPoll(View{}, start))
	is.True(poller.ReadsAllPages(start))
	began := start.Add(-DiscoveryTime)
	is.True(!early.ReadsAllPages(began.Add(contact - 1)))
	is.True(early.ReadsAllPages(began.Add(contact)))
	is.True(!late.ReadsAllPages(began.Add(4 * contact)))
	is.True(late.ReadsAllPages(began.Add(5 * contact)))
}
