package machines

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// configTime is how long after the store has accepted a configuration boxes may follow the one before.
const configTime = 2500 * time.Millisecond

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
