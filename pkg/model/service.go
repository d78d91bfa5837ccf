// Package model holds the configuration of services as operators set it. It is plain data
// with validation and accessors only, so that every other package may use it.
package model

import (
	"strings"
	"time"
)

// ================================================================
// Defaults and limits, applied where an operator leaves a field empty.
// ================================================================

const (
	// DefaultShiftWindow is the window of a shift cap if the operator set none.
	DefaultShiftWindow = 10 * time.Second
	// DefaultDeadline is the deadline of a request for which neither the caller nor
	// the operator set one.
	DefaultDeadline = 30 * time.Second
	// DefaultShiftCap is the fraction of the traffic that may change its region in one
	// window if the operator set none.
	DefaultShiftCap = 0.1
	// MaxNameLength is the maximum length of names of services and backend servers.
	MaxNameLength = 63
	// MaxBackendServers is the maximum number of backend servers of a service, so that
	// the service fits into one platform object.
	MaxBackendServers = 4000
)

// ================================================================
// Data
// ================================================================

// Service is the configuration of one service.
type Service struct {
	Name           string           `json:"name"`
	BackendServers []BackendServer  `json:"backend_servers"`
	Repeatable     []RepeatableRule `json:"repeatable,omitempty"`
	// ShiftCap is the largest fraction of the traffic, 0 to 1, that may change its
	// region within ShiftWindowMS.
	ShiftCap       float64        `json:"shift_cap"`
	ShiftWindowMS  int64          `json:"shift_window_ms"`
	AllowedRegions []string       `json:"allowed_regions,omitempty"`
	Shifts         []PlannedShift `json:"shifts,omitempty"`
	// CacheKeyHeader is the name of the request header whose value is the key of the
	// backend servers' caches. If it is empty, requests have no cache key.
	CacheKeyHeader    string `json:"cache_key_header,omitempty"`
	DefaultDeadlineMS int64  `json:"default_deadline_ms"`
}

// BackendServer is a server that answers requests of one service.
type BackendServer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is the number of requests that it may process at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `json:"connections"`
	// Leaving is set on a server that gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// RepeatableRule matches requests that may run more than once.
type RepeatableRule struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// PlannedShift requests that ToRegion serve the fraction Share of FromRegion's clients.
type PlannedShift struct {
	FromRegion string  `json:"from_region"`
	ToRegion   string  `json:"to_region"`
	Share      float64 `json:"share"`
}

// ================================================================
// Accessors
// ================================================================

// DefaultDeadline returns the deadline of a request without one.
func (s *Service) DefaultDeadline() time.Duration {
	if s.DefaultDeadlineMS <= 0 {
		return DefaultDeadline
	}
	return time.Duration(s.DefaultDeadlineMS) * time.Millisecond
}

// MayRepeat reports whether a request may run more than once. GET and HEAD requests
// always may, others only if they match a rule in Repeatable.
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

// RegionAllowed reports whether the region may serve this service.
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
