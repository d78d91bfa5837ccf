package machines

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/settings"
)

// newContactFleet starts two boxes in each zone, with the contact and drain bounds of the users'
// machines.
func newContactFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := NewFleet(networkOf(t), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.ChangeSettings = func(s *settings.Settings) {
		s.Bounds.Contact = 4 * time.Second
		s.Bounds.Drain = 2500 * time.Millisecond
	}
	f.Configure(1, read)
	for _, id := range []string{"east-a.1", "east-a.2", "west-a.1"} {
		if _, err := f.AddServer(id, "shop", id[:6], 4, time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 2 * len(Zones) {
		if _, err := f.AddBox(Zones[i/2].Zone); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all boxes are ready and know each other", func() bool {
		for _, b := range f.Boxes {
			if !b.Node.Ready() || b.Members.Count() != len(f.Boxes) {
				return false
			}
		}
		return true
	})
	return f
}

// knowsDraining reports whether the box has the server as draining or no longer lists it.
func knowsDraining(b *Box, id string) bool {
	for _, v := range b.Set.List() {
		if v.ID == id {
			return v.Draining
		}
	}
	return true
}

// storePollers waits until there is one store poller in each zone, and returns their IP addresses.
func storePollers(t *testing.T, f *Fleet) map[string]bool {
	t.Helper()
	for range 4 {
		if found := callersOfStore(f); len(found) == len(Zones) {
			return found
		}
	}
	t.Fatal("there is not one store poller in each zone")
	return nil
}

// callersOfStore returns the IP addresses of the boxes that call the store within three seconds.
func callersOfStore(f *Fleet) map[string]bool {
	before := map[string]int{}
	for _, b := range f.Boxes {
		before[b.IP] = f.Store.Calls(b.IP)
	}
	time.Sleep(3 * time.Second)
	found := map[string]bool{}
	for _, b := range f.Boxes {
		if f.Store.Calls(b.IP) > before[b.IP] {
			found[b.IP] = true
		}
	}
	return found
}

// TestBoxAsksItselfWhereAllThatAskAreTurnedAway guards against requests to a draining server for
// longer than the allowed 2.5 s when the store stops answering all store pollers but still
// answers other boxes. These relied on the pollers' reports and made no calls of their own as the
// reports grew old, so that they noticed only after 2.8 to 3.6 s: the pollers noted the silence after
// 2.8 s, and the boxes beside them took over within 0.1 s of that.
func TestBoxAsksItselfWhereAllThatAskAreTurnedAway(t *testing.T) {
	f := newContactFleet(t)
	away := storePollers(t, f)
	f.Store.SetMode(func(ip, _ string) Mode {
		if away[ip] {
			return Silent
		}
		return Serving
	})
	f.PutServer(f.Servers["east-a.2"], "shop", "east-a", "draining", 0)
	f.Configure(2, read, Route{Prefix: "/new/", Kind: "safe", Service: "shop"})
	time.Sleep(2400 * time.Millisecond)
	var served []*Box
	for _, b := range f.Boxes {
		if !away[b.IP] {
			is.New(t).True(knowsDraining(b, "east-a.2"))
			served = append(served, b)
		}
	}
	is.New(t).True(allServe("/new/", served)()) // the bound holds for configurations too
}

// TestShortSilenceOfTheStoreLeavesNoBoxDeaf checks that a box learns of draining servers in time
// after a short silence of the store, although calls made during the silence are never answered.
func TestShortSilenceOfTheStoreLeavesNoBoxDeaf(t *testing.T) {
	f := newContactFleet(t)
	// The watches of servers return, and are renewed during the silence.
	f.PutServer(f.Servers["east-a.1"], "shop", "east-a", "ready", time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	f.Store.SetMode(func(string, string) Mode { return Silent })
	time.Sleep(time.Second)
	f.Store.SetMode(nil)
	time.Sleep(4 * time.Second)
	f.PutServer(f.Servers["east-a.2"], "shop", "east-a", "draining", 0)
	time.Sleep(2 * time.Second)
	for _, b := range f.Boxes {
		is.New(t).True(knowsDraining(b, "east-a.2"))
	}
}
