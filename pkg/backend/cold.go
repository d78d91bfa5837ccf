package backend

import "time"

const (
	// coldWindow is the span in which the requests to a cold server are counted.
	coldWindow = time.Second
	// coldShare is the fraction of a cold server's rate that is used by the boxes that know that
	// it is cold. The remainder is for boxes that have not learned that yet, and for boxes that
	// know different sets of boxes.
	coldShare = 0.5
	// coldPlaceEvery is how often a box recomputes its place, which may change with each
	// heartbeat.
	coldPlaceEvery = 500 * time.Millisecond
)

// maySendToCold reports whether this box may send one more request to a cold server. The bound
// applies to the sum over all boxes, which do not coordinate: each has its share.
func (s *Set) maySendToCold(v *server, now time.Time) bool {
	allowance := s.coldAllowance(v, now)
	if allowance < 1 {
		return false
	}
	recent := v.coldSends[:0]
	for _, at := range v.coldSends {
		if now.Sub(at) <= coldWindow {
			recent = append(recent, at)
		}
	}
	v.coldSends = recent
	return len(recent) < allowance
}

// coldAllowance returns how many requests this box may send in any second: an equal share or,
// where that is less than one, one request from as many boxes as the server accepts requests. If
// a box counts a few boxes too many or too few, its place is off by that many.
func (s *Set) coldAllowance(v *server, now time.Time) int {
	boxes := s.Boxes()
	if boxes <= 0 {
		return 0
	}
	config := s.coldStart[v.Service]
	total := int(coldShare * (config.ColdPerSecond*s.Bounds.ColdOverage + s.Bounds.ColdSlack))
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

// Peer is a box in the order in which boxes send to a cold server.
type Peer struct {
	Zone   string
	Region string
	// Hash is the hash of the box's name; see Hash.
	Hash uint64
	// Advertised is true if clients of the box's zone are given its address. Other boxes get
	// clients only where no such box is left.
	Advertised bool
}

// The ranks of boxes in the order in which they send to a cold server.
const (
	rankZone = iota
	rankRegion
	rankAdvertised
	rankOther
)

// coldRank returns the box's rank for a server. Advertised boxes come first, since others rarely
// have a request for it. Of these, the boxes of the server's zone come first, since they know
// best which of them are advertised, and then those of its region, which have most of its keys.
func (p *Peer) coldRank(v *server) int {
	switch {
	case !p.Advertised:
		return rankOther
	case p.Zone == v.Zone:
		return rankZone
	case p.Region == v.region:
		return rankRegion
	}
	return rankAdvertised
}

// coldPlaceOf returns this box's place, from 0, in the order in which boxes send to a cold server
// where there are more boxes than it accepts requests. The order is by rank and then by a hash,
// so that each server has different boxes. It is computed for every cold server, of which there
// may be a thousand, over all boxes, so names are hashed beforehand.
//
// If boxes of a zone disagree on which boxes are advertised, for example after all of these have
// ended, two groups of boxes send; coldShare leaves room for that. A box that does not know all
// other boxes yet takes the last place.
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

// restartWindow is the time after a server's end within which it is listed again if it has
// restarted, or its entry is removed: three of its heartbeats of 1.5 s, plus more than a second
// until the list is known here.
const restartWindow = 6 * time.Second

// mayHaveRestarted reports whether the server's port has refused a connection recently. That
// incarnation has ended. A server that answers there next under the same ID has just started and
// is cold, while the list still holds the entry of the earlier incarnation. A server that does
// not report its start time gets a new ID with each start.
func (s *Set) mayHaveRestarted(v *server, now time.Time) bool {
	return v.StartedAtMs != 0 && !v.refusedAt.IsZero() && now.Sub(v.refusedAt) < restartWindow
}

// isProbed reports whether a request is in flight that probes whether such a server is running
// again, where the list cannot show that later either. This box sends one such request at a time.
func (s *Set) isProbed(v *server, now time.Time) bool {
	return v.StartedAtMs != 0 && !v.refusedAt.IsZero() && !s.mayHaveRestarted(v, now) && !s.Trusted() && v.load.own > 0
}

// answeredAfterRefusal records an answer from a server whose port had refused a connection. A
// list that is trusted shows in time whether the server has restarted. If the list is not
// trusted, the server counts as just started.
func (s *Set) answeredAfterRefusal(v *server, now time.Time) {
	trusted := s.Trusted()
	if v.refusedAt.IsZero() || trusted && s.mayHaveRestarted(v, now) {
		return
	}
	v.refusedAt = time.Time{}
	if v.StartedAtMs != 0 && !trusted {
		s.markCold(v, s.coldStart[v.Service].ColdStart)
	}
}

// markCold marks a server as cold for a time. The time is counted from now, since the information
// may have been delayed, with a margin for clocks that differ.
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
