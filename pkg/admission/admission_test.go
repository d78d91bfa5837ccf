package admission

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// init fixes the seed so that every run tests the same cases; -rapid.seed=0 selects a
// new seed for each run.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
}

// fakeClock is a clock that changes only when it is set.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func newTestGate(servers ...ServerConfig) (*Gate, *fakeClock) {
	clock := &fakeClock{now: time.Unix(1_000, 0)}
	g := NewGate(clock.read, 0)
	g.Update(servers)
	return g, clock
}

func TestNeverAboveShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, _ := newTestGate(ServerConfig{Name: "a", Share: 2}, ServerConfig{Name: "b", Share: 1})
		var held []*Permit
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(t, "release") {
				held[0].Release(Result(rapid.IntRange(0, 3).Draw(t, "result")))
				held = held[1:]
				continue
			}
			p, failure := g.Acquire(context.Background(), Request{CacheKey: uint64(rapid.IntRange(0, 9).Draw(t, "key"))})
			if failure != nil && failure.Outcome != outcome.NotRun {
				t.Fatal("the outcome of a refusal must be \"not run\"")
			}
			if p != nil {
				held = append(held, p)
			}
			for _, s := range g.Status() {
				if s.InUse > s.Share {
					t.Fatalf("%s: %d of %d", s.Name, s.InUse, s.Share)
				}
			}
		}
	})
}

// TestSlotOfAnAbandonedExchangeStaysTaken guards against a server processing more
// requests than it has slots, because it has not yet detected that the first one was
// abandoned when the next one arrives.
func TestSlotOfAnAbandonedExchangeStaysTaken(t *testing.T) {
	is := is.New(t)
	g, _ := newTestGate(ServerConfig{Name: "a", Share: 1})
	var due []func()
	var pause time.Duration
	g.After = func(d time.Duration, do func()) {
		pause = d
		due = append(due, do)
	}
	p, failure := g.Acquire(context.Background(), Request{})
	is.True(failure == nil)
	p.Abandon(TimedOut)
	is.Equal(g.Status()[0].InUse, 1)
	_, failure = g.Acquire(context.Background(), Request{})
	is.True(failure != nil)
	is.Equal(len(due), 1)
	is.Equal(pause, AbandonDelay)
	due[0]()
	is.Equal(g.Status()[0].InUse, 0)
	p.Release(Succeeded) // only the first call has an effect
	is.Equal(g.Status()[0].InUse, 0)
	_, failure = g.Acquire(context.Background(), Request{})
	is.True(failure == nil)
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	is := is.New(t)
	g, _ := newTestGate(ServerConfig{Name: "a", Share: 1})
	_, failure := g.Acquire(context.Background(), Request{})
	is.True(failure == nil)
	_, failure = g.Acquire(context.Background(), Request{})
	is.Equal(failure.Reason, outcome.ReasonNoCapacity)
	is.True(failure.RetryAfter > 0)
	is.True(!g.HasFree())
}

func TestLeavingServerIsNotUsed(t *testing.T) {
	is := is.New(t)
	g, _ := newTestGate(ServerConfig{Name: "a", Share: 1})
	is.True(g.SetSelfLeaving("a", true))
	_, failure := g.Acquire(context.Background(), Request{})
	is.Equal(failure.Reason, outcome.ReasonNoServer)
}

// TestEjectsAtMostHalf guards against ejecting all servers of a zone at once because of a
// network fault.
func TestEjectsAtMostHalf(t *testing.T) {
	is := is.New(t)
	g, clock := newTestGate(ServerConfig{Name: "a", Share: 1}, ServerConfig{Name: "b", Share: 1})
	for range 20 {
		p, failure := g.Acquire(context.Background(), Request{})
		is.True(failure == nil)
		p.Release(Broken)
	}
	ejected := 0
	for _, s := range g.Status() {
		if s.Ejected {
			ejected++
		}
	}
	is.Equal(ejected, 1)
	clock.now = clock.now.Add(LongestEjection)
	is.True(!g.Status()[0].Ejected && !g.Status()[1].Ejected)
}

// TestShortDeadlinesDoNotEject guards against ejecting healthy servers because callers'
// deadlines are shorter than the service time.
func TestShortDeadlinesDoNotEject(t *testing.T) {
	is := is.New(t)
	g, clock := newTestGate(ServerConfig{Name: "a", Share: 1}, ServerConfig{Name: "b", Share: 1})
	for range 20 {
		p, _ := g.Acquire(context.Background(), Request{})
		clock.now = clock.now.Add(10 * time.Millisecond)
		p.Release(TimedOut)
	}
	for _, s := range g.Status() {
		is.True(!s.Ejected)
	}
}

func TestCacheKeysStayWithTheirServer(t *testing.T) {
	is := is.New(t)
	servers := []ServerConfig{{Name: "a", Share: 9}, {Name: "b", Share: 9}, {Name: "c", Share: 9}, {Name: "d", Share: 9}}
	g, _ := newTestGate(servers...)
	pick := func(key uint64) string {
		p, _ := g.Acquire(context.Background(), Request{CacheKey: key})
		defer p.Release(Succeeded)
		return p.Server.Name
	}
	before := map[uint64]string{}
	for key := uint64(1); key <= 400; key++ {
		before[key] = pick(key * 0x9e3779b97f4a7c15)
	}
	g.Update(servers[:3])
	for key, server := range before {
		if server != "d" {
			is.Equal(pick(key*0x9e3779b97f4a7c15), server)
		}
	}
}
