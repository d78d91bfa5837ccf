package model

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

// Fault describes an invalid field of a configuration.
type Fault struct {
	Field   string
	Problem string
	Allowed string
}

// InvalidError lists all faults of an object.
type InvalidError struct {
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s (allowed: %s)", f.Field, f.Problem, f.Allowed))
	}
	return strings.Join(lines, "; ")
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

const namesAllowed = "lower-case letters, digits and '-', at most 63 characters"

// ValidName reports whether s is a valid name of a service or a backend server.
func ValidName(s string) bool {
	return len(s) <= MaxNameLength && namePattern.MatchString(s)
}

// Check returns an *InvalidError with all faults of the service, or nil. knownZone and
// knownRegion report whether an availability zone or a region exists.
func (s *Service) Check(knownZone, knownRegion func(string) bool) error {
	c := checker{}
	if !ValidName(s.Name) {
		c.add("name", fmt.Sprintf("%q", s.Name), namesAllowed)
	}
	s.checkNumbers(&c)
	s.checkBackendServers(&c, knownZone)
	s.checkRegions(&c, knownRegion)
	for i, r := range s.Repeatable {
		if r.Method == "" || !strings.HasPrefix(r.PathPrefix, "/") {
			c.add(fmt.Sprintf("repeatable[%d]", i), "method or path prefix missing", "a method and a prefix that starts with '/'")
		}
	}
	if len(c.faults) > 0 {
		return &InvalidError{Faults: c.faults}
	}
	return nil
}

func (s *Service) checkNumbers(c *checker) {
	if !(s.ShiftCap >= 0 && s.ShiftCap <= 1) {
		c.add("shift_cap", fmt.Sprint(s.ShiftCap), "0 to 1")
	}
	if s.ShiftWindowMS < 0 {
		c.add("shift_window_ms", fmt.Sprint(s.ShiftWindowMS), "0 (the default) or more")
	}
	if s.DefaultDeadlineMS < 0 {
		c.add("default_deadline_ms", fmt.Sprint(s.DefaultDeadlineMS), "0 (the default) or more")
	}
	if len(s.BackendServers) > MaxBackendServers {
		c.add("backend_servers", fmt.Sprint(len(s.BackendServers)), fmt.Sprintf("at most %d", MaxBackendServers))
	}
}

func (s *Service) checkBackendServers(c *checker, knownZone func(string) bool) {
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, b := range s.BackendServers {
		field := fmt.Sprintf("backend_servers[%d]", i)
		if !ValidName(b.Name) {
			c.add(field+".name", fmt.Sprintf("%q", b.Name), namesAllowed)
		}
		if names[b.Name] {
			c.add(field+".name", fmt.Sprintf("%q stands twice", b.Name), "each name once")
		}
		names[b.Name] = true
		if _, err := netip.ParseAddrPort(b.Address); err != nil {
			c.add(field+".address", fmt.Sprintf("%q", b.Address), "IP number and port")
		}
		if addresses[b.Address] {
			c.add(field+".address", fmt.Sprintf("%q stands twice", b.Address), "each address once")
		}
		addresses[b.Address] = true
		if !knownZone(b.Zone) {
			c.add(field+".zone", fmt.Sprintf("%q", b.Zone), "an availability zone of this deployment")
		}
		if b.Slots < 1 || b.Slots > 1<<16 {
			c.add(field+".slots", fmt.Sprint(b.Slots), "1 to 65536")
		}
		if b.Connections < b.Slots {
			c.add(field+".connections", fmt.Sprint(b.Connections), "at least its slots")
		}
	}
}

func (s *Service) checkRegions(c *checker, knownRegion func(string) bool) {
	for i, r := range s.AllowedRegions {
		if !knownRegion(r) {
			c.add(fmt.Sprintf("allowed_regions[%d]", i), fmt.Sprintf("%q", r), "a region of this deployment")
		}
	}
	total := map[string]float64{}
	for i, p := range s.Shifts {
		field := fmt.Sprintf("shifts[%d]", i)
		if !knownRegion(p.FromRegion) || !knownRegion(p.ToRegion) || p.FromRegion == p.ToRegion {
			c.add(field, fmt.Sprintf("%q to %q", p.FromRegion, p.ToRegion), "two regions of this deployment")
		}
		if !(p.Share >= 0 && p.Share <= 1) {
			c.add(field+".share", fmt.Sprint(p.Share), "0 to 1")
		}
		total[p.FromRegion] += p.Share
		if total[p.FromRegion] > 1 {
			c.add(field+".share", "shares of one region sum to more than 1", "at most 1")
		}
	}
}

type checker struct {
	faults []Fault
}

func (c *checker) add(field, problem, allowed string) {
	c.faults = append(c.faults, Fault{Field: field, Problem: problem, Allowed: allowed})
}
