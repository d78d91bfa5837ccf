package backend

import "time"

// FailureReport is what a box found of a server that others should know before the
// platform's list tells them.
type FailureReport struct {
	// Server names the server's life, see Server.Life: another one under its ID is not
	// concerned.
	Server string
	// Stale: another server has its address, so it is gone for good. Otherwise
	// no connection to it came up.
	Stale bool
}

// confirmWindow is within what time two boxes must tell that a server cannot be
// reached for a third one to believe it.
const confirmWindow = 2 * time.Second

// zoneAnswerMaxAge is within what time another server of the zone must have answered for
// a server that cannot be reached to be told: less than a
// connection in vain takes, so that the way there is known to have been open since.
const zoneAnswerMaxAge = 500 * time.Millisecond

// unconfirmedReport is what other boxes told of a server.
type unconfirmedReport struct {
	// box was the first to tell that it cannot be reached, at the time.
	box string
	at  time.Time
}

// reportFailure tells others what an exchange has shown. A box that cannot reach a server
// may be cut off itself: it tells so only if another server of that zone has just
// answered it.
func (s *Set) reportFailure(l *Lease, result Result, now time.Time) {
	switch {
	case result == Stale:
		s.ReportFailure(FailureReport{Server: l.Incarnation(), Stale: true})
	case (result == Unreachable || result == Refused) && now.Sub(s.zoneHeard[l.Zone]) < zoneAnswerMaxAge:
		s.ReportFailure(FailureReport{Server: l.Incarnation()})
	}
}

// ApplyFailureReport takes in what another box found. That an address has gone to another
// server is a fact. That a server cannot be reached is believed when a second
// box says so, or this box has lately failed with it, and has had no answer of it
// since; it then rests like one that this box could not reach.
func (s *Set) ApplyFailureReport(box string, f FailureReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(f.Server)
	if v == nil || v.stale {
		return
	}
	now := s.Now()
	if f.Stale {
		s.markStale(v)
		return
	}
	if v.health.ejected(now) || now.Sub(v.health.answeredAt) < s.Policy.FirstRest {
		return
	}
	first := v.unconfirmed
	if v.health.failures == 0 && (first.box == "" || first.box == box || now.Sub(first.at) > confirmWindow) {
		v.unconfirmed = unconfirmedReport{box: box, at: now}
		return
	}
	v.unconfirmed = unconfirmedReport{}
	if v.health.failed(&s.Policy, now, s.Policy.FailuresToRest) {
		s.markSuspected(v, "resting")
	}
}

// markStale takes a server for gone whose address another one has.
func (s *Set) markStale(v *server) {
	v.stale = true
	if v.group != nil {
		v.group.changed = true
	}
	s.OnChange(v.Server, "stale")
}
