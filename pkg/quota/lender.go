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

// lender decides to which allocators a box lends its part, so that no two have it at
// a time. What one was lent for a customer ends lendFor after the last report that
// lent it; until then no other gets it.
type lender struct {
	self Box
	// peers are those that the box has reported to, by their keys.
	peers map[uint64]*allocatorPeer
	// allocators are the allocators now, by their keys.
	allocators []uint64
	// hasLent: the box has lent its part, so that it must wait before it turns to
	// another allocator.
	hasLent bool
}

// allocatorPeer is an allocator as the box knows it.
type allocatorPeer struct {
	box Box
	// chosenAt is when it became an allocator, and told when the box last reported to it.
	chosenAt   time.Time
	reportedAt time.Time
	// unansweredSince is when it was first reported to since it last answered, zero if it has
	// answered; heard when it last did.
	unansweredSince time.Time
	// echo is its last stamp.
	echo Stamp
	// silentUntil is until when it is passed over.
	silentUntil time.Time
}

func newLender(self Box) *lender {
	return &lender{self: self, peers: map[uint64]*allocatorPeer{}}
}

// choose takes the first boxes of the zone as allocators, but for those that do not
// answer. A box that reaches none is its own.
func (l *lender) choose(first []Box, now time.Time) {
	var allocators []uint64
	for _, b := range first {
		if len(allocators) < AllocatorsPerZone && !l.silent(b, now) {
			allocators = append(allocators, b.Key)
			l.peer(b)
		}
	}
	if len(allocators) == 0 {
		allocators = []uint64{l.self.Key}
		l.peer(l.self)
	}
	for _, key := range allocators {
		p := l.peers[key]
		if !slices.Contains(l.allocators, key) {
			p.chosenAt, p.unansweredSince = now, time.Time{}
			if !l.hasLent {
				p.chosenAt = now.Add(-leaseTime)
			}
		}
		p.reportedAt = now
	}
	l.allocators = allocators
	for key, p := range l.peers {
		if now.Sub(p.reportedAt) > leaseTime+silentFor {
			delete(l.peers, key)
		}
	}
}

func (l *lender) peer(b Box) *allocatorPeer {
	p := l.peers[b.Key]
	if p == nil {
		p = &allocatorPeer{}
		l.peers[b.Key] = p
	}
	p.box = b
	return p
}

// silent reports whether the box does not answer.
func (l *lender) silent(b Box, now time.Time) bool {
	p := l.peers[b.Key]
	if p == nil || b.Key == l.self.Key {
		return false
	}
	if !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > silentAfter {
		p.silentUntil, p.unansweredSince = now.Add(silentFor), time.Time{}
	}
	return now.Before(p.silentUntil)
}

// leaseHolders are the allocators that may have some of the box's part, now or until what
// they were leaseHolders has ended. Customers are divided among all of them, so that each
// has only those that no other may have.
func (l *lender) leaseHolders(now time.Time) []uint64 {
	var list []uint64
	for key, p := range l.peers {
		if slices.Contains(l.allocators, key) || now.Sub(p.reportedAt) < leaseTime {
			list = append(list, key)
		}
	}
	slices.Sort(list)
	return list
}

// mayLend reports whether an allocator gets the box's part yet: all that others were
// lent before has ended.
func (l *lender) mayLend(p *allocatorPeer, now time.Time) bool {
	return now.Sub(p.chosenAt) >= leaseTime
}

// answered notes an answer.
func (l *lender) answered(from uint64, stamp Stamp) {
	if p := l.peers[from]; p != nil {
		p.unansweredSince = time.Time{}
		p.silentUntil = time.Time{}
		p.echo = stamp
	}
}
