package machines

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/ctl"
)

// These tests guard against requests to a server during the time that its Retry-After header asks for.
// Seven of 24 servers refused all requests for nine seconds with 503 and Retry-After: 3; boxes still
// sent them 4, 5 and more requests in these three seconds, of which two are allowed. The seven refused
// 150 requests per second, and some 30 clients per second got an error since their second server was
// one of the seven too. Boxes ignored the header: a refusal marked the server as full, but that load
// soon expired or was corrected by the next answer, since such a server is idle, so that its keys
// returned within 5 ms to 1.4 s. Without the header being read, up to 173 requests of one box reach a
// server of these tests in three seconds.

const (
	// retryAfterDelay is how long after a server's Retry-After requests may still be in flight to it.
	retryAfterDelay = 500 * time.Millisecond
	// maxRequestsInRetryAfter is how many requests from a box may reach a server between
	// retryAfterDelay and the end of the time for which its Retry-After asked that box.
	maxRequestsInRetryAfter = 2
)

// maxDuringRetryAfter returns the maximum number of requests that a server got from one box, later
// than retryAfterDelay, during the time for which it had asked that box with Retry-After.
func maxDuringRetryAfter(s *Server, rest time.Duration) (most int) {
	arrivals := s.ArrivalLog()
	for _, asked := range s.SentHeaders(RetryAfterHeader) {
		n := 0
		for _, a := range arrivals {
			after := a.At.Sub(asked.At)
			if a.From == asked.To && after >= retryAfterDelay && after < rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestServerThatAsksForRest checks that a server that sends Retry-After gets no more requests than
// allowed from the boxes that received it, that other servers take over, and that the server is
// used again once it no longer sends the header.
func TestServerThatAsksForRest(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 6)
	clients := newTraffic(f, 12)
	time.Sleep(time.Second)
	s := busiest(f)
	s.RejectWithRetryAfter("3")
	time.Sleep(5 * time.Second)
	most := maxDuringRetryAfter(s, 3*time.Second)
	s.RejectWithRetryAfter("")
	time.Sleep(3 * time.Second)
	rested := time.Now()
	time.Sleep(time.Second)
	back := arrivedSince(s, rested)
	counts := clients.stopAndCount()
	t.Logf("at most %d requests during a Retry-After time, %d in the fourth second after the last; answers %v", most, back, counts)
	is.True(len(s.SentHeaders(RetryAfterHeader)) > 0)
	is.True(most <= maxRequestsInRetryAfter)
	is.True(back > 20) // it is used as before
	total := 0
	for _, n := range counts {
		total += n
	}
	is.True(counts["200 answer"] >= total*98/100)
}

// TestServersThatAllAskForRest checks that requests are refused at once and without being executed
// when all servers have sent Retry-After, that the refusal's Retry-After is the time until the first
// server accepts requests again, and that this server is used then.
func TestServersThatAllAskForRest(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3)
	first := time.Time{}
	for _, s := range f.Servers {
		s.RejectWithRetryAfter("2")
	}
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	do := func(i int) *Answer {
		return c.Do("GET", "/read/1", fmt.Sprintf("asks-%d", i), "", fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", i))
	}
	for i := range 60 {
		is.Equal(do(i).Status, 503)
	}
	asked := 0
	for _, s := range f.Servers {
		is.True(s.Arrivals() > 0)
		asked += s.Arrivals()
		if at := s.SentHeaders(RetryAfterHeader)[0].At; first.IsZero() || at.Before(first) {
			first = at
		}
		s.RejectWithRetryAfter("")
	}
	is.Equal(asked, len(f.Servers)) // each gets one request
	ready := first.Add(2 * time.Second)
	a := do(100)
	now := time.Now()
	is.Equal(a.Status, 503)
	is.True(a.Took < 500*time.Millisecond)
	retry, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	back := now.Add(time.Duration(retry * float64(time.Second)))
	t.Log("refused with Retry-After", retry, ",", back.Sub(ready), "after the first server accepts requests again")
	is.True(back.After(ready))
	is.True(back.Sub(ready) < time.Second)
	time.Sleep(time.Until(back))
	is.Equal(do(101).Status, 200)
}

// printedStatuses returns the server statuses that stoneworksctl prints from one box.
func printedStatuses(t *testing.T, f *Fleet, box int) string {
	t.Helper()
	var out, problems strings.Builder
	is.New(t).Equal(ctl.Main([]string{"servers", f.Boxes[box].Settings.Listen.Admin}, nil, &out, &problems), 0)
	return out.String()
}

// TestRestIsOfOneBox checks that only the box that received a Retry-After stops using the server, and
// that the server's next incarnation is used.
func TestRestIsOfOneBox(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3)
	send(t, f, 0, 3, 0)
	s := busiest(f)
	s.RejectWithRetryAfter("60")
	requestUntilAnswered(t, f, 0, s)
	s.RejectWithRetryAfter("")
	is.True(strings.Contains(printedStatuses(t, f, 0), incarnationOf(s)))
	is.True(!strings.Contains(printedStatuses(t, f, 1), incarnationOf(s)))
	before := s.Arrivals()
	send(t, f, 0, 20, 0)
	is.Equal(s.Arrivals(), before)
	for box := 1; box < len(f.Boxes); box++ {
		send(t, f, box, 3, 0)
	}
	is.True(s.Arrivals() > before)
	usesNextIncarnation(t, f, s)
}

// TestRestThatCannotBeRead checks that a malformed Retry-After has no effect, is counted, and does not
// hide other headers of the answer.
func TestRestThatCannotBeRead(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 1)
	send(t, f, 0, 3, 0)
	s := busiest(f)
	s.RejectWithRetryAfter("a while")
	s.SetHeader(LimitHeader, "9")
	requestUntilAnswered(t, f, 0, s)
	is.True(metrics.GetOrRegisterCounter("words.unread", f.Boxes[0].Metrics).Count() > 0)
	is.True(allKnowLimit(f, s, "9")())
	s.RejectWithRetryAfter("")
	requestUntilAnswered(t, f, 0, s) // the server is still used
}

// TestRestBesideOtherTrouble combines faults: one server sends Retry-After and a limit, another one
// announces that it leaves, a third one stops, and the store is silent.
func TestRestBesideOtherTrouble(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 6)
	clients := newTraffic(f, 12)
	time.Sleep(500 * time.Millisecond)
	silenceStore(f)
	rests, leaves := f.Servers["east-a.0"], f.Servers["east-b.1"]
	if rests == nil || leaves == nil {
		t.Fatal("no such servers")
	}
	rests.SetHeader(LimitHeader, "5")
	rests.RejectWithRetryAfter("1.5")
	leaves.SetHeader(LeavingHeader, "1")
	f.Servers["east-a.3"].Close()
	time.Sleep(4 * time.Second)
	rests.RejectWithRetryAfter("")
	time.Sleep(3 * time.Second)
	ran := len(rests.Runs())
	time.Sleep(2 * time.Second)
	fromInformed, fromAny := lateAfterLeaving(leaves)
	most, limited := maxDuringRetryAfter(rests, 1500*time.Millisecond), maxInLimitWindow(rests)
	counts := clients.stopAndCount()
	t.Logf("%d requests during a Retry-After time, %d in %s under the limit, late %d from informed boxes and %d from any, %d runs afterwards; %v",
		most, limited, limitWindow, fromInformed, fromAny, len(rests.Runs())-ran, counts)
	is.True(most <= maxRequestsInRetryAfter)
	is.True(limited <= allowedBy("5"))
	is.Equal(fromInformed, 0)
	is.Equal(fromAny, 0)
	is.True(len(rests.Runs())-ran >= 5) // half of the limit
}
