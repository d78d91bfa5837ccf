// Package slots divides the slots of each backend server among boxes, so that together
// they never use more than there are, even while boxes start and stop and learn of that
// at different times.
//
// A backend server's slots belong to the boxes of its own availability zone.
// The other boxes of its region use them only if that zone has no box left.
//
// Each box has a view of every zone: the list of boxes that it believes to share the
// zone's slots. It sends its views in its heartbeats, and uses no more slots than the
// smallest share that any view known to it gives it. So one box releases a share before
// another uses it. If requests in flight keep a box above its share, its heartbeat
// carries the excess, and the other boxes leave that many slots unused.
//
// A box that released its share must not take it back because of an outdated heartbeat,
// since another box may be using it by then. Therefore views have versions, boxes
// report which version of each other's views they have seen, and a view stays active
// until every other box has seen a later one. So at any time there is one view, the
// oldest active one, whose shares no box exceeds.
//
// Example: dakar-a-1 is alone and holds all 6 slots of a server. dakar-a-2 starts; its
// view has both names and gives it 3. The heartbeat of dakar-a-1 still has a view with
// only itself, which gives dakar-a-2 none, so dakar-a-2 uses none. When dakar-a-1
// receives a heartbeat of dakar-a-2, it reduces its share to 3, with 4 requests still in
// flight: its next heartbeat has both names and an excess of 1. Once dakar-a-2 has seen
// it, and dakar-a-1 knows that, dakar-a-2 uses 2 slots, and 3 when the excess is gone.
package slots

import (
	"sort"

	"github.com/stoneworks/stoneworks/pkg/decide"
)

// View is the sorted list of the boxes that share one zone's slots.
type View []string

// NewView makes a view from names in any order, without duplicates.
func NewView(boxes ...string) View {
	v := append(View(nil), boxes...)
	sort.Strings(v)
	kept := v[:0]
	for i, b := range v {
		if i == 0 || b != v[i-1] {
			kept = append(kept, b)
		}
	}
	return kept
}

// Has reports whether the view contains the box.
func (v View) Has(box string) bool {
	i := sort.SearchStrings(v, box)
	return i < len(v) && v[i] == box
}

// Homes returns the boxes of the view that connect to the server. The first ones get
// one slot more if the slots do not divide evenly.
func (v View) Homes(server string) []string {
	type scored struct {
		box   string
		score uint64
	}
	all := make([]scored, 0, len(v))
	for _, b := range v {
		all = append(all, scored{b, decide.Hash("home", server, b)})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].score > all[j].score })
	n := min(len(all), decide.HomesPerServer)
	homes := make([]string, 0, n)
	for _, s := range all[:n] {
		homes = append(homes, s.box)
	}
	return homes
}

// Share returns the number of the server's slots that the view gives to the box.
func (v View) Share(box, server string, slots int) int {
	homes := v.Homes(server)
	for i, h := range homes {
		if h != box {
			continue
		}
		share := slots / len(homes)
		if i < slots%len(homes) {
			share++
		}
		return share
	}
	return 0
}

// VersionedView is a view with its version, which increases with every change.
type VersionedView struct {
	Version uint64
	View    View
}

// PeerReport is the content of another box's last heartbeat for one server.
type PeerReport struct {
	// Views are the box's active views of the server's zone.
	Views []VersionedView
	// Excess is the number of slots that the box uses above its share of the server.
	Excess int
}

// ActiveViews returns the active ones of a box's own views: the last one that every
// other box has seen, and all later ones. seen holds the version that each other box
// last reported to have seen.
func ActiveViews[V any](own []V, version func(V) uint64, seen []uint64) []V {
	first := 0
	for i, v := range own {
		if seenByAll(version(v), seen) {
			first = i
		}
	}
	return own[first:]
}

func seenByAll(version uint64, seen []uint64) bool {
	for _, s := range seen {
		if s < version {
			return false
		}
	}
	return true
}

// Usable returns the number of the server's slots that the box may use: the smallest
// share that any active view, its own or another box's, gives it, less the excess of
// the others.
func Usable(box, server string, slots int, own []VersionedView, others []PeerReport) int {
	share := slots
	for _, v := range own {
		share = min(share, v.View.Share(box, server, slots))
	}
	excess := 0
	for _, o := range others {
		excess += o.Excess
		for _, v := range o.Views {
			share = min(share, v.View.Share(box, server, slots))
		}
	}
	return max(share-excess, 0)
}
