package quota

import (
	"fmt"
	"testing"
	"time"
)

// simServerTerms are what is promised of the limits that backend servers name.
var simServerTerms = Tolerance{Window: 4 * time.Second, Overage: 0.5, Slack: 5}

// simServer is a backend server of the model that names a limit.
type simServer struct {
	name   string
	region int
	rate   float64
}

// simHears is within what time of its start a box hears of limits from others.
const simHears = 600 * time.Millisecond

// nameLimit has a server name a limit, of which all boxes hear.
func (f *fleet) nameLimit(s simServer) {
	f.servers = append(f.servers, s)
	f.customers[s.name] = &simCustomer{id: ServerIDOf(s.name), limit: Limit{Rate: s.rate}, bucketAt: f.now}
	for _, b := range f.boxes {
		b.hear(s, b.life)
	}
}

// hear puts a server's limit in force at a box.
func (b *simBox) hear(s simServer, life int64) {
	if l, ok := b.limiter.(*Limiter); ok && b.up && b.life == life {
		var zones []string
		for i, z := range b.f.zones {
			if i/2 == s.region {
				zones = append(zones, z)
			}
		}
		l.SetServer(ServerIDOf(s.name), s.rate, zones)
	}
}

// hearOfServers has a box that starts hear of limits after a while. What it sends until then takes no
// token, and counts all the same.
func (b *simBox) hearOfServers() {
	for _, s := range b.f.servers {
		life := b.life
		b.f.after(time.Duration(b.f.random.Int63n(int64(simHears))), func() { b.hear(s, life) })
	}
}

// sendTo sends requests to a server at a rate, from boxes of its region; one in ten comes from
// another region.
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

// TestServersGetWhatTheirLimitsAllow: in fleets of 2 to 288 boxes a server that names a limit gets
// most of it where more is asked, and never more than is promised, whatever the limit.
func TestServersGetWhatTheirLimitsAllow(t *testing.T) {
	for _, size := range []struct{ zones, large, small int }{{2, 1, 0}, {6, 2, 0}, {6, 2, 10}, {18, 2, 14}} {
		for _, limit := range []float64{0, 0.5, 2.7, 20, 300} {
			t.Run(fmt.Sprintf("%d boxes, %g a second", size.zones*(size.large+size.small), limit), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(1, size.zones, size.large, size.small, nil)
				f.start()
				s := simServer{name: "i-1", rate: limit}
				f.nameLimit(s)
				f.run(time.Second)
				f.sendTo(s, max(1, 4*limit), 20*time.Second)
				f.run(20 * time.Second)
				c := f.customers[s.name]
				most, allowed := c.most(simServerTerms)
				got := float64(len(c.admitted)) / 20
				t.Logf("%.2f a second, at most %d in a window, %.0f allowed, waited %v", got, most, allowed, (c.waited / time.Duration(max(1, len(c.admitted)))).Round(time.Microsecond))
				if float64(most) > allowed {
					t.Errorf("%d in a window, %.0f allowed", most, allowed)
				}
				if got < 0.9*limit {
					t.Errorf("%.2f a second of %.2f", got, limit)
				}
				if len(c.admitted) < 2 {
					t.Errorf("%d in 20 s: nobody hears when the server takes more", len(c.admitted))
				}
			})
		}
	}
}

// TestServersLimitsHoldUnderTrouble: the same fleets of boxes as customers' limits are tested on,
// struck in the same ways.
func TestServersLimitsHoldUnderTrouble(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(int64(seed), 6, 2, 10, nil)
			f.start()
			for i, rate := range []float64{0, 0.5, 2.7, 2.8, 10, 60} {
				f.nameLimit(simServer{name: fmt.Sprint("i-", i), region: i % 3, rate: rate})
			}
			f.trouble(20 * time.Second)
			for _, s := range f.servers {
				f.sendTo(s, max(2, 5*s.rate), 25*time.Second)
			}
			f.run(25 * time.Second)
			for _, s := range f.servers {
				c := f.customers[s.name]
				most, allowed := c.most(simServerTerms)
				if float64(most) > allowed {
					t.Errorf("%s, %g a second: %d in a window, %.0f allowed", s.name, s.rate, most, allowed)
				}
				t.Logf("%g a second: got %.2f, at most %d, %.0f allowed", s.rate, float64(len(c.admitted))/25, most, allowed)
			}
		})
	}
}
