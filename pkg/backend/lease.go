package backend

import "time"

// Lease is one request's use of one server. Done must be called once.
type Lease struct {
	Server
	// Remote is true if the server is in another region than the box.
	Remote bool
	// Cold is true if the server was cold.
	Cold bool
	// Rank is the server's place in the order in which the key prefers
	// servers, from 0, its home.
	Rank int
	// InFlight is how many requests the server held, as far as was known.
	InFlight float64
	// LoadAge is how old the server's last word on its load was; 0 if it has
	// said none.
	LoadAge time.Duration
	// Metered is true if the server names a limit, of which the request has taken its part,
	// and Denied is how many servers were passed over whose limits leave no room.
	Metered bool
	Denied  int
	// BackedOff is how many servers were passed over that have asked for rest.
	BackedOff int
	// KeyKnown is true if the server has lately answered this box for the key.
	KeyKnown bool
	// Expected is how long the server was expected to take, from its typical
	// time and its queue; 0 before its first answer.
	Expected time.Duration

	set    *Set
	server *server
	key    uint64
	start  time.Time
	// trial: it finds out whether a server takes requests again that has asked for rest.
	trial bool
}

// lease has a server take a request.
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
		// It gets one request after each rest, to see whether it has recovered.
		v.health.ejectedUntil = now.Add(s.Policy.SlowRest)
		s.markSuspected(v, "slow")
	}
	l := &Lease{
		Server: v.Server, Remote: v.region != s.Region, Cold: c.cold, Rank: place, InFlight: c.busy,
		KeyKnown: v.keys.has(key), set: s, server: v, key: key, start: now,
	}
	if v.backoff.unproven {
		v.backoff.trial, l.trial = true, true
	}
	if !v.load.at.IsZero() {
		l.LoadAge = now.Sub(v.load.at)
	}
	l.Expected = time.Duration(float64(v.health.latency) * max(1, (c.busy+1)/float64(max(1, v.Slots))))
	return l
}

// Usable reports whether the server may get requests at all: since it was chosen it may have left,
// or its zone may have been evacuated. See Wanted.
func (l *Lease) Usable() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.usable()
}

func (l *Lease) usable() bool { return l.server.group != nil && l.set.usable(l.server) }

// Done ends the lease with the result and with what the server said of its
// load, nil if it said nothing.
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
	rests := false
	switch result {
	case Answered:
		v.backoff.unproven = v.backoff.unproven && !l.trial
		s.answeredAfterRefusal(v, now)
		v.health.answeredAt = now
		s.zoneHeard[l.Zone] = now
		v.health.succeeded(&s.Policy, l.workTime(now))
		if l.KeyKnown && l.InFlight < float64(l.Slots) {
			v.speed.took(&s.Policy, now.Sub(l.start))
		}
		v.keys.answered(l.key)
		s.clearSuspicion(v, now)
	case Shed:
		s.answeredAfterRefusal(v, now)
		v.health.answeredAt = now
		s.zoneHeard[l.Zone] = now
		if !load.HasRoom() {
			// It is full, whatever was believed before.
			v.load.others = max(v.load.others, float64(v.Slots)*s.Policy.RefusedFill)
			v.load.at = now
		}
	case Refused:
		v.refused = now
		rests = v.health.failed(&s.Policy, now, s.Policy.FailuresToRest)
	case Unreachable:
		rests = v.health.failed(&s.Policy, now, s.Policy.FailuresToRest)
	case Crashed:
		v.refused = now
		rests = v.health.failed(&s.Policy, now, 1)
	case Broken:
		rests = v.health.failed(&s.Policy, now, 1)
	case Abandoned:
		v.health.unfinished(&s.Policy, l.workTime(now))
	case TimedOut:
		v.health.unfinished(&s.Policy, l.workTime(now))
		if now.Sub(v.health.answeredAt) > s.Policy.Silence {
			rests = v.health.failed(&s.Policy, now, 1)
		}
	case Withdrawn:
	case Stale:
		s.markStale(v)
	}
	s.reportFailure(l, result, now)
	if rests {
		s.markSuspected(v, "resting")
	}
}

// updateFill takes in a server's load for the average of its group.
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

// markSuspected tells that a server rests from now on.
func (s *Set) markSuspected(v *server, what string) {
	v.health.suspected = true
	s.OnChange(v.Server, what)
}

// clearSuspicion ends the rest of a server that has answered and is as good as others
// again, and tells of it.
func (s *Set) clearSuspicion(v *server, now time.Time) {
	if !v.health.suspected || v.group == nil || v.health.slow(&s.Policy, v.group.typicalLatency(now)) {
		return
	}
	v.health.suspected = false
	v.health.ejectedUntil = time.Time{}
	s.OnChange(v.Server, "recovered")
}

// workTime is how long the server took, without the time for which the
// request must have waited for a slot.
func (l *Lease) workTime(now time.Time) time.Duration {
	fill := l.InFlight / float64(max(1, l.Slots))
	return time.Duration(float64(now.Sub(l.start)) / max(1, fill))
}
