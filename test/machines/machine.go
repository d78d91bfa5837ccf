package machines

import (
	"sync"
	"time"
)

// machine is what a box runs on, as far as its clocks are concerned.
type machine struct {
	mu      sync.Mutex
	started time.Time
	suspended    time.Duration
}

func newMachine() *machine { return &machine{started: time.Now()} }

// boottime is the clock that counts suspensions.
func (m *machine) boottime() (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.started) + m.suspended, nil
}

// Suspend has the box's machine wake from a suspension: the box has done nothing for so long,
// and its steady clock has stood still.
func (b *Box) Suspend(d time.Duration) {
	b.machine.mu.Lock()
	defer b.machine.mu.Unlock()
	b.machine.suspended += d
}
