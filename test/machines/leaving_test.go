package machines

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests guard against requests to a server that announces in its answers that it is leaving
// while the store is silent, so that its entry still has it as ready. Boxes read only the state in
// the store's list and ignored the header, and so sent the server 3 to 9 requests per second until
// the store had the state 13 s later; 2.5 s are allowed. Without the header being read, a server
// in these tests gets 456 late requests in two seconds, as many as before its announcement.

// drainTime is how long after its announcement a leaving server may still get new requests.
const drainTime = 2500 * time.Millisecond

// lateAfterLeaving counts a server's late requests: fromInformed those that came later than drainTime
// after it had announced to the same box that it leaves, fromAny those that came from any box later
// than drainTime after its first announcement.
func lateAfterLeaving(s *Server) (fromInformed, fromAny int) {
	announcedAt := map[string]time.Time{}
	var first time.Time
	for _, said := range s.SentHeaders(LeavingHeader) {
		if first.IsZero() {
			first = said.At
		}
		if _, known := announcedAt[said.To]; !known {
			announcedAt[said.To] = said.At
		}
	}
	for _, a := range s.ArrivalLog() {
		if at, known := announcedAt[a.From]; known && a.At.Sub(at) > drainTime {
			fromInformed++
		}
		if !first.IsZero() && a.At.Sub(first) > drainTime {
			fromAny++
		}
	}
	return fromInformed, fromAny
}

// silenceStore makes the store answer no box.
func silenceStore(f *Fleet) {
	f.Store.SetMode(func(string, string) Mode { return Silent })
}

// TestServerThatSaysItLeaves checks that, with the store silent, a leaving server gets no new request
// from any box later than drainTime after its first announcement, and that other servers take over.
func TestServerThatSaysItLeaves(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 6)
	clients := newTraffic(f, 12)
	time.Sleep(time.Second)
	silenceStore(f)
	s := busiest(f)
	s.SetHeader(LeavingHeader, "1")
	time.Sleep(drainTime + 2*time.Second)
	fromInformed, fromAny := lateAfterLeaving(s)
	counts := clients.stopAndCount()
	t.Logf("%d late requests from boxes that got the announcement, %d from all; answers %v", fromInformed, fromAny, counts)
	is.True(len(s.SentHeaders(LeavingHeader)) > 0)
	is.Equal(fromInformed, 0)
	is.Equal(fromAny, 0)
	total := 0
	for _, n := range counts {
		total += n
	}
	is.True(counts["200 answer"] >= total*98/100)
}

// knownToLeave returns a check of whether all boxes know that the server is leaving.
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

// TestLeavingIsKnownWhereNobodyWasTold checks that boxes that sent the server no request, and a box
// that starts later, know that it is leaving although the store lists it as ready throughout, and
// that the server's next incarnation is used.
func TestLeavingIsKnownWhereNobodyWasTold(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3)
	send(t, f, 0, 3, 0)
	s := busiest(f)
	s.SetHeader(LeavingHeader, "1")
	requestUntilAnswered(t, f, 0, s)
	eventually(t, "all boxes know that it is leaving", knownToLeave(f, s))
	_, err := f.AddBox(Zones[1].Zone)
	is.NoErr(err)
	eventually(t, "a box that starts later knows it", knownToLeave(f, s))
	is.True(strings.Contains(printedStatuses(t, f, 2), incarnationOf(s)))
	s.SetHeader(LeavingHeader, "")
	before := s.Arrivals()
	for box := range f.Boxes {
		send(t, f, box, 3, 0)
	}
	is.Equal(s.Arrivals(), before) // an answer without the header or a list does not revoke it
	usesNextIncarnation(t, f, s)
}

// TestAllServersLeave checks that requests are refused at once and without being executed when all
// servers have announced that they leave.
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
	is.Equal(answered, len(f.Servers)) // each gets one request
	is.True(refused.Took < 500*time.Millisecond)
	is.True(refused.Header.Get("Retry-After") != "")
}
