package backend

import (
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// Lease is one request's use of one server. Done must be called once.
type Lease struct {
	Server
	// Remote is true if the server is in another region than the box.
	Remote bool
	// Cold is true if the server was cold.
	Cold bool
	// Home is the server's place in the order in which the key prefers
	// servers, from 0, its home.
	Home int
	// Busy is how many requests the server held, as far as was known.
	Busy float64
	// LoadAge is how old the server's last word on its load was; 0 if it has
	// said none.
	LoadAge time.Duration
	// Known is true if the server has lately answered this box for the key.
	Known bool
	// Expected is how long the server was expected to take, from its typical
	// time and its queue; 0 before its first answer.
	Expected time.Duration

	set    *Set
	server *server
	key    uint64
	start  time.Time
}

// candidate is a server that may get the request.
type candidate struct {
	*server
	score float64
	// busy is set for those that may be picked; see weigh.
	busy float64
	cold bool
	// last: it rests or is cold, and is better than nothing.
	last bool
	// slow: the request would find out whether the server has recovered.
	slow bool
	// tried: the request was already sent to it. It keeps its place, so that
	// what a busy home refuses does not go to a server that is no home.
	tried bool
}

// weigh works out how busy the server is. Of a thousand servers that may get a
// request a handful comes to be weighed: a choice among 1,361 took 96 to 155 us
// where all were, and 58 to 102 us so (BenchmarkChooseAmongMany, four runs in turn
// on a busy machine).
func (c *candidate) weigh(p *policy.Policy, now time.Time) {
	c.busy = c.load.busy(p, now)
	if c.last {
		c.busy += float64(c.Slots) * p.FullFill
	}
}

// fill is how much of its slots the server has taken.
func (c *candidate) fill() float64 { return c.busy / float64(max(1, c.Slots)) }

// roomIn is after what time the server has worked off what makes it full and one more
// request, given how long a typical server takes.
func (c *candidate) roomIn(limit float64, typical time.Duration) time.Duration {
	latency := c.health.latency
	if latency == 0 {
		latency = typical
	}
	slots := float64(max(1, c.Slots))
	return time.Duration((c.busy - limit*slots + 1) * float64(latency) / slots)
}

// Choose picks the server for a request. The error is a *ChoiceError.
func (s *Set) Choose(r *Request) (*Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	g := s.services[r.Service]
	if g == nil {
		return nil, &ChoiceError{Reason: NoServer, Service: r.Service}
	}
	near, far := s.candidates(g, r, now)
	s.spill.request(&s.Terms, now)
	best, place, limit := s.pick(near, far, r, now)
	if best == nil {
		return nil, &ChoiceError{Reason: NoServer, Service: r.Service}
	}
	best.order.met(&s.Policy, r.Priority, best.fill(), now)
	if best.fill() >= limit {
		return nil, &ChoiceError{Reason: Full, Service: r.Service, HomeFill: best.fill(), FreeSlots: s.freeSlots(now, near, far), RoomIn: best.roomIn(limit, g.typicalLatency(now))}
	}
	return s.lease(best, place, r.Key, now), nil
}

// candidates returns the servers of the region in which the key has its home,
// and all others, each with those first that the key prefers and that were not
// tried, in their order. The lists are good until the next call.
func (s *Set) candidates(g *group, r *Request, now time.Time) (near, far []candidate) {
	share := s.localShareOf(g, r, now)
	stays := fraction(mix(r.Key+1)) < g.shareOfKind(share, r.Heavy)
	typical := g.typicalLatency(now)
	g.compareSpeeds(&s.Policy, now)
	near, far = s.near[:0], s.far[:0]
	for _, v := range g.servers {
		if !s.usable(v) || !r.RegionAllowed(v.region) {
			continue
		}
		c := candidate{
			server: v, score: weightedScore(mix(r.Key^v.hash), v.speed.weight()), slow: v.health.slow(&s.Policy, typical),
			cold: now.Before(v.coldUntil), tried: slices.Contains(r.Tried, v.ID),
		}
		if c.cold && !s.mayWarm(v, now) {
			continue
		}
		if v.health.resting(now) || c.cold {
			c.last = true
			c.score = 0
		}
		if (v.region == s.Region) == stays {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	s.near, s.far = near, far
	// A key's home, and the next one for a hot key; those that were tried are
	// passed over.
	front := 2 + len(r.Tried)
	bestFirst(near, front)
	bestFirst(far, front)
	s.weigh(near, front, now)
	s.weigh(far, front, now)
	if r.Heavy {
		s.zoneFirst(near, now)
	}
	return near, far
}

// weigh works out how busy the first servers of the list are.
func (s *Set) weigh(list []candidate, count int, now time.Time) {
	for i := range min(count, len(list)) {
		list[i].weigh(&s.Policy, now)
	}
}

// bestFirst puts so many of the servers that the key prefers at the front, in
// their order. The rest of the list, which may be long, needs none.
func bestFirst(list []candidate, count int) {
	for place := range min(count, len(list)) {
		best := place
		for i := place + 1; i < len(list); i++ {
			if list[i].score > list[best].score {
				best = i
			}
		}
		list[place], list[best] = list[best], list[place]
	}
}

// zoneFirst puts the server of this box's zone that the key prefers before the
// others, so that the body stays in the zone, unless all its slots are taken and
// the region's first one is less loaded.
func (s *Set) zoneFirst(list []candidate, now time.Time) {
	at := -1
	for i := range list {
		if list[i].Zone == s.Zone && list[i].score > 0 && (at < 0 || list[i].score > list[at].score) {
			at = i
		}
	}
	if at < 0 {
		return
	}
	list[at].weigh(&s.Policy, now)
	if list[at].fill() >= 1 && list[0].fill() < list[at].fill() {
		return
	}
	c := list[at]
	copy(list[1:at+1], list[:at])
	list[0] = c
}

// pick takes the key's home, or where that is full, the first server elsewhere
// if it is idle enough to do the work although it does not know the key. The limit is
// how much of its slots the server may have taken for this request.
func (s *Set) pick(near, far []candidate, r *Request, now time.Time) (best *candidate, place int, limit float64) {
	best, place = s.home(near, r.Key)
	if best != nil {
		limit = best.order.limit(&s.Policy, r.Priority, now)
		if best.fill() < limit {
			return best, place, limit
		}
	}
	other, otherPlace := s.home(far, r.Key)
	if best == nil {
		if other != nil {
			limit = other.order.limit(&s.Policy, r.Priority, now)
		}
		return other, otherPlace, limit
	}
	if other != nil && other.fill() < s.Policy.IdleFill && s.spill.allow(s.Policy.SpillShare*s.Terms.MaxShift, &s.Terms, now) {
		return other, otherPlace, s.Policy.FullFill
	}
	return best, place, limit
}

// home returns the key's home among the servers of the list, or for a hot key
// that the home has no free slot for, the next server if that is less loaded.
func (s *Set) home(list []candidate, key uint64) (best *candidate, place int) {
	best, place = firstUntried(list)
	if best == nil || best.fill() < s.Policy.HotFill || !best.keys.hot(&s.Policy, key) {
		return best, place
	}
	second, after := firstUntried(list[place+1:])
	if second != nil && second.fill() < best.fill() {
		return second, place + 1 + after
	}
	return best, place
}

// firstUntried returns the first server of the list that the request was not
// sent to, and its place.
func firstUntried(list []candidate) (best *candidate, place int) {
	for i := range list {
		if !list[i].tried {
			return &list[i], i
		}
	}
	return nil, 0
}

// typicalEvery is how often the typical latency of a group is worked out anew.
const typicalEvery = 100 * time.Millisecond

// typicalLatency is the median of the servers' moving averages.
func (g *group) typicalLatency(now time.Time) time.Duration {
	if now.Sub(g.typicalAt) < typicalEvery {
		return g.typical
	}
	list := make([]time.Duration, 0, len(g.servers))
	for _, v := range g.servers {
		if v.health.latency > 0 {
			list = append(list, v.health.latency)
		}
	}
	g.typical, g.typicalAt = 0, now
	if len(list) > 0 {
		slices.Sort(list)
		g.typical = list[len(list)/2]
	}
	return g.typical
}

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
		v.health.restUntil = now.Add(s.Policy.SlowRest)
		s.suspect(v, "slow")
	}
	l := &Lease{
		Server: v.Server, Remote: v.region != s.Region, Cold: c.cold, Home: place, Busy: c.busy,
		Known: v.keys.has(key), set: s, server: v, key: key, start: now,
	}
	if !v.load.at.IsZero() {
		l.LoadAge = now.Sub(v.load.at)
	}
	l.Expected = time.Duration(float64(v.health.latency) * max(1, (c.busy+1)/float64(max(1, v.Slots))))
	return l
}

// freeSlots counts the slots that the servers have free, as far as is known.
func (s *Set) freeSlots(now time.Time, lists ...[]candidate) int {
	free := 0.0
	for _, list := range lists {
		for i := range list {
			if c := &list[i]; !c.last {
				c.weigh(&s.Policy, now)
				free += max(0, float64(c.Slots)-c.busy)
			}
		}
	}
	return int(free)
}

// Usable reports whether the server may still get the request: since it was
// chosen it may have left, or its zone may have been evacuated.
func (l *Lease) Usable() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.server.group != nil && l.set.usable(l.server)
}

// Done ends the lease with the result and with what the server said of its
// load, nil if it said nothing.
func (l *Lease) Done(result Result, load *Load) {
	s, v := l.set, l.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if load != nil {
		v.load.told(*load, now)
		s.toldFill(l, load, now)
	}
	v.load.own--
	rests := false
	switch result {
	case Answered:
		v.health.heard = now
		s.zoneHeard[l.Zone] = now
		v.health.succeeded(&s.Policy, l.workTime(now))
		if l.Known && l.Busy < float64(l.Slots) {
			v.speed.took(&s.Policy, now.Sub(l.start))
		}
		v.keys.answered(l.key)
		s.clear(v, now)
	case Shed:
		v.health.heard = now
		s.zoneHeard[l.Zone] = now
		if !load.HasRoom() {
			// It is full, whatever was believed before.
			v.load.others = max(v.load.others, float64(v.Slots)*s.Policy.RefusedFill)
			v.load.at = now
		}
	case Unreachable:
		rests = v.health.failed(&s.Policy, now, s.Policy.FailuresToRest)
	case Broken:
		rests = v.health.failed(&s.Policy, now, 1)
	case Abandoned:
		v.health.unfinished(&s.Policy, l.workTime(now))
	case Late:
		v.health.unfinished(&s.Policy, l.workTime(now))
		if now.Sub(v.health.heard) > s.Policy.Silence {
			rests = v.health.failed(&s.Policy, now, 1)
		}
	case Withdrawn:
	case Stale:
		s.dropStale(v)
	}
	s.found(l, result, now)
	if rests {
		s.suspect(v, "resting")
	}
}

// toldFill takes in a server's load for the average of its group.
func (s *Set) toldFill(l *Lease, load *Load, now time.Time) {
	g := l.server.group
	switch {
	case g == nil || l.Cold:
	case l.Remote:
		g.fills.far.told(load, now)
	default:
		g.fills.near.told(load, now)
	}
}

// suspect tells that a server rests from now on.
func (s *Set) suspect(v *server, what string) {
	v.health.suspected = true
	s.Changed(v.Server, what)
}

// clear ends the rest of a server that has answered and is as good as others
// again, and tells of it.
func (s *Set) clear(v *server, now time.Time) {
	if !v.health.suspected || v.group == nil || v.health.slow(&s.Policy, v.group.typicalLatency(now)) {
		return
	}
	v.health.suspected = false
	v.health.restUntil = time.Time{}
	s.Changed(v.Server, "recovered")
}

// workTime is how long the server took, without the time for which the
// request must have waited for a slot.
func (l *Lease) workTime(now time.Time) time.Duration {
	fill := l.Busy / float64(max(1, l.Slots))
	return time.Duration(float64(now.Sub(l.start)) / max(1, fill))
}
