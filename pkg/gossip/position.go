package gossip

import (
	"slices"
	"sort"
	"time"
)

// servingDelay is how long after clients first sent a box requests it counts as one that
// shares its zone's work: by then the other boxes know.
const servingDelay = 2 * Interval

// Position is a box's position in its zone, and the first boxes of each zone.
type Position struct {
	// CapacityShare is this box's share of the capacity of the boxes that share the zone's
	// work: the first boxes of the zone, and those that clients have sent requests within the
	// last minute. It is 0 for a box that is neither. Boxes that have recently fallen silent
	// count; while nothing is heard of the zone none is forgotten, since this box may be cut
	// off.
	CapacityShare float64
	// Neighbours is how many other boxes of the zone are known, Others how many boxes of other
	// zones.
	Neighbours int
	Others     int
	// First are the first boxes of each zone that are live and not leaving, in the order in
	// which they take on the zone's work, this one included.
	First map[string][]Record
}

// Position returns this box's position, with up to count first boxes of each zone. The first
// sharing boxes of its own zone share the zone's work whether or not clients send them
// requests.
func (t *Table) Position(count, sharing int) Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	s := Position{First: map[string][]Record{}}
	if !t.self.Leaving {
		s.First[t.self.Zone] = []Record{t.self}
	}
	for _, e := range t.sorted {
		if e.Zone != t.self.Zone {
			s.Others++
		}
		if !e.Leaving && t.live(e, now) {
			s.First[e.Zone] = insertFirst(s.First[e.Zone], e.Record, count)
		}
	}
	neighbours := t.neighbours()
	s.Neighbours = len(neighbours)
	s.CapacityShare = t.capacityShare(neighbours, sharing, now)
	return s
}

// neighbours returns the other boxes of the zone, except forgotten ones.
func (t *Table) neighbours() []*entry {
	var list []*entry
	for _, e := range t.ownZone.members {
		if t.ownZone.heard.Sub(e.heard) <= ForgetAfter {
			list = append(list, e)
		}
	}
	return list
}

// capacityShare returns this box's share among the boxes that share the zone's work.
func (t *Table) capacityShare(neighbours []*entry, sharing int, now time.Time) float64 {
	before := 0
	for _, e := range neighbours {
		if e.precedes(&t.self) {
			before++
		}
	}
	serves := t.self.Serving && now.Sub(t.servingSince) >= servingDelay
	if before >= sharing && !serves {
		return 0
	}
	slices.SortFunc(neighbours, func(a, b *entry) int {
		if a.precedes(&b.Record) {
			return -1
		}
		return 1
	})
	own := weightOf(&t.self)
	total := own
	for place, e := range neighbours {
		if t.self.precedes(&e.Record) {
			place++
		}
		if place < sharing || t.ownZone.heard.Sub(e.servingHeard) <= ForgetAfter {
			total += weightOf(&e.Record)
		}
	}
	return own / total
}

// weightOf returns the weight of a box among those of its zone.
func weightOf(r *Record) float64 {
	if r.Capacity <= 0 {
		return 1
	}
	return r.Capacity
}

// insertFirst inserts a record into an ordered list and keeps its first count records.
func insertFirst(list []Record, r Record, count int) []Record {
	at := sort.Search(len(list), func(i int) bool { return r.precedes(&list[i]) })
	if at >= count {
		return list
	}
	list = slices.Insert(list, at, r)
	return list[:min(len(list), count)]
}
