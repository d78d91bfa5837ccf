package node

import (
	"sync"
	"time"
)

// maxLinesPerSecond bounds the log lines of one kind in a second. A box that starts would else write one for each of
// thousands of servers before it serves anybody.
const maxLinesPerSecond = 64

// lineBudget bounds the log lines of one kind and counts those that are left out.
type lineBudget struct {
	mu      sync.Mutex
	second  int64
	written int
	omitted int
}

// allow reports whether a line may be written now, and counts it if not; the time counts from any fixed
// moment.
func (b *lineBudget) allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := int64(now / time.Second); second != b.second {
		b.second, b.written = second, 0
	}
	if b.written >= maxLinesPerSecond {
		b.omitted++
		return false
	}
	b.written++
	return true
}

// takeOmitted returns how many lines were left out since it was last called.
func (b *lineBudget) takeOmitted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.omitted
	b.omitted = 0
	return left
}
