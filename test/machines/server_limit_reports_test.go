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

// incarnationOf returns the name that boxes give the server's incarnation.
func incarnationOf(s *Server) string {
	return (&backend.Server{ID: s.ID, StartedAtMs: s.StartedAtMs}).Incarnation()
}

// allKnowLimit returns a check of whether all boxes know the server's limit; "" means none.
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

// send sends count requests with one affinity key to one box, and counts the answers by status.
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

// requestUntilAnswered sends requests to a box until one reaches the server, whose limit may admit
// none for a while.
func requestUntilAnswered(t *testing.T, f *Fleet, box int, s *Server) {
	t.Helper()
	before := s.Arrivals()
	eventually(t, "the server answers", func() bool {
		send(t, f, box, 1, 0)
		return s.Arrivals() > before
	})
}

// TestLimitIsKnownWhereNobodyWasTold checks that boxes that sent the server no request, and a box that
// starts later, know its limit and learn when it changes or ends; a malformed limit changes nothing.
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
	is.True(allKnowLimit(f, s, "9")()) // a malformed limit is ignored
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

// TestServerThatTakesNothing checks that a server with the limit 0 still gets a few requests, from
// whose answers boxes learn that the limit has ended.
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
	eventually(t, "all boxes know that the limit has ended", allKnowLimit(f, s, ""))
	lifted := time.Now()
	time.Sleep(time.Second)
	counts := clients.stopAndCount()
	t.Log(arrivedSince(s, lifted), "requests in the second after the limit has ended", counts)
	is.True(arrivedSince(s, lifted) > 20) // it is used as before
}

// TestServersThatAllNameLimits checks that, when all servers name limits, each gets most of its limit
// and no more than is allowed, and that other requests soon get 503 with Retry-After, unexecuted.
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
	counts := began.stopAndCount()
	total := 0
	for id, s := range f.Servers {
		got := arrivedSince(s, settled)
		t.Log(id, "got", got, "in", span.Round(time.Millisecond), "at most", maxInLimitWindow(s), "of", allowedBy(limit))
		is.True(maxInLimitWindow(s) <= allowedBy(limit))
		total += got
	}
	t.Log("refused", refused, "the slowest after", slowest, "others' answers", counts)
	is.True(refused > 0)
	is.True(slowest < 500*time.Millisecond)                                  // refused without waiting
	is.True(float64(total) >= 0.6*10*float64(len(f.Servers))*span.Seconds()) // servers get most of their limits
}

// TestLimitEndsWithItsLife checks that a limit does not apply to the next incarnation of a server,
// which starts under the same id.
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

// usesNextIncarnation restarts a server under its id, and checks that the first box uses it.
func usesNextIncarnation(t *testing.T, f *Fleet, s *Server) {
	t.Helper()
	is := is.New(t)
	again, err := NewServer(f.network+".100", s.ID, 4, 10*time.Millisecond)
	is.NoErr(err)
	s.Close()
	again.StartedAtMs = s.StartedAtMs + 1000
	f.Servers[s.ID] = again
	f.PutServer(again, "shop", "east-a", "ready", 0)
	eventually(t, "the first box uses the next incarnation", func() bool {
		send(t, f, 0, 5, 0)
		return again.Arrivals() > 5
	})
}

// TestLimitInALargeFleet checks a limit in a fleet of more than largeFleet boxes, where boxes report
// limits only to boxes that serve clients or grant tokens: the requests of all 72 boxes together stay
// within the limit, and the server gets most of it.
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
		before, got, limitWindow, allowedBy(limit), taken, span.Round(time.Millisecond), clients.stopAndCount())
	is.True(got <= allowedBy(limit))
	is.True(float64(taken) >= 2.7*span.Seconds()/2)
}
