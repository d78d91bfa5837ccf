// Package directory answers clients that ask which boxes to use. It has no
// input or output.
package directory

import (
	"sort"
	"time"

	"github.com/stoneworks/stoneworks/pkg/gossip"
)

// MaxAddresses bounds an answer.
const MaxAddresses = 64

// enough is how many boxes an answer should name, so that a client whose box
// fails has another one at hand.
const enough = 2

// Query is what a client asks.
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
	// Self and Members return what is known of boxes.
	Self    func() gossip.Record
	Members func() []gossip.Member
	// RegionAllowed reports whether the requests of a host may be sent to a
	// region other than the client's own.
	RegionAllowed func(host, region string) bool
}

// Resolve names the boxes of the client's zone; where these are too few, all
// of its region; and where there are none, those of the other regions that
// may take the host's requests.
func (d *Directory) Resolve(q Query) Answer {
	var zone, region, far, any []string
	for _, r := range d.serving() {
		here := d.RegionOf(r.Zone)
		switch {
		case r.Zone == q.Zone:
			zone = append(zone, r.Clients)
			region = append(region, r.Clients)
		case here == q.Region:
			region = append(region, r.Clients)
		case d.RegionAllowed(q.Host, here):
			far = append(far, r.Clients)
		default:
			any = append(any, r.Clients)
		}
	}
	for _, list := range [][]string{zone, region} {
		if len(list) >= enough {
			return d.answer(list)
		}
	}
	for _, list := range [][]string{region, far, any} {
		if len(list) > 0 {
			return d.answer(list)
		}
	}
	return Answer{}
}

// serving lists the boxes that take requests, this one included.
func (d *Directory) serving() []gossip.Record {
	var list []gossip.Record
	if self := d.Self(); self.Ready && !self.Leaving {
		list = append(list, self)
	}
	for _, m := range d.Members() {
		if m.Live() && m.Ready && !m.Leaving {
			list = append(list, m.Record)
		}
	}
	return list
}

func (d *Directory) answer(list []string) Answer {
	sort.Strings(list)
	return Answer{Addresses: list[:min(len(list), MaxAddresses)], TTL: d.TTL}
}
