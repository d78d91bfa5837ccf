// Package quota keeps the number of requests, summed over all boxes, within limits without a
// box that all others depend on: a customer's requests within the customer's limit, and the
// requests to a backend server within the limit that the server declares.
//
// A customer's limit is a rate and a burst. The rate is divided into fixed shares: each
// availability zone has an equal share, and each box has a part of its zone's share in
// proportion to its capacity. The zones come from the settings, so they need no agreement on
// their shares. A box learns the boxes of its zone from heartbeats and still counts one that
// it has not heard from for a while. So the shares never add up to more than the rate,
// whichever boxes can reach each other.
//
// A box does not use its share itself. It leases it, for a short time, to an allocator: one of
// the first two boxes of its zone, the same for all boxes that have the same view of the zone.
// The allocator fills a token bucket for each customer at the sum of the shares that are
// leased to it, and grants tokens to the boxes whose clients request them. A zone that is
// short borrows tokens from the allocators of other zones that have some to spare. A token is
// held in one place at a time: a holder that hands one over no longer has it, and a token that
// is lost in transit is gone.
//
// Example: all clients of a customer connect to one zone of six, which has a sixth of the
// customer's rate. Its allocator borrows from the five others ten times a second, and more
// often while requests wait for tokens. When the zone is cut off, it continues with its sixth,
// and the others with theirs.
//
// The limit of a backend server is divided between the zones of its own region only, because
// their boxes send most of its requests; boxes in other regions borrow.
//
// When a box or an allocator stops, all that it can lose is tokens, so a loss refuses requests
// but never exceeds a limit. An allocator starts with an empty bucket. No two allocators have
// the same share at a time, since a box leases its share to another allocator only when its
// earlier leases have expired. Clocks of different boxes are never compared.
//
// This package does no input or output: the caller passes messages in and takes messages out.
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/hashing"
)

// ID identifies a limit in messages: a hash of the name of a customer or of a backend server's
// incarnation.
type ID uint64

// IDOf returns the ID of the named customer.
func IDOf(customer string) ID { return ID(hashing.Of("customer", customer)) }

// ServerIDOf returns the ID of a backend server, given the name of its incarnation.
func ServerIDOf(incarnation string) ID { return ID(hashing.Of("server", incarnation)) }

// Tolerance is how far limits may be exceeded. In any Window a customer's requests stay within
// (rate x Window + burst) x (1 + Overage) + Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit bounds the requests of a customer or to a backend server.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// The allowance above the rate is divided in two: what allocators may save, which serves
// bursts, and what boxes may hold unused, which spares them a request to the allocator for
// each client request. The rest covers the time in which the boxes of a zone have different
// views of it, such as when some of them start.
const (
	savedShare = 0.7
	heldShare  = 0.2
)

// minSaved is how many tokens a zone must be able to save to have a share of a customer's
// limit: with fewer it could not serve two requests at once.
const minSaved = 2

// allowance returns how many requests may be sent in a window in addition to those at the
// rate.
func (t *Tolerance) allowance(l Limit) float64 {
	return t.Overage*l.Rate*t.Window.Seconds() + (1+t.Overage)*l.Burst + t.Slack
}

// division is how a limit is divided between zones.
type division struct {
	// rate is a zone's share of the rate, in tokens per second.
	rate float64
	// maxSaved and maxHeld bound a zone's tokens at its allocators and at its boxes.
	maxSaved float64
	maxHeld  float64
	// holders are the zones that have a share, holderRate is the rate of each of them and
	// holderMaxSaved what its allocators may save. A zone without a share borrows from them.
	holders        []string
	holderRate     float64
	holderMaxSaved float64
}

// divide returns the zone's share of a limit with the given rate and allowance above it. A
// limit that is too small for all zones is divided between some of them; the others borrow.
func divide(id ID, rate, allowance float64, zone string, zones []string) division {
	holders := zones
	if count := max(1, int(savedShare*allowance/minSaved)); count < len(zones) {
		holders = firstZones(id, zones, count)
	}
	shares := float64(len(holders))
	d := division{holders: holders, holderRate: rate / shares, holderMaxSaved: savedShare * allowance / shares}
	if slices.Contains(holders, zone) {
		d.rate, d.maxSaved, d.maxHeld = d.holderRate, d.holderMaxSaved, heldShare*allowance/shares
	}
	return d
}

// firstZones returns the given number of zones: those with the highest rendezvous hashes for
// the limit.
func firstZones(id ID, zones []string, count int) []string {
	order := slices.Clone(zones)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(zoneScore(id, b), zoneScore(id, a)) })
	return order[:count]
}

func zoneScore(id ID, zone string) uint64 { return hashing.Mix(uint64(id) ^ hashing.Of(zone)) }

// Box is a box, as far as limits are concerned.
type Box struct {
	// Key identifies the box in messages; see KeyOf.
	Key uint64
	// Address is where the box receives messages.
	Address string
}

// KeyOf returns the key of the named box.
func KeyOf(box string) uint64 { return hashing.Of("box", box) }

// owner returns the allocator, by its key, that is responsible for a customer, by rendezvous
// hashing: when an allocator leaves, its customers are divided among the others.
func owner(id ID, allocators []uint64) uint64 {
	if len(allocators) == 0 {
		return 0
	}
	return slices.MaxFunc(allocators, func(a, b uint64) int {
		return cmp.Compare(hashing.Mix(uint64(id)^a), hashing.Mix(uint64(id)^b))
	})
}
