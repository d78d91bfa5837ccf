package backend

import (
	"slices"
	"strings"
)

// byIncarnation returns the server with that incarnation, or nil if it is unknown.
func (s *Set) byIncarnation(incarnation string) *server {
	id, _, _ := strings.Cut(incarnation, incarnationSeparator)
	v := s.servers[id]
	if v == nil || v.Incarnation() != incarnation {
		return nil
	}
	return v
}

// ReportsStart reports whether the server is known and reports when it started.
func (s *Set) ReportsStart(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.servers[id]
	return v != nil && v.StartedAtMs != 0
}

// HasIncarnation reports whether that incarnation of a server is known; see Server.Incarnation.
func (s *Set) HasIncarnation(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byIncarnation(incarnation) != nil
}

// IsListedAt reports whether that incarnation of a server is listed at the address now.
func (s *Set) IsListedAt(incarnation, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(incarnation)
	return v != nil && v.missingSince.IsZero() && v.Address == address
}

// IsUsableAt reports whether that incarnation of a server may get requests at the address.
func (s *Set) IsUsableAt(incarnation, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(incarnation)
	return v != nil && s.usable(v) && v.Address == address
}

// IsBackedOff reports whether that incarnation of a server has asked this box for a backoff that is
// not over.
func (s *Set) IsBackedOff(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(incarnation)
	return v != nil && v.backoff.blocks(s.Now())
}

// OtherAddresses returns the addresses of up to count servers other than the one at the given
// address, of those that may get requests: first those of its zone, and of these the one that has
// answered last.
func (s *Set) OtherAddresses(address string, count int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	zone := ""
	var others []*server
	for _, v := range s.servers {
		if v.Address == address {
			zone = v.Zone
		}
		if v.Address != address && s.usable(v) && !v.health.ejected(now) {
			others = append(others, v)
		}
	}
	slices.SortFunc(others, func(a, b *server) int {
		if isNear := a.Zone == zone; isNear != (b.Zone == zone) {
			if isNear {
				return -1
			}
			return 1
		}
		return b.health.answeredAt.Compare(a.health.answeredAt)
	})
	var list []string
	for _, v := range others[:min(count, len(others))] {
		list = append(list, v.Address)
	}
	return list
}

// MarkLeaving marks that incarnation of a server as leaving, whatever the list has of it: it gets
// no new requests, and requests that wait to be sent to it go elsewhere. The platform's store may
// be silent, and its list then keeps showing the server as ready.
func (s *Set) MarkLeaving(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(incarnation)
	if v == nil || v.leaving {
		return
	}
	v.leaving = true
	if v.group != nil {
		v.group.changed = true
	}
	s.OnChange(v.Server, "leaving")
}
