package backend

import "strings"

// byIncarnation returns the server of a life, nil if that is not known.
func (s *Set) byIncarnation(life string) *server {
	id, _, _ := strings.Cut(life, incarnationSeparator)
	v := s.servers[id]
	if v == nil || v.Incarnation() != life {
		return nil
	}
	return v
}

// ReportsStart reports whether the server is known and tells when it started.
func (s *Set) ReportsStart(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servers[id]
	return v != nil && v.StartedAtMs != 0
}

// HasIncarnation reports whether the life of a server is known, see Server.Life.
func (s *Set) HasIncarnation(life string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byIncarnation(life) != nil
}

// IsListedAt reports whether the life of a server is listed at an address now.
func (s *Set) IsListedAt(life, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(life)
	return v != nil && v.missing.IsZero() && v.Address == address
}

// MarkLeaving takes a life of a server to leave, whatever the list says of it: it gets nothing new, and
// what waits to be sent to it goes elsewhere. The platform's store may be silent, and its list
// say that the server is ready, for as long as that lasts.
func (s *Set) MarkLeaving(life string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(life)
	if v == nil || v.leaving {
		return
	}
	v.leaving = true
	if v.group != nil {
		v.group.changed = true
	}
	s.OnChange(v.Server, "leaving")
}
