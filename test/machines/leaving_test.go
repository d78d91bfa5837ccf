package machines

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The story. The platform's store was silent when a backend server began to leave: it said so in all
// its answers, and could not write it to the store. Boxes that had passed such answers on to clients
// went on sending it requests, 3 to 9 a second, until the store had its word 13 s later; no more than
// 2.5 s are allowed. Nobody noticed but the server.

// drainTime is within what time a server that leaves gets nothing new any more.
const drainTime = 2500 * time.Millisecond

// lateAfterLeaving counts the requests that a server got from boxes later than the time of
// draining after it had told the box that it leaves, and those that it got from any box later than
// that after it had told the first one.
func lateAfterLeaving(s *Server) (fromTold, fromAny int) {
	told := map[string]time.Time{}
	var first time.Time
	for _, said := range s.Said(SaysLeaving) {
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
	f.Store.SetTreat(func(string, string) Mode { return Silent })
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
	s.Say(SaysLeaving, "1")
	time.Sleep(drainTime + 2*time.Second)
	told, any := lateAfterLeaving(s)
	counts := clients.end()
	t.Logf("%d requests too late of boxes that were told, %d of all; answers %v", told, any, counts)
	is.True(len(s.Said(SaysLeaving)) > 0)
	is.Equal(told, 0)
	is.Equal(any, 0)
	total := 0
	for _, n := range counts {
		total += n
	}
	is.True(counts["200 answer"] >= total*98/100)
}
