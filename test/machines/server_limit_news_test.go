package machines

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/ctl"
)

// incarnationOf names the life of a server as boxes do.
func incarnationOf(s *Server) string {
	return (&backend.Server{ID: s.ID, StartedAtMs: s.StartedAtMs}).Incarnation()
}

// allKnowLimit reports whether all boxes know that the server names this limit, or with "" none.
func allKnowLimit(f *Fleet, s *Server, limit string) func() bool {
	return func() bool {
		for _, b := range f.Boxes {
			perSecond, named := b.Statuses.LimitOf(incarnationOf(s))
			if named != (limit != "") || named && strconv.FormatFloat(perSecond, 'g', -1, 64) != limit {
				return false
			}
		}
		return true
	}
}

// send sends requests for a key to one box.
func send(t *testing.T, f *Fleet, box, count int, pause time.Duration) (statuses map[int]int) {
	t.Helper()
	c := &Client{Address: f.Boxes[box].Clients}
	defer c.Close()
	statuses = map[int]int{}
	for i := range count {
		a := c.Do("GET", "/read/1", fmt.Sprintf("%s-%d-%d-%d", t.Name(), box, i, time.Now().UnixNano()), "", "X-Stoneworks-Affinity-Key: 1\r\n")
		statuses[a.Status]++
		time.Sleep(pause)
	}
	return statuses
}

// requestUntilAnswered has a box get an answer of the server, whose limit may let none pass for a while.
func requestUntilAnswered(t *testing.T, f *Fleet, box int, s *Server) {
	t.Helper()
	before := s.Arrivals()
	eventually(t, "the server answers", func() bool {
		send(t, f, box, 1, 0)
		return s.Arrivals() > before
	})
}

// TestLimitIsKnownWhereNobodyWasTold: boxes that have sent the server nothing know its limit, also
// one that starts later; and all know when it ends, changes, or cannot be read.
func TestLimitIsKnownWhereNobodyWasTold(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3)
	send(t, f, 0, 3, 0)
	s := busiest(f)
	s.SetHeader(LimitHeader, "9")
	requestUntilAnswered(t, f, 0, s)
	eventually(t, "all boxes know the limit", allKnowLimit(f, s, "9"))
	_, err := f.AddBox(Zones[1].Zone)
	is.NoErr(err)
	eventually(t, "a box that starts later knows it", allKnowLimit(f, s, "9"))
	s.SetHeader(LimitHeader, "many")
	requestUntilAnswered(t, f, 0, s)
	is.True(metrics.GetOrRegisterCounter("limits.unread", f.Boxes[0].Metrics).Count() > 0)
	is.True(allKnowLimit(f, s, "9")()) // what cannot be read says nothing
	s.SetHeader(LimitHeader, "7.5")
	requestUntilAnswered(t, f, 0, s)
	eventually(t, "all boxes know that it has changed", allKnowLimit(f, s, "7.5"))
	admin := f.Boxes[2].Settings.Listen.Admin
	var out, problems strings.Builder
	is.Equal(ctl.Main([]string{"limits", admin}, nil, &out, &problems), 0)
	is.True(strings.Contains(out.String(), incarnationOf(s)) && strings.Contains(out.String(), "7.5"))
	s.SetHeader(LimitHeader, "")
	requestUntilAnswered(t, f, 0, s)
	eventually(t, "all boxes know that it has ended", allKnowLimit(f, s, ""))
}

// TestServerThatTakesNothing gets a request now and then, by which boxes hear when it takes more.
func TestServerThatTakesNothing(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 6)
	send(t, f, 0, 3, 0)
	s := busiest(f)
	s.SetHeader(LimitHeader, "0")
	clients := newTraffic(f, 12)
	time.Sleep(limitContact)
	settled := time.Now()
	time.Sleep(limitWindow + 2*time.Second)
	is.True(maxInLimitWindow(s) <= allowedBy("0"))
	is.True(arrivedSince(s, settled) > 0)
	s.SetHeader(LimitHeader, "")
	eventually(t, "all boxes hear that it takes all", allKnowLimit(f, s, ""))
	lifted := time.Now()
	time.Sleep(time.Second)
	counts := clients.end()
	t.Log(arrivedSince(s, lifted), "requests in the second after it takes all again", counts)
	is.True(arrivedSince(s, lifted) > 20) // it is used as before
}

// TestServersThatAllNameLimits: each gets most of what it takes and no more than is allowed, and what
// is beyond is refused soon, with when to come back, and has not run.
func TestServersThatAllNameLimits(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 6)
	const limit = "10"
	for _, s := range f.Servers {
		s.SetHeader(LimitHeader, limit)
	}
	began := newTraffic(f, 12)
	time.Sleep(limitContact)
	settled := time.Now()
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	refused := 0
	var slowest time.Duration
	for i := 0; time.Since(settled) < limitWindow+time.Second; i++ {
		a := c.Do("GET", "/read/again", fmt.Sprintf("asks-%d", i), "", fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", i%7))
		if a.Status == 503 {
			refused++
			slowest = max(slowest, a.Took)
			retry, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
			is.NoErr(err)
			is.True(retry > 0)
		}
		time.Sleep(ordinaryPause)
	}
	span := time.Since(settled)
	counts := began.end()
	total := 0
	for id, s := range f.Servers {
		got := arrivedSince(s, settled)
		t.Log(id, "got", got, "in", span.Round(time.Millisecond), "at most", maxInLimitWindow(s), "of", allowedBy(limit))
		is.True(maxInLimitWindow(s) <= allowedBy(limit))
		total += got
	}
	t.Log("refused", refused, "the slowest after", slowest, "others' answers", counts)
	is.True(refused > 0)
	is.True(slowest < 500*time.Millisecond)                                  // a refusal is not held back
	is.True(float64(total) >= 0.6*10*float64(len(f.Servers))*span.Seconds()) // servers get most of what they take
}

// TestLimitEndsWithItsLife: a server that starts again under its id takes what it takes, until it
// names a limit itself.
func TestLimitEndsWithItsLife(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3)
	send(t, f, 0, 3, 0)
	s := busiest(f)
	s.SetHeader(LimitHeader, "0")
	requestUntilAnswered(t, f, 0, s)
	eventually(t, "all boxes know the limit", allKnowLimit(f, s, "0"))
	is.Equal(f.Boxes[1].Statuses.Empty(), false)
	usesNextIncarnation(t, f, s)
}

// usesNextIncarnation has a server end and start again under its id, and sees to it that the first box uses it.
func usesNextIncarnation(t *testing.T, f *Fleet, s *Server) {
	t.Helper()
	is := is.New(t)
	again, err := NewServer(f.network+".100", s.ID, 4, 10*time.Millisecond)
	is.NoErr(err)
	s.Close()
	again.StartedAtMs = s.StartedAtMs + 1000
	f.Servers[s.ID] = again
	f.PutServer(again, "shop", "east-a", "ready", 0)
	eventually(t, "boxes use the next life", func() bool {
		send(t, f, 0, 5, 0)
		return again.Arrivals() > 5
	})
}

// TestLimitInALargeFleet: above largeFleet boxes tell those that serve clients and those that grant;
// the sum of 72 boxes stays within the limit, and the server gets most of what it takes.
func TestLimitInALargeFleet(t *testing.T) {
	is := is.New(t)
	const limit = "2.7"
	f := newLimitFleet(t, 72)
	clients := newTraffic(f, 24)
	time.Sleep(2 * time.Second)
	s := busiest(f)
	before := s.Arrivals()
	s.SetHeader(LimitHeader, limit)
	eventually(t, "all boxes know the limit", allKnowLimit(f, s, limit))
	time.Sleep(limitContact)
	settled := time.Now()
	time.Sleep(limitWindow + 2*time.Second)
	got, taken := maxInLimitWindow(s), arrivedSince(s, settled)
	span := time.Since(settled)
	t.Logf("%d in two seconds before, then at most %d in %s where %d are allowed, %d in %s; answers %v",
		before, got, limitWindow, allowedBy(limit), taken, span.Round(time.Millisecond), clients.end())
	is.True(got <= allowedBy(limit))
	is.True(float64(taken) >= 2.7*span.Seconds()/2)
}
