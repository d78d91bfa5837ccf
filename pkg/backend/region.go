package backend

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// localShare is the share of a region's keys that have their home in that
// region; the others have it elsewhere. It follows the regions' slots, and the load
// where the region's servers have more to do than others, but no faster than the cap
// on shifts allows.
type localShare struct {
	value float64
	at    time.Time
}

// fills are how much of their slots a service's servers have taken, as they told it in
// their answers: those of this region, and others. They are moving averages.
type fills struct {
	near, far fill
}

// fill is a moving average over fillSpan.
type fill struct {
	value float64
	at    time.Time
}

// fillSpan is the span of the averages: as long as a window of the cap on shifts.
const fillSpan = 2 * time.Second

// add takes in what a server add.
func (f *fill) add(load *Load, now time.Time) {
	sample := float64(load.Running+load.Waiting) / float64(max(1, load.Slots))
	if f.at.IsZero() {
		f.value, f.at = sample, now
		return
	}
	weight := 1 - math.Exp(-now.Sub(f.at).Seconds()/fillSpan.Seconds())
	f.value += max(weight, fillLeast) * (sample - f.value)
	f.at = now
}

// fillLeast is the least weight of a new answer.
const fillLeast = 0.002

// now returns the average. It fades while nothing is told, so that a region that gets
// nothing any more is tried again.
func (f *fill) now(now time.Time) float64 {
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/fillSpan.Seconds())
}

// wanted is the share that the load asks for, given that of the slots. Where the
// region's servers have requests waiting and others much less to do, keys leave it;
// they come back when its servers have room. Customers that are bound to a region
// fill its servers so, whoever else has keys there.
func (f *fills) wanted(p *policy.Policy, share, bySlots float64, now time.Time) float64 {
	near, far := f.near.now(now), f.far.now(now)
	switch {
	case near > p.NearFill && near > far+p.NearGap:
		return 0
	case near < p.NearRoom || near < far-p.NearGap:
		return bySlots
	}
	return min(share, bySlots)
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
	target = g.fills.wanted(&s.Policy, l.value, target, now)
	step := s.Policy.ShareStep * s.Bounds.MaxShift * now.Sub(l.at).Seconds() / s.Bounds.ShiftWindow.Seconds()
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
