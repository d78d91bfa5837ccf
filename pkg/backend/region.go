package backend

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/policy"
)

// localShare is the share of a region's keys that have their home in that region; the others have
// it elsewhere. It follows the slots of the regions, and the load if the region's servers are
// busier than others, but changes no faster than the cap on shifts allows.
type localShare struct {
	value float64
	at    time.Time
}

// fills holds how much of their slots a service's servers have taken, as reported in their
// answers, for this region (near) and all others (far).
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

// add adds the load that a server reported.
func (f *fill) add(load *Load, now time.Time) {
	sample := float64(load.Running+load.Waiting) / float64(max(1, load.Slots))
	if f.at.IsZero() {
		f.value, f.at = sample, now
		return
	}
	weight := 1 - math.Exp(-now.Sub(f.at).Seconds()/fillSpan.Seconds())
	f.value += max(weight, minFillWeight) * (sample - f.value)
	f.at = now
}

// minFillWeight is the least weight of a new report.
const minFillWeight = 0.002

// now returns the average. It decays while no server reports, so that a region that gets no
// requests is tried again.
func (f *fill) now(now time.Time) float64 {
	return f.value * math.Exp(-now.Sub(f.at).Seconds()/fillSpan.Seconds())
}

// targetShare returns the share that the load calls for, given the share of the slots. If
// requests wait at the region's servers and others have much less to do, keys move away; they
// return when the region's servers have room. Customers that are bound to a region can fill its
// servers, whatever other keys have their home there.
func (f *fills) targetShare(p *policy.Policy, share, bySlots float64, now time.Time) float64 {
	near, far := f.near.now(now), f.far.now(now)
	switch {
	case near > p.NearFill && near > far+p.NearGap:
		return 0
	case near < p.NearRoom || near < far-p.NearGap:
		return bySlots
	}
	return min(share, bySlots)
}

// regionFill returns the average fill that the servers of the region, or of all regions but this
// box's own, report.
func (s *Set) regionFill(g *group, region string, now time.Time) float64 {
	if region == s.Region {
		return g.fills.near.now(now)
	}
	return g.fills.far.now(now)
}

// localShareOf returns the share of this region's keys that stay in the region, given the regions
// that the request allows.
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
	target = g.fills.targetShare(&s.Policy, l.value, target, now)
	step := s.Policy.ShareStep * s.Bounds.MaxShift * now.Sub(l.at).Seconds() / s.Bounds.ShiftWindow.Seconds()
	l.value += max(-step, min(step, target-l.value))
	l.at = now
	return l.value
}

// largeBodyWeight is the weight of a new request in the share of requests with large bodies.
const largeBodyWeight = 0.005

// shareBySize divides the share of keys that stay in the region between requests with large
// bodies and others. Those with large bodies stay first; the sum is unchanged.
func (g *group) shareBySize(share float64, largeBody bool) float64 {
	sample := 0.0
	if largeBody {
		sample = 1
	}
	g.largeBodies += largeBodyWeight * (sample - g.largeBodies)
	largeBodyShare := 1.0
	if g.largeBodies > share {
		largeBodyShare = share / g.largeBodies
	}
	if largeBody {
		return largeBodyShare
	}
	return (share - g.largeBodies*largeBodyShare) / (1 - min(g.largeBodies, 0.99))
}

// regionSlots is the number of slots of a region's servers that may get requests.
type regionSlots struct {
	region string
	slots  float64
}

// countSlots counts the slots of each region.
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

// slotsOf returns the mean slots of the allowed regions, the slots of this region, and a name for
// the set of allowed regions.
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
