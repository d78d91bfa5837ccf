// Package model holds the plain data that operators own. It has no behaviour
// besides checking and comparing itself, so that every other package may use it.
package model

import (
	"strings"
	"time"
)

// ================================================================
// Defaults and limits, applied where an operator leaves a field empty.
// ================================================================

const (
	// DefaultShiftWindow is the window of a shift cap that names none.
	DefaultShiftWindow = 10 * time.Second
	// DefaultDeadline bounds a request for which neither the caller nor the
	// operator named a deadline.
	DefaultDeadline = 30 * time.Second
	// DefaultShiftCap is the share of traffic that may change region in one
	// window if the operator set none.
	DefaultShiftCap = 0.1
	// MaxNameLength bounds the names of services and backend servers.
	MaxNameLength = 63
	// MaxBackendServers bounds one service, so that it fits one platform object.
	MaxBackendServers = 4000
)

// ================================================================
// Data
// ================================================================

// Service is one service as its operator set it.
type Service struct {
	Name           string           `json:"name"`
	BackendServers []BackendServer  `json:"backend_servers"`
	Repeatable     []RepeatableRule `json:"repeatable,omitempty"`
	// ShiftCap is the largest share of traffic, 0 to 1, that may change
	// region within one ShiftWindowMS.
	ShiftCap       float64        `json:"shift_cap"`
	ShiftWindowMS  int64          `json:"shift_window_ms"`
	AllowedRegions []string       `json:"allowed_regions,omitempty"`
	Shifts         []PlannedShift `json:"shifts,omitempty"`
	// CacheKeyHeader names the request header whose value keys the backend
	// servers' caches; empty means that requests have no cache key.
	CacheKeyHeader    string `json:"cache_key_header,omitempty"`
	DefaultDeadlineMS int64  `json:"default_deadline_ms"`
}

// BackendServer answers requests of one service.
type BackendServer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many requests it may work on at once.
	Slots int `json:"slots"`
	// Connections is how many connections it accepts.
	Connections int `json:"connections"`
	// Leaving servers get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// RepeatableRule marks requests that may run more than once.
type RepeatableRule struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// PlannedShift asks that Share of FromRegion's clients be served by ToRegion.
type PlannedShift struct {
	FromRegion string  `json:"from_region"`
	ToRegion   string  `json:"to_region"`
	Share      float64 `json:"share"`
}

// ================================================================
// Accessors
// ================================================================

// DefaultDeadline returns the deadline of a request that names none.
func (s *Service) DefaultDeadline() time.Duration {
	if s.DefaultDeadlineMS <= 0 {
		return DefaultDeadline
	}
	return time.Duration(s.DefaultDeadlineMS) * time.Millisecond
}

// MayRepeat reports whether a request may run more than once. GET and HEAD
// always may; anything else only if a rule of the operator says so.
func (s *Service) MayRepeat(method, path string) bool {
	if method == "GET" || method == "HEAD" {
		return true
	}
	for _, r := range s.Repeatable {
		if r.Method == method && strings.HasPrefix(path, r.PathPrefix) {
			return true
		}
	}
	return false
}

// RegionAllowed reports whether region may serve this service.
func (s *Service) RegionAllowed(region string) bool {
	if len(s.AllowedRegions) == 0 {
		return true
	}
	for _, r := range s.AllowedRegions {
		if r == region {
			return true
		}
	}
	return false
}
