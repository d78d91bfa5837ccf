package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// TestLessUrgentRequestsLeaveRoom checks that requests may fill a server while no more urgent
// ones are short of room, less of it while some are, and all of it again some time after.
func TestLessUrgentRequestsLeaveRoom(t *testing.T) {
	is := is.New(t)
	p := policy.Default()
	now := time.Unix(1000, 0)
	o := shortages{}
	is.Equal(o.limit(&p, 2, now), p.FullFill)
	for range 20 {
		o.record(&p, 2, p.FullFill, now) // a shortage of its own priority has no effect
		o.record(&p, 1, p.ShortFill-0.1, now)
	}
	is.Equal(o.limit(&p, 1, now), p.FullFill)
	is.Equal(o.limit(&p, 2, now), p.FullFill)
	for range 20 {
		o.record(&p, 1, p.ShortFill, now)
	}
	is.Equal(o.limit(&p, 1, now), p.FullFill)
	limits := map[float64]int{}
	for range 30 {
		limits[o.limit(&p, 2, now)]++
	}
	is.Equal(limits, map[float64]int{p.YieldFill: 20, p.FullFill: 10}) // one in three is exempt
	is.Equal(o.limit(&p, 0, now), p.FullFill)
	now = now.Add(10 * pressureSpan)
	is.Equal(o.limit(&p, 2, now), p.FullFill)
}

// simulateShortage simulates ten seconds in which two kinds of requests ask a server of four
// slots for four times what it can serve, with 100 ms per request. It returns the share of each
// kind that was answered within 250 ms. Only one in oneIn requests of the second kind is sent,
// which keeps the total above twice what the server can serve.
func simulateShortage(t *testing.T, urgent, other, oneIn int) (urgentShare, otherShare float64) {
	t.Helper()
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 1, 4), true)
	const slots, work, target = 4, 100 * time.Millisecond, 250 * time.Millisecond
	type running struct {
		lease  *Lease
		kind   int
		came   time.Time
		begins time.Time
	}
	var held []*running
	var sent, inTime [2]int
	free := [slots]time.Time{}
	for tick := range 10_000 {
		now := s.Now()
		for i := 0; i < len(held); {
			r := held[i]
			if now.Before(r.begins.Add(work)) {
				i++
				continue
			}
			held = append(held[:i], held[i+1:]...)
			r.lease.Done(Answered, &Load{Running: min(slots, len(held)+1), Waiting: max(0, len(held)+1-slots), Slots: slots})
			if now.Sub(r.came) <= target {
				inTime[r.kind]++
			}
		}
		if tick%12 == 0 {
			for i := range 2 {
				kind := (i + tick/12) % 2
				if kind == 1 && tick/12%oneIn != 0 {
					continue
				}
				priority := []int{urgent, other}[kind]
				sent[kind]++
				lease, err := s.Choose(&Request{Service: "shop", Key: uint64(tick), Priority: priority, RegionAllowed: func(string) bool { return true }})
				if err != nil {
					continue
				}
				first := 0
				for i := range free {
					if free[i].Before(free[first]) {
						first = i
					}
				}
				begins := now
				if free[first].After(now) {
					begins = free[first]
				}
				free[first] = begins.Add(work)
				held = append(held, &running{lease, kind, now, begins})
			}
		}
		c.advance(time.Millisecond)
	}
	return float64(inTime[0]) / float64(sent[0]), float64(inTime[1]) / float64(sent[1])
}

// TestShortageServesTheMoreUrgentFirst checks that more urgent requests are served first, that
// requests of equal priority get equal shares, and that no kind is starved: less urgent requests
// got nothing at all while more urgent ones took all the room.
func TestShortageServesTheMoreUrgentFirst(t *testing.T) {
	is := is.New(t)
	a, b := simulateShortage(t, 1, 1, 1)
	t.Logf("equal: %.2f and %.2f in time", a, b)
	is.True(a-b < 0.05 && b-a < 0.05)
	urgent, other := simulateShortage(t, 1, 2, 1)
	t.Logf("urgent %.2f, others %.2f in time", urgent, other)
	is.True(urgent > 1.5*other)
	is.True(other > 0.25*(urgent+other)/2)
	is.True(urgent+other >= 0.9*(a+b)) // the server does as much work as before
}

// TestShortageServesSmallCustomersAsWell checks that, of two customers of the same priority, one
// that sends a ninth of the other's requests has a similar share of them served.
func TestShortageServesSmallCustomersAsWell(t *testing.T) {
	is := is.New(t)
	large, small := simulateShortage(t, 1, 1, 9)
	t.Logf("large %.2f, small %.2f in time", large, small)
	is.True(small > 0.5*large)
	is.True(large > 0.5*small)
}
