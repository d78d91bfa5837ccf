package quota

import (
	"slices"
	"time"
)

// AllocatorsPerZone is how many boxes of a zone are allocators: with two, half of the
// customers keep their allocator when one stops.
const AllocatorsPerZone = 2

const (
	// silentAfter is how long an allocator may leave reports unanswered until it is assumed to
	// have stopped, and silentFor how long another one then replaces it: a box that restarts
	// is soon back.
	silentAfter = 450 * time.Millisecond
	silentFor   = 2 * time.Second
)

// lender decides to which allocators a box leases its share, so that no two have it at a time.
// An allocator's lease for a customer expires leaseTime after the last report that renewed it;
// until then no other allocator gets it.
type lender struct {
	self Box
	// peers are the allocators that the box has reported to, by their keys.
	peers map[uint64]*allocatorPeer
	// allocators are the keys of the current allocators.
	allocators []uint64
	// hasLent is set once the box has leased its share, so that it must wait before it turns
	// to another allocator.
	hasLent bool
}

// allocatorPeer is what the box knows of an allocator.
type allocatorPeer struct {
	box Box
	// chosenAt is when it became an allocator, and reportedAt when the box last reported to
	// it.
	chosenAt   time.Time
	reportedAt time.Time
	// unansweredSince is the time of the first report since its last answer, zero if it has
	// answered.
	unansweredSince time.Time
	// echo is the last stamp received from it.
	echo Stamp
	// silentUntil is the time until which it is passed over.
	silentUntil time.Time
}

func newLender(self Box) *lender {
	return &lender{self: self, peers: map[uint64]*allocatorPeer{}}
}

// choose takes the first boxes of the zone as allocators, except those that do not answer. A
// box that reaches none is its own allocator.
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

// leaseHolders returns the allocators that may have some of the box's share, now or until
// their leases expire. Customers are divided among all of them, so that each has only those
// that no other may have.
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

// mayLend reports whether an allocator may get the box's share yet: all earlier leases to
// others have expired.
func (l *lender) mayLend(p *allocatorPeer, now time.Time) bool {
	return now.Sub(p.chosenAt) >= leaseTime
}

// answered records an allocator's answer.
func (l *lender) answered(from uint64, stamp Stamp) {
	if p := l.peers[from]; p != nil {
		p.unansweredSince = time.Time{}
		p.silentUntil = time.Time{}
		p.echo = stamp
	}
}
