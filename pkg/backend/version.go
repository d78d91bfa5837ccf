package backend

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// countVersionsEvery is how often the slots of a service's versions are recounted.
const countVersionsEvery = 100 * time.Millisecond

// versionSlots holds the slots of a service's servers that take their part of the requests, for a
// version and for all others: of this region at index 1, and of all other regions at index 0.
type versionSlots struct {
	ofVersion, others [2]float64
	// count is the number of all servers of the version.
	count int
	at    time.Time
}

// versionShare returns the share of requests for a version, of those whose key has its home in
// this region if isNear is true and otherwise of all others. It is bounded by the ratio of the
// version's slots there to those of the others: its servers start one by one, and the first ones
// would otherwise get the load meant for all, or draw requests from a region that has none of
// them.
func (s *Set) versionShare(g *group, rule *rollout.Rule, isNear bool, now time.Time) float64 {
	if rule.Share >= 1 {
		// The servers of other versions stop.
		return 1
	}
	if now.Sub(g.versions.at) >= countVersionsEvery {
		s.countVersions(g, rule.Version, now)
	}
	side := sideOf(isNear)
	ofVersion, others := g.versions.ofVersion[side], g.versions.others[side]
	if ofVersion >= others {
		return rule.Share
	}
	return min(rule.Share, ofVersion/others)
}

func (s *Set) countVersions(g *group, version string, now time.Time) {
	v := versionSlots{at: now}
	for _, server := range g.servers {
		side := sideOf(server.region == s.Region)
		if server.Version == version {
			v.count++
		}
		switch {
		case !s.usable(server) || !s.carries(server, now):
		case server.Version == version:
			v.ofVersion[side] += float64(server.Slots)
		default:
			v.others[side] += float64(server.Slots)
		}
	}
	g.versions = v
}

// sideOf returns the index into versionSlots.
func sideOf(isNear bool) int {
	if isNear {
		return 1
	}
	return 0
}

// VersionServers returns the number of servers of the version that the service is being moved to, as
// of the last request for it.
func (s *Set) VersionServers(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.services[service]; g != nil {
		return g.versions.count
	}
	return 0
}

// SetVersions sets which services are being moved to a version of their servers.
func (s *Set) SetVersions(rules map[string]rollout.Rule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = rules
}

// versionChoice is which of a service's servers a request may go to, by their version.
type versionChoice struct {
	rule *rollout.Rule
	// isVersion is true for servers of the rule's version, and false for the others.
	isVersion bool
}

// versionOf decides which servers the request goes to. isNear is true if its key has its home in
// this region.
func (s *Set) versionOf(g *group, r *Request, isNear bool, now time.Time) versionChoice {
	rule, isMoved := s.versions[r.Service]
	if !isMoved {
		return versionChoice{}
	}
	return versionChoice{rule: &rule, isVersion: !rule.Excluded && g.draw.Take(r.Route, r.Key, s.versionShare(g, &rule, isNear, now))}
}

// allows reports whether the request may go to the server.
func (c versionChoice) allows(v *server) bool {
	return c.rule == nil || (v.Version == c.rule.Version) == c.isVersion
}

// mayChange reports whether the request may go to the other versions while servers of the chosen
// one are left elsewhere. Once the service has moved, the others stop.
func (c versionChoice) mayChange() bool {
	return c.rule != nil && !c.rule.Excluded && c.rule.Share < 1
}

// other returns the choice for a request that has no server left in the first one, and reports
// whether there is one. A version that was found bad gets no requests.
func (c versionChoice) other() (versionChoice, bool) {
	if c.rule == nil || c.rule.Excluded {
		return c, false
	}
	c.isVersion = !c.isVersion
	return c, true
}
