package machines

import (
	"sync"
	"time"
)

// machine simulates the clocks and the links of the machine that a box runs on.
type machine struct {
	links Links

	mu        sync.Mutex
	started   time.Time
	suspended time.Duration
}

func newMachine() *machine { return &machine{started: time.Now()} }

// boottime returns the time since the machine started, suspensions included.
func (m *machine) boottime() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.started) + m.suspended, nil
}

// Suspend simulates the end of a suspension of the box's machine that lasted d: the boot-time
// clock advances by d, the monotonic clock does not.
func (b *Box) Suspend(d time.Duration) {
	b.machine.mu.Lock()
	defer b.machine.mu.Unlock()
	b.machine.suspended += d
}
