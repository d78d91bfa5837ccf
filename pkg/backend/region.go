package backend

import "time"

// shareStep is how much of a region's keys may move to or from other regions
// in a second, as a part of the cap on shifts. A shift is judged over windows
// of ShiftWindow; the rest of the cap is left to what requests do by chance.
const shareStep = 0.3

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
	slots, own, regions := s.slotsByRegion(g, r)
	if regions == "" {
		return 1
	}
	target := 1.0
	if mean := slots.total / float64(slots.regions); own < mean {
		target = own / mean
	}
	l := g.locals[regions]
	if l == nil {
		l = &localShare{value: target, at: now}
		g.locals[regions] = l
		return target
	}
	step := shareStep * s.Terms.MaxShift * now.Sub(l.at).Seconds() / s.Terms.ShiftWindow.Seconds()
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

// regionSlots sums up the slots of regions.
type regionSlots struct {
	total   float64
	regions int
}

// slotsByRegion returns the slots of all allowed regions, those of this
// region, and a name for the set of regions.
func (s *Set) slotsByRegion(g *group, r *Request) (all regionSlots, own float64, regions string) {
	seen := map[string]float64{}
	order := []string{}
	for _, v := range g.servers {
		if !r.RegionAllowed(v.region) {
			continue
		}
		if _, ok := seen[v.region]; !ok {
			order = append(order, v.region)
		}
		if !s.usable(v) {
			seen[v.region] += 0
			continue
		}
		seen[v.region] += float64(v.Slots)
		all.total += float64(v.Slots)
	}
	all.regions = len(order)
	for _, region := range order {
		regions += region + " "
	}
	return all, seen[s.Region], regions
}
