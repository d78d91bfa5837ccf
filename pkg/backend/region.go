package backend

import (
	"maps"
	"slices"
	"time"
)

// localShare is the share of a region's keys that have their home in that
// region; the others have it elsewhere. It follows the regions' slots, but no
// faster than the cap on shifts allows.
type localShare struct {
	value float64
	at    time.Time
}

// localShareOf returns the share of this region's keys that stay in the
// region, among the regions that are allowed.
func (s *Set) localShareOf(g *group, r *Request, now time.Time) float64 {
	mean, own, regions := s.slotsOf(g, r)
	if regions == "" {
		return 1
	}
	target := 1.0
	if own < mean {
		target = own / mean
	}
	l := g.locals[regions]
	if l == nil {
		l = &localShare{value: target, at: now}
		g.locals[regions] = l
		return target
	}
	step := s.Policy.ShareStep * s.Terms.MaxShift * now.Sub(l.at).Seconds() / s.Terms.ShiftWindow.Seconds()
	l.value += max(-step, min(step, target-l.value))
	l.at = now
	return l.value
}

// heavyWeight is the weight of a new request in the share of heavy ones.
const heavyWeight = 0.005

// shareOfKind divides the share of keys that stay in the region between heavy
// requests and others: heavy ones stay first. The sum remains the same.
func (g *group) shareOfKind(share float64, heavy bool) float64 {
	sample := 0.0
	if heavy {
		sample = 1
	}
	g.heavy += heavyWeight * (sample - g.heavy)
	heavyShare := 1.0
	if g.heavy > share {
		heavyShare = share / g.heavy
	}
	if heavy {
		return heavyShare
	}
	return (share - g.heavy*heavyShare) / (1 - min(g.heavy, 0.99))
}

// regionSlots is how many slots the servers of a region have that may get
// requests.
type regionSlots struct {
	region string
	slots  float64
}

// countSlots works out the slots of each region.
func (s *Set) countSlots(g *group) {
	g.changed = false
	slots := map[string]float64{}
	for _, v := range g.servers {
		if s.usable(v) {
			slots[v.region] += float64(v.Slots)
		} else {
			slots[v.region] += 0
		}
	}
	g.regions = g.regions[:0]
	for _, region := range slices.Sorted(maps.Keys(slots)) {
		g.regions = append(g.regions, regionSlots{region, slots[region]})
	}
}

// slotsOf returns the mean of the slots of the allowed regions, the slots of
// this region, and a name for the set of regions.
func (s *Set) slotsOf(g *group, r *Request) (mean, own float64, regions string) {
	if g.changed {
		s.countSlots(g)
	}
	total, count := 0.0, 0.0
	for _, e := range g.regions {
		if !r.RegionAllowed(e.region) {
			continue
		}
		total += e.slots
		count++
		regions += e.region + " "
		if e.region == s.Region {
			own = e.slots
		}
	}
	return total / max(1, count), own, regions
}
