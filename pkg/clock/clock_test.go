package clock

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// machine simulates a machine that can be suspended.
type machine struct {
	mu        sync.Mutex
	started   time.Time
	suspended time.Duration
	err       error
}

func newMachine() *machine { return &machine{started: time.Now()} }

func (m *machine) boottime() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.started) + m.suspended, m.err
}

func (m *machine) suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += d
}

// TestSuspensionsCount: a suspension advances the clock by its duration and so lengthens spans
// that began before it. Nothing else moves the clock.
func TestSuspensionsCount(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	c := NewWithBoottime(m.boottime)
	var suspensions []time.Duration
	c.OnResume = func(away time.Duration) { suspensions = append(suspensions, away) }
	before := c.Now()
	for range 100 {
		c.Sync()
	}
	is.Equal(len(suspensions), 0)
	is.True(c.Since(before) < time.Second)
	m.suspend(5 * time.Second)
	is.True(c.Since(before) < time.Second)
	c.Sync()
	is.True(c.Since(before) >= 5*time.Second-maxSchedulingDelay)
	is.True(c.Since(before) < 6*time.Second)
	m.suspend(2 * time.Second)
	for range 100 {
		c.Sync()
	}
	is.True(len(suspensions) >= 2)
	sum := time.Duration(0)
	for _, away := range suspensions {
		sum += away
	}
	is.True(sum <= 7*time.Second) // never more than the actual suspensions
	is.True(sum > 7*time.Second-maxSchedulingDelay)
}

// maxSchedulingDelay is how long this machine may stop a test between two readings of its
// clocks. A suspension is found to be shorter by up to that much, and the next Sync finds the
// rest.
const maxSchedulingDelay = 200 * time.Millisecond

// TestClockWithoutBoottime: on a system without a clock that counts suspensions, the clock is
// the runtime's.
func TestClockWithoutBoottime(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	m.err = errors.New("no such clock")
	c := NewWithBoottime(m.boottime)
	is.True(c.Err() != nil)
	m.err = nil
	m.suspend(time.Hour)
	c.Sync()
	is.True(time.Since(c.Now()) < time.Second)
}

// TestSystemHasBoottimeClock: this machine's kernel has a clock that counts suspensions, and
// it advances.
func TestSystemHasBoottimeClock(t *testing.T) {
	is := is.New(t)
	c := New()
	is.NoErr(c.Err())
	first, err := boottime()
	is.NoErr(err)
	time.Sleep(2 * time.Millisecond)
	second, err := boottime()
	is.NoErr(err)
	is.True(second-first >= 2*time.Millisecond)
}

// TestClockNeverGoesBack: the clock does not go back while several goroutines call Sync at the
// same time.
func TestClockNeverGoesBack(t *testing.T) {
	m := newMachine()
	c := NewWithBoottime(m.boottime)
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			last := c.Now()
			for range 2000 {
				m.suspend(2 * time.Millisecond)
				c.Sync()
				now := c.Now()
				if now.Before(last) {
					t.Error("the clock went back")
				}
				last = now
			}
		}()
	}
	wg.Wait()
}

// BenchmarkSync measures what the clock costs each request: 0.1 us.
func BenchmarkSync(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Sync()
	}
}
