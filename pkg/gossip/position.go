package gossip

import (
	"slices"
	"sort"
	"time"
)

// servesAfter is how long after clients have come to a box it counts as one that shares
// its zone's work: by then the others know.
const servesAfter = 2 * Interval

// Position is a box's place in its zone, and who comes first in each zone.
type Position struct {
	// CapacityShare is this box's part of the capacity of the boxes that share the zone's work:
	// the first ones of the zone, and those whose clients have sent requests within the
	// last minute. It is 0 for one that is neither. Those that have lately fallen silent
	// count; while nothing is heard of the zone none is forgotten, since this box may be
	// cut off.
	CapacityShare float64
	// Neighbours is how many other boxes of the zone are known, Others how many boxes
	// of other zones.
	Neighbours int
	Others     int
	// First are the first boxes of each zone that are live and not leaving, in the
	// order in which they take on the zone's work, this one included.
	First map[string][]Record
}

// Position returns this box's place, with up to count first boxes of each zone. The
// first sharing boxes of its own zone share the zone's work whether clients come to
// them or not.
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
	s.CapacityShare = t.part(neighbours, sharing, now)
	return s
}

// neighbours are the other boxes of the zone, but for those forgotten.
func (t *Table) neighbours() []*entry {
	var list []*entry
	for _, e := range t.own.members {
		if t.own.heard.Sub(e.heard) <= ForgetAfter {
			list = append(list, e)
		}
	}
	return list
}

// part is this box's part among those that share the zone's work.
func (t *Table) part(neighbours []*entry, sharing int, now time.Time) float64 {
	before := 0
	for _, e := range neighbours {
		if e.precedes(&t.self) {
			before++
		}
	}
	serves := t.self.Serving && now.Sub(t.servingSince) >= servesAfter
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
		if place < sharing || t.own.heard.Sub(e.served) <= ForgetAfter {
			total += weightOf(&e.Record)
		}
	}
	return own / total
}

// weightOf is what a box counts for among those of its zone.
func weightOf(r *Record) float64 {
	if r.Capacity <= 0 {
		return 1
	}
	return r.Capacity
}

// insertFirst keeps the first count records, in their order.
func insertFirst(list []Record, r Record, count int) []Record {
	at := sort.Search(len(list), func(i int) bool { return r.precedes(&list[i]) })
	if at >= count {
		return list
	}
	list = slices.Insert(list, at, r)
	return list[:min(len(list), count)]
}
