package quota

import (
	"slices"
	"time"
)

// leaseTime is for how long one report leases a box's share; it allows for one lost report. It
// is also how long a box whose allocator has stopped waits until it leases its share to
// another one. It is no longer than minRestartTime, so that a restarted box need not wait for
// the leases of its previous incarnation.
const leaseTime = minRestartTime

const (
	// minRestartTime is the least time between the end of a box and the start of its next
	// incarnation.
	minRestartTime = 500 * time.Millisecond
	// firstLeaseTime is how long after its start an allocator is taken to be the only one that
	// may have granted from a share; later, boxes have turned to others.
	firstLeaseTime = 600 * time.Millisecond
)

// leases are the shares that boxes lease to an allocator, and what they have contributed.
//
// Boxes may see different allocators in the zone, for a moment or while parts of the zone are
// cut off from each other. So contributions are counted for each set of allocators that boxes
// see: they belong to the customers that this allocator owns in that set.
type leases struct {
	self  uint64
	boxes map[uint64]*lease
	sets  map[uint64]*allocatorSet
	// credited are the boxes that have leased their share to this incarnation of the
	// allocator.
	credited map[uint64]bool
	at       time.Time
	started  time.Time
}

// lease is one box's lease of its share.
type lease struct {
	incarnation int64
	weight      float64
	set         *allocatorSet
	until       time.Time
}

// allocatorSet is one set of allocators that boxes see.
type allocatorSet struct {
	allocators []uint64
	// weightSeconds is the sum of weight x seconds of the leases.
	weightSeconds float64
}

func newLeases(self uint64, now time.Time) *leases {
	return &leases{self: self, boxes: map[uint64]*lease{}, sets: map[uint64]*allocatorSet{}, credited: map[uint64]bool{}, at: now, started: now}
}

// advance adds what the leases have contributed up to now. A lease that has expired counts up
// to its end.
func (l *leases) advance(now time.Time) {
	for key, b := range l.boxes {
		end := b.until
		if now.Before(end) {
			end = now
		}
		if end.After(l.at) {
			b.set.weightSeconds += b.weight * end.Sub(l.at).Seconds()
		}
		if !now.Before(b.until) {
			delete(l.boxes, key)
		}
	}
	l.at = now
}

// renew renews the lease of a box's share until the given time.
func (l *leases) renew(box uint64, incarnation int64, weight float64, allocators []uint64, until time.Time) {
	if !until.After(l.at) {
		return
	}
	b := l.boxes[box]
	if b == nil {
		b = &lease{}
		l.boxes[box] = b
	}
	if incarnation < b.incarnation {
		return
	}
	b.incarnation, b.weight, b.set = incarnation, weight, l.setOf(allocators)
	b.until = until
	if weight > 0 && !l.credited[box] {
		l.credited[box] = true
		l.creditFirst(b)
	}
}

// creditFirst credits a share that is leased to this incarnation of the allocator for the
// first time with what nobody has granted of it since the previous incarnation. After a power
// loss of all boxes that is most of a second's requests at once.
func (l *leases) creditFirst(b *lease) {
	if age := l.at.Sub(l.started); age <= firstLeaseTime {
		b.set.weightSeconds += b.weight * (minRestartTime + age).Seconds()
	}
}

// setOf returns the set of the given allocators, in any order.
func (l *leases) setOf(allocators []uint64) *allocatorSet {
	key := uint64(0)
	for _, a := range allocators {
		key ^= a
	}
	s := l.sets[key]
	if s == nil {
		s = &allocatorSet{allocators: slices.Clone(allocators)}
		l.sets[key] = s
	}
	return s
}

// weightSecondsOf returns what the leases have contributed for a customer so far, in units of
// the zone's share x seconds.
func (l *leases) weightSecondsOf(id ID) float64 {
	total := 0.0
	for _, s := range l.sets {
		if owner(id, s.allocators) == l.self {
			total += s.weightSeconds
		}
	}
	return total
}

// prune drops the sets of allocators that no box sees any more. Their contributions no longer
// count.
func (l *leases) prune() {
	used := map[*allocatorSet]bool{}
	for _, b := range l.boxes {
		used[b.set] = true
	}
	for key, s := range l.sets {
		if !used[s] {
			delete(l.sets, key)
		}
	}
}
