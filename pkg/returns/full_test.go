package returns

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReturnsInAShortageAreSpread checks that clients return within the time for which they wait,
// and that no part of that span gets more than its share of them, so that a fleet that restarts
// with thousands of waiting clients does not get them back at one moment.
func TestReturnsInAShortageAreSpread(t *testing.T) {
	is := is.New(t)
	const clients, parts = 10_000, 20
	f := Full{RegionFill: 2, Left: 3 * time.Second}
	counts := map[time.Duration]int{}
	for i := range clients {
		after := f.InShortageAfter(float64(i) / clients)
		is.True(after > 0 && after <= f.Left/patience)
		counts[after*parts/(f.Left/patience)]++
	}
	for _, n := range counts {
		is.True(n <= 2*clients/parts)
	}
}

// The load of the tests below: keys with homes at single servers, and too few servers for a while.
const (
	fullServers  = 60
	fullSlots    = 3
	fullLatency  = 168 * time.Millisecond
	fullLimit    = 2.1
	fullShortage = 1.2
	fullDeadline = 3 * time.Second
)

// fullLoad is one play of that load.
type fullLoad struct {
	// arrivals is the requests for each slot and latency at a time since the start.
	arrivals func(at time.Duration) float64
	// spread is set if returns are spread in a shortage.
	spread bool

	random    *rand.Rand
	queues    [fullServers][]time.Duration
	returning map[time.Duration][]int

	requests, refused, refusedTwice, inShortage int
}

func (l *fullLoad) play(d time.Duration) *fullLoad {
	l.random, l.returning = rand.New(rand.NewPCG(1, 2)), map[time.Duration][]int{}
	owed := 0.0
	for at := time.Duration(0); at < d; at += loadTick {
		for _, home := range l.returning[at] {
			if !l.admit(home, at) {
				l.refusedTwice++
			}
		}
		owed += l.arrivals(at) * fullServers * fullSlots * float64(loadTick) / float64(fullLatency)
		for ; owed >= 1; owed-- {
			l.requests++
			home := l.random.IntN(fullServers)
			if !l.admit(home, at) {
				l.refused++
				after := l.returnAfter(home, at).Round(loadTick)
				l.returning[at+after] = append(l.returning[at+after], home)
			}
		}
	}
	return l
}

// admit gives a request to its home if that is not full. Queues hold when each request ends.
func (l *fullLoad) admit(home int, at time.Duration) bool {
	q := l.running(home, at)
	if float64(len(q)) >= fullLimit*fullSlots {
		return false
	}
	start := at
	if len(q) >= fullSlots {
		start = q[len(q)-fullSlots]
	}
	work := time.Duration((0.85 + 0.3*l.random.Float64()) * float64(fullLatency))
	l.queues[home] = append(q, start+work)
	return true
}

func (l *fullLoad) running(home int, at time.Duration) []time.Duration {
	q := l.queues[home]
	for len(q) > 0 && q[0] <= at {
		q = q[1:]
	}
	l.queues[home] = q
	return q
}

func (l *fullLoad) returnAfter(home int, at time.Duration) time.Duration {
	sum := 0
	for i := range fullServers {
		sum += len(l.running(i, at))
	}
	f := Full{RegionFill: float64(sum) / (fullServers * fullSlots), Left: fullDeadline}
	if f.InShortage(fullShortage) {
		l.inShortage++
		if l.spread {
			return f.InShortageAfter(l.random.Float64())
		}
	}
	untilRoom := float64(len(l.queues[home])) - fullLimit*fullSlots + 1
	return time.Duration((0.5 + l.random.Float64()) * untilRoom * float64(fullLatency) / fullSlots)
}

// TestShortageRefusesFewerTwice checks that fewer requests are refused twice, by a tenth at least,
// in a burst, and while a third of the servers of a busy service is missing for two seconds.
func TestShortageRefusesFewerTwice(t *testing.T) {
	loads := map[string]func(at time.Duration) float64{
		"burst": func(at time.Duration) float64 {
			if at > 2*time.Second && at < 3*time.Second {
				return 1.8
			}
			return 0.7
		},
		"a third missing": func(at time.Duration) float64 {
			if at > 2*time.Second && at < 4*time.Second {
				return 0.8 * 3 / 2
			}
			return 0.8
		},
	}
	for name, arrivals := range loads {
		is := is.New(t)
		before := (&fullLoad{arrivals: arrivals}).play(8 * time.Second)
		after := (&fullLoad{arrivals: arrivals, spread: true}).play(8 * time.Second)
		t.Logf("%s: %d requests, refused %d, twice %d; with returns spread %d, %d", name, before.requests, before.refused, before.refusedTwice, after.refused, after.refusedTwice)
		is.True(float64(after.refusedTwice) <= 0.9*float64(before.refusedTwice))
	}
}

// TestCalmIsNoShortage checks that clients return soon where single servers are full for a moment.
func TestCalmIsNoShortage(t *testing.T) {
	is := is.New(t)
	l := (&fullLoad{arrivals: func(time.Duration) float64 { return 0.7 }, spread: true}).play(8 * time.Second)
	t.Logf("%d requests, refused %d, in a shortage %d", l.requests, l.refused, l.inShortage)
	is.Equal(l.inShortage, 0)
}
