package routing

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/customer"
)

func route(host, prefix string, backends ...Backend) Route {
	return Route{Name: host + prefix, Host: host, PathPrefix: prefix, Kind: Safe, Backends: backends}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	shop := Backend{Service: "shop", Weight: 1}
	table, err := NewTable(&Configuration{
		Version: 1, Services: []Service{{Name: "shop"}},
		Routes: []Route{route("a.example", "/x/", shop), route("a.example", "/x/y/", shop), route("b.example", "/", shop)},
	})
	is.NoErr(err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "a.example/x/"},
		{"a.example", "/x/y/1", "a.example/x/y/"},
		{"A.Example:8080", "/x/yy", "a.example/x/"},
		{"b.example", "/x/y/1", "b.example/"},
		{"a.example", "/y/", ""},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		found := table.Find(c.host, c.path)
		if c.want == "" {
			is.Equal(found, nil)
			continue
		}
		is.Equal(found.Name, c.want)
	}
}

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	is := is.New(t)
	services := []Service{{Name: "shop"}}
	shop := Backend{Service: "shop", Weight: 1}
	good := route("a.example", "/", shop)
	bad := func(change func(r *Route)) Configuration {
		r := good
		change(&r)
		return Configuration{Version: 1, Services: services, Routes: []Route{r}}
	}
	shared := []customer.Digest{customer.DigestOf("key")}
	with := func(list ...customer.Customer) Configuration {
		return Configuration{Version: 1, Services: services, Routes: []Route{good}, Customers: list}
	}
	for _, c := range []Configuration{
		{Services: services, Routes: []Route{good}},
		bad(func(r *Route) { r.Host = "" }),
		bad(func(r *Route) { r.PathPrefix = "x/" }),
		bad(func(r *Route) { r.PathPrefix = "/x" }),
		bad(func(r *Route) { r.Kind = "odd" }),
		bad(func(r *Route) { r.Backends = nil }),
		bad(func(r *Route) { r.Backends = []Backend{{Service: "desk", Weight: 1}} }),
		bad(func(r *Route) { r.Backends = []Backend{{Service: "shop"}} }),
		bad(func(r *Route) { r.Backends = []Backend{{Service: "shop", Weight: -1}} }),
		with(customer.Customer{}),
		with(customer.Customer{Name: "a"}, customer.Customer{Name: "a"}),
		with(customer.Customer{Name: "a", Rate: -1}),
		with(customer.Customer{Name: "a", Burst: math.Inf(1)}),
		with(customer.Customer{Name: "a", Rate: math.NaN()}),
		with(customer.Customer{Name: "a", Keys: shared}, customer.Customer{Name: "b", Keys: shared}),
	} {
		_, err := NewTable(&c)
		var typed *ConfigurationError
		is.True(err != nil)
		is.True(strings.HasPrefix(err.Error(), "configuration: "))
		is.True(asConfigurationError(err, &typed))
	}
}

func asConfigurationError(err error, target **ConfigurationError) bool {
	e, ok := err.(*ConfigurationError)
	*target = e
	return ok
}

// TestSplitterMeetsWeights checks that, after any number of requests, the count of each backend
// differs from its share by at most the number of backends.
func TestSplitterMeetsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "backends")
		r := route("a.example", "/")
		total := 0.0
		for i := range n {
			w := float64(rapid.IntRange(1, 100).Draw(t, "weight"))
			r.Backends = append(r.Backends, Backend{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		s := NewSplitter()
		counts := make([]float64, n)
		requests := rapid.IntRange(1, 500).Draw(t, "requests")
		for range requests {
			counts[s.Pick(&r)]++
		}
		for i, b := range r.Backends {
			want := float64(requests) * b.Weight / total
			if math.Abs(counts[i]-want) > float64(n) {
				t.Fatalf("backend %d received %v of %d requests; its share is %v", i, counts[i], requests, want)
			}
		}
	})
}

// TestSplitterMeetsChangedWeights checks that shares are met at once after weights have changed,
// whatever the scale of the weights before and after.
func TestSplitterMeetsChangedWeights(t *testing.T) {
	s := NewSplitter()
	pick := func(requests int, weights ...float64) []float64 {
		r := route("a.example", "/")
		for i, w := range weights {
			r.Backends = append(r.Backends, Backend{Service: string(rune('a' + i)), Weight: w})
		}
		counts := make([]float64, len(weights))
		for range requests {
			counts[s.Pick(&r)]++
		}
		return counts
	}
	pick(3, 900, 500, 100)
	counts := pick(20, 0.1, 0.1, 0.8)
	for i, want := range []float64{2, 2, 16} {
		if math.Abs(counts[i]-want) > float64(len(counts)) {
			t.Errorf("backend %d received %v of 20 requests; its share is %v", i, counts[i], want)
		}
	}
}

func TestRegionsOfARoute(t *testing.T) {
	is := is.New(t)
	r := Route{}
	is.True(r.RegionAllowed("east"))
	r.AllowedRegions = []string{"west"}
	is.True(!r.RegionAllowed("east"))
	is.True(r.RegionAllowed("west"))
}
