package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/hashing"
	"github.com/stoneworks/stoneworks/pkg/utilization"
)

// fleet holds the boxes that accept requests, as of a generation of their records.
type fleet struct {
	generation uint64
	readAt     time.Time

	zones   map[string][]*entry
	regions map[string][]*entry
	// answering is the name of this box.
	answering string
	// regionOf holds the region of each zone that has boxes.
	regionOf map[string]string
	// failed holds the regions of which a box has fallen silent that did not leave as planned.
	failed map[string]bool

	mu sync.Mutex
	// near holds the choices for clients of zones that have boxes, by zone. They depend on
	// nothing but the zone, so most lookups do not look at boxes.
	near map[string]choice
}

// entry holds the fields of a record that the choice depends on.
type entry struct {
	zone     string
	clients  string
	capacity float64
	use      utilization.Level
}

// choice is what an answer names.
type choice struct {
	addresses  []string
	hasStandby bool
}

// choose returns the boxes for a client.
func (f *fleet) choose(q Query, allowed func(host, region string) bool) choice {
	if region, ok := f.regionOf[q.Zone]; !ok || region != q.Region {
		return f.chooseAnew(q, allowed)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.near[q.Zone]
	if !ok {
		c = f.chooseAnew(q, allowed)
		f.near[q.Zone] = c
	}
	return c
}

func (f *fleet) chooseAnew(q Query, allowed func(host, region string) bool) choice {
	zone, region := f.zones[q.Zone], f.regions[q.Region]
	if home, ok := f.regionOf[q.Zone]; ok && home != q.Region {
		region = slices.Concat(region, zone)
	}
	if len(region) == 0 {
		return choice{addresses: addressesOf(f.farBoxes(q, allowed))}
	}
	if isUnlike(region) {
		if uncrowded := f.uncrowded(region); len(uncrowded) >= minBoxes {
			region = uncrowded
			zone = slices.DeleteFunc(slices.Clone(zone), func(e *entry) bool { return !slices.Contains(region, e) })
		}
	}
	named := nearBoxes(zone, region)
	standby := standbyBoxes(named, region, q.Zone)
	return choice{addresses: addressesOf(slices.Concat(named, standby)), hasStandby: len(standby) > 0}
}

// farBoxes returns boxes of the regions in which the host's requests may run, or, if these have
// none and boxes of the client's region have failed, of all regions.
func (f *fleet) farBoxes(q Query, allowed func(host, region string) bool) []*entry {
	var far, all []*entry
	for region, list := range f.regions {
		all = append(all, list...)
		if allowed(q.Host, region) {
			far = append(far, list...)
		}
	}
	if len(far) == 0 && f.failed[q.Region] {
		return largest(all, all)
	}
	return largest(far, far)
}

// omitted is the share of the directory's boxes that leave out a box of each level of use. Some
// always name it: clients leave a box that a new answer does not name, and if all left it at once,
// the next one would be full.
var omitted = [...]float64{utilization.Crowded: 0.5, utilization.Full: 0.75}

// uncrowded returns the boxes of the list that this box names, by their use of their machines. It
// names the same ones for as long as their levels last.
func (f *fleet) uncrowded(list []*entry) []*entry {
	return slices.DeleteFunc(slices.Clone(list), func(e *entry) bool {
		place := float64(hashing.Of(f.answering, e.clients)>>11) / (1 << 53)
		return place < omitted[e.use]
	})
}

// nearBoxes returns boxes of the client's zone, or, if these are too few, of its region.
func nearBoxes(zone, region []*entry) []*entry {
	for _, list := range [][]*entry{largest(zone, region), largest(region, region), zone} {
		if len(list) >= minBoxes {
			return list
		}
	}
	return region
}

// standbyBoxes returns further boxes for clients of a zone that are told only of its large
// boxes. Those are few and may end together, and with them the directory near the clients. The
// standby boxes are large boxes of other zones of the region, which do not share the fate of
// the zone; small boxes would receive as many requests as large ones. Each zone has the same
// ones at all boxes, and a box that joins or ends changes one of them.
func standbyBoxes(named, region []*entry, zone string) []*entry {
	if !isUnlike(region) {
		return nil
	}
	others := slices.DeleteFunc(largest(region, region), func(e *entry) bool {
		return e.zone == zone || slices.Contains(named, e)
	})
	slices.SortFunc(others, func(a, b *entry) int {
		return cmp.Compare(hashing.Of(zone, a.clients), hashing.Of(zone, b.clients))
	})
	return others[:min(len(others), maxStandby)]
}

func addressesOf(list []*entry) []string {
	var addresses []string
	for _, e := range list {
		addresses = append(addresses, e.clients)
	}
	slices.Sort(addresses)
	return addresses[:min(len(addresses), MaxAddresses)]
}
