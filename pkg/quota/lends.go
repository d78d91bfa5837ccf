package quota

import (
	"slices"
	"time"
)

// leaseTime is for how long a box lends its part with one report: one report may be
// lost. It is also how long a box whose allocator has ended waits until it lends its
// part to another one. It is no longer than restartTime, so that a box that starts
// again need not wait for what its last life lent.
const leaseTime = restartTime

const (
	// restartTime is the least time between the end of a box and the start of its
	// next life.
	restartTime = 500 * time.Millisecond
	// longestStart is for how long after its start an allocator counts as the only one
	// that may have granted a part; later, boxes have turned to others.
	longestStart = 600 * time.Millisecond
)

// leases are the parts that boxes lend to an allocator, and what they have brought.
//
// Boxes may see different allocators in the zone, for a moment or while parts of the
// zone are cut off from each other. So what was brought is counted for each set of
// allocators that boxes see: it belongs to those customers that the receiver has in
// that set.
type leases struct {
	self  uint64
	boxes map[uint64]*lease
	sets  map[uint64]*allocatorSet
	// credited are the boxes that have lent to this life of the allocator.
	credited map[uint64]bool
	at       time.Time
	started  time.Time
}

// lease is a box that lends its part.
type lease struct {
	life   int64
	weight float64
	set    *allocatorSet
	until  time.Time
}

// allocatorSet is one set of allocators that boxes see.
type allocatorSet struct {
	allocators []uint64
	// weightSeconds is the sum of weight x seconds.
	weightSeconds float64
}

func newLeases(self uint64, now time.Time) *leases {
	return &leases{self: self, boxes: map[uint64]*lease{}, sets: map[uint64]*allocatorSet{}, credited: map[uint64]bool{}, at: now, started: now}
}

// advance counts what has been brought until now. A part that is no longer lent
// counts until it ended.
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

// lend takes in that a box lends its part until some time.
func (l *leases) lend(box uint64, life int64, weight float64, allocators []uint64, until time.Time) {
	if !until.After(l.at) {
		return
	}
	b := l.boxes[box]
	if b == nil {
		b = &lease{}
		l.boxes[box] = b
	}
	if life < b.life {
		return
	}
	b.life, b.weight, b.set = life, weight, l.setOf(allocators)
	b.until = until
	if weight > 0 && !l.credited[box] {
		l.credited[box] = true
		l.creditFirst(b)
	}
}

// creditFirst counts for a part that is lent to this life of the allocator for the first
// time what nobody has granted of it since the life before. After a loss of power of
// all boxes that is most of a second's requests at once.
func (l *leases) creditFirst(b *lease) {
	if age := l.at.Sub(l.started); age <= longestStart {
		b.set.weightSeconds += b.weight * (restartTime + age).Seconds()
	}
}

// setOf returns the set of the allocators, in whatever order they are.
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

// weightSecondsOf returns what has been brought for a customer so far, in zone's parts x seconds.
func (l *leases) weightSecondsOf(id ID) float64 {
	total := 0.0
	for _, s := range l.sets {
		if owner(id, s.allocators) == l.self {
			total += s.weightSeconds
		}
	}
	return total
}

// prune drops the sets of allocators that no box sees any more. What they brought is
// no longer counted.
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
