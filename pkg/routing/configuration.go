// Package routing holds the operators' configuration as a whole and finds the route of a request
// in it. It does no input or output. A Table is built once for each configuration and never
// changes, so a request sees one configuration from start to end.
package routing

import (
	"fmt"
	"math"
	"time"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

// Kind determines how a failed request may be handled.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Upload requests have large bodies and run at most once.
	Upload Kind = "upload"
)

// Configuration is everything that operators configure, at one version.
type Configuration struct {
	// Version only increases; 0 means that there is no configuration.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Customers are those whose requests are served. If there are none, requests need no key and
	// are not limited.
	Customers []customer.Customer `json:"customers,omitempty"`
}

// Route sends the requests for one host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string    `json:"path_prefix"`
	Kind       Kind      `json:"kind"`
	Backends   []Backend `json:"backends"`
	// Timeout is the longest time that a request is held; 0 means no limit.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the time within which a response has its full value.
	TargetLatency time.Duration `json:"target_latency"`
	// MaxAttempts bounds the number of backend servers that one request is sent to.
	MaxAttempts int `json:"max_attempts"`
	// Priority is the rank of the requests; 0 is the highest.
	Priority int `json:"priority"`
	// AllowedRegions restricts where requests may run; if empty, all regions are allowed.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// SessionAffinity prefers the same backend server for equal keys.
	SessionAffinity bool `json:"session_affinity,omitempty"`
	// AllowAnonymous accepts requests without a key even if there are customers.
	AllowAnonymous bool `json:"allow_anonymous,omitempty"`
}

// Backend is one service of a route and its weight.
type Backend struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service holds the properties that all backend servers of one service share.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int    `json:"max_connections"`
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration `json:"cold_start"`
	// ColdPerSecond is how many requests per second a cold backend server can handle.
	ColdPerSecond float64 `json:"cold_per_second"`
}

// Limits bounds the size and duration of a client's requests.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// DefaultLimits apply until a configuration sets other limits.
var DefaultLimits = Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     64 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

// ConfigurationError reports why a configuration is invalid.
type ConfigurationError struct {
	// Where names the route, customer or field at fault.
	Where   string
	Problem string
}

// Error implements error.
func (e *ConfigurationError) Error() string {
	return fmt.Sprintf("configuration: %s: %s", e.Where, e.Problem)
}

// Idempotent reports whether the route's requests may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe }

// RegionAllowed reports whether the route's requests may run in the region.
func (r *Route) RegionAllowed(region string) bool {
	return customer.RegionIn(r.AllowedRegions, region)
}

// Check returns a *ConfigurationError for the first problem, or nil.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return &ConfigurationError{Where: "version", Problem: "missing"}
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		services[s.Name] = true
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(services); err != nil {
			return err
		}
	}
	return c.checkCustomers()
}

// checkCustomers checks each customer separately; NewTable checks their keys.
func (c *Configuration) checkCustomers() error {
	names := map[string]bool{}
	for i := range c.Customers {
		m := &c.Customers[i]
		problem := ""
		switch {
		case m.Name == "":
			problem = "the name is missing"
		case names[m.Name]:
			problem = "the name is used by another customer"
		case !isValidLimit(m.Rate):
			problem = fmt.Sprintf("invalid rate %v", m.Rate)
		case !isValidLimit(m.Burst):
			problem = fmt.Sprintf("invalid burst %v", m.Burst)
		}
		if problem != "" {
			return &ConfigurationError{Where: fmt.Sprintf("customer %d %q", i+1, m.Name), Problem: problem}
		}
		names[m.Name] = true
	}
	return nil
}

func isValidLimit(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return &ConfigurationError{Where: r.Name, Problem: "the host is missing"}
	case r.PathPrefix == "" || r.PathPrefix[0] != '/':
		return &ConfigurationError{Where: r.Name, Problem: "the path prefix does not begin with a slash"}
	case r.PathPrefix[len(r.PathPrefix)-1] != '/':
		return &ConfigurationError{Where: r.Name, Problem: "the path prefix does not end with a slash"}
	case len(r.Backends) == 0:
		return &ConfigurationError{Where: r.Name, Problem: "there are no backends"}
	case r.Kind != Safe && r.Kind != Unsafe && r.Kind != Upload:
		return &ConfigurationError{Where: r.Name, Problem: fmt.Sprintf("unknown kind %q", r.Kind)}
	}
	total := 0.0
	for _, b := range r.Backends {
		if !services[b.Service] {
			return &ConfigurationError{Where: r.Name, Problem: fmt.Sprintf("unknown service %q", b.Service)}
		}
		if b.Weight < 0 {
			return &ConfigurationError{Where: r.Name, Problem: "negative weight"}
		}
		total += b.Weight
	}
	if total <= 0 {
		return &ConfigurationError{Where: r.Name, Problem: "the weights add up to zero"}
	}
	return nil
}
