package machines

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/backend"
)

// TestEntryOfAnotherWriterTakesItsServerOut checks that a malformed entry, as another writer of the
// store may leave it, gets no requests, also if it replaces a server's valid one. The other servers
// are still used, and the server is used again once its valid entry is back.
func TestEntryOfAnotherWriterTakesItsServerOut(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, "east-a.1", "east-b.1")
	out := f.Servers["east-a.1"]
	serve := func(name string, count int) {
		for i := range count {
			c := &Client{Address: f.Boxes[i%2].Clients}
			is.Equal(c.Do("GET", fmt.Sprintf("/read/%s/%d", name, i), fmt.Sprint(name, i), "", "").Status, 200)
			c.Close()
		}
	}
	gone := func(id string) func() bool {
		return func() bool {
			for _, b := range f.Boxes {
				for _, v := range b.Set.List() {
					if v.ID == id {
						return false
					}
				}
			}
			return true
		}
	}
	for i, spec := range []any{
		"text", 7, nil, map[string]any{"service": "shop", "address": out.Address, "zone": "east-a", "slots": 4, "state": "tired", "version": "v1", "call-seq": 1, "cold-remaining-ms": 0},
		map[string]any{"service": "shop", "address": out.Address, "zone": "nowhere", "slots": 4, "state": "ready", "version": "v1", "call-seq": 1, "cold-remaining-ms": 0},
	} {
		f.Store.Put("servers", "foreign", spec)
		f.Store.Put("servers", out.ID, spec)
		eventually(t, "the server is removed", gone(out.ID))
		before := out.Arrivals()
		serve(fmt.Sprint("out", i), 20)
		is.Equal(out.Arrivals(), before)
		f.PutServer(out, "shop", "east-a", "ready", 0)
		eventually(t, "the server is back", func() bool { return !gone(out.ID)() })
	}
	eventually(t, "the server gets requests again", func() bool {
		before := out.Arrivals()
		serve("back", 20)
		return out.Arrivals() > before
	})
}

// oddEntry is an entry of another writer's with a field replaced by a value, or added.
func oddEntry(address, field, value string) string {
	fields := map[string]string{
		"service": `"shop"`, "address": strconv.Quote(address), "zone": `"east-a"`, "version": `"v1"`, "slots": "4", "state": `"ready"`,
		"cold-remaining-ms": "0", "call-seq": "1",
	}
	fields[field] = value
	var list []string
	for name, value := range fields {
		list = append(list, fmt.Sprintf("%q:%s", name, value))
	}
	return "{" + strings.Join(list, ",") + "}"
}

// TestOddEntryDoesNotHideOthers checks that boxes go on following the list of servers beside one entry
// that is nested very deep, or holds a number or a port out of range, and that a box which starts later
// reads the list as well: from the store, and from another box while it cannot reach the store.
func TestOddEntryDoesNotHideOthers(t *testing.T) {
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	for name, odd := range map[string]struct{ field, value string }{
		"nested 15,000 deep":      {"extra", nested(15_000)},
		"nested 9,997 deep":       {"extra", nested(9_997)},
		"a field nested so deep":  {"slots", nested(15_000)},
		"slots 2^62":              {"slots", "4611686018427387904"},
		"slots 2^63-1":            {"slots", "9223372036854775807"},
		"slots out of range":      {"slots", "1e400"},
		"port 0":                  {"address", `"127.0.0.1:0"`},
		"port out of range":       {"address", `"127.0.0.1:70000"`},
		"cold for very long":      {"cold-remaining-ms", "1e300"},
		"sequence out of range":   {"call-seq", "1e30"},
		"start out of range":      {"born", "9223372036854775807"},
		"a text of 70,000 bytes":  {"version", strconv.Quote(strings.Repeat("v", 70_000))},
		"a state of 70,000 bytes": {"state", strconv.Quote(strings.Repeat("s", 70_000))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleetIn(t, func(int) string { return "east-a" }, 2, "east-a.1", "east-a.2")
			f.Store.PutText("servers", "odd", oddEntry("127.0.0.1:9", odd.field, odd.value))
			f.Store.Delete("servers", "east-a.1")
			_, err := f.AddServer("east-a.3", "shop", "east-a", 4, 20*time.Millisecond)
			is.NoErr(err)
			knows := func(b *Box, id string) bool {
				return slices.ContainsFunc(b.Set.List(), func(v backend.Server) bool { return v.ID == id })
			}
			eventually(t, "the boxes follow the list", func() bool {
				return !slices.ContainsFunc(f.Boxes, func(b *Box) bool { return knows(b, "east-a.1") || !knows(b, "east-a.3") })
			})
			last := fmt.Sprintf("%s.%d", f.network, 3)
			f.Store.SetMode(func(ip, _ string) Mode {
				if ip == last {
					return Silent
				}
				return Serving
			})
			third, err := f.AddBox("east-a")
			is.NoErr(err)
			eventually(t, "the third box has the list", func() bool { return knows(third, "east-a.3") && !knows(third, "east-a.1") })
			f.Store.SetMode(nil)
			fourth, err := f.AddBox("east-a")
			is.NoErr(err)
			eventually(t, "the fourth box has the list", func() bool { return knows(fourth, "east-a.3") && !knows(fourth, "east-a.1") })
			for i, b := range f.Boxes {
				c := &Client{Address: b.Clients}
				defer c.Close()
				for j := range 10 {
					a := c.Do("GET", fmt.Sprintf("/read/%d", j), fmt.Sprint(i, "-", j), "", "")
					is.NoErr(a.Problem)
					is.Equal(a.Status, 200)
				}
			}
		})
	}
}
