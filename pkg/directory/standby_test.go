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
// numbers of large and of small boxes in each zone. The large ones come first.
func unlikeFleet(large, small int) (records []gossip.Record) {
	for _, zone := range []string{"east-a", "east-b", "north-a", "north-b", "west-a", "west-b"} {
		for i := range large + small {
			records = append(records, sized(fmt.Sprintf("%s-%d", zone, i), zone, map[bool]float64{true: 1600, false: 125}[i < large]))
		}
	}
	return records
}

func sized(name, zone string, capacity float64) gossip.Record {
	r := box(name, zone)
	r.Capacity = capacity
	return r
}

// west looks up the boxes for a client of zone west-a.
func west(d *Directory) Answer { return d.Resolve(Query{Region: "west", Zone: "west-a"}) }

// TestClientsOfAZoneThatEndsKnowOtherBoxes checks that an answer names boxes that live on when
// all boxes of the client's zone end between two lookups, among them the directory near it, and
// no small boxes, which would receive as many requests as large ones.
func TestClientsOfAZoneThatEndsKnowOtherBoxes(t *testing.T) {
	is := is.New(t)
	is.Equal(west(newDirectory(unlikeFleet(2, 0)...)), Answer{Addresses: []string{"west-a-0", "west-a-1"}, TTL: 3 * time.Second}) // equal boxes
	want := Answer{Addresses: []string{"west-a-0", "west-a-1", "west-b-0", "west-b-1"}, TTL: 5 * time.Second}
	is.Equal(west(newDirectory(unlikeFleet(2, 2)...)), want)
	is.Equal(west(newDirectory(unlikeFleet(2, 13)...)), want)
	is.Equal(len(west(newDirectory(unlikeFleet(10, 154)...)).Addresses), 12)
	left := slices.DeleteFunc(unlikeFleet(2, 2), func(r gossip.Record) bool { return r.Zone == "west-a" && r.Capacity > 125 })
	is.Equal(west(newDirectory(left...)).Addresses, []string{"west-a-2", "west-a-3", "west-b-0", "west-b-1"})
}

// TestAnswersAreStable checks that all boxes give the same answer, since clients leave the
// connections to boxes that a later answer does not name, and that a box which joins changes at
// most one name.
func TestAnswersAreStable(t *testing.T) {
	is := is.New(t)
	records := unlikeFleet(3, 12)
	want := west(newDirectory(records...)).Addresses
	slices.Reverse(records)
	records = append(records, sized("west-a-99", "west-a", 125), sized("east-b-99", "east-b", 1600))
	is.Equal(west(newDirectory(records...)).Addresses, want)
	joined := west(newDirectory(append(records, sized("west-b-99", "west-b", 1600))...)).Addresses
	is.True(len(slices.DeleteFunc(joined, func(name string) bool { return slices.Contains(want, name) })) <= 1)
}

func TestBoxWithAFalseCapacityDoesNotChangeWhoIsLarge(t *testing.T) {
	for claim, want := range map[float64][]string{
		1e9: {"west-a-0", "west-a-1", "west-a-2"}, 1: {"west-a-1", "west-a-2"}, 0: {"west-a-1", "west-a-2"},
	} {
		records := unlikeFleet(3, 3)
		records[slices.IndexFunc(records, func(r gossip.Record) bool { return r.Box == "west-a-0" })].Capacity = claim
		addresses := west(newDirectory(records...)).Addresses
		is.New(t).Equal(addresses[:len(addresses)-maxStandby], want)
	}
}

// TestLookupsReadAllBoxesOnlyAfterAChange checks that lookups do not read the records of all
// boxes, and that they notice a box that leaves at once, and one that falls silent soon.
func TestLookupsReadAllBoxesOnlyAfterAChange(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := gossip.NewTable(box("self", "east-a"), func() time.Time { return now }, func(int) int { return 0 })
	for _, r := range unlikeFleet(2, 2) {
		table.Receive(&gossip.Message{From: r})
	}
	d, read := newDirectory(), 0
	d.Self, d.Generation, d.Now = table.Self, table.Generation, func() time.Time { return now }
	d.EachBox = func(f func(r *gossip.Record, isLive bool)) { read++; table.EachPossibleSender(f) }
	for range 1000 {
		is.Equal(len(west(d).Addresses), 4)
	}
	is.Equal(read, 1)
	leaving := sized("west-a-0", "west-a", 1600)
	leaving.Sequence, leaving.Leaving = 1, true
	table.Receive(&gossip.Message{From: leaving})
	is.True(!slices.Contains(west(d).Addresses, "west-a-0"))
	now = now.Add(gossip.ForgetAfter)
	is.Equal(west(d).Addresses, []string{"self"})
}

// TestCrowdedBoxesAreNamedLess checks that a part of the directory's boxes leave out a box that
// uses most of its machine, always the same part, that small boxes serve as well once all large
// ones of the region are full, and that boxes of equal size are named as before.
func TestCrowdedBoxesAreNamedLess(t *testing.T) {
	is := is.New(t)
	named := func(large, small int, use utilization.Level, isCrowded func(r *gossip.Record) bool) map[string]int {
		named := map[string]int{}
		records := unlikeFleet(large, small)
		for i := range records {
			if isCrowded(&records[i]) {
				records[i].Use = use
			}
		}
		for i := range 200 {
			d := newDirectory(records...)
			d.Self = func() gossip.Record { return gossip.Record{Box: fmt.Sprint("directory-", i)} }
			first := west(d).Addresses
			is.Equal(west(d).Addresses, first)
			for _, name := range first {
				named[name]++
			}
		}
		return named
	}
	one := func(r *gossip.Record) bool { return r.Box == "west-a-0" }
	is.Equal(named(2, 4, utilization.Busy, one)["west-a-0"], 200)
	crowded, full := named(2, 4, utilization.Crowded, one), named(2, 4, utilization.Full, one)
	is.True(crowded["west-a-0"] > 60 && crowded["west-a-0"] < 140 && crowded["west-a-1"] == 200)
	is.True(full["west-a-0"] > 20 && full["west-a-0"] < crowded["west-a-0"])
	all := named(2, 4, utilization.Full, func(r *gossip.Record) bool { return r.Capacity == 1600 })
	is.True(all["west-a-3"] > 0 && all["west-a-0"] > 0)
	is.Equal(named(4, 0, utilization.Full, one)["west-a-0"], 200)
}

func TestUnknownLevelOfUseCountsAsFull(t *testing.T) {
	is := is.New(t)
	answerWith := func(use utilization.Level) Answer {
		records := unlikeFleet(2, 4)
		for i := range records {
			records[i].Use = use
		}
		return west(newDirectory(records...))
	}
	is.Equal(answerWith(200), answerWith(utilization.Full))
}

// BenchmarkLookup measures a lookup on boxes of fleets of unlike boxes, and the first one after a
// change.
func BenchmarkLookup(b *testing.B) {
	for _, boxes := range []int{300, 1000, 3000} {
		d := newDirectory(unlikeFleet(10, boxes/6-10)...)
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			for range b.N {
				west(d)
			}
		})
		b.Run(fmt.Sprint(boxes, " changed"), func(b *testing.B) {
			for range b.N {
				d.last = nil
				west(d)
			}
		})
	}
}
