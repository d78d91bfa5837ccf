// Package utilization computes how much of its machine a box uses: of the processor, of the link
// in each direction, of memory and of descriptors. It does no input or output: the caller reads
// the counters of the process.
package utilization

import (
	"math"
	"sync"
	"time"
)

// Sizes are the sizes of a machine; 0 stands for unknown.
type Sizes struct {
	// Cores is how many of the processor's cores the box may use; it may be a fraction.
	Cores float64
	// LinkMbps is the bandwidth of the network link, in megabits a second each way.
	LinkMbps float64
	// MemoryMB is the memory that the box may use, in megabytes of 2^20 bytes.
	MemoryMB float64
	// Descriptors is how many descriptors the box may have open.
	Descriptors int
}

// The longest answer of the store that a box reads: a share of the memory, within bounds of which the
// lower one holds a page of a list.
const (
	storeAnswerShare = 1.0 / 16
	minStoreAnswer   = 4 << 20
	maxStoreAnswer   = 16 << 20
)

// MaxStoreAnswer returns the longest answer of the store that the box reads, in bytes.
func (s Sizes) MaxStoreAnswer() int64 {
	memory := s.of(Memory)
	if memory <= 0 {
		return maxStoreAnswer
	}
	return int64(min(max(storeAnswerShare*memory, minStoreAnswer), maxStoreAnswer))
}

// Reading is what a box reads of itself. Processor, Received and Sent are sums since its start.
type Reading struct {
	Processor time.Duration
	// Received and Sent are bytes on the link.
	Received, Sent uint64
	// Memory is the memory in use, in bytes, and Descriptors the number of open descriptors.
	Memory      uint64
	Descriptors int
}

// Resource is a part of a machine.
type Resource int

// The resources of a machine.
const (
	Processor Resource = iota
	LinkIn
	LinkOut
	Memory
	Descriptors
	resources
)

// String returns the name of the resource in logs and metrics.
func (r Resource) String() string {
	return [...]string{"processor", "link_in", "link_out", "memory", "descriptors"}[r]
}

// Resources lists all resources.
func Resources() []Resource {
	list := make([]Resource, resources)
	for i := range list {
		list[i] = Resource(i)
	}
	return list
}

// smoothing is the time constant of the shares of processor and link. Memory and descriptors are
// levels and are not smoothed.
const smoothing = 2 * time.Second

// Meter computes the shares of a machine that are in use. Now must be monotonic.
type Meter struct {
	Sizes Sizes
	Now   func() time.Time

	mu      sync.Mutex
	last    Reading
	lastAt  time.Time
	shares  [resources]float64
	started bool
}

// Unknown returns the resources whose size is unknown, which the meter cannot watch.
func (m *Meter) Unknown() []Resource {
	var list []Resource
	for _, r := range Resources() {
		if m.Sizes.of(r) <= 0 {
			list = append(list, r)
		}
	}
	return list
}

// of returns the size of a resource: seconds of processor time a second, bytes a second, bytes
// or descriptors.
func (s Sizes) of(r Resource) float64 {
	switch r {
	case Processor:
		return s.Cores
	case LinkIn, LinkOut:
		return s.LinkMbps * 1e6 / 8
	case Memory:
		return s.MemoryMB * (1 << 20)
	default:
		return float64(s.Descriptors)
	}
}

// Observe takes in a reading. The first one gives levels only.
func (m *Meter) Observe(r Reading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	m.set(Memory, float64(r.Memory))
	m.set(Descriptors, float64(r.Descriptors))
	elapsed := now.Sub(m.lastAt)
	if m.started && elapsed <= 0 {
		return
	}
	if m.started {
		weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
		m.smooth(Processor, (r.Processor-m.last.Processor).Seconds()/elapsed.Seconds(), weight)
		m.smooth(LinkIn, difference(r.Received, m.last.Received)/elapsed.Seconds(), weight)
		m.smooth(LinkOut, difference(r.Sent, m.last.Sent)/elapsed.Seconds(), weight)
	}
	m.last, m.lastAt, m.started = r, now, true
}

// difference returns by how much a counter has risen, 0 if it has been reset.
func difference(now, before uint64) float64 {
	if now < before {
		return 0
	}
	return float64(now - before)
}

func (m *Meter) set(r Resource, used float64) { m.smooth(r, used, 1) }

func (m *Meter) smooth(r Resource, used, weight float64) {
	if size := m.Sizes.of(r); size > 0 {
		m.shares[r] += weight * (max(0, used)/size - m.shares[r])
	}
}

// Share returns the share of a resource that is in use, and whether its size is known.
func (m *Meter) Share(r Resource) (share float64, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shares[r], m.Sizes.of(r) > 0
}

// Largest returns the resource of which the largest share is in use, among those whose size is
// known; known is false if there is none.
func (m *Meter) Largest() (largest Resource, share float64, known bool) {
	for _, r := range Resources() {
		s, ok := m.Share(r)
		if ok && (!known || s > share) {
			largest, share, known = r, s, true
		}
	}
	return largest, share, known
}
