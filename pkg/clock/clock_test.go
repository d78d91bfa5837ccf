package clock

import (
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// machine is a machine that tests suspend.
type machine struct {
	mu      sync.Mutex
	started time.Time
	away    time.Duration
	err     error
}

func newMachine() *machine { return &machine{started: time.Now()} }

func (m *machine) boottime() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.started) + m.away, m.err
}

func (m *machine) suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away += d
}

// TestSuspensionsCount: a time that is told after a suspension is later by it, spans that
// began before are longer by it, and nothing else moves the clock.
func TestSuspensionsCount(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	c := NewWithBoottime(m.boottime)
	var woke []time.Duration
	c.OnResume = func(away time.Duration) { woke = append(woke, away) }
	before := c.Now()
	for range 100 {
		c.Sync()
	}
	is.Equal(len(woke), 0)
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
	is.True(len(woke) >= 2)
	sum := time.Duration(0)
	for _, away := range woke {
		sum += away
	}
	is.True(sum <= 7*time.Second) // never more than there was
	is.True(sum > 7*time.Second-maxSchedulingDelay)
}

// maxSchedulingDelay is for how long this machine may stop a test between two readings of its clocks: by as
// much less a suspension is found to be, and what one look misses the next one finds.
const maxSchedulingDelay = 200 * time.Millisecond

// TestClockWithoutBoottime: it is then the runtime's.
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

// TestSystemHasBoottimeClock, which this machine's kernel moves on.
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

// TestClockNeverGoesBack, whoever looks at the same time.
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

// BenchmarkSync: 0.1 us, once a request.
func BenchmarkSync(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Sync()
	}
}
