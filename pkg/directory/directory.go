// Package directory answers clients that ask which boxes to use. It does no input or output.
package directory

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/gossip"
)

// MaxAddresses bounds the addresses of an answer.
const MaxAddresses = 64

// minBoxes is how many boxes an answer should name, so that a client whose box fails has
// another one to use.
const minBoxes = 2

// maxStandby is how many standby boxes an answer may name. Clients choose randomly among all
// named boxes, so standby boxes receive requests as well.
const maxStandby = 2

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
	// TTL is how long clients may keep an answer, and StandbyTTL how long one that names standby
	// boxes: clients that cannot ask again, since the boxes near them have ended, need it.
	TTL        time.Duration
	StandbyTTL time.Duration
	// RegionOf returns the region of a zone.
	RegionOf func(zone string) string
	// Self returns this box's record, and EachBox calls f with those of the other boxes that were
	// heard of lately, and with whether each is live; see gossip.Table.EachPossibleSender.
	Self    func() gossip.Record
	EachBox func(f func(r *gossip.Record, isLive bool))
	// RegionAllowed reports whether the requests of a host may be sent to a region other than
	// the client's own. It is false while the routes of the host are not known.
	RegionAllowed func(host, region string) bool
	// Generation returns a number that changes whenever boxes join, fall silent or change what
	// the directory reads of them, and Now the time. If Generation is nil, each query reads the
	// records of all boxes.
	Generation func() uint64
	Now        func() time.Time

	mu   sync.Mutex
	last *fleet
}

// Resolve names the boxes of the client's zone; if these are too few, those of its region; and
// if there are none, those of other regions that may serve the host's requests. If these have none
// either, it names nobody, unless boxes of the client's region have failed: boxes that stop as
// planned or that this box has not heard of yet are back soon, and clients keep their former answer
// until then. Boxes much smaller than others are left out as long as enough others remain; then
// standby boxes are named as well, and boxes that use most of their machines are left out by part
// of the fleet.
func (d *Directory) Resolve(q Query) Answer {
	c := d.fleet().choose(q, d.RegionAllowed)
	if c.hasStandby {
		return Answer{Addresses: c.addresses, TTL: d.StandbyTTL}
	}
	return Answer{Addresses: c.addresses, TTL: d.TTL}
}

// maxFleetAge is how old lists of boxes may be that nothing is known to have changed. Boxes that
// have fallen silent change the generation only with the next heartbeat, up to gossip.Interval
// later.
const maxFleetAge = gossip.Interval / 2

// fleet returns the boxes that accept requests, this one included.
func (d *Directory) fleet() *fleet {
	if d.Generation == nil {
		return d.readFleet()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, generation := d.Now(), d.Generation()
	if d.last == nil || d.last.generation != generation || now.Sub(d.last.readAt) > maxFleetAge {
		d.last = d.readFleet()
		d.last.generation, d.last.readAt = generation, now
	}
	return d.last
}

// readFleet lists the boxes that accept requests by zone and region. Records are large, and are
// not copied.
func (d *Directory) readFleet() *fleet {
	f := &fleet{zones: map[string][]*entry{}, regions: map[string][]*entry{}, regionOf: map[string]string{}, failed: map[string]bool{}, near: map[string]choice{}}
	add := func(r *gossip.Record) {
		if r.Ready && !r.Leaving {
			f.zones[r.Zone] = append(f.zones[r.Zone], &entry{zone: r.Zone, clients: r.Clients, capacity: r.Capacity, use: r.Use})
		}
	}
	self := d.Self()
	f.answering = self.Box
	add(&self)
	d.EachBox(func(r *gossip.Record, isLive bool) {
		switch {
		case isLive:
			add(r)
		case !r.Leaving:
			f.failed[d.RegionOf(r.Zone)] = true
		}
	})
	for zone, list := range f.zones {
		region := d.RegionOf(zone)
		f.regionOf[zone] = region
		f.regions[region] = append(f.regions[region], list...)
	}
	return f
}
