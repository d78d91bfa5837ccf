package node

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxLinesPerSecond bounds the log lines of one kind per second. Without it, a box that starts
// would write one line for each of thousands of servers before it serves any request.
const maxLinesPerSecond = 64

// lineBudget bounds the log lines of one kind and counts those that are omitted.
type lineBudget struct {
	mu      sync.Mutex
	second  int64
	written int
	omitted int
}

// allow reports whether a line may be written now, and counts it as omitted if not. The time is
// measured from any fixed moment.
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

// takeOmitted returns how many lines were omitted since it was last called.
func (b *lineBudget) takeOmitted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.omitted
	b.omitted = 0
	return left
}

// stateLineEvery is the minimum time between two log lines that a state has begun.
const stateLineEvery = 10 * time.Second

// stateLines bounds the log lines about the beginnings and ends of a state. An end is logged if its
// beginning was.
type stateLines struct {
	begins   logLimiter
	isLogged atomic.Bool
}

// allow reports whether the line about a beginning or an end may be written now. The time is
// measured from any fixed moment.
func (l *stateLines) allow(isBeginning bool, now time.Duration) bool {
	if !isBeginning {
		return l.isLogged.Swap(false)
	}
	if !l.begins.allow(now, stateLineEvery) {
		return false
	}
	l.isLogged.Store(true)
	return true
}
