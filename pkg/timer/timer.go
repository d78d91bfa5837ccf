// Package timer is the single source of timed calls. Parts of a box subscribe to it instead of
// starting timers of their own, so that a test can drive all of them with a fake clock, and a
// pause of the whole process is detected in one place.
//
// Example: a process is stopped for a minute and then continues. The loop of Run sees that far
// more time has passed than one tick, and calls the subscribers of OnPause before any other
// subscriber runs on a clock that has jumped.
package timer

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Tick is the resolution of a Service.
const Tick = 50 * time.Millisecond

// PauseThreshold is the shortest gap between two ticks that counts as a pause.
const PauseThreshold = time.Second

// Service calls its subscribers at their intervals.
type Service struct {
	// Now reads the clock; tests replace it.
	Now func() time.Time

	mu      sync.Mutex
	subs    []*subscription
	onPause []func(time.Duration)
	last    time.Time
}

type subscription struct {
	every   time.Duration
	next    time.Time
	running bool
	call    func()
}

// New returns a service on the system's monotonic clock.
func New() *Service {
	return &Service{Now: time.Now}
}

// Every calls f once per interval, never twice at the same time.
func (s *Service) Every(interval time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, &subscription{every: interval, next: s.Now().Add(interval), call: f})
}

// OnPause calls f after the whole process was paused, with the duration of the gap.
func (s *Service) OnPause(f func(time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onPause = append(s.onPause, f)
}

// Run calls the subscribers until the context ends.
func (s *Service) Run(ctx context.Context) {
	t := time.NewTicker(Tick)
	defer t.Stop()
	wg := conc.NewWaitGroup()
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.Step(wg.Go)
		}
	}
}

// SinceLastStep returns the time since the last step, 0 before the first. After a pause it
// drops only when the subscribers of OnPause have been called.
func (s *Service) SinceLastStep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.IsZero() {
		return 0
	}
	return s.Now().Sub(s.last)
}

// Step calls the subscribers of OnPause after a pause, then runs all calls that are due, each
// through spawn.
func (s *Service) Step(spawn func(func())) {
	now := s.Now()
	for _, f := range s.pauseCalls(now) {
		f()
	}
	s.markStep(now)
	for _, sub := range s.due(now) {
		spawn(func() {
			defer s.markFinished(sub)
			sub.call()
		})
	}
}

func (s *Service) pauseCalls(now time.Time) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now.Sub(s.last)
	first := s.last.IsZero()
	if first || gap < PauseThreshold {
		return nil
	}
	calls := make([]func(), 0, len(s.onPause))
	for _, f := range s.onPause {
		calls = append(calls, func() { f(gap) })
	}
	return calls
}

func (s *Service) markStep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = now
}

func (s *Service) due(now time.Time) []*subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*subscription
	for _, sub := range s.subs {
		if sub.running || now.Before(sub.next) {
			continue
		}
		sub.running = true
		sub.next = now.Add(sub.every)
		due = append(due, sub)
	}
	return due
}

func (s *Service) markFinished(sub *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.running = false
}
