package machines

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
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
