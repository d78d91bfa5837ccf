package backend

import (
	"math"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// candidate is a server that may get the request.
type candidate struct {
	*server
	score float64
	// inFlight is the estimated number of requests at the server. It is set by estimateLoad, and
	// only for candidates that may be picked.
	inFlight float64
	cold     bool
	// ejected is true if the server has failed recently and this box has ejected it.
	ejected bool
	// slow is true if the request would probe whether a slow server has recovered.
	slow bool
	// tried is true if the request was already sent to the server. The candidate keeps its place,
	// so that a request that a busy home refuses does not go to a server that is no home of its key.
	tried bool
	// skipped is true if the server's rate limit leaves no room. The candidate keeps its place as
	// well.
	skipped bool
}

// estimateLoad sets inFlight. It runs only for the first few of possibly a thousand candidates,
// since it takes longer than ordering them.
func (c *candidate) estimateLoad(p *policy.Policy, now time.Time) {
	c.inFlight = c.load.inFlight(p, c.Slots, c.health.latency, now)
	if c.ejected {
		c.inFlight += float64(c.Slots) * p.FullFill
	}
}

// lastResort reports whether the server comes after all others because it is cold or ejected.
func (c *candidate) lastResort() bool { return c.cold || c.ejected }

// fill returns the fraction of its slots that the server has taken.
func (c *candidate) fill() float64 { return c.inFlight / float64(max(1, c.Slots)) }

// retryAfter returns how long the server needs to work off its excess over the limit and one more
// request, given the typical latency of servers.
func (c *candidate) retryAfter(limit float64, typical time.Duration) time.Duration {
	latency := c.health.latency
	if latency == 0 {
		latency = typical
	}
	slots := float64(max(1, c.Slots))
	return time.Duration((c.inFlight - limit*slots + 1) * float64(latency) / slots)
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
	near, far := s.candidatesOfVersion(g, r, now)
	if !r.AdmissionAsked {
		s.spill.request(&s.Bounds, now)
	}
	var denied denials
	for {
		best, place, limit := s.pick(near, far, r, denied.count > 0 || s.skippedBackoffs.near > 0, now)
		if best == nil {
			break
		}
		if best.ejected {
			return nil, s.allEjected(r, now, near, far)
		}
		if best.fill() >= limit {
			best.shortages.record(&s.Policy, r.Priority, best.fill(), now)
			return nil, &ChoiceError{Reason: Full, Service: r.Service, HomeFill: best.fill(), FreeSlots: s.freeSlots(g, r, now), RegionFill: s.regionFill(g, best.region, now), RetryAfter: best.retryAfter(limit, g.typicalLatency(now))}
		}
		admission, retryAfter := s.admit(best, r, now)
		if admission == AdmissionUnknown {
			return nil, &ChoiceError{Reason: AdmissionPending, Service: r.Service, Server: best.Server}
		}
		if admission == Denied {
			best.shortages.record(&s.Policy, r.Priority, max(best.fill(), s.Policy.ShortFill), now)
			best.skipped = true
			denied.add(retryAfter)
			if denied.count == maxDenied {
				s.skipLimited(near, r, now)
				s.skipLimited(far, r, now)
			}
			continue
		}
		best.shortages.record(&s.Policy, r.Priority, best.fill(), now)
		l := s.lease(best, place, r.Key, now)
		l.Metered, l.Denied, l.BackedOff = admission == Granted, denied.count, s.skippedBackoffs.count
		l.bound = r.Bound
		return l, nil
	}
	return nil, s.noServer(&denied, r.Service, now)
}

// allEjected returns the error for a request whose candidates are all ejected or skipped, with
// the time until the first ejection ends. It considers the region of the key's home if that has
// any candidate. A client that retries sooner would be refused again.
func (s *Set) allEjected(r *Request, now time.Time, near, far []candidate) *ChoiceError {
	e := &ChoiceError{Reason: Failing, Service: r.Service, RetryAfter: s.skippedBackoffs.retryAfter(now)}
	list := near
	if len(list) == 0 {
		list = far
	}
	for i := range list {
		c := &list[i]
		if in := c.health.ejectedUntilFor(r).Sub(now); c.ejected && !c.tried && (e.RetryAfter == 0 || in < e.RetryAfter) {
			e.RetryAfter = in
		}
	}
	return e
}

// candidatesOfVersion returns the candidates of the version that the request goes to, or of the
// other versions if that has none left where the key has its home and these have any.
func (s *Set) candidatesOfVersion(g *group, r *Request, now time.Time) (near, far []candidate) {
	stays := s.stays(g, r, now)
	version := s.versionOf(g, r, stays, now)
	near, far = s.candidates(g, r, version, stays, now)
	if len(near) > 0 || len(far) > 0 && !version.mayChange() || s.skippedBackoffs.count > 0 {
		return near, far
	}
	other, ok := version.other()
	if !ok {
		return near, far
	}
	hasFar := len(far) > 0
	near, far = s.candidates(g, r, other, stays, now)
	if len(near)+len(far) == 0 && hasFar {
		return s.candidates(g, r, version, stays, now)
	}
	return near, far
}

// stays reports whether the key has its home in this region.
func (s *Set) stays(g *group, r *Request, now time.Time) bool {
	share := s.localShareOf(g, r, now)
	return fraction(mix(r.Key+1)) < g.shareBySize(share, r.LargeBody)
}

// candidates returns the servers of the region in which the key has its home (near), which is this
// one if stays is true, and all others (far). In each list the servers that the key prefers come
// first, in the key's order. Servers that have asked for a backoff are left out and counted in
// s.skippedBackoffs. The lists are valid until the next call.
func (s *Set) candidates(g *group, r *Request, version versionChoice, stays bool, now time.Time) (near, far []candidate) {
	g.compareSpeeds(&s.Policy, now)
	s.skippedBackoffs = skippedBackoffs{}
	near, far, ok := s.shortCandidates(g, r, version, stays, now)
	front := s.frontSize(r)
	if !ok {
		near, far = s.allCandidates(g, r, version, stays, now)
		bestFirst(near, front)
		bestFirst(far, front)
	}
	s.estimateLoads(near, front, now)
	s.estimateLoads(far, front, now)
	if r.LargeBody {
		s.zoneFirst(near, now)
	}
	return near, far
}

// allCandidates returns all servers that may get the request, in no order.
func (s *Set) allCandidates(g *group, r *Request, version versionChoice, stays bool, now time.Time) (near, far []candidate) {
	near, far = s.near[:0], s.far[:0]
	for _, v := range g.servers {
		isNear := (v.region == s.Region) == stays
		if v.backoff.blocks(now) && s.mayTake(v, r, version, now) {
			s.skippedBackoffs.add(v, isNear)
			continue
		}
		c, isCandidate := s.consider(v, g, r, version, now)
		switch {
		case !isCandidate:
		case isNear:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	s.near, s.far = near, far
	return near, far
}

// mayTake reports whether the server is eligible for the request, apart from a backoff and the
// rate of a cold server.
func (s *Set) mayTake(v *server, r *Request, version versionChoice, now time.Time) bool {
	return version.allows(v) && s.usable(v) && r.RegionAllowed(v.region) && !s.isProbed(v, now)
}

// consider returns the server as a candidate, if it may get the request now.
func (s *Set) consider(v *server, g *group, r *Request, version versionChoice, now time.Time) (c candidate, ok bool) {
	if !s.mayTake(v, r, version, now) || v.backoff.blocks(now) {
		return c, false
	}
	c = candidate{
		server: v, score: weightedScore(mix(r.Key^v.hash), v.speed.weight()), slow: v.health.slow(&s.Policy, g.typicalLatency(now)),
		cold: now.Before(v.coldUntil) || s.mayHaveRestarted(v, now), tried: slices.Contains(r.Tried, v.ID),
	}
	if c.cold && !s.maySendToCold(v, now) {
		return c, false
	}
	switch {
	case now.Before(v.health.ejectedUntilFor(r)):
		c.ejected = true
		c.score = math.Inf(-1)
	case c.cold:
		// Cold servers come after all others, in the key's order.
		c.score = -1 / c.score
	}
	return c, true
}

// estimateLoads estimates the load of the first servers of the list.
func (s *Set) estimateLoads(list []candidate, count int, now time.Time) {
	for i := range min(count, len(list)) {
		list[i].estimateLoad(&s.Policy, now)
	}
}

// bestFirst moves the servers that the key prefers to the front, in the key's order. The rest of
// the list, which may be long, stays unsorted.
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

// zoneFirst moves the preferred server of this box's zone to the front, so that the body stays in
// the zone, unless all slots of that server are taken and the first server of the list is less
// loaded.
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
	list[at].estimateLoad(&s.Policy, now)
	if list[at].fill() >= 1 && list[0].fill() < list[at].fill() {
		return
	}
	c := list[at]
	copy(list[1:at+1], list[:at])
	list[0] = c
}

// pick returns the key's home or, if that is full or cold, the first server of the far list if it
// is idle enough to do the work without knowing the key. The limit is the fraction of its slots
// that the server may have taken for this request. A cold home gets requests within its rate if
// no other server may take them: otherwise a service whose servers are all cold would refuse
// every request until they are warm.
//
// With short, rate limits or backoffs exclude servers of the region. Then no more requests leave
// it than a full region may send elsewhere: the traffic of a region whose servers all have limits
// would otherwise move at once.
func (s *Set) pick(near, far []candidate, r *Request, short bool, now time.Time) (best *candidate, place int, limit float64) {
	best, place = s.home(near, r.Key)
	if best != nil {
		limit = best.shortages.limit(&s.Policy, r.Priority, now)
		if best.fill() < limit && !best.lastResort() {
			return best, place, limit
		}
	}
	other, otherPlace := s.home(far, r.Key)
	if best == nil && !short {
		if other != nil {
			limit = other.shortages.limit(&s.Policy, r.Priority, now)
		}
		return other, otherPlace, limit
	}
	if other != nil && !other.lastResort() && other.fill() < s.Policy.IdleFill && s.spill.allow(s.Policy.SpillShare*s.Bounds.MaxShift, &s.Bounds, now) {
		return other, otherPlace, s.Policy.FullFill
	}
	return best, place, limit
}

// home returns the key's home among the servers of the list. For a hot key whose home has no free
// slot it returns the next server if that is less loaded.
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

// firstUntried returns the first server of the list that the request was not sent to and whose
// limit leaves room, and its place.
func firstUntried(list []candidate) (best *candidate, place int) {
	for i := range list {
		if !list[i].tried && !list[i].skipped {
			return &list[i], i
		}
	}
	return nil, 0
}

// typicalEvery is how often the typical latency of a group is recomputed.
const typicalEvery = 100 * time.Millisecond

// typicalLatency returns the median of the servers' average latencies.
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

// freeSlots counts the known free slots of the servers that may get the request.
func (s *Set) freeSlots(g *group, r *Request, now time.Time) int {
	free := 0.0
	for _, v := range g.servers {
		if !s.usable(v) || !r.RegionAllowed(v.region) || now.Before(v.coldUntil) || v.health.ejected(now) {
			continue
		}
		c := candidate{server: v}
		c.estimateLoad(&s.Policy, now)
		free += max(0, float64(c.Slots)-c.inFlight)
	}
	return int(free)
}
