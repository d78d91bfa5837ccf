package replica

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// changeEach puts servers into the store, one after the other, for a while.
func (s *modelStore) changeEach(pause, d time.Duration) {
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		s.put(storeKinds.Servers, "server-"+strconv.Itoa(i), backend.Server{ID: "server", Service: "shop"})
		time.Sleep(pause)
	}
}

// TestUnchangedKindsAreWatchedRarely: while servers come and go, the store's revision rises
// with each change. A box that receives all these changes knows that none was a change of the
// configuration, and need not watch that closely. Without this, it sent 17 watches of the
// configuration and 11 of evacuations in these 30 s, and a deployment of 295 boxes made 1,088
// calls on a day without faults in place of 508.
func TestUnchangedKindsAreWatchedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newModelStore()
		s.put(storeKinds.Configuration, "main", 1)
		s.put(storeKinds.Evacuations, "west", struct{}{})
		s.put(storeKinds.Servers, "first", backend.Server{ID: "first", Service: "shop"})
		b := newModelBox(t, s)
		defer b.group.Wait()
		defer b.stop()
		b.run()
		time.Sleep(5 * time.Second)
		clear(s.watches)

		s.changeEach(700*time.Millisecond, 30*time.Second)
		t.Log("watches:", s.watches)
		is.True(s.watches[storeKinds.Configuration] <= 3)
		is.True(s.watches[storeKinds.Evacuations] <= 3)
		is.True(b.contact.configuration.age() < drainTime) // the copy is confirmed all the same

		s.put(storeKinds.Configuration, "main", 2)
		time.Sleep(drainTime)
		is.Equal(b.version.Load(), uint64(2))
	})
}

// TestCopyIsCurrentOnlyUpToFirstUnseenRevision: a copy counts as current only up to the first
// revision that this box has not received, and not at all with a store that may count each
// kind separately.
func TestCopyIsCurrentOnlyUpToFirstUnseenRevision(t *testing.T) {
	is := is.New(t)
	told := func(revisions ...uint64) (events []objects.Event) {
		for _, at := range revisions {
			events = append(events, objects.Event{Object: objects.Object{Revision: at}})
		}
		return events
	}
	v := newRevisions()
	v.addCall(objects.Call{Watch: true, Since: 10, Revision: 12, Objects: 2})
	v.addEvents(0, told(11, 12))
	upTo, all := v.knownUpTo(objects.Position{Revision: 10})
	is.Equal(upTo, uint64(10)) // nothing shows yet that the store counts all kinds together
	is.True(!all)

	v.addCall(objects.Call{Watch: true, Since: 10, Revision: 12})
	upTo, all = v.knownUpTo(objects.Position{Revision: 10})
	is.Equal(upTo, uint64(12))
	is.True(all)

	v.addCall(objects.Call{Watch: true, Since: 12, Revision: 15, Objects: 2})
	v.addEvents(0, told(13, 15))
	upTo, all = v.knownUpTo(objects.Position{Revision: 12})
	is.Equal(upTo, uint64(13)) // 14 may be a change of any kind
	is.True(!all)
}

// TestSeenRevisionsAreBounded: a box that receives changes for days keeps few revisions.
func TestSeenRevisionsAreBounded(t *testing.T) {
	is := is.New(t)
	v := newRevisions()
	for at := range uint64(3 * maxSeen) {
		v.addEvents(0, []objects.Event{{Object: objects.Object{Revision: at}}})
		is.True(len(v.seen) <= maxSeen)
	}
}

// TestMissingCopyIsNotUpToDate: a box without a copy is not up to date, whatever
// changes it has received.
func TestMissingCopyIsNotUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newModelBox(t, newModelStore())
		defer b.group.Wait()
		defer b.stop()
		b.revisions.sharedCounter = true
		b.revisions.addEvents(0, []objects.Event{{Object: objects.Object{Name: "server", Revision: 1}}})
		is.True(!b.isUpToDate(storeKinds.Configuration))
	})
}
