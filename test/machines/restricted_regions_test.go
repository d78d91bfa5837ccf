package machines

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/topology"
)

// restricted is a route whose requests may run in the west only.
var restricted = Route{Prefix: "/west/", Kind: "unsafe", Service: "shop", TimeoutMS: 2000, Regions: []string{"west"}}

// newThreeRegions starts two boxes in each of three regions, and servers in the west.
func newThreeRegions(t *testing.T) *Fleet {
	t.Helper()
	f, err := NewFleet(networkOf(t), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.zones = append(slices.Clone(Zones), topology.Zone{Zone: "north-a", Region: "north"})
	f.Configure(1, read, restricted)
	for i := range 4 {
		if _, err := f.AddServer(fmt.Sprint("west-a.", i), "shop", "west-a", 4, 20*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	for _, zone := range []string{"east-a", "west-a", "north-a", "east-b", "west-a", "north-a"} {
		if _, err := f.AddBox(zone); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all boxes are ready and know each other", func() bool {
		return !slices.ContainsFunc(f.Boxes, func(b *Box) bool { return !b.Node.Ready() || b.Members.Count() < len(f.Boxes) })
	})
	return f
}

// passedOn returns how many connections the boxes passed on that stand in none of the regions.
func passedOn(f *Fleet, except ...string) int64 {
	var sum int64
	for _, b := range f.Boxes {
		if !slices.Contains(except, b.Topology.RegionOf(b.Settings.Zone)) {
			sum += counter(b, "relay.served")
		}
	}
	return sum
}

// sendTo sends requests with the prefix to a box from several clients for a while and returns how
// many were answered.
func sendTo(f *Fleet, box int, method, prefix string, d time.Duration) int64 {
	var answered atomic.Int64
	tr := newTrafficOf(f, 4*len(f.Boxes), 10*time.Millisecond, func(c *Client, i, n int) *Answer {
		c.Address = f.Boxes[box].Clients
		a := c.Do(method, fmt.Sprintf("%s%d", prefix, n), fmt.Sprintf("%s%d-%d", strings.Trim(prefix, "/"), i, n), "", fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", n%40))
		if a.Status == 200 {
			answered.Add(1)
		}
		return a
	})
	time.Sleep(d)
	tr.stopAndCount()
	return answered.Load()
}

// TestRestrictedRequestsPassNoOtherRegion guards against requests that leave their allowed regions
// through a helping box.
func TestRestrictedRequestsPassNoOtherRegion(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  Cut
		// peers is set if the boxes of the west are cut off as well.
		peers bool
		// before is sent before the restricted requests while the links are cut already.
		before string
	}{
		{"cut from the servers, hanging", Hanging, false, ""},
		{"cut from the servers, reset", ResetAll, false, ""},
		{"cut from the region, hanging", Hanging, true, ""},
		{"cut from the region, reset", ResetAll, true, ""},
		{"connections through others are open", Hanging, true, "/read/"},
		{"connections through others are open, one box cut", RefusesNew, false, "/read/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newThreeRegions(t)
			isCut := func(address string) bool {
				host, _, _ := strings.Cut(address, ":")
				return strings.HasSuffix(host, serversHost) || c.peers && (host == f.Boxes[1].IP || host == f.Boxes[4].IP)
			}
			f.Boxes[0].CutFromServers(c.cut, isCut)
			if c.before != "" {
				is.True(sendTo(f, 0, "GET", c.before, 2*time.Second) > 0)
				is.True(passedOn(f, "west") > 0)
			}
			before := passedOn(f, "west")
			answered := sendTo(f, 0, "POST", "/west/", 3*time.Second)
			is.Equal(passedOn(f, "west"), before)
			is.True(c.peers || answered > 0)
		})
	}
}

// TestBoundRequestsWithoutAPathRestNoServer guards against servers that get no requests at all, since a
// request that only boxes of their region may pass on has found none.
func TestBoundRequestsWithoutAPathRestNoServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newThreeRegions(t)
	f.Boxes[0].CutFromServers(Hanging, func(address string) bool {
		host, _, _ := strings.Cut(address, ":")
		return strings.HasSuffix(host, serversHost) || host == f.Boxes[1].IP || host == f.Boxes[4].IP
	})
	tries := &firstTries{served: map[int]int{}, failed: map[int]int{}, problems: map[string]int{}}
	tr := newTrafficOf(f, 16, 20*time.Millisecond, func(c *Client, i, n int) *Answer {
		c.Address = f.Boxes[0].Clients
		method, prefix := "GET", "/read/"
		if i%2 == 1 {
			method, prefix = "POST", "/west/"
		}
		sent := time.Now()
		a := c.Do(method, fmt.Sprint(prefix, n), fmt.Sprintf("%s-%d-%d", strings.Trim(prefix, "/"), i, n), "", fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", n%40))
		if prefix == "/read/" {
			tries.add(0, sent, a)
		}
		return a
	})
	time.Sleep(contactTime)
	tries.countFrom(time.Now())
	time.Sleep(4 * time.Second)
	tr.stopAndCount()
	served, failed := tries.served[0], tries.failed[0]
	t.Logf("%d served, %d not: %v", served, failed, tries.problems)
	is.True(served > 0)
	is.True(failed <= 10+(served+failed)/50)
}
