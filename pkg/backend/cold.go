package backend

import "time"

const (
	// coldWindow is the span in which a cold server's requests are counted.
	coldWindow = time.Second
	// coldShare is which part of what a cold server bears boxes send it that know that it is cold. The
	// rest is for those that have not heard of it yet, and for boxes that know unlike sets of boxes.
	coldShare = 0.5
	// coldPlaceEvery is how often a box works its place out anew: with each heartbeat it may change.
	coldPlaceEvery = 500 * time.Millisecond
)

// maySendToCold reports whether this box may send one more request to a cold
// server. The bound holds for the sum over all boxes, which do not ask each
// other: each has its part of it.
func (s *Set) maySendToCold(v *server, now time.Time) bool {
	part := s.coldAllowance(v, now)
	if part < 1 {
		return false
	}
	recent := v.coldSends[:0]
	for _, at := range v.coldSends {
		if now.Sub(at) <= coldWindow {
			recent = append(recent, at)
		}
	}
	v.coldSends = recent
	return len(recent) < part
}

// coldAllowance is how many requests in any second this box may send: an even part, or where that is less
// than one, one at as many boxes as the server bears requests. A box that counts a few others too
// many or too few is wrong about its place by as many.
func (s *Set) coldAllowance(v *server, now time.Time) int {
	boxes := s.Boxes()
	if boxes <= 0 {
		return 0
	}
	terms := s.terms[v.Service]
	total := int(coldShare * (terms.ColdPerSecond*s.Bounds.ColdOverage + s.Bounds.ColdSlack))
	if total >= boxes {
		return total / boxes
	}
	if now.Sub(v.coldPlaceAt) >= coldPlaceEvery {
		v.coldPlace, v.coldPlaceAt = s.coldPlaceOf(v, boxes), now
	}
	if v.coldPlace < total {
		return 1
	}
	return 0
}

// Peer is a box, as far as the order is concerned in which boxes send to a cold server.
type Peer struct {
	Zone   string
	Region string
	// Hash is that of the box's name, see Hash.
	Hash uint64
	// Advertised: clients of its zone are told of it, others only where there are none of these.
	Advertised bool
}

// The ranks of boxes in the order in which they send to a cold server.
const (
	rankZone = iota
	rankRegion
	rankNamed
	rankOther
)

// coldRank is a box's rank for a server. Boxes that clients are told of come first, since others hardly ever have a
// request for it; of these the boxes of its own zone, which know best of each other which those are, and then
// those of its region, which have most of its keys.
func (p *Peer) coldRank(v *server) int {
	switch {
	case !p.Advertised:
		return rankOther
	case p.Zone == v.Zone:
		return rankZone
	case p.Region == v.region:
		return rankRegion
	}
	return rankNamed
}

// coldPlaceOf returns this box's place, from 0, in the order in which boxes send to a cold server where
// there are more of them than it bears requests: by their rank, and else by a hash, so that each
// server has others. It runs for each cold server, of which there may be a thousand, and each box, so
// names are hashed beforehand.
//
// Where boxes of a zone know of unlike ones that clients are told of, as when all of these have ended, two groups
// send: that is what coldShare leaves room for. A box that does not know all the others yet, of so
// many boxes, has the last place.
func (s *Set) coldPlaceOf(v *server, boxes int) int {
	self, peers := s.Peers()
	if len(peers)+1 < boxes {
		return boxes
	}
	rank, own := self.coldRank(v), mix(v.hash^self.Hash)
	place := 0
	for i := range peers {
		p := &peers[i]
		if other := p.coldRank(v); other < rank || other == rank && mix(v.hash^p.Hash) < own {
			place++
		}
	}
	return place
}

// restartWindow is within what time of its end a server that has started again is listed
// anew, or else listed no more: three of its heartbeats of 1.5 s, and a second and more for the list to be known.
const restartWindow = 6 * time.Second

// mayHaveRestarted reports whether the server's port has lately refused a connection: that
// life has ended, and what answers there next, under the same ID, has just started and is
// cold, while the list still has the entry of before. A server that does not tell its starts
// apart has another ID with each.
func (s *Set) mayHaveRestarted(v *server, now time.Time) bool {
	return v.StartedAtMs != 0 && !v.refused.IsZero() && now.Sub(v.refused) < restartWindow
}

// isProbed reports whether a request is on its way that finds out whether such a server is there
// again, where the list cannot tell later either: one request of this box at a time does.
func (s *Set) isProbed(v *server, now time.Time) bool {
	return v.StartedAtMs != 0 && !v.refused.IsZero() && !s.mayHaveRestarted(v, now) && !s.Trusted() && v.load.own > 0
}

// answeredAfterRefusal notes that a server answers whose port had refused. A list that can be trusted tells
// in time whether it has started again; where it cannot be, it has just started for all that is
// known.
func (s *Set) answeredAfterRefusal(v *server, now time.Time) {
	trusted := s.Trusted()
	if v.refused.IsZero() || trusted && s.mayHaveRestarted(v, now) {
		return
	}
	v.refused = time.Time{}
	if v.StartedAtMs != 0 && !trusted {
		s.markCold(v, s.terms[v.Service].ColdStart)
	}
}

// markCold takes a server to be cold for a time. What is told may have been on
// its way for a while, so it is counted from now, with a margin for clocks
// that run apart.
func (s *Set) markCold(v *server, d time.Duration) {
	if d <= 0 {
		return
	}
	until := s.Now().Add(d + s.Policy.ColdMargin)
	if until.After(v.coldUntil) {
		v.coldUntil = until
		s.OnChange(v.Server, Cold)
	}
}
