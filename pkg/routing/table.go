package routing

import (
	"sort"
	"strings"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

// Table finds routes in one configuration. It never changes.
type Table struct {
	Configuration *Configuration
	hosts         map[string][]*Route
	services      map[string]*Service
	keyring       *customer.Keyring
}

// NewTable prepares a configuration for lookups. The error is a *ConfigurationError.
func NewTable(c *Configuration) (*Table, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	keyring, err := customer.NewKeyring(c.Customers)
	if err != nil {
		return nil, &ConfigurationError{Where: "customers", Problem: err.Error()}
	}
	t := &Table{
		keyring:       keyring,
		Configuration: c,
		hosts:         map[string][]*Route{},
		services:      map[string]*Service{},
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for _, r := range c.Routes {
		// A pointer into the list would keep all of it while a request uses the route.
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &r)
	}
	for _, routes := range t.hosts {
		// The longest prefix comes first.
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	return t, nil
}

// Find returns the host's route with the longest matching path prefix, or nil. The host may
// include a port.
func (t *Table) Find(host, path string) *Route {
	for _, r := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HostRoutes returns the routes of a host.
func (t *Table) HostRoutes(host string) []*Route { return t.hosts[hostName(host)] }

// HasCustomers reports whether requests need a key, unless their route allows anonymous
// requests.
func (t *Table) HasCustomers() bool { return len(t.Configuration.Customers) > 0 }

// Owner returns the customer to whom the key belongs, or nil.
func (t *Table) Owner(key customer.Digest) *customer.Customer { return t.keyring.Owner(key) }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

func hostName(host string) string {
	if cut := strings.LastIndexByte(host, ':'); cut >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:cut]
	}
	return strings.ToLower(host)
}
