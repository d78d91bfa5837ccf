package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/utilization"
)

// unlikeFleet returns the records of a fleet of three regions with two zones each, with the given
// numbers of large and of small boxes in each zone.
func unlikeFleet(large, small int) []gossip.Record {
	var records []gossip.Record
	for _, zone := range []string{"east-a", "east-b", "north-a", "north-b", "west-a", "west-b"} {
		for i := range large + small {
			r := box(fmt.Sprintf("%s-%d", zone, i), zone)
			r.Capacity = 125
			if i < large {
				r.Capacity = 1600
			}
			records = append(records, r)
		}
	}
	return records
}

func zoneOfBox(name string) string { return name[:6] }

func west(d *Directory) Answer { return d.Resolve(Query{Region: "west", Zone: "west-a"}) }

// TestClientsOfAZoneThatEndsKnowOtherBoxes checks that an answer names boxes that live on when
// all boxes of the client's zone end between two lookups, among them the directory near it.
func TestClientsOfAZoneThatEndsKnowOtherBoxes(t *testing.T) {
	for _, fleet := range []struct{ large, small int }{{2, 0}, {2, 2}, {2, 13}, {10, 154}} {
		t.Run(fmt.Sprint(6*(fleet.large+fleet.small)), func(t *testing.T) {
			is := is.New(t)
			a := west(newDirectory(unlikeFleet(fleet.large, fleet.small)...))
			others, small := 0, 0
			for _, name := range a.Addresses {
				if zoneOfBox(name) == "west-b" {
					others++
				}
				if name >= fmt.Sprintf("%s-%d", zoneOfBox(name), fleet.large) && fleet.large < 10 {
					small++
				}
			}
			is.Equal(small, 0) // a small box would receive as many requests as a large one
			if fleet.small == 0 {
				is.Equal(a, Answer{Addresses: []string{"west-a-0", "west-a-1"}, TTL: 3 * time.Second}) // boxes of equal size
				return
			}
			is.Equal(others, 2)
			is.Equal(a.TTL, 5*time.Second)
			is.Equal(len(a.Addresses), fleet.large+2)
		})
	}
}

func TestSmallBoxesServeWhereNoLargeOneIsLeft(t *testing.T) {
	is := is.New(t)
	records := slices.DeleteFunc(unlikeFleet(2, 2), func(r gossip.Record) bool { return r.Zone == "west-a" && r.Capacity > 125 })
	is.Equal(west(newDirectory(records...)).Addresses, []string{"west-a-2", "west-a-3", "west-b-0", "west-b-1"})
}

// TestAnswersAreStable checks that all boxes give the same answer, since clients leave the
// connections to boxes that a later answer does not name, and that a box which joins elsewhere
// does not change it.
func TestAnswersAreStable(t *testing.T) {
	is := is.New(t)
	records := unlikeFleet(3, 12)
	want := west(newDirectory(records...)).Addresses
	reversed := slices.Clone(records)
	slices.Reverse(reversed)
	is.Equal(west(newDirectory(reversed...)).Addresses, want)
	small, far := box("west-a-99", "west-a"), box("east-b-99", "east-b")
	small.Capacity, far.Capacity = 125, 1600
	is.Equal(west(newDirectory(append(reversed, small, far)...)).Addresses, want)
	other := box("west-b-99", "west-b")
	other.Capacity = 1600
	changed := 0
	for _, name := range west(newDirectory(append(reversed, other)...)).Addresses {
		if !slices.Contains(want, name) {
			changed++
		}
	}
	is.True(changed <= 1)
}

func TestBoxWithAFalseCapacityDoesNotChangeWhoIsLarge(t *testing.T) {
	is := is.New(t)
	records := unlikeFleet(3, 3)
	claim := func(capacity float64) []string {
		list := slices.Clone(records)
		i := slices.IndexFunc(list, func(r gossip.Record) bool { return r.Box == "west-a-0" })
		list[i].Capacity = capacity
		return slices.DeleteFunc(west(newDirectory(list...)).Addresses, func(name string) bool { return zoneOfBox(name) != "west-a" })
	}
	is.Equal(claim(1e9), []string{"west-a-0", "west-a-1", "west-a-2"})
	is.Equal(claim(1), []string{"west-a-1", "west-a-2"})
	is.Equal(claim(0), []string{"west-a-1", "west-a-2"})
}

// TestLookupsDoNotReadAllBoxes checks that lookups read the records of all boxes only after a
// change, and that they notice each change at once.
func TestLookupsDoNotReadAllBoxes(t *testing.T) {
	is := is.New(t)
	records := unlikeFleet(2, 2)
	d := newDirectory(records...)
	read := 0
	each := d.EachLive
	d.EachLive = func(f func(r *gossip.Record)) { read++; each(f) }
	generation := uint64(1)
	d.Generation = func() uint64 { return generation }
	for range 1000 {
		west(d)
	}
	is.Equal(read, 1)
	generation++
	west(d)
	is.Equal(read, 2)
	now := d.Now().Add(2 * maxFleetAge)
	d.Now = func() time.Time { return now }
	west(d)
	is.Equal(read, 3) // boxes may have fallen silent
}

func TestLeavingBoxIsNamedNoLonger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := gossip.NewTable(gossip.Record{Box: "self", Zone: "east-a", Clients: "self"}, func() time.Time { return now }, func(int) int { return 0 })
	d := newDirectory()
	d.Self, d.EachLive, d.Generation = table.Self, table.EachLive, table.Generation
	for _, r := range unlikeFleet(2, 2) {
		table.Receive(&gossip.Message{From: r})
	}
	is.True(slices.Contains(west(d).Addresses, "west-a-0"))
	leaving := box("west-a-0", "west-a")
	leaving.Capacity, leaving.Sequence, leaving.Leaving = 1600, 1, true
	table.Receive(&gossip.Message{From: leaving})
	is.True(!slices.Contains(west(d).Addresses, "west-a-0"))
}

// BenchmarkLookup measures a lookup on boxes of fleets of unlike boxes.
func BenchmarkLookup(b *testing.B) {
	for _, boxes := range []int{300, 1000, 3000} {
		d := newDirectory(unlikeFleet(10, boxes/6-10)...)
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				west(d)
			}
		})
	}
}

// TestCrowdedBoxesAreNamedLess checks that a part of the directory's boxes leave out a box that
// uses most of its machine, always the same part, and that small boxes serve once all large ones
// of the region are full.
func TestCrowdedBoxesAreNamedLess(t *testing.T) {
	is := is.New(t)
	answers := func(use utilization.Level, isCrowded func(r *gossip.Record) bool) (named map[string]int) {
		named = map[string]int{}
		for i := range 200 {
			records := unlikeFleet(2, 4)
			for j := range records {
				if isCrowded(&records[j]) {
					records[j].Use = use
				}
			}
			d := newDirectory(records...)
			self := gossip.Record{Box: fmt.Sprint("directory-", i), Zone: "east-a"}
			d.Self = func() gossip.Record { return self }
			first := west(d).Addresses
			is.True(len(first) >= 2)
			is.Equal(west(d).Addresses, first)
			for _, name := range first {
				named[name]++
			}
		}
		return named
	}
	one := func(r *gossip.Record) bool { return r.Box == "west-a-0" }
	is.Equal(answers(utilization.Busy, one)["west-a-0"], 200)
	crowded := answers(utilization.Crowded, one)
	is.True(crowded["west-a-0"] > 60 && crowded["west-a-0"] < 140)
	is.Equal(crowded["west-a-1"], 200)
	full := answers(utilization.Full, one)["west-a-0"]
	is.True(full > 20 && full < crowded["west-a-0"])
	all := answers(utilization.Full, func(r *gossip.Record) bool { return r.Capacity == 1600 })
	is.True(all["west-a-3"] > 0)
	is.True(all["west-a-0"] > 0) // full, but it still serves
}

func TestUseOfEqualBoxesChangesNoAnswer(t *testing.T) {
	is := is.New(t)
	records := unlikeFleet(4, 0)
	want := west(newDirectory(records...))
	records[slices.IndexFunc(records, func(r gossip.Record) bool { return r.Box == "west-a-0" })].Use = utilization.Full
	is.Equal(west(newDirectory(records...)), want)
}
