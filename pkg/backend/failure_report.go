package backend

import "time"

// FailureReport is what a box found out about a server that other boxes should know before the
// platform's list shows it.
type FailureReport struct {
	// Server is the server's incarnation, see Server.Incarnation. The report does not apply to
	// other incarnations of the same ID.
	Server string
	// Stale is true if the server's address belongs to another server, so that it is gone for
	// good. Otherwise no connection to the server could be opened.
	Stale bool
}

// confirmWindow is the time within which two boxes must report that a server cannot be reached
// for a third box to believe it.
const confirmWindow = 2 * time.Second

// zoneAnswerMaxAge is how recently another server of the zone must have answered for a box to
// report a server as unreachable. It is shorter than a failed connection attempt takes, so that
// the network path to the zone is known to have worked during the attempt.
const zoneAnswerMaxAge = 500 * time.Millisecond

// unconfirmedReport is the first report by another box that a server cannot be reached.
type unconfirmedReport struct {
	// box sent the report, which arrived at the time at.
	box string
	at  time.Time
}

// reportFailure reports to other boxes what an exchange has shown. A box that cannot reach a
// server may be cut off itself, so it reports that only if another server of the zone has just
// answered it.
func (s *Set) reportFailure(l *Lease, result Result, now time.Time) {
	switch {
	case result == Stale:
		s.ReportFailure(FailureReport{Server: l.Incarnation(), Stale: true})
	case (result == Unreachable || result == Refused) && now.Sub(s.zoneAnsweredAt[l.Zone]) < zoneAnswerMaxAge:
		s.ReportFailure(FailureReport{Server: l.Incarnation()})
	}
}

// ApplyFailureReport applies another box's report. A report that an address is reused is always
// applied. A report that a server cannot be reached is believed if a second box reports it or this
// box has failed with the server recently, but not if the server has answered this box recently.
// The server is then ejected as if this box could not reach it.
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
		s.markSuspected(v, "ejected")
	}
}

// markStale marks a server as gone because its address belongs to another server.
func (s *Set) markStale(v *server) {
	v.stale = true
	if v.group != nil {
		v.group.changed = true
	}
	s.OnChange(v.Server, "address reused")
}
