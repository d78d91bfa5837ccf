package storepoller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const contact = 4 * time.Second

// start is when a box has met its zone.
var start = time.Unix(1000, 0)

func newRole(chance float64) *Role {
	return New(func() int { return 1 }, contact, start.Add(-MeetTime), chance)
}

func TestOneHealthyBoxOfAZoneWatches(t *testing.T) {
	is := is.New(t)
	r := newRole(0)
	is.True(r.ShouldPoll(View{Synced: true, StoreAnswers: true}, start))
	is.True(!r.ShouldPoll(View{Synced: true, StoreAnswers: true, HealthyBefore: 1, ZoneHealthy: 1}, start))
	is.True(r.ShouldPoll(View{Synced: true, StoreAnswers: true, ZoneHealthy: 1}, start)) // it comes first
}

// TestBoxWithoutACopyTakesNoRoleOver: a box that starts would read for long
// what the zone has; until it has that, it leaves the role where it is.
func TestBoxWithoutACopyTakesNoRoleOver(t *testing.T) {
	is := is.New(t)
	is.True(!newRole(0).ShouldPoll(View{ZoneHealthy: 1, StoreAnswers: true}, start))
	is.True(newRole(0).ShouldPoll(View{}, start))
	is.True(!newRole(0).ShouldPoll(View{}, start.Add(-1))) // it has not met its zone
}

// TestFewTryWhileTheStoreIsDown: two at first, then one more each time that the
// outage has doubled.
func TestFewTryWhileTheStoreIsDown(t *testing.T) {
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

// TestAnsweredBoxStays: where the store turns away the boxes that come first in the
// zone, the one that it answers goes on asking, though those try on.
func TestAnsweredBoxStays(t *testing.T) {
	is := is.New(t)
	r := newRole(0)
	later := start.Add(contact)
	is.True(r.ShouldPoll(View{Synced: true, UnansweredBefore: 2}, later))
	is.True(r.ShouldPoll(View{Synced: true, Answered: true, StoreAnswers: true, UnansweredBefore: 2}, later.Add(tick)))
	is.True(!r.ShouldPoll(View{Synced: true, StoreAnswers: true, UnansweredBefore: 2}, later.Add(2*tick)))
}

// TestBoxesTakeTheRoleUpOneAfterTheOther: when the box that watched is gone, the
// next one does at once, and the others only if they do not hear that it has.
func TestBoxesTakeTheRoleUpOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	r := newRole(0)
	watched := View{Synced: true, StoreAnswers: true, HealthyBefore: 1, ZoneHealthy: 1, IdleBefore: 2}
	gone := View{Synced: true, StoreAnswers: true, IdleBefore: 2}
	is.True(!r.ShouldPoll(watched, start))
	is.True(!r.ShouldPoll(gone, start))
	is.True(!r.ShouldPoll(gone, start.Add(2*standBack-1)))
	is.True(r.ShouldPoll(gone, start.Add(2*standBack)))
	is.True(!r.ShouldPoll(watched, start.Add(3*standBack)))
	is.True(!r.ShouldPoll(gone, start.Add(4*standBack)))
	gone.IdleBefore = 100
	is.True(!r.ShouldPoll(gone, start.Add(5*standBack)))
	is.True(r.ShouldPoll(gone, start.Add(4*standBack+longestStandBack)))
	gone.IdleBefore = 0
	is.True(!r.ShouldPoll(watched, start.Add(time.Minute)))
	is.True(r.ShouldPoll(gone, start.Add(time.Minute)))
}

// TestLongListsAreReadByThoseThatWatch: others wait to be handed the list, but
// not for ever, and do not begin together.
func TestLongListsAreReadByThoseThatWatch(t *testing.T) {
	is := is.New(t)
	watches, early, late := newRole(0), newRole(0), newRole(0.99)
	is.True(!watches.ReadsAllPages(start))
	is.True(watches.ShouldPoll(View{}, start))
	is.True(watches.ReadsAllPages(start))
	began := start.Add(-MeetTime)
	is.True(!early.ReadsAllPages(began.Add(contact - 1)))
	is.True(early.ReadsAllPages(began.Add(contact)))
	is.True(!late.ReadsAllPages(began.Add(4 * contact)))
	is.True(late.ReadsAllPages(began.Add(5 * contact)))
}
