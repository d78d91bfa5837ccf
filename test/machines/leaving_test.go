package machines

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The story. The platform's store was silent when a backend server began to leave: it said so in all
// its answers, and could not write it to the store. Boxes that had passed such answers on to clients
// went on sending it requests, 3 to 9 a second, until the store had its word 13 s later; no more than
// 2.5 s are allowed. Nobody noticed but the server.
//
// The cause: nothing read the word in answers; the state in the store's list was all that boxes knew of
// leaving. The evidence: at the users' boxes the rate at the server was the same before and after, and each
// box logged once that it does not read a header of that name. Here, with the store silent, such a server got
// 456 requests too late in two seconds, as many as before it said so.

// drainTime is within what time a server that leaves gets nothing new any more.
const drainTime = 2500 * time.Millisecond

// lateAfterLeaving counts the requests that a server got from boxes later than the time of
// draining after it had told the box that it leaves, and those that it got from any box later than
// that after it had told the first one.
func lateAfterLeaving(s *Server) (fromTold, fromAny int) {
	told := map[string]time.Time{}
	var first time.Time
	for _, said := range s.SentHeaders(LeavingHeader) {
		if first.IsZero() {
			first = said.At
		}
		if _, known := told[said.To]; !known {
			told[said.To] = said.At
		}
	}
	for _, a := range s.ArrivalLog() {
		if at, known := told[a.From]; known && a.At.Sub(at) > drainTime {
			fromTold++
		}
		if !first.IsZero() && a.At.Sub(first) > drainTime {
			fromAny++
		}
	}
	return fromTold, fromAny
}

// silenceStore has the store say nothing to any box.
func silenceStore(f *Fleet) {
	f.Store.SetMode(func(string, string) Mode { return Silent })
}

// TestServerThatSaysItLeaves: with the store silent, it gets nothing new of any box some time after it has
// first said so, and its keys are served elsewhere.
func TestServerThatSaysItLeaves(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 6)
	clients := newTraffic(f, 12)
	time.Sleep(time.Second)
	silenceStore(f)
	s := busiest(f)
	s.SetHeader(LeavingHeader, "1")
	time.Sleep(drainTime + 2*time.Second)
	told, any := lateAfterLeaving(s)
	counts := clients.end()
	t.Logf("%d requests too late of boxes that were told, %d of all; answers %v", told, any, counts)
	is.True(len(s.SentHeaders(LeavingHeader)) > 0)
	is.Equal(told, 0)
	is.Equal(any, 0)
	total := 0
	for _, n := range counts {
		total += n
	}
	is.True(counts["200 answer"] >= total*98/100)
}

// knownToLeave reports whether all boxes know that the server leaves.
func knownToLeave(f *Fleet, s *Server) func() bool {
	return func() bool {
		for _, b := range f.Boxes {
			if !b.Statuses.IsLeaving(incarnationOf(s)) {
				return false
			}
		}
		return true
	}
}

// TestLeavingIsKnownWhereNobodyWasTold: at boxes that have sent the server nothing, and at one that starts
// later, with the store's list saying that it is ready all the while; its next life is used.
func TestLeavingIsKnownWhereNobodyWasTold(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3)
	send(t, f, 0, 3, 0)
	s := busiest(f)
	s.SetHeader(LeavingHeader, "1")
	requestUntilAnswered(t, f, 0, s)
	eventually(t, "all boxes know that it leaves", knownToLeave(f, s))
	_, err := f.AddBox(Zones[1].Zone)
	is.NoErr(err)
	eventually(t, "a box that starts later knows it", knownToLeave(f, s))
	is.True(strings.Contains(printedStatuses(t, f, 2), incarnationOf(s)))
	s.SetHeader(LeavingHeader, "")
	before := s.Arrivals()
	for box := range f.Boxes {
		send(t, f, box, 3, 0)
	}
	is.Equal(s.Arrivals(), before) // an answer or a list without the word does not end it
	usesNextIncarnation(t, f, s)
}

// TestAllServersLeave: once all have said so, requests are refused at once, and have not run.
func TestAllServersLeave(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3)
	silenceStore(f)
	for _, s := range f.Servers {
		s.SetHeader(LeavingHeader, "1")
	}
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	answered := 0
	refused := func() *Answer {
		for i := range 200 {
			a := c.Do("GET", "/read/1", fmt.Sprintf("asks-%d", i), "", fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", i))
			if a.Status == 503 {
				return a
			}
			answered++
		}
		return nil
	}()
	is.True(refused != nil)
	is.Equal(answered, len(f.Servers)) // each is asked once
	is.True(refused.Took < 500*time.Millisecond)
	is.True(refused.Header.Get("Retry-After") != "")
}
