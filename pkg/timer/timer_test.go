package timer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEveryAndPause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	s := New()
	s.Now = func() time.Time { return now }
	calls, paused := 0, time.Duration(0)
	s.Every(100*time.Millisecond, func() { calls++ })
	s.OnPause(func(gap time.Duration) { paused = gap })
	run := func(f func()) { f() }
	for range 10 {
		now = now.Add(Tick)
		s.Step(run)
	}
	is.Equal(calls, 5)
	is.Equal(paused, time.Duration(0))
	now = now.Add(time.Minute)
	s.Step(run)
	is.Equal(paused, time.Minute)
	is.Equal(calls, 6) // once, not once per missed interval
}

func TestNeverTwiceAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	s := New()
	s.Now = func() time.Time { return now }
	s.Every(Tick, func() {})
	var held []func()
	for range 3 {
		now = now.Add(Tick)
		s.Step(func(f func()) { held = append(held, f) })
	}
	is.Equal(len(held), 1)
}

// TestSinceLastStepResetsAfterOnPause guards against a process that continues after a freeze
// and counts as responsive before the freeze has been handled.
func TestSinceLastStepResetsAfterOnPause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := New()
	s.Now = func() time.Time { return now }
	var duringPause time.Duration
	s.OnPause(func(time.Duration) { duringPause = s.SinceLastStep() })
	is.Equal(s.SinceLastStep(), time.Duration(0))
	s.Step(func(f func()) { f() })
	now = now.Add(9 * time.Second)
	is.Equal(s.SinceLastStep(), 9*time.Second)
	s.Step(func(f func()) { f() })
	is.Equal(duringPause, 9*time.Second)
	is.Equal(s.SinceLastStep(), time.Duration(0))
}
