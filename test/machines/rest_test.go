package machines

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The story. Seven of 24 backend servers turned all requests away for nine seconds, with 503, and asked each
// box that sent them some for three seconds of rest. Within these, boxes sent them 4 and 5 requests and
// more; two are allowed. The seven turned 150 requests a second away, and each second some 30 clients were
// refused whose second server was one of the seven too.

const (
	// restTold is how long after a server has asked for rest requests may still be on their way.
	restTold = 500 * time.Millisecond
	// mostInRest is how many requests may reach a server from a box that it has asked for rest,
	// between restTold and the end of that time.
	mostInRest = 2
)

// mostWhileResting is how many requests a server got from a box in a time of rest that it had
// asked that box for.
func mostWhileResting(s *Server, rest time.Duration) (most int) {
	arrivals := s.ArrivalLog()
	for _, asked := range s.Said(SaysRest) {
		n := 0
		for _, a := range arrivals {
			after := a.At.Sub(asked.At)
			if a.From == asked.To && after >= restTold && after < rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestServerThatAsksForRest: it gets no more than is allowed of the boxes that it has asked, its keys are
// served elsewhere, and it is used again when it no longer asks for rest.
func TestServerThatAsksForRest(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 6)
	clients := newTraffic(f, 12)
	time.Sleep(time.Second)
	s := busiest(f)
	s.AskForRest("3")
	time.Sleep(5 * time.Second)
	most := mostWhileResting(s, 3*time.Second)
	s.AskForRest("")
	time.Sleep(3 * time.Second)
	rested := time.Now()
	time.Sleep(time.Second)
	back := arrivedSince(s, rested)
	counts := clients.end()
	t.Logf("at most %d requests in a time of rest, %d in the fourth second after the last; answers %v", most, back, counts)
	is.True(len(s.Said(SaysRest)) > 0)
	is.True(most <= mostInRest)
	is.True(back > 20) // it is used as before
	total := 0
	for _, n := range counts {
		total += n
	}
	is.True(counts["200 answer"] >= total*98/100)
}
