package backend

import (
	"cmp"
	"slices"
	"time"
)

// A choice needs the first few servers in a key's order. That takes a pass over all servers of a
// service, of which there may be thousands, so the work for each has to be small: the index holds
// their hashes in one list, and only the servers that come first are examined further.

// indexEntry holds what determines a server's place in the orders of keys.
type indexEntry struct {
	hash   uint64
	weight float64
	isNear bool
	inZone bool
	server *server
}

// shortListSize is the number of servers in a short list: a key's home, and enough others to
// replace those that are commonly skipped.
const shortListSize = 12

// reindex rebuilds the index after the group or the weights of its servers have changed.
func (s *Set) reindex(g *group) {
	g.index = g.index[:0]
	g.isWeighted = false
	for _, v := range g.servers {
		weight := v.speed.weight()
		g.isWeighted = g.isWeighted || weight != 1
		g.index = append(g.index, indexEntry{hash: v.hash, weight: weight, isNear: v.region == s.Region, inZone: v.Zone == s.Zone, server: v})
	}
	g.isIndexed = true
}

// shortList holds the first servers of a list in a key's order, best first.
type shortList struct {
	best  [shortListSize]scoredServer
	count int
	// total is the number of servers in the list.
	total int
}

type scoredServer struct {
	score  float64
	server *server
}

// insert adds a server if it is among the first.
func (l *shortList) insert(score float64, v *server) {
	l.total++
	if l.count == shortListSize && score <= l.best[shortListSize-1].score {
		return
	}
	if l.count < shortListSize {
		l.count++
	}
	at := l.count - 1
	for at > 0 && l.best[at-1].score < score {
		l.best[at] = l.best[at-1]
		at--
	}
	l.best[at] = scoredServer{score, v}
}

// shortLists returns the first servers of the region in which the key has its home, of all other
// regions, and of this box's zone. The last is filled only for requests with large bodies.
func (s *Set) shortLists(g *group, r *Request, stays bool) (near, far, zone *shortList) {
	if !g.isIndexed {
		s.reindex(g)
	}
	near, far, zone = &s.short[0], &s.short[1], &s.short[2]
	near.count, near.total, far.count, far.total, zone.count, zone.total = 0, 0, 0, 0, 0, 0
	for i := range g.index {
		e := &g.index[i]
		hash := mix(r.Key ^ e.hash)
		// This has the same order as the weighted score if all weights are 1.
		score := float64(hash >> 11)
		if g.isWeighted {
			score = weightedScore(hash, e.weight)
		}
		list := far
		if e.isNear == stays {
			list = near
		}
		list.insert(score, e.server)
		if r.LargeBody && e.inZone {
			zone.insert(score, e.server)
		}
	}
	return near, far, zone
}

// candidatesFromShortList returns the candidates of a short list. It returns false if the list
// may lack a candidate that comes before those in it, because too many of these are cold or have
// failed.
func (s *Set) candidatesFromShortList(to []candidate, l *shortList, g *group, r *Request, version versionChoice, front int, now time.Time) (list []candidate, ok bool) {
	list = to[:0]
	normal := 0
	for i := range l.count {
		c, isCandidate := s.consider(l.best[i].server, g, r, version, now)
		if !isCandidate {
			continue
		}
		if !c.lastResort() {
			normal++
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	return list, normal >= front || l.count == l.total
}

// shortCandidates returns the same first candidates as allCandidates after sorting, from short
// lists. It returns false if the short lists do not determine them.
func (s *Set) shortCandidates(g *group, r *Request, version versionChoice, stays bool, now time.Time) (near, far []candidate, ok bool) {
	if s.AnyLimited() || s.anyBackedOff(now) {
		// Skipped servers have to be counted wherever they are in the order.
		return nil, nil, false
	}
	front := s.frontSize(r)
	shortNear, shortFar, shortZone := s.shortLists(g, r, stays)
	near, nearOK := s.candidatesFromShortList(s.near, shortNear, g, r, version, front, now)
	far, farOK := s.candidatesFromShortList(s.far, shortFar, g, r, version, front, now)
	s.near, s.far = near, far
	if !nearOK || !farOK {
		return nil, nil, false
	}
	if r.LargeBody {
		inZone, zoneOK := s.candidatesFromShortList(s.zone, shortZone, g, r, version, 1, now)
		s.zone = inZone
		if !zoneOK {
			return nil, nil, false
		}
		near = s.addZone(near, inZone, stays)
	}
	return near, far, true
}

// anyBackedOff reports whether any server has asked this box for a backoff and does not get all
// its requests yet.
func (s *Set) anyBackedOff(now time.Time) bool {
	for v := range s.backedOff {
		if !v.backoff.unproven && !now.Before(v.backoff.until) {
			delete(s.backedOff, v)
		}
	}
	return len(s.backedOff) > 0
}

// addZone adds the servers of this box's zone to the near ones if they are in the same region.
func (s *Set) addZone(near, inZone []candidate, stays bool) []candidate {
	if !stays {
		return near
	}
	for _, c := range inZone {
		isThere := func(other candidate) bool { return other.server == c.server }
		if !slices.ContainsFunc(near, isThere) {
			near = append(near, c)
		}
	}
	s.near = near
	return near
}
