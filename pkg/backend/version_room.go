package backend

import (
	"maps"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// VersionRoom returns, by region, the slots of a service's servers that run a version and of all
// others, and how many requests this box has there.
func (s *Set) VersionRoom(service, version string) []rollout.RegionRoom {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.services[service]
	if g == nil {
		return nil
	}
	now := s.Now()
	regions := map[string]*rollout.RegionRoom{}
	for _, v := range g.servers {
		if !s.usable(v) {
			continue
		}
		r := regions[v.region]
		if r == nil {
			r = &rollout.RegionRoom{Region: v.region}
			regions[v.region] = r
		}
		r.HasOthers = r.HasOthers || v.Version != version
		r.Load += float64(v.load.own)
		switch {
		case !s.carries(v, now):
		case v.Version == version:
			r.Version += float64(v.Slots)
		default:
			r.Others += float64(v.Slots)
		}
	}
	list := make([]rollout.RegionRoom, 0, len(regions))
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		list = append(list, *regions[region])
	}
	return list
}

// carries reports whether the server takes its part of the requests: it is neither cold nor
// ejected.
func (s *Set) carries(v *server, now time.Time) bool {
	return !now.Before(v.coldUntil) && !s.mayHaveRestarted(v, now) && !v.health.ejected(now)
}
