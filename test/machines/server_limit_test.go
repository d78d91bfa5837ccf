package machines

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The story. Two servers of 24 named the requests a second that they take from all boxes
// together: 2.7 and 2.8. In the four seconds after that they got 45 and 51, from boxes that had
// all passed such answers on to clients; 21 and 22 would have been within the bound. No request
// failed, so nobody noticed but the servers.
//
// The cause: nothing read what a server names. The evidence: here a server that names 2.7 a
// second got 997 requests in four seconds of six boxes, where six that kept the limit each by
// itself would have sent 65, and at the users' 12 boxes the rate was the same before and after.

// The bound on a server that names a limit, from the users' rule: in any time of limitWindow it
// gets at most the limit's requests x limitOverage + limitSlack, counted from boxes that had
// been told for limitDelay, once it has named one for the time of contact.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	limitDelay    = 500 * time.Millisecond
	limitContact = 1500 * time.Millisecond
)

// allowedBy is how many requests a limit allows in a window.
func allowedBy(limit string) int {
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil {
		return 0
	}
	return int(limitOverage*perSecond*limitWindow.Seconds() + limitSlack)
}

// maxInLimitWindow is how many requests a server got in a window from boxes that it had told of
// its limit. It must have named one limit only, from some moment on.
func maxInLimitWindow(s *Server) int {
	told := map[string]time.Time{}
	var first time.Time
	for _, n := range s.SentHeaders(LimitHeader) {
		if first.IsZero() {
			first = n.At
		}
		if _, known := told[n.To]; !known {
			told[n.To] = n.At
		}
	}
	var counted []time.Time
	for _, a := range s.ArrivalLog() {
		at, known := told[a.From]
		if known && a.At.Sub(at) >= limitDelay {
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	most := 0
	for i, end := range counted {
		if end.Sub(first) < limitContact {
			continue
		}
		from, _ := slices.BinarySearchFunc(counted, end.Add(-limitWindow), time.Time.Compare)
		most = max(most, i+1-from)
	}
	return most
}

// arrivedSince counts the requests that a server got since a moment.
func arrivedSince(s *Server, since time.Time) int {
	n := 0
	for _, a := range s.ArrivalLog() {
		if a.At.After(since) {
			n++
		}
	}
	return n
}

// newLimitFleet starts boxes in all zones and two servers in each.
func newLimitFleet(t *testing.T, boxes int) *Fleet {
	t.Helper()
	f := newFleet(t, 0)
	for i := range 6 {
		zone := Zones[i%len(Zones)].Zone
		if _, err := f.AddServer(fmt.Sprintf("%s.%d", zone, i), "shop", zone, 4, 10*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	for i := range boxes {
		if _, err := f.AddBox(Zones[i%len(Zones)].Zone); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all boxes are ready and know each other", allKnown(f))
	return f
}

// busiest is the server that got most requests.
func busiest(f *Fleet) *Server {
	var best *Server
	for _, s := range f.Servers {
		if best == nil || s.Arrivals() > best.Arrivals() {
			best = s
		}
	}
	return best
}

// TestServerThatNamesItsLimit: summed over all boxes that were told, it gets no more than its
// limit allows; it gets most of what it takes; and what it does not take is served elsewhere.
func TestServerThatNamesItsLimit(t *testing.T) {
	for _, limit := range []string{"2.7", "20"} {
		t.Run(limit, func(t *testing.T) {
			is := is.New(t)
			f := newLimitFleet(t, 6)
			clients := newTraffic(f, 12)
			time.Sleep(time.Second)
			s := busiest(f)
			before := s.Arrivals()
			s.SetHeader(LimitHeader, limit)
			time.Sleep(limitContact)
			settled := time.Now()
			time.Sleep(limitWindow + 2*time.Second)
			got, taken := maxInLimitWindow(s), arrivedSince(s, settled)
			span := time.Since(settled)
			counts := clients.end()
			t.Logf("%d requests in a second before, then at most %d in %s where %d are allowed, %d in %s; answers %v",
				before, got, limitWindow, allowedBy(limit), taken, span.Round(time.Millisecond), counts)
			is.True(got <= allowedBy(limit)) // the sum over all boxes stays within the limit
			perSecond, _ := strconv.ParseFloat(limit, 64)
			is.True(float64(taken) >= perSecond*span.Seconds()/2) // the server gets most of what it takes
			total := 0
			for _, n := range counts {
				total += n
			}
			is.True(counts["200 answer"] >= total*98/100) // the rest is served elsewhere
		})
	}
}
