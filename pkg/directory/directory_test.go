package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/gossip"
)

func newDirectory(members ...gossip.Record) *Directory {
	now := time.Unix(1000, 0)
	table := gossip.NewTable(gossip.Record{Box: "self", Zone: "east-a", Clients: "self", Ready: true},
		func() time.Time { return now }, func(int) int { return 0 })
	for _, m := range members {
		table.Receive(&gossip.Message{From: m})
	}
	return &Directory{
		TTL: 3 * time.Second, StandbyTTL: 5 * time.Second, RegionOf: func(zone string) string { return zone[:len(zone)-2] },
		Self: table.Self, EachBox: table.EachPossibleSender, RegionAllowed: func(_, region string) bool { return region != "north" },
		Generation: table.Generation, Now: func() time.Time { return now },
	}
}

func box(name, zone string) gossip.Record {
	return gossip.Record{Box: name, Zone: zone, Clients: name, Ready: true}
}

func TestNearBoxesAreNamed(t *testing.T) {
	is := is.New(t)
	d := newDirectory(box("a2", "east-a"), box("b1", "east-b"), box("w1", "west-a"), box("w2", "west-a"), box("n1", "north-a"))
	is.Equal(d.Resolve(Query{Region: "east", Zone: "east-a"}).Addresses, []string{"a2", "self"})
	is.Equal(d.Resolve(Query{Region: "east", Zone: "east-b"}).Addresses, []string{"a2", "b1", "self"}) // one is too few
	is.Equal(d.Resolve(Query{Region: "west", Zone: "west-b"}).Addresses, []string{"w1", "w2"})
	is.Equal(d.Resolve(Query{Region: "south", Zone: "south-a"}).Addresses, []string{"a2", "b1", "self", "w1", "w2"}) // not in a region where the host's requests may not run
	is.Equal(d.Resolve(Query{Region: "east", Zone: "east-a"}).TTL, 3*time.Second)
}

func TestLeavingAndUnreadyBoxesAreNotNamed(t *testing.T) {
	is := is.New(t)
	leaving, unready := box("l", "east-a"), box("u", "east-a")
	leaving.Leaving = true
	unready.Ready = false
	d := newDirectory(leaving, unready)
	is.Equal(d.Resolve(Query{Region: "east", Zone: "east-a"}).Addresses, []string{"self"})
}

func TestMuchSmallerBoxesAreNotNamedBesideLargeOnes(t *testing.T) {
	is := is.New(t)
	sized := func(name string, capacity float64) gossip.Record {
		r := box(name, "west-a")
		r.Capacity = capacity
		return r
	}
	large, nearlyAsLarge, small, smaller := sized("w1", 1600), sized("w2", 900), sized("w3", 125), sized("w4", 100)
	resolve := func(members ...gossip.Record) []string {
		return newDirectory(members...).Resolve(Query{Region: "west", Zone: "west-a"}).Addresses
	}
	is.Equal(resolve(large, nearlyAsLarge, small, smaller), []string{"w1", "w2"})
	is.Equal(resolve(large, small, smaller), []string{"w1", "w3", "w4"}) // one is too few
	is.Equal(resolve(small, smaller), []string{"w3", "w4"})              // if there is no large one
	neighbour := sized("w7", 1600)
	neighbour.Zone = "west-b"
	is.Equal(resolve(large, small, smaller, neighbour), []string{"w1", "w7"}) // rather than sending half of all requests to a small box
	unknown := sized("w5", 0)
	is.Equal(resolve(unknown, sized("w6", 0)), []string{"w5", "w6"})
}

// BenchmarkResolve measures a lookup on a box that knows 300 others.
func BenchmarkResolve(b *testing.B) {
	var members []gossip.Record
	for i := range 300 {
		members = append(members, box(fmt.Sprint("box-", i), fmt.Sprintf("east-%d", i%9)))
	}
	d := newDirectory(members...)
	b.ReportAllocs()
	for range b.N {
		d.Resolve(Query{Region: "east", Zone: "east-4"})
	}
}

func TestNobodyIsNamedIfThereIsNobody(t *testing.T) {
	is := is.New(t)
	d := newDirectory()
	d.Self = func() gossip.Record { return gossip.Record{} }
	is.Equal(len(d.Resolve(Query{}).Addresses), 0)
}

// TestNoOtherRegionIsNamedNeedlessly checks that, whatever boxes run, a client is named boxes
// of its own region if there are any, otherwise boxes of regions where its host's requests may
// run, and others only if there are none of these and a box of its own region has failed; never a
// box that is not ready, is leaving or has fallen silent.
func TestNoOtherRegionIsNamedNeedlessly(t *testing.T) {
	regions := map[string]string{"a-1": "a", "a-2": "a", "b-1": "b", "b-2": "b", "c-1": "c"}
	zones := []string{"a-1", "a-2", "b-1", "b-2", "c-1"}
	rapid.Check(t, func(t *rapid.T) {
		var records []gossip.Record
		var live []bool
		for i := range rapid.IntRange(1, 14).Draw(t, "boxes") {
			records = append(records, gossip.Record{
				Box: fmt.Sprint("box-", i), Clients: fmt.Sprint("10.0.0.", i), Zone: rapid.SampledFrom(zones).Draw(t, "zone"),
				Capacity: rapid.SampledFrom([]float64{0, 100, 1000}).Draw(t, "capacity"),
				Ready:    rapid.IntRange(0, 9).Draw(t, "ready") > 0, Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
			})
			live = append(live, i == 0 || rapid.IntRange(0, 4).Draw(t, "live") > 0)
		}
		allowed := map[string]bool{}
		for _, r := range []string{"a", "b", "c"} {
			allowed[r] = rapid.Bool().Draw(t, "allowed "+r)
		}
		d := &Directory{
			TTL: time.Second, RegionOf: func(zone string) string { return regions[zone] },
			Self: func() gossip.Record { return records[0] },
			EachBox: func(f func(r *gossip.Record, isLive bool)) {
				for i := range records[1:] {
					f(&records[1+i], live[1+i])
				}
			},
			RegionAllowed: func(_, region string) bool { return allowed[region] },
		}
		zone := rapid.SampledFrom(zones).Draw(t, "client")
		own := regions[zone]
		named := d.Resolve(Query{Host: "host", Region: own, Zone: zone}).Addresses
		serves := map[string]bool{}
		zoneOf := map[string]string{}
		hasFailed := false
		for i, r := range records {
			if live[i] && r.Ready && !r.Leaving {
				serves[regions[r.Zone]] = true
				zoneOf[r.Clients] = r.Zone
			}
			hasFailed = hasFailed || !live[i] && !r.Leaving && regions[r.Zone] == own
		}
		anyAllowed := false
		for r := range serves {
			anyAllowed = anyAllowed || allowed[r]
		}
		for _, address := range named {
			z, ok := zoneOf[address]
			if !ok {
				t.Fatalf("%s does not serve", address)
			}
			switch region := regions[z]; {
			case serves[own] && region != own:
				t.Fatalf("%s of region %s is named, though boxes of %s serve", address, region, own)
			case !serves[own] && !allowed[region] && (anyAllowed || !hasFailed):
				t.Fatalf("%s of region %s is named, where the host's requests may not run", address, region)
			}
		}
		if len(named) == 0 && (serves[own] || anyAllowed || hasFailed && len(serves) > 0) {
			t.Fatal("boxes serve that may be named, and none is")
		}
	})
}

// TestOnlyBoxesThatFailAreReplacedByThoseOfAnyRegion guards against names of boxes where the host's
// requests may not run, given while the boxes of the client's region have left as planned.
func TestOnlyBoxesThatFailAreReplacedByThoseOfAnyRegion(t *testing.T) {
	for _, leaving := range []bool{true, false} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		table := gossip.NewTable(box("self", "east-a"), func() time.Time { return now }, func(int) int { return 0 })
		d := newDirectory()
		d.Self, d.EachBox, d.Generation, d.Now = table.Self, table.EachPossibleSender, table.Generation, func() time.Time { return now }
		d.RegionAllowed = func(_, region string) bool { return region == "west" }
		resolve := func() []string { return d.Resolve(Query{Region: "west", Zone: "west-a"}).Addresses }
		is.Equal(len(resolve()), 0) // not heard of yet
		last := box("w1", "west-a")
		table.Receive(&gossip.Message{From: last})
		is.Equal(resolve(), []string{"w1"})
		last.Sequence, last.Leaving = 1, leaving
		table.Receive(&gossip.Message{From: last})
		now = now.Add(gossip.SuspectFarAfter + time.Millisecond)
		is.Equal(len(resolve()) == 0, leaving)
	}
}
