package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// serveKeys sends requests for random keys and answers each after the time that took returns for
// the server, given whether it is the first use of the key there.
func serveKeys(s *Set, c *clock, requests, keys int, random *rand.Rand, took func(id string, first bool) time.Duration) map[string]int {
	known := map[string]bool{}
	sent := map[string]int{}
	for range requests {
		key := mix(random.Uint64N(uint64(keys)) + 1)
		lease, err := choose(s, key)
		if err != nil {
			continue
		}
		sent[lease.ID]++
		use := fmt.Sprint(lease.ID, key)
		lease.start = c.at.Add(-took(lease.ID, !known[use]))
		known[use] = true
		lease.Done(Answered, &Load{Slots: lease.Slots})
		c.advance(20 * time.Millisecond)
	}
	return sent
}

// TestSlowerServersGetFewerKeys checks that the shares of the keys follow the speeds, after about
// twenty answers of each server.
func TestSlowerServersGetFewerKeys(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	s.Replace(servers("east-a", 8, 4), true)
	random := rand.New(rand.NewPCG(1, 2))
	slow := "east-a-3"
	took := func(id string, first bool) time.Duration {
		d := 100 * time.Millisecond
		if id == slow {
			d = 220 * time.Millisecond
		}
		if first {
			d *= 3
		}
		return d + time.Duration(random.NormFloat64()*0.15*float64(d))
	}
	serveKeys(s, c, 1500, 200, random, took)
	sent := serveKeys(s, c, 8000, 4000, random, took)
	is.True(sent[slow] < 8000/8*7/10)
	is.True(sent[slow] > 8000/8/5) // it still serves
}

// TestEqualServersKeepTheirParts checks that servers of equal speed keep the keys that their hash
// assigns to them, whatever the noise, first uses and queues, so that boxes agree.
func TestEqualServersKeepTheirParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := newTestSet(1)
		s.Replace(servers("east-a", rapid.IntRange(3, 12).Draw(t, "servers"), 4), true)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		gain := rapid.Float64Range(1, 10).Draw(t, "first use takes so many times longer")
		serveKeys(s, c, 1200, rapid.IntRange(1, 300).Draw(t, "keys"), random, func(_ string, first bool) time.Duration {
			d := 80 * time.Millisecond
			if first {
				d = time.Duration(gain * float64(d))
			}
			return d + time.Duration(random.NormFloat64()*0.15*float64(d))
		})
		for _, v := range s.servers {
			if v.speed.weight() != 1 {
				t.Fatalf("%s: %d answers of %.3f s, weight %.2f", v.ID, v.speed.answers, v.speed.mean, v.speed.weight())
			}
		}
	})
}

// TestWeightsStayWithinTheirBounds checks that, whatever the latencies, no server gets no keys at
// all and none gets more than a few times the keys of a typical one.
func TestWeightsStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := newTestSet(1)
		s.Replace(servers("east-a", 5, 4), true)
		g := s.services["shop"]
		for _, v := range g.servers {
			for range rapid.IntRange(0, 40).Draw(t, "answers") {
				v.speed.addAnswer(&s.Policy, time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "took")))
			}
		}
		c.advance(time.Minute)
		g.compareSpeeds(&s.Policy, c.at)
		for _, v := range g.servers {
			if w := v.speed.weight(); !(w >= minWeight && w <= maxWeight) {
				t.Fatalf("%s: weight %v", v.ID, w)
			}
		}
	})
}

// TestChangedWeightMovesFewKeys checks that a server whose weight falls loses some of its keys,
// and that no key moves between the others.
func TestChangedWeightMovesFewKeys(t *testing.T) {
	is := is.New(t)
	s, _ := newTestSet(1)
	s.Replace(servers("east-a", 8, 1000), true)
	home := func(key uint64) string {
		lease, err := choose(s, key)
		is.NoErr(err)
		lease.Done(Withdrawn, nil)
		return lease.ID
	}
	const keys = 4000
	before := make([]string, keys)
	for i := range before {
		before[i] = home(mix(uint64(i)))
	}
	s.servers["east-a-3"].speed.keyWeight = 0.5
	kept, given := 0, 0
	for i := range before {
		after := home(mix(uint64(i)))
		switch {
		case before[i] != "east-a-3":
			is.Equal(after, before[i])
		case after == "east-a-3":
			kept++
		default:
			given++
		}
	}
	is.True(kept > 0 && given > 0)
	is.True(kept*10 > (kept+given)*3 && kept*10 < (kept+given)*7)
}
