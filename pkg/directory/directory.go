// Package directory answers clients that ask which boxes to use. It does no input or output.
package directory

import (
	"sort"
	"time"

	"github.com/stoneworks/stoneworks/pkg/gossip"
)

// MaxAddresses bounds the addresses of an answer.
const MaxAddresses = 64

// minBoxes is how many boxes an answer should name, so that a client whose box fails has
// another one to use.
const minBoxes = 2

// Query is a client's request for boxes.
type Query struct {
	Host   string
	Region string
	Zone   string
}

// Answer names boxes by the addresses at which they serve clients.
type Answer struct {
	Addresses []string
	TTL       time.Duration
}

// Directory chooses boxes for clients.
type Directory struct {
	// TTL is how long clients may keep an answer.
	TTL time.Duration
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Self returns this box's record, and EachLive calls f with those of the other live boxes;
	// see gossip.Table.
	Self     func() gossip.Record
	EachLive func(f func(r *gossip.Record))
	// RegionAllowed reports whether the requests of a host may be sent to a region other than
	// the client's own.
	RegionAllowed func(host, region string) bool
}

// Resolve names the boxes of the client's zone; if these are too few, those of its region; and
// if there are none, those of other regions that may serve the host's requests. Boxes much
// smaller than others are left out as long as enough others remain.
func (d *Directory) Resolve(q Query) Answer {
	var zone, region, far, any []*entry
	serving := d.serving()
	for i := range serving {
		r := &serving[i]
		here := d.RegionOf(r.zone)
		switch {
		case r.zone == q.Zone:
			zone = append(zone, r)
			region = append(region, r)
		case here == q.Region:
			region = append(region, r)
		case d.RegionAllowed(q.Host, here):
			far = append(far, r)
		default:
			any = append(any, r)
		}
	}
	for _, list := range [][]*entry{largest(zone), largest(region), zone, region} {
		if len(list) >= minBoxes {
			return d.answer(list)
		}
	}
	for _, list := range [][]*entry{region, largest(far), largest(any)} {
		if len(list) > 0 {
			return d.answer(list)
		}
	}
	return Answer{}
}

// entry holds the fields of a record that the choice depends on. Records are large, and are
// not copied for each lookup.
type entry struct {
	zone     string
	clients  string
	capacity float64
}

// serving lists the boxes that accept requests, this one included.
func (d *Directory) serving() []entry {
	var list []entry
	add := func(r *gossip.Record) {
		if r.Ready && !r.Leaving {
			list = append(list, entry{zone: r.Zone, clients: r.Clients, capacity: r.Capacity})
		}
	}
	self := d.Self()
	add(&self)
	d.EachLive(add)
	return list
}

func (d *Directory) answer(list []*entry) Answer {
	var addresses []string
	for _, r := range list {
		addresses = append(addresses, r.clients)
	}
	sort.Strings(addresses)
	return Answer{Addresses: addresses[:min(len(addresses), MaxAddresses)], TTL: d.TTL}
}

// largeFraction is the fraction of the largest box's capacity that another box must have to be
// named beside it. Clients choose randomly among the named boxes, so a much smaller box would
// receive as many requests as the others. Also, few boxes with many requests each know more
// about the load of backend servers, and reuse connections more often, than many boxes with
// few.
const largeFraction = 0.5

// IsLarge reports whether a box is not much smaller than the largest one.
func IsLarge(capacity, most float64) bool { return capacity >= largeFraction*most }

// largest returns the boxes that are not much smaller than the largest one.
func largest(list []*entry) []*entry {
	most := 0.0
	for _, r := range list {
		most = max(most, r.capacity)
	}
	var large []*entry
	for _, r := range list {
		if IsLarge(r.capacity, most) {
			large = append(large, r)
		}
	}
	return large
}
