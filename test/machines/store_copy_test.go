package machines

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/quarantine"
	"github.com/stoneworks/stoneworks/platform"
)

// configTime is how long after the store has accepted a configuration boxes may follow the one before.
const configTime = 2500 * time.Millisecond

// writtenAgainTime is how long after the store has come back others have written again.
const writtenAgainTime = 2 * time.Second

// added is a route that a later configuration adds.
var added = Route{Prefix: "/added/", Kind: "safe", Service: "shop", TimeoutMS: 1500}

// copyFleet is a fleet, and writeUnrelated writes objects which change nothing for it.
func copyFleet(t *testing.T) *Fleet {
	return newFleet(t, 3, "east-a.1", "east-a.2", "east-b.1", "west-a.1")
}

func writeUnrelated(f *Fleet, count int) {
	for i := range count {
		f.Store.put("notes", fmt.Sprint("note-", i), map[string]any{"at": time.Now().UnixNano()})
	}
}

// statusesOf sends a request to each box and returns the statuses.
func statusesOf(f *Fleet, target string) (statuses []int) {
	for i, b := range f.Boxes {
		c := &Client{Address: b.Clients}
		statuses = append(statuses, c.Do("GET", target, fmt.Sprint("status-", i, "-", time.Now().UnixNano()), "", "").Status)
		c.Close()
	}
	return statuses
}

// arrivalsAfter counts the requests that reached a server after a time.
func arrivalsAfter(s *Server, at time.Time) (count int) {
	for _, a := range s.ArrivalLog() {
		if a.At.After(at) {
			count++
		}
	}
	return count
}

// TestChangesAfterTheStoreCameBackFromACopy guards against boxes that miss changes whose revisions the
// store has given out before, and that call it without pause meanwhile.
func TestChangesAfterTheStoreCameBackFromACopy(t *testing.T) {
	for _, lost := range []int{1, 12} {
		t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := copyFleet(t)
			clients := newTraffic(f, 6)
			time.Sleep(500 * time.Millisecond)
			copied := f.Store.Copy()
			writeUnrelated(f, lost)
			time.Sleep(1500 * time.Millisecond) // all boxes see the revisions that get lost
			f.Store.ComeBackFrom(copied)
			time.Sleep(contactTime)
			calls := f.Store.Calls(f.Boxes[0].IP)
			f.Configure(2, read, buy, upload, added)
			f.PutServer(f.Servers["east-a.1"], "shop", "east-a", "draining", 0)
			time.Sleep(configTime)
			left := time.Now()
			is.Equal(statusesOf(f, "/added/1"), []int{200, 200, 200})
			time.Sleep(time.Second)
			clients.stopAndCount()
			is.Equal(arrivalsAfter(f.Servers["east-a.1"], left), 0)
			is.True(f.Store.Calls(f.Boxes[0].IP)-calls < 30)
		})
	}
}

// TestCopyUndoesNothingInEffect checks that, until everybody has written again, a server that has left
// gets no request, an evacuation holds, a configuration stays, and no box calls the store without pause.
func TestCopyUndoesNothingInEffect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := copyFleet(t)
	clients := newTraffic(f, 6)
	time.Sleep(500 * time.Millisecond)
	copied := f.Store.Copy()
	f.Configure(2, read, buy, upload, added)
	f.PutServer(f.Servers["east-a.1"], "shop", "east-a", "draining", 0)
	f.Store.Delete("servers", "east-b.1")
	f.Store.Put("evacuations", "west-a", map[string]any{})
	time.Sleep(configTime + time.Second)
	before := time.Now()
	calls := f.Store.Calls(f.Boxes[0].IP)
	f.Store.ComeBackFrom(copied)
	for time.Since(before) < writtenAgainTime-300*time.Millisecond {
		time.Sleep(200 * time.Millisecond)
		is.Equal(statusesOf(f, "/added/1"), []int{200, 200, 200})
	}
	is.True(f.Store.Calls(f.Boxes[0].IP)-calls < 40)
	f.Store.WriteAgain(copied)
	time.Sleep(2 * time.Second)
	is.Equal(statusesOf(f, "/added/1"), []int{200, 200, 200})
	clients.stopAndCount()
	for _, id := range []string{"east-a.1", "east-b.1", "west-a.1"} {
		for _, a := range f.Servers[id].ArrivalLog() {
			if a.At.After(before) {
				t.Errorf("%s got %s from %s %s after the store came back", id, a.ID, a.From, a.At.Sub(before))
			}
		}
	}
}

// TestCopiesInARowAndBoxesThatTheStoreRefuses checks a second copy while the boxes still settle after
// the first, with one box refused by the store throughout, and one suspended meanwhile.
func TestCopiesInARowAndBoxesThatTheStoreRefuses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleetIn(t, func(i int) string { return Zones[i/2].Zone }, 4, "east-a.1", "east-b.1")
	refused := f.Boxes[0].IP
	f.Store.SetMode(func(ip, _ string) Mode {
		if ip == refused {
			return Busy
		}
		return Serving
	})
	time.Sleep(500 * time.Millisecond)
	copied := f.Store.Copy()
	writeUnrelated(f, 20)
	time.Sleep(time.Second)
	f.Store.ComeBackFrom(copied)
	f.Boxes[1].Suspend(3 * time.Second)
	writeUnrelated(f, 3)
	time.Sleep(300 * time.Millisecond)
	f.Store.ComeBackFrom(copied)
	f.Configure(2, read, buy, upload, added)
	time.Sleep(configTime + 1500*time.Millisecond) // the store was away until now
	is.Equal(statusesOf(f, "/added/1"), []int{200, 200, 200, 200})
	for _, b := range f.Boxes {
		is.Equal(b.Replica.Mirror("config").Version().Era, uint64(3))
	}
}

// TestBoxThatStartsWhileTheStoreComesBack checks a box whose first list is from before the copy, and
// its first watch from after it.
func TestBoxThatStartsWhileTheStoreComesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := copyFleet(t)
	copied := f.Store.Copy()
	writeUnrelated(f, 12)
	b, err := f.AddBox("east-a")
	is.NoErr(err)
	f.Store.ComeBackFrom(copied)
	f.Configure(2, read, buy, upload, added)
	eventually(t, "the box is ready", func() bool { return b.Node.Ready() })
	time.Sleep(configTime)
	is.Equal(statusesOf(f, "/added/1"), []int{200, 200, 200, 200})
}

// TestHoldsAreWrittenAgain checks that a request that is held, since it crashes servers, is in the store
// again after that has come back from a copy without it.
func TestHoldsAreWrittenAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := copyFleet(t)
	copied := f.Store.Copy()
	fingerprint := quarantine.Fingerprint(7)
	for i := range 8 {
		for _, b := range f.Boxes {
			b.Ingress.ObserveCrash(fingerprint, fmt.Sprint("server-", i))
		}
	}
	held := func() bool { return f.Store.Has(platform.Adapter().HoldsKind, fingerprint.String()) }
	eventually(t, "the hold is in the store", held)
	f.Store.ComeBackFrom(copied)
	is.True(!held())
	eventually(t, "the hold is in the store again", held)
}
