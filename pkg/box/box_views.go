package box

import (
	"reflect"
	"time"

	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/slots"
)

// sharesSlots reports whether a box shares the slots of its zone, as far as this box
// knows: it is listed or not dead, and has not released its slots.
func sharesSlots(m membership.Member) bool {
	return !m.Gone && (m.InList || m.State != membership.Dead)
}

// views returns this box's present view of every zone of its region, by zone. The slots
// of a zone without boxes are shared by all boxes of the region.
func (b *Box) views(members []membership.Member) map[string]slots.View {
	boxesOf := map[string][]string{}
	var region []string
	for _, m := range members {
		if b.Topology.RegionOf(m.Zone) != b.region || !sharesSlots(m) {
			continue
		}
		boxesOf[m.Zone] = append(boxesOf[m.Zone], m.Box)
		region = append(region, m.Box)
	}
	views := map[string]slots.View{}
	for _, z := range b.Topology.Zones() {
		if z.Region != b.region {
			continue
		}
		views[z.Zone] = slots.NewView(boxesOf[z.Zone]...)
		if len(boxesOf[z.Zone]) == 0 {
			views[z.Zone] = slots.NewView(region...)
		}
	}
	return views
}

// slotPeers returns the other boxes of the region whose views and excess limit this
// box's slots. A dead box that is in no view no longer counts.
func (b *Box) slotPeers(members []membership.Member, views map[string]slots.View) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.Box == b.Settings.Box || m.State == membership.Listed || b.Topology.RegionOf(m.Zone) != b.region {
			continue
		}
		if m.SilentFor > membership.DeadAfter && !views[m.Zone].Has(m.Box) {
			continue
		}
		list = append(list, m)
	}
	return list
}

// anyPartial reports whether a box of the region that is older than this one is known
// only from a record that came through another region. The slots that it holds are not
// known until its full record arrives or it is dead. A younger box holds no slots that
// this box does not know of.
func (b *Box) anyPartial(peers []membership.Member) bool {
	for _, m := range peers {
		age := time.Duration(m.AgeMS)*time.Millisecond + m.SilentFor
		if m.Partial && m.SilentFor <= membership.DeadAfter && age > b.age() {
			return true
		}
	}
	return false
}

// reportsOf returns what the peers report of one server. For a box that has released
// its slots this is its excess only.
func reportsOf(peers []membership.Member, zone, server string) []slots.PeerReport {
	all := make([]slots.PeerReport, 0, len(peers))
	for _, m := range peers {
		t := slots.PeerReport{Excess: m.Excess[server]}
		if !m.Gone {
			t.Views = viewsOf(m.Views, zone)
		}
		all = append(all, t)
	}
	return all
}

func viewsOf(views []membership.SlotViews, zone string) []slots.VersionedView {
	list := make([]slots.VersionedView, 0, len(views))
	for _, v := range views {
		list = append(list, slots.VersionedView{Version: v.Version, View: v.Zones[zone]})
	}
	return list
}

// activeViews returns this box's views that some other box may still apply, the present
// ones last.
func (b *Box) activeViews(views map[string]slots.View, peers []membership.Member) []membership.SlotViews {
	zones := map[string][]string{}
	for zone, v := range views {
		zones[zone] = v
	}
	b.mu.Lock()
	own := append([]membership.SlotViews(nil), b.ownViews...)
	b.mu.Unlock()
	version := uint64(time.Now().UnixMilli())
	if n := len(own); n > 0 {
		version = max(version, own[n-1].Version+1)
	}
	if n := len(own); n == 0 || !reflect.DeepEqual(own[n-1].Zones, zones) {
		own = append(own, membership.SlotViews{Version: version, Zones: zones})
	}
	var seen []uint64
	for _, m := range peers {
		if !m.Gone {
			seen = append(seen, m.Seen[b.Settings.Box])
		}
	}
	return slots.ActiveViews(own, func(v membership.SlotViews) uint64 { return v.Version }, seen)
}

// recordAppliedViews stores which views the gates now apply, for heartbeats and
// applyNewViews, and reports whether this box's active views have changed.
func (b *Box) recordAppliedViews(own []membership.SlotViews, peers []membership.Member) (changed bool) {
	seen := map[string]uint64{}
	applied := map[string]appliedView{}
	for _, m := range peers {
		applied[m.Box] = appliedView{version: m.ViewsVersion(), views: len(m.Views), excess: len(m.Excess), partial: m.Partial}
		if v := m.ViewsVersion(); v > 0 {
			seen[m.Box] = v
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = !sameVersions(b.ownViews, own)
	b.ownViews, b.seenViews, b.appliedViews = own, seen, applied
	return changed
}

// appliedView identifies the views and the excess of another box that the gates apply.
type appliedView struct {
	version uint64
	views   int
	excess  int
	partial bool
}

func sameVersions(a, b []membership.SlotViews) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Version != b[i].Version {
			return false
		}
	}
	return true
}

// applyNewViews is called when records of other boxes have arrived. If their views are
// new, the gates apply them before this box reports that it has seen them.
func (b *Box) applyNewViews() {
	b.mu.Lock()
	known := b.appliedViews
	b.mu.Unlock()
	for _, m := range b.Table.Members() {
		if m.Box == b.Settings.Box || m.State == membership.Dead || b.Topology.RegionOf(m.Zone) != b.region {
			continue
		}
		if known[m.Box] != (appliedView{version: m.ViewsVersion(), views: len(m.Views), excess: len(m.Excess), partial: m.Partial}) {
			b.rebuild()
			return
		}
	}
}
