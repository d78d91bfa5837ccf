package backend

import "github.com/stoneworks/stoneworks/pkg/rollout"

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
func (s *Set) versionOf(r *Request) versionChoice {
	rule, isMoved := s.versions[r.Service]
	if !isMoved {
		return versionChoice{}
	}
	s.versionDraws++
	return versionChoice{rule: &rule, isNew: !rule.Barred && fraction(mix(s.versionDraws)) < rule.Share}
}

// allows reports whether the request may go to the server.
func (c versionChoice) allows(v *server) bool {
	return c.rule == nil || (v.Version == c.rule.Version) == c.isNew
}

// other returns the choice for where no such server is left, and reports whether there is one: what is
// found to be bad gets nothing.
func (c versionChoice) other() (versionChoice, bool) {
	if c.rule == nil || c.rule.Barred {
		return c, false
	}
	c.isNew = !c.isNew
	return c, true
}
