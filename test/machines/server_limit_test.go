package machines

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests guard against exceeding the limit, in requests per second from all boxes together, that
// a server names in its answers. Two servers of 24 named 2.7 and 2.8, and got 45 and 51 requests in
// the next four seconds, all from boxes that had received the limit; 21 and 22 are allowed. Boxes
// ignored the header, and no request failed, so only the servers noticed. Without the header being
// read, a server of these tests that names 2.7 gets 997 requests in four seconds from six boxes; six
// that apply the limit each by itself would send 65.

// The users' bound for a server that names a limit: in any limitWindow it gets at most limitOverage x
// the requests that the limit allows in that time, plus limitSlack. Requests count from boxes that
// received the limit at least limitDelay before, and only once the server has named it for
// limitContact.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	limitDelay   = 500 * time.Millisecond
	limitContact = 1500 * time.Millisecond
)

// allowedBy returns how many requests a limit allows in a window.
func allowedBy(limit string) int {
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil {
		return 0
	}
	return int(limitOverage*perSecond*limitWindow.Seconds() + limitSlack)
}

// maxInLimitWindow returns the maximum number of requests that a server got in a window from boxes
// that had received its limit. The server must have named a single limit, from some time on.
func maxInLimitWindow(s *Server) int {
	namedAt := map[string]time.Time{}
	var first time.Time
	for _, n := range s.SentHeaders(LimitHeader) {
		if first.IsZero() {
			first = n.At
		}
		if _, known := namedAt[n.To]; !known {
			namedAt[n.To] = n.At
		}
	}
	var counted []time.Time
	for _, a := range s.ArrivalLog() {
		at, known := namedAt[a.From]
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

// arrivedSince counts the requests that a server got after a time.
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

// busiest returns the server that got the most requests.
func busiest(f *Fleet) *Server {
	var best *Server
	for _, s := range f.Servers {
		if best == nil || s.Arrivals() > best.Arrivals() {
			best = s
		}
	}
	return best
}

// TestServerThatNamesItsLimit checks that a server gets no more requests than its limit allows from all
// boxes that received the limit together, that it gets most of its limit, and that other servers
// serve the rest.
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
			counts := clients.stopAndCount()
			t.Logf("%d requests in a second before, then at most %d in %s where %d are allowed, %d in %s; answers %v",
				before, got, limitWindow, allowedBy(limit), taken, span.Round(time.Millisecond), counts)
			is.True(got <= allowedBy(limit)) // the sum over all boxes stays within the limit
			perSecond, _ := strconv.ParseFloat(limit, 64)
			is.True(float64(taken) >= perSecond*span.Seconds()/2) // the server gets most of its limit
			total := 0
			for _, n := range counts {
				total += n
			}
			is.True(counts["200 answer"] >= total*98/100) // other servers serve the rest
		})
	}
}
