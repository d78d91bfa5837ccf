package backend

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// countVersionsEvery is how often the slots of a service's versions are recounted.
const countVersionsEvery = 100 * time.Millisecond

// versionSlots holds the slots of a service's servers that may get requests and are not cold, for
// a version and for all others.
type versionSlots struct {
	ofVersion, others float64
	// count is the number of all servers of the version.
	count int
	at    time.Time
}

// versionShare returns the share of requests for a version, bounded by the ratio of its slots to
// those of the others: its servers start one by one, and the first ones would otherwise get the
// load meant for all.
func (s *Set) versionShare(g *group, rule *rollout.Rule, now time.Time) float64 {
	if rule.Share >= 1 {
		// The servers of other versions stop.
		return 1
	}
	v := &g.versions
	if now.Sub(v.at) >= countVersionsEvery {
		*v = versionSlots{at: now}
		for _, server := range g.servers {
			if server.Version == rule.Version {
				v.count++
			}
			switch {
			case !s.usable(server) || now.Before(server.coldUntil):
			case server.Version == rule.Version:
				v.ofVersion += float64(server.Slots)
			default:
				v.others += float64(server.Slots)
			}
		}
	}
	if v.ofVersion >= v.others {
		return rule.Share
	}
	return min(rule.Share, v.ofVersion/v.others)
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

// versionOf decides which servers the request goes to.
func (s *Set) versionOf(g *group, r *Request, now time.Time) versionChoice {
	rule, isMoved := s.versions[r.Service]
	if !isMoved {
		return versionChoice{}
	}
	return versionChoice{rule: &rule, isVersion: !rule.Excluded && g.draw.Take(r.Route, r.Key, s.versionShare(g, &rule, now))}
}

// allows reports whether the request may go to the server.
func (c versionChoice) allows(v *server) bool {
	return c.rule == nil || (v.Version == c.rule.Version) == c.isVersion
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
