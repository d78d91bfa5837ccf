package quota

import (
	"fmt"
	"testing"
	"time"
)

// simServerTolerance is how far the limits that backend servers declare may be exceeded.
var simServerTolerance = Tolerance{Window: 4 * time.Second, Overage: 0.5, Slack: 5}

// simServer is a backend server of the simulation that declares a limit.
type simServer struct {
	name   string
	region int
	rate   float64
}

// simLimitDelay is the time from its start within which a box learns limits from others.
const simLimitDelay = 600 * time.Millisecond

// declareLimit makes a server declare a limit, which all boxes learn.
func (f *fleet) declareLimit(s simServer) {
	f.servers = append(f.servers, s)
	f.customers[s.name] = &simCustomer{id: ServerIDOf(s.name), limit: Limit{Rate: s.rate}, bucketAt: f.now}
	for _, b := range f.boxes {
		b.applyServerLimit(s, b.incarnation)
	}
}

// applyServerLimit applies a server's limit at a box.
func (b *simBox) applyServerLimit(s simServer, incarnation int64) {
	if l, ok := b.limiter.(*Limiter); ok && b.up && b.incarnation == incarnation {
		var zones []string
		for i, z := range b.f.zones {
			if i/2 == s.region {
				zones = append(zones, z)
			}
		}
		l.SetServer(ServerIDOf(s.name), s.rate, zones)
	}
}

// applyServerLimitsLater makes a box that starts learn the limits after a delay. Requests that
// it sends until then take no token, but they count.
func (b *simBox) applyServerLimitsLater() {
	for _, s := range b.f.servers {
		incarnation := b.incarnation
		b.f.after(time.Duration(b.f.random.Int63n(int64(simLimitDelay))), func() { b.applyServerLimit(s, incarnation) })
	}
}

// sendTo sends requests to a server at the given rate, from boxes of its region; one in ten
// comes from a box of any region.
func (f *fleet) sendTo(s simServer, perSecond float64, d time.Duration) {
	f.load(s.name, func(time.Duration) float64 { return perSecond }, func(time.Duration) *simBox {
		region := s.region
		if f.random.Intn(10) == 0 {
			region = f.random.Intn(len(f.zones) / 2)
		}
		for {
			b := f.boxes[f.random.Intn(len(f.boxes))]
			if b.region == region {
				return b
			}
		}
	}, d)
}

// TestServersGetWhatTheirLimitsAllow checks in fleets of 2 to 288 boxes that a server that
// declares a limit gets most of it when more is requested, and never more than is allowed,
// whatever the limit.
func TestServersGetWhatTheirLimitsAllow(t *testing.T) {
	for _, size := range []struct{ zones, large, small int }{{2, 1, 0}, {6, 2, 0}, {6, 2, 10}, {18, 2, 14}} {
		for _, limit := range []float64{0, 0.5, 2.7, 20, 300} {
			t.Run(fmt.Sprintf("%d boxes, %g a second", size.zones*(size.large+size.small), limit), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(1, size.zones, size.large, size.small, nil)
				f.start()
				s := simServer{name: "i-1", rate: limit}
				f.declareLimit(s)
				f.run(time.Second)
				f.sendTo(s, max(1, 4*limit), 20*time.Second)
				f.run(20 * time.Second)
				c := f.customers[s.name]
				most, allowed := c.most(simServerTolerance)
				got := float64(len(c.admitted)) / 20
				t.Logf("admitted %.2f a second, at most %d in a window, %.0f allowed, waited %v", got, most, allowed, (c.waited / time.Duration(max(1, len(c.admitted)))).Round(time.Microsecond))
				if float64(most) > allowed {
					t.Errorf("admitted %d in a window, %.0f allowed", most, allowed)
				}
				if got < 0.9*limit {
					t.Errorf("admitted %.2f a second, limit %.2f", got, limit)
				}
				if len(c.admitted) < 2 {
					t.Errorf("%d admitted in 20 s: no box would learn when the server accepts more", len(c.admitted))
				}
			})
		}
	}
}

// TestServersLimitsHoldUnderTrouble checks servers' limits in the same fleet, and with the
// same faults, as TestLimitsHoldUnderTrouble does customers'.
func TestServersLimitsHoldUnderTrouble(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(int64(seed), 6, 2, 10, nil)
			f.start()
			for i, rate := range []float64{0, 0.5, 2.7, 2.8, 10, 60} {
				f.declareLimit(simServer{name: fmt.Sprint("i-", i), region: i % 3, rate: rate})
			}
			f.injectFaults(20 * time.Second)
			for _, s := range f.servers {
				f.sendTo(s, max(2, 5*s.rate), 25*time.Second)
			}
			f.run(25 * time.Second)
			for _, s := range f.servers {
				c := f.customers[s.name]
				most, allowed := c.most(simServerTolerance)
				if float64(most) > allowed {
					t.Errorf("%s, limit %g a second: admitted %d in a window, %.0f allowed", s.name, s.rate, most, allowed)
				}
				t.Logf("limit %g a second: admitted %.2f a second, at most %d in a window, %.0f allowed", s.rate, float64(len(c.admitted))/25, most, allowed)
			}
		})
	}
}
