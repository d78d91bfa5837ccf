package box

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/shift"
)

// headroomLimit is the share of a region's slots in use from which on no shift adds
// traffic to the region.
const headroomLimit = 0.8

// seenPlan holds a plan's stamp and the time at which this box first saw it.
type seenPlan struct {
	stamp config.Stamp
	since time.Time
}

func (b *Box) migrator(service string) *shift.Migrator {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.migrators[service]
	if m == nil {
		m = shift.NewMigrator()
		b.migrators[service] = m
	}
	return m
}

func (b *Box) countBucket(service, client string, bucket int) {
	b.migrator(service).Count(client, bucket)
}

// advanceAssignment moves a service's assignment towards its plan, within the cap, and
// returns it. It returns nil while there is no plan yet.
func (b *Box) advanceAssignment(s *model.Service) map[string]*decide.Assignment {
	o := b.Store.Get(config.PlanPrefix + s.Name)
	if o == nil || o.Plan == nil {
		return nil
	}
	m := b.migrator(s.Name)
	m.Advance(time.Now(), s.Name, o.Plan, b.ShiftCap(s), window(s))
	return m.Assignments()
}

func window(s *model.Service) time.Duration {
	return time.Duration(s.ShiftWindowMS) * time.Millisecond
}

// ================================================================
// Planning
// ================================================================

// plan plans the services whose planner is this box. Choosing one planner only saves
// work: a step is written against the revision that it was computed from, so if two
// boxes plan, one write fails.
func (b *Box) plan() {
	if !b.Ready() || !b.confirmed.Load() || b.closed.Load() {
		return
	}
	members := b.Table.Members()
	for _, o := range b.Store.All() {
		if o.IsService() && b.isPlanner(o.Name, members) {
			b.planService(o.Service, members)
		}
	}
}

func (b *Box) isPlanner(service string, members []membership.Member) bool {
	best, bestHash := "", uint64(0)
	for _, m := range members {
		if m.State != membership.Live || !m.Ready {
			continue
		}
		if h := decide.Hash("planner", service, m.Box); best == "" || h > bestHash {
			best, bestHash = m.Box, h
		}
	}
	return best == b.Settings.Box
}

func (b *Box) planService(s *model.Service, members []membership.Member) {
	name := config.PlanPrefix + s.Name
	conditions := b.shiftConditions(s, members)
	current := b.Store.Get(name)
	if current == nil || current.Plan == nil {
		// The first plan describes the present assignment and moves no traffic.
		conditions.Usable = func(string) bool { return true }
		b.writePlan(s, name, 0, shift.Target(&model.Service{Name: s.Name}, nil, conditions), 0)
		return
	}
	if !b.planSeenFor(name, current, window(s)) {
		return
	}
	target := shift.Target(s, current.Plan, conditions)
	next := shift.Step(s.Name, current.Plan, target, b.ShiftCap(s), func(region string) bool {
		return b.hasHeadroom(s.Name, region, members)
	})
	if shift.Distance(current.Plan, next) == 0 {
		return
	}
	b.writePlan(s, name, current.Revision, next, shift.Distance(next, target))
}

// planSeenFor reports whether this box has seen the same plan for a whole window by its
// own clock, without a suspension meanwhile.
func (b *Box) planSeenFor(name string, o *config.Object, window time.Duration) bool {
	stamp := config.Stamp{Revision: o.Revision, ChangeID: o.ChangeID}
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := b.planSeen[name]
	if seen.stamp != stamp {
		b.planSeen[name] = seenPlan{stamp: stamp, since: time.Now()}
		return false
	}
	return time.Since(seen.since) >= window
}

// forgetPlansSeen makes this box see each plan for a whole window again.
func (b *Box) forgetPlansSeen() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.planSeen)
}

func (b *Box) writePlan(s *model.Service, name string, expected uint64, next *shift.Plan, left float64) {
	o, err := b.Writer.Apply(b.context, config.Change{Name: name, Expected: expected, ChangeID: newIncarnation(), Plan: next})
	if err != nil {
		b.log.Warn("plan not written", map[string]any{"service": s.Name, "error": err})
		return
	}
	b.log.Info("planned", map[string]any{"service": s.Name, "revision": o.Revision, "left_to_target": left})
}

// shiftConditions returns which regions serve the service, and which of them can be
// reached.
func (b *Box) shiftConditions(s *model.Service, members []membership.Member) shift.Conditions {
	f := shift.Conditions{ClientRegions: b.Topology.Regions()}
	serving := map[string]bool{}
	for _, server := range s.BackendServers {
		region := b.Topology.RegionOf(server.Zone)
		if !server.Leaving && s.RegionAllowed(region) {
			serving[region] = true
		}
	}
	for _, r := range b.Topology.Regions() {
		if serving[r] {
			f.Serving = append(f.Serving, r)
		}
	}
	f.Usable = func(region string) bool {
		for _, m := range members {
			if b.Topology.RegionOf(m.Zone) == region && m.State != membership.Dead && m.State != membership.Listed && !m.Gone {
				return true
			}
		}
		return false
	}
	return f
}

// hasHeadroom reports whether a region may get more traffic: the load of its boxes is
// known and below headroomLimit of their slots. It returns false if the load is
// unknown, since a shift must not go to a region without measurements.
func (b *Box) hasHeadroom(service, region string, members []membership.Member) bool {
	share, inUse := 0, 0
	for _, m := range members {
		if b.Topology.RegionOf(m.Zone) != region || m.State != membership.Live {
			continue
		}
		for _, l := range m.Load {
			if l.Service == service {
				share += l.Share
				inUse += l.InUse
			}
		}
	}
	return share > 0 && float64(inUse) < headroomLimit*float64(share)
}
