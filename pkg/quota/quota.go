// Package quota keeps requests, summed over all boxes, within limits, without a box that all
// others depend on: those of a customer within the customer's limit, and those to a backend
// server within the limit that the server names.
//
// A customer's limit is a rate and a burst. The rate is divided in fixed parts: each
// availability zone has an equal part of it, and in a zone each box has a part by its
// capacity. The zones stand in the settings, so their parts need no agreement; a box
// knows those of its zone from heartbeats and counts what it has not heard for a
// while as if it were there. So the parts never sum up to more than the rate,
// whoever can reach whom.
//
// A box does not use its part itself. It lends it, for a short time at a stretch, to
// an allocator: one of the two first boxes of its zone, the same for all boxes that
// see the same zone. The allocator fills a bucket of tokens for each customer at the
// sum of the parts that are lent to it, and grants tokens to the boxes whose clients
// ask for them; a zone that is short borrows tokens from the allocators of other
// zones that have some to spare. A token is held in one place at a time: who gives
// one away has none, and one that is lost on the way is lost.
//
// Example: all clients of a customer come to one zone of six, which has a sixth of the
// customer's rate. Its allocator borrows from the five others ten times a second.
// When the zone is cut off it goes on with its sixth, and the others with theirs.
//
// The limit of a backend server is divided between the zones of its own region alone, whose
// boxes send it most of what it gets; boxes elsewhere borrow.
//
// What a box or an allocator forgets when it ends can only be tokens, so it costs
// requests and never the limit. An allocator that starts has an empty bucket; no two
// have the same part at a time, since a box lends its part to another one only when
// what it lent before has ended. Clocks are only compared with themselves.
//
// This package has no input or output: messages are handed in and out.
package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/hashing"
)

// ID names what has a limit in messages: a hash of the name of a customer or of a backend
// server's life.
type ID uint64

// IDOf returns the ID of the customer of that name.
func IDOf(customer string) ID { return ID(hashing.Of("customer", customer)) }

// ServerIDOf returns the ID of a backend server by the name of its life.
func ServerIDOf(life string) ID { return ID(hashing.Of("server", life)) }

// Tolerance are what is promised of all limits. In any Window a customer's requests stay
// within (rate x Window + burst) x (1 + Overage) + Slack.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit bounds the requests of a customer, or to a backend server.
type Limit struct {
	// Rate is in requests a second, 0 for no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// What the promise allows beyond the rate is divided in two: what allocators may
// save, which serves bursts, and what boxes may hold unused, which spares them asking
// for each request. The rest covers what boxes believe of their zone while they do
// not agree, such as in the moment in which some start.
const (
	savedShare = 0.7
	heldPart   = 0.2
)

// minSaved is how many tokens a zone must be able to save to have a part of a
// customer's limit: with fewer it could not serve two requests at once.
const minSaved = 2

// allowance is how many requests more than at the rate may be sent in a window.
func (t *Tolerance) allowance(l Limit) float64 {
	return t.Overage*l.Rate*t.Window.Seconds() + (1+t.Overage)*l.Burst + t.Slack
}

// division is how a limit is divided between zones.
type division struct {
	// rate is a zone's part of the rate, in tokens a second.
	rate float64
	// maxSaved and held bound a zone's tokens at its allocators and at its boxes.
	maxSaved float64
	maxHeld  float64
	// holders are the zones that have a part, and of each of them its rate and what its
	// allocators may save. A zone without a part borrows of them.
	holders        []string
	holderRate     float64
	holderMaxSaved float64
}

// divide returns the zone's part of a rate, beyond which so many requests may be sent in a
// window. One too small for all of the zones is held by some of them; the others borrow.
func divide(id ID, rate, allowance float64, zone string, zones []string) division {
	holders := zones
	if count := max(1, int(savedShare*allowance/minSaved)); count < len(zones) {
		holders = firstZones(id, zones, count)
	}
	shares := float64(len(holders))
	d := division{holders: holders, holderRate: rate / shares, holderMaxSaved: savedShare * allowance / shares}
	if slices.Contains(holders, zone) {
		d.rate, d.maxSaved, d.maxHeld = d.holderRate, d.holderMaxSaved, heldPart*allowance/shares
	}
	return d
}

// firstZones returns so many zones: the first ones in the limit's own order of them.
func firstZones(id ID, zones []string, count int) []string {
	order := slices.Clone(zones)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(zoneScore(id, b), zoneScore(id, a)) })
	return order[:count]
}

func zoneScore(id ID, zone string) uint64 { return hashing.Mix(uint64(id) ^ hashing.Of(zone)) }

// Box is a box as far as limits are concerned.
type Box struct {
	// Key names it in messages; see KeyOf.
	Key uint64
	// Address is where it takes messages.
	Address string
}

// KeyOf returns the key of the box of that name.
func KeyOf(box string) uint64 { return hashing.Of("box", box) }

// owner returns which of the allocators, by their keys, a customer has: each of them
// has its part of the customers, and one that leaves gives its own to the others.
func owner(id ID, allocators []uint64) uint64 {
	if len(allocators) == 0 {
		return 0
	}
	return slices.MaxFunc(allocators, func(a, b uint64) int {
		return cmp.Compare(hashing.Mix(uint64(id)^a), hashing.Mix(uint64(id)^b))
	})
}
