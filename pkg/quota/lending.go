package quota

import (
	"slices"
	"time"
)

// AllocatorsPerZone is how many boxes of a zone are allocators: with two, half of
// the customers have their allocator still when one ends.
const AllocatorsPerZone = 2

const (
	// silentAfter is after what time without an answer an allocator is taken to have
	// ended, and silentFor for how long another one takes its place: a box that
	// starts again is soon back.
	silentAfter = 450 * time.Millisecond
	silentFor   = 2 * time.Second
)

// lending decides to which allocators a box lends its part, so that no two have it at
// a time. What one was lent for a customer ends lendFor after the last report that
// lent it; until then no other gets it.
type lending struct {
	self Box
	// peers are those that the box has reported to, by their keys.
	peers map[uint64]*lendingPeer
	// target are the allocators now, by their keys.
	target []uint64
	// hasLent: the box has lent its part, so that it must wait before it turns to
	// another allocator.
	hasLent bool
}

// lendingPeer is an allocator as the box knows it.
type lendingPeer struct {
	box Box
	// chosen is when it became an allocator, and told when the box last reported to it.
	chosen time.Time
	told   time.Time
	// asked is when it was first reported to since it last answered, zero if it has
	// answered; heard when it last did.
	asked time.Time
	// echo is its last stamp.
	echo Stamp
	// silentUntil is until when it is passed over.
	silentUntil time.Time
}

func newLending(self Box) *lending {
	return &lending{self: self, peers: map[uint64]*lendingPeer{}}
}

// choose takes the first boxes of the zone as allocators, but for those that do not
// answer. A box that reaches none is its own.
func (l *lending) choose(first []Box, now time.Time) {
	var target []uint64
	for _, b := range first {
		if len(target) < AllocatorsPerZone && !l.silent(b, now) {
			target = append(target, b.Key)
			l.peer(b)
		}
	}
	if len(target) == 0 {
		target = []uint64{l.self.Key}
		l.peer(l.self)
	}
	for _, key := range target {
		p := l.peers[key]
		if !slices.Contains(l.target, key) {
			p.chosen, p.asked = now, time.Time{}
			if !l.hasLent {
				p.chosen = now.Add(-leaseTime)
			}
		}
		p.told = now
	}
	l.target = target
	for key, p := range l.peers {
		if now.Sub(p.told) > leaseTime+silentFor {
			delete(l.peers, key)
		}
	}
}

func (l *lending) peer(b Box) *lendingPeer {
	p := l.peers[b.Key]
	if p == nil {
		p = &lendingPeer{}
		l.peers[b.Key] = p
	}
	p.box = b
	return p
}

// silent reports whether the box does not answer.
func (l *lending) silent(b Box, now time.Time) bool {
	p := l.peers[b.Key]
	if p == nil || b.Key == l.self.Key {
		return false
	}
	if !p.asked.IsZero() && now.Sub(p.asked) > silentAfter {
		p.silentUntil, p.asked = now.Add(silentFor), time.Time{}
	}
	return now.Before(p.silentUntil)
}

// lent are the allocators that may have some of the box's part, now or until what
// they were lent has ended. Customers are divided among all of them, so that each
// has only those that no other may have.
func (l *lending) lent(now time.Time) []uint64 {
	var list []uint64
	for key, p := range l.peers {
		if slices.Contains(l.target, key) || now.Sub(p.told) < leaseTime {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// lends reports whether an allocator gets the box's part yet: all that others were
// lent before has ended.
func (l *lending) lends(p *lendingPeer, now time.Time) bool { return now.Sub(p.chosen) >= leaseTime }

// heard notes an answer.
func (l *lending) heard(from uint64, stamp Stamp) {
	if p := l.peers[from]; p != nil {
		p.asked = time.Time{}
		p.silentUntil = time.Time{}
		p.echo = stamp
	}
}
