package decide

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/topology"
)

// snapshot returns a snapshot of one service and two regions of two zones, with
// boxesEach boxes in each zone.
func snapshot(boxesEach int, inUse func(zone string) int) *Snapshot {
	zones := []topology.Zone{{Zone: "dakar-a", Region: "dakar"}, {Zone: "dakar-b", Region: "dakar"}, {Zone: "thies-a", Region: "thies"}, {Zone: "thies-b", Region: "thies"}}
	blocks := []topology.Block{{Prefix: "10.1.0.0/16", Zone: "dakar-a"}, {Prefix: "10.3.0.0/16", Zone: "thies-a"}}
	service := &model.Service{Name: "preview"}
	var members []membership.Member
	for _, z := range zones {
		service.BackendServers = append(service.BackendServers, model.BackendServer{Name: "s-" + z.Zone, Address: "127.0.0.1:1", Zone: z.Zone, Slots: 6})
		for i := range boxesEach {
			members = append(members, membership.Member{State: membership.Live, Record: membership.Record{
				Box: fmt.Sprintf("%s-%d", z.Zone, i+1), Zone: z.Zone, Ready: true,
				Load: []membership.ServiceLoad{{Service: "preview", Share: 3, InUse: inUse(z.Zone)}},
			}})
		}
	}
	return NewSnapshot(Input{
		Self: "dakar-a-1", Zone: "dakar-a", Topology: topology.New(zones, blocks), Members: members,
		Services: []ServiceInput{{Spec: service, Revision: 1}},
	})
}

func idle(string) int { return 0 }

func TestRoute(t *testing.T) {
	is := is.New(t)
	s := snapshot(2, idle)
	v := s.Services["preview"]
	own := s.Route(v, &Request{Client: netip.MustParseAddr("10.1.0.1")})
	is.Equal(own.Box.Box, "dakar-a-1")
	is.Equal(own.Reason, OwnZone)
	again := s.Route(v, &Request{Client: netip.MustParseAddr("10.1.0.1"), Tried: [2]string{"dakar-a-1"}})
	is.Equal(again.Box.Box, "dakar-a-2")
	other := s.Route(v, &Request{Client: netip.MustParseAddr("10.3.0.1")})
	is.Equal(other.Region, "thies")
	is.Equal(other.Reason, AssignedRegion)
}

func TestRouteLeavesFullZone(t *testing.T) {
	is := is.New(t)
	s := snapshot(2, func(zone string) int {
		if zone == "dakar-a" {
			return 3
		}
		return 0
	})
	d := s.Route(s.Services["preview"], &Request{Client: netip.MustParseAddr("10.1.0.1"), Tried: [2]string{"dakar-a-1"}})
	is.Equal(d.Zone, "dakar-b")
}

func TestEntriesNameOwnZoneFirst(t *testing.T) {
	is := is.New(t)
	s := snapshot(2, idle)
	entries := s.Entries(netip.MustParseAddr("10.3.0.1"), "preview")
	is.Equal(len(entries), MaxEntries)
	is.Equal(entries[0].Zone, "thies-a")
	is.Equal(entries[2].Zone, "thies-b")
}

func TestRouteAllocatesNothing(t *testing.T) {
	is := is.New(t)
	s := snapshot(2, idle)
	r := &Request{Client: netip.MustParseAddr("10.3.0.1")}
	is.Equal(testing.AllocsPerRun(100, func() { s.Route(s.Services["preview"], r) }), 0.0)
}

func BenchmarkRouteOwnZone(b *testing.B) { benchmarkRoute(b, "10.1.0.1") }

func BenchmarkRouteOtherRegion(b *testing.B) { benchmarkRoute(b, "10.3.0.1") }

func benchmarkRoute(b *testing.B, client string) {
	s := snapshot(2, idle)
	v := s.Services["preview"]
	r := &Request{Client: netip.MustParseAddr(client)}
	b.ReportAllocs()
	for i := range b.N {
		r.Spread = uint64(i)
		s.Route(v, r)
	}
}

func BenchmarkEntries(b *testing.B) {
	for _, boxes := range []int{2, 30, 125} {
		b.Run(fmt.Sprintf("boxes=%d", 4*boxes), func(b *testing.B) {
			s := snapshot(boxes, idle)
			client := netip.MustParseAddr("10.3.0.1")
			b.ReportAllocs()
			for range b.N {
				s.Entries(client, "preview")
			}
		})
	}
}

func BenchmarkNewSnapshot(b *testing.B) {
	for _, boxes := range []int{3, 30, 125, 750} {
		b.Run(fmt.Sprintf("boxes=%d", 4*boxes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				snapshot(boxes, idle)
			}
		})
	}
}
