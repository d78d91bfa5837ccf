package backend

import "time"

// Lease is one request's use of one server. Done must be called exactly once.
type Lease struct {
	Server
	// Remote is true if the server is in another region than the box.
	Remote bool
	// Cold is true if the server was cold.
	Cold bool
	// Rank is the server's place in the key's order of servers; 0 is the home.
	Rank int
	// InFlight is the estimated number of requests at the server.
	InFlight float64
	// LoadAge is the age of the server's last report of its load; 0 if there is none.
	LoadAge time.Duration
	// Metered is true if the server has a rate limit from which the request has taken a token.
	// Denied is the number of servers that were skipped because their limits leave no room.
	Metered bool
	Denied  int
	// BackedOff is the number of servers that were skipped because they have asked for a backoff.
	BackedOff int
	// KeyKnown is true if the server has recently answered this box for the key.
	KeyKnown bool
	// Expected is the expected time to the answer, from the server's typical latency and its
	// queue; 0 before its first answer.
	Expected time.Duration

	set    *Set
	server *server
	key    uint64
	start  time.Time
	// bound is true if the request may not run in all regions.
	bound bool
	// trial is true if the request probes whether a server accepts requests again after its
	// backoff.
	trial bool
}

// lease assigns a request to the candidate's server.
func (s *Set) lease(c *candidate, place int, key uint64, now time.Time) *Lease {
	v := c.server
	v.load.own++
	if v.keys == nil {
		v.keys = &keyTable{}
	}
	v.keys.sent(key, now)
	if c.cold {
		v.coldSends = append(v.coldSends, now)
	}
	if c.slow {
		// A slow server gets one request after each ejection, to see whether it has recovered.
		v.health.ejectedUntil = now.Add(s.Policy.SlowRest)
		s.markSuspected(v, "slow")
	}
	l := &Lease{
		Server: v.Server, Remote: v.region != s.Region, Cold: c.cold, Rank: place, InFlight: c.inFlight,
		KeyKnown: v.keys.has(key), set: s, server: v, key: key, start: now,
	}
	if v.backoff.unproven {
		v.backoff.trial, l.trial = true, true
	}
	if !v.load.at.IsZero() {
		l.LoadAge = now.Sub(v.load.at)
	}
	l.Expected = time.Duration(float64(v.health.latency) * max(1, (c.inFlight+1)/float64(max(1, v.Slots))))
	return l
}

// Usable reports whether the server may get requests at all. Since the choice it may have left,
// or its zone may have been evacuated. See MaySend.
func (l *Lease) Usable() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.usable()
}

func (l *Lease) usable() bool { return l.server.group != nil && l.set.usable(l.server) }

// Done ends the lease with the result and the load that the server reported, nil if it reported
// none.
func (l *Lease) Done(result Result, load *Load) {
	s, v := l.set, l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if load != nil {
		v.load.update(*load, now)
		s.updateFill(l, load, now)
	}
	v.load.own--
	if l.Metered && result.unsent() {
		s.Release(&l.Server)
	}
	if l.trial {
		v.backoff.trial = false
	}
	ejected := false
	switch result {
	case Answered:
		v.backoff.unproven = v.backoff.unproven && !l.trial
		s.answeredAfterRefusal(v, now)
		v.health.answeredAt = now
		s.zoneAnsweredAt[l.Zone] = now
		v.health.succeeded(&s.Policy, l.workTime(now))
		if l.KeyKnown && l.InFlight < float64(l.Slots) {
			v.speed.addAnswer(&s.Policy, now.Sub(l.start))
		}
		v.keys.answered(l.key)
		s.clearSuspicion(v, now)
	case Shed:
		s.answeredAfterRefusal(v, now)
		v.health.answeredAt = now
		s.zoneAnsweredAt[l.Zone] = now
		if !load.HasRoom() {
			// The server is full, whatever was estimated before.
			v.load.others = max(v.load.others, float64(v.Slots)*s.Policy.RefusedFill)
			v.load.at = now
		}
	case Refused:
		v.refusedAt = now
		ejected = v.health.failed(&s.Policy, now, s.Policy.FailuresToRest)
	case NoPath:
		// The server may be well, so that the ejection does not grow. Other requests may have a
		// path to it where a bound one has none.
		if l.bound {
			v.health.boundEjectedUntil = now.Add(s.Policy.FirstRest)
		} else {
			v.health.ejectedUntil = now.Add(s.Policy.FirstRest)
		}
	case Unreachable:
		ejected = v.health.failed(&s.Policy, now, s.Policy.FailuresToRest)
	case Crashed:
		v.refusedAt = now
		ejected = v.health.failed(&s.Policy, now, 1)
	case Broken:
		ejected = v.health.failed(&s.Policy, now, 1)
	case Abandoned:
		v.health.unfinished(&s.Policy, l.workTime(now))
	case TimedOut:
		v.health.unfinished(&s.Policy, l.workTime(now))
		if now.Sub(v.health.answeredAt) > s.Policy.Silence {
			ejected = v.health.failed(&s.Policy, now, 1)
		}
	case Withdrawn, PathLost:
	case Stale:
		s.markStale(v)
	}
	s.reportFailure(l, result, now)
	if ejected {
		s.markSuspected(v, "ejected")
	}
}

// updateFill adds a server's load to the average fill of its group.
func (s *Set) updateFill(l *Lease, load *Load, now time.Time) {
	g := l.server.group
	switch {
	case g == nil || l.Cold:
	case l.Remote:
		g.fills.far.add(load, now)
	default:
		g.fills.near.add(load, now)
	}
}

// markSuspected records that the server is ejected from now on.
func (s *Set) markSuspected(v *server, state string) {
	v.health.suspected = true
	s.OnChange(v.Server, state)
}

// clearSuspicion ends the ejection of a server that has answered and is no longer slower than
// others.
func (s *Set) clearSuspicion(v *server, now time.Time) {
	if !v.health.suspected || v.group == nil || v.health.slow(&s.Policy, v.group.typicalLatency(now)) {
		return
	}
	v.health.suspected = false
	v.health.ejectedUntil = time.Time{}
	s.OnChange(v.Server, "recovered")
}

// workTime returns how long the server worked on the request, without the estimated time that the
// request waited for a slot.
func (l *Lease) workTime(now time.Time) time.Duration {
	fill := l.InFlight / float64(max(1, l.Slots))
	return time.Duration(float64(now.Sub(l.start)) / max(1, fill))
}
