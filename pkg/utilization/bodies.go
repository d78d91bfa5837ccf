package utilization

import (
	"math"
	"sync"
	"time"
)

const (
	// bodyShare is the share of the memory that the bodies of requests may take together. What
	// else a request needs, and the garbage of the runtime, takes several times as much.
	bodyShare = 0.125
	// urgentStep is by how much of that each priority is granted less than the one before it, and
	// leastShare what every priority is granted.
	urgentStep = 0.15
	leastShare = 0.4
	// minBodyRetry and maxBodyRetry bound when a refused request may return.
	minBodyRetry = 50 * time.Millisecond
	maxBodyRetry = 2 * time.Second
)

// Bodies bounds the bytes of request bodies that a box holds. If memory runs short, less urgent
// requests are refused first.
type Bodies struct {
	// Memory is the memory of the machine in bytes; 0 stands for unknown, and then nothing is
	// refused.
	Memory float64
	// Now is a monotonic clock.
	Now func() time.Time

	mu   sync.Mutex
	held int64
	// freed is a smoothed rate at which bytes are released, in bytes a second, as of freedAt.
	freed   float64
	freedAt time.Time
}

// Reserve counts a body of the given size against the bound, or refuses it and returns when that
// much is expected to be free. Priority 0 is the most urgent. A body that is reserved must be
// released.
func (b *Bodies) Reserve(priority int, size int64) (ok bool, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	excess := float64(b.held+size) - b.limit(priority)
	if b.Memory <= 0 || excess <= 0 {
		b.held += size
		return true, 0
	}
	return false, b.expected(excess)
}

// limit returns how many bytes may be held once a request of the priority is admitted.
func (b *Bodies) limit(priority int) float64 {
	share := max(leastShare, 1-urgentStep*float64(max(0, priority)))
	return share * bodyShare * b.Memory
}

// expected returns the time in which the given number of bytes is released at the recent rate.
func (b *Bodies) expected(bytes float64) time.Duration {
	rate := b.freed * math.Exp(-b.Now().Sub(b.freedAt).Seconds()/smoothing.Seconds())
	if rate <= 0 {
		return maxBodyRetry
	}
	return max(minBodyRetry, min(time.Duration(bytes/rate*float64(time.Second)), maxBodyRetry))
}

// Release takes back what Reserve counted.
func (b *Bodies) Release(size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	b.held -= size
	b.freed = b.freed*math.Exp(-now.Sub(b.freedAt).Seconds()/smoothing.Seconds()) + float64(size)/smoothing.Seconds()
	b.freedAt = now
}

const (
	// closeFrom is the share of descriptors from which clients are asked to close their
	// connections after an answer, and refuseFrom the one from which new ones are closed at
	// once. The rest is for connections to backend servers and other boxes.
	closeFrom  = 0.8
	refuseFrom = 0.9
	// portShare is the share of descriptors that the connections of a port which does not serve
	// requests of clients may take.
	portShare = 0.25
)

// AsksToClose reports whether clients are to close their connections, given how many descriptors
// are open.
func (s Sizes) AsksToClose(open int) bool {
	return s.Descriptors > 0 && float64(open) >= closeFrom*float64(s.Descriptors)
}

// RefusesConnections reports whether new connections of clients are closed at once.
func (s Sizes) RefusesConnections(open int) bool {
	return s.Descriptors > 0 && float64(open) >= refuseFrom*float64(s.Descriptors)
}

// RefusesAtPort reports whether new connections of a port that does not serve requests of clients are
// closed at once, given how many descriptors are open, and how many of them at the port.
func (s Sizes) RefusesAtPort(open, atPort int) bool {
	return s.RefusesConnections(open) || s.Descriptors > 0 && float64(atPort) >= portShare*float64(s.Descriptors)
}
