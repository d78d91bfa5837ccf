package backend

import (
	"math"
	"time"
)

// coldWindow is the span in which a cold server's requests are counted.
const coldWindow = time.Second

// mayWarm reports whether this box may send one more request to a cold
// server. The bound holds for the sum over all boxes, which do not ask each
// other: each has its part of it, and where that is less than one request
// nobody may send.
func (s *Set) mayWarm(v *server, now time.Time) bool {
	part := s.coldPart(v)
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

// coldPart is how many requests in any second this box may send.
func (s *Set) coldPart(v *server) int {
	boxes := s.Boxes()
	if boxes <= 0 {
		return 0
	}
	terms := s.terms[v.Service]
	total := terms.ColdPerSecond*s.Terms.ColdOverage + s.Terms.ColdSlack
	return int(math.Floor(total / float64(boxes)))
}

// ComesFirst reports whether a box comes before another one in the order in which boxes send to a
// cold server where there are more of them than it bears requests: those of its region first, which
// have most of its keys, and else by a hash, so that each server has others.
func ComesFirst(v *Server, box, region, other, otherRegion, own string) bool {
	if (region == own) != (otherRegion == own) {
		return region == own
	}
	hash, otherHash := Hash(v.ID, box), Hash(v.ID, other)
	return hash < otherHash || hash == otherHash && box < other
}

// startedAgainTime is within what time of its end a server that has started again is listed
// anew, or else listed no more: three of its heartbeats of 1.5 s, and a second and more for the list to be known.
const startedAgainTime = 6 * time.Second

// mayHaveStartedAgain reports whether the server's port has lately refused a connection: that
// life has ended, and what answers there next, under the same ID, has just started and is
// cold, while the list still has the entry of before. Where the list cannot tell later
// either, one request of this box at a time finds out. A server that does not tell its starts
// apart has another ID with each.
func (s *Set) mayHaveStartedAgain(v *server, now time.Time) bool {
	switch {
	case v.Born == 0 || v.refused.IsZero():
		return false
	case now.Sub(v.refused) < startedAgainTime:
		return true
	case s.Trusted():
		return false
	}
	return v.load.own > 0
}

// answersAgain notes that a server answers whose port had refused: where the list could not
// tell, it has just started for all that is known.
func (s *Set) answersAgain(v *server) {
	if v.refused.IsZero() {
		return
	}
	v.refused = time.Time{}
	if v.Born != 0 && !s.Trusted() {
		s.startCold(v, s.terms[v.Service].ColdStart)
	}
}

// startCold takes a server to be cold for a time. What is told may have been on
// its way for a while, so it is counted from now, with a margin for clocks
// that run apart.
func (s *Set) startCold(v *server, d time.Duration) {
	if d <= 0 {
		return
	}
	until := s.Now().Add(d + s.Policy.ColdMargin)
	if until.After(v.coldUntil) {
		v.coldUntil = until
		s.Changed(v.Server, "cold")
	}
}
