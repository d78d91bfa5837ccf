package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/customer"
	"github.com/stoneworks/stoneworks/test/heap"
)

// TestRequestsKeepNoConfigurations guards against requests that keep the whole configuration in memory
// under which they began, through a pointer to their route or customer: of a long configuration that
// changes often, as many as requests under way have begun under.
func TestRequestsKeepNoConfigurations(t *testing.T) {
	const versions, size = 40, 3000
	is := is.New(t)
	before := heap.Live()
	var routes []*Route
	var customers []*customer.Customer
	for version := range uint64(versions) {
		c := &Configuration{Version: version + 1}
		for i := range size {
			name := fmt.Sprintf("route-%d-of-version-%d", i, version)
			c.Routes = append(c.Routes, Route{Name: name, Host: "shop.example", PathPrefix: "/" + name + "/", Kind: Safe, Backends: []Backend{{Service: "shop", Weight: 1}}, MaxAttempts: 1})
			c.Customers = append(c.Customers, customer.Customer{Name: name, Keys: []customer.Digest{customer.DigestOf(name)}})
		}
		c.Services = []Service{{Name: "shop", HealthPath: "/health", MaxConnections: 9}}
		table, err := NewTable(c)
		is.NoErr(err)
		last := c.Routes[size-1]
		routes = append(routes, table.Find("shop.example", last.PathPrefix))
		customers = append(customers, table.Owner(customer.DigestOf(last.Name)))
	}
	grown := heap.Live() - before
	is.Equal(len(routes), versions)
	is.Equal(customers[versions-1].Name, routes[versions-1].Name)
	t.Logf("%d versions, the heap grew by %d kB", versions, grown>>10)
	is.True(grown < 1<<20)
}
