package backend

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// countVersionsEvery is how often the slots of a service's versions are counted anew.
const countVersionsEvery = 100 * time.Millisecond

// versionSlots are the slots of a service's servers that may get requests and are not cold, of a version and of
// the others.
type versionSlots struct {
	fresh, others float64
	at            time.Time
}

// freshShare bounds the share of requests for a version by its slots against those of the others: its servers
// start one after the other, and the first ones would get what is meant for all.
func (s *Set) freshShare(g *group, rule *rollout.Rule, now time.Time) float64 {
	if rule.Share >= 1 {
		// The others stop.
		return 1
	}
	v := &g.versions
	if now.Sub(v.at) >= countVersionsEvery {
		*v = versionSlots{at: now}
		for _, server := range g.servers {
			switch {
			case !s.usable(server) || now.Before(server.coldUntil):
			case server.Version == rule.Version:
				v.fresh += float64(server.Slots)
			default:
				v.others += float64(server.Slots)
			}
		}
	}
	if v.fresh >= v.others {
		return rule.Share
	}
	return min(rule.Share, v.fresh/v.others)
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
	// isNew: servers of the new version, else the others.
	isNew bool
}

// versionOf decides which servers the request goes to. It is drawn for each request and not for each key:
// by the time that all requests move, servers of the new version know most keys, and all kinds of requests
// have tried it.
func (s *Set) versionOf(g *group, r *Request, now time.Time) versionChoice {
	rule, isMoved := s.versions[r.Service]
	if !isMoved {
		return versionChoice{}
	}
	s.versionDraws++
	return versionChoice{rule: &rule, isNew: !rule.Excluded && fraction(mix(s.versionDraws)) < s.freshShare(g, &rule, now)}
}

// allows reports whether the request may go to the server.
func (c versionChoice) allows(v *server) bool {
	return c.rule == nil || (v.Version == c.rule.Version) == c.isNew
}

// other returns the choice for where no such server is left, and reports whether there is one: what is
// found to be bad gets nothing.
func (c versionChoice) other() (versionChoice, bool) {
	if c.rule == nil || c.rule.Excluded {
		return c, false
	}
	c.isNew = !c.isNew
	return c, true
}
