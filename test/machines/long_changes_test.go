package machines

import (
	"fmt"
	"testing"
	"time"
)

// A configuration of some 600 kB, and how often it changes while the store is silent.
const (
	longRoutes    = 2500
	silentChanges = 40
)

// configureLong writes a long configuration of the standard routes and more.
func configureLong(f *Fleet, version int, more ...Route) {
	routes := append([]Route{read, buy, upload}, more...)
	for i := range longRoutes {
		routes = append(routes, Route{Prefix: fmt.Sprintf("/many-%04d/", i), Kind: "safe", Service: "shop", TimeoutMS: 1000 + version})
	}
	f.Configure(version, routes...)
}

// TestLongHistoryIsListedAnew guards against boxes that learn of no configuration any more: while the
// store was silent a long one changed so often that the changes since are a longer answer than a box
// reads, which it refused and asked for again.
func TestLongHistoryIsListedAnew(t *testing.T) {
	f := newFleet(t, 1, "east-a.1")
	f.Store.SetMode(func(string, string) Mode { return Silent })
	for version := range silentChanges {
		configureLong(f, 2+version)
	}
	configureLong(f, 2+silentChanges, added)
	f.Store.SetMode(nil)
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	eventually(t, "the new route is served", func() bool {
		return c.Do("GET", added.Prefix+"1", fmt.Sprint("long-", time.Now().UnixNano()), "", "").Status == 200
	})
}
