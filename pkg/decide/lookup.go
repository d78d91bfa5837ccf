package decide

import (
	"net/netip"
	"sort"
)

// MaxEntries bounds the boxes named in one answer to a look-up.
const MaxEntries = 6

// Entries returns the boxes a client should use, best first: those of its own
// zone, then of its region, then others; within each, the least loaded first,
// and equals in an order of the client's own, so that clients spread.
func (s *Snapshot) Entries(client netip.Addr, service string) []*BoxView {
	zone := s.Zone
	if z, ok := s.Topology.ZoneOfClient(client); client.IsValid() && ok {
		zone = z
	}
	region := s.Topology.RegionOf(zone)
	type ranked struct {
		box  *BoxView
		rank int
		load int
		hash uint64
	}
	var all []ranked
	for z, boxes := range s.Boxes {
		rank := 2
		switch {
		case z == zone:
			rank = 0
		case s.Topology.RegionOf(z) == region:
			rank = 1
		}
		for _, b := range boxes {
			if b.Leaving {
				continue
			}
			all = append(all, ranked{b, rank, int(b.Load * loadSteps), Hash(client.String(), service, b.Box)})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		switch {
		case a.rank != b.rank:
			return a.rank < b.rank
		case a.load != b.load:
			return a.load < b.load
		}
		return a.hash < b.hash
	})
	entries := make([]*BoxView, 0, MaxEntries)
	for _, r := range all {
		if len(entries) < MaxEntries {
			entries = append(entries, r.box)
		}
	}
	return entries
}

// loadSteps is how finely loads are told apart when entries are ordered, so
// that small differences do not send every client to one box.
const loadSteps = 4
