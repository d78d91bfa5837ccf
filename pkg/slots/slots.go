// Package slots splits the slots of each backend server over boxes, so that
// all of them together never use more than there are, also while boxes come
// and go and see that at different times.
//
// A backend server's slots belong to the boxes of its own availability zone.
// Only if that has no box left do the other boxes of its region adopt them.
//
// Each box computes with a view of every zone: the boxes that it believes to
// share the zone's slots. It tells its views in its heartbeat, and uses no
// more than what every view that it knows of would give it. So a part is given
// up before it is taken. Where requests in flight keep a box above its part,
// it says by how much, and the others leave that much alone.
//
// A box that gave its part up may not take it back on old news: another box
// may have taken it meanwhile. So views have versions, boxes tell which version
// of each other's view they have seen, and a view counts until every other box
// has seen a later one. At any moment there is then one view, the oldest that
// still counts, whose parts nobody exceeds.
//
// Example: dakar-a-1 alone holds all 6 slots of a server. dakar-a-2 starts
// and computes with both names, which would give it 3. The heartbeat of
// dakar-a-1 still shows itself alone, a view that gives dakar-a-2 nothing, so
// it uses none. When dakar-a-1 has heard of dakar-a-2 it goes down to 3, with
// 4 requests still in flight: its next heartbeat shows both names and an
// excess of 1. Once dakar-a-2 has seen that, and dakar-a-1 that it has seen
// it, dakar-a-2 uses 2, and 3 as soon as the excess is gone.
package slots

import (
	"sort"

	"github.com/stoneworks/stoneworks/pkg/decide"
)

// View is a sorted list of boxes of one zone.
type View []string

// NewView makes a view from names in any order, each kept once.
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

// Has reports whether the view names the box.
func (v View) Has(box string) bool {
	i := sort.SearchStrings(v, box)
	return i < len(v) && v[i] == box
}

// Homes returns the boxes of the view that connect to the server, in the
// order in which they get the slots that do not divide evenly.
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

// Share returns how many of the server's slots the view gives to the box.
func (v View) Share(box, server string, slots int) int {
	homes := v.Homes(server)
	for i, h := range homes {
		if h != box {
			continue
		}
		part := slots / len(homes)
		if i < slots%len(homes) {
			part++
		}
		return part
	}
	return 0
}

// VersionedView is a view with its version, which rises with every change.
type VersionedView struct {
	Version uint64
	View    View
}

// PeerReport is what another box said in its last heartbeat.
type PeerReport struct {
	// Views are those of its views of the server's zone that still count.
	Views []VersionedView
	// Excess is by how much it is above its part of the server.
	Excess int
}

// ActiveViews returns those of a box's own views that still count: the last one
// that every other box has seen, and all later ones. seen has the version that
// each other box was last heard to have seen.
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

// Usable returns how many of the server's slots the box may use: the least
// that any view that still counts, its own and those told by others, gives
// it, less what others hold in excess.
func Usable(box, server string, slots int, own []VersionedView, others []PeerReport) int {
	part := slots
	for _, v := range own {
		part = min(part, v.View.Share(box, server, slots))
	}
	excess := 0
	for _, o := range others {
		excess += o.Excess
		for _, v := range o.Views {
			part = min(part, v.View.Share(box, server, slots))
		}
	}
	return max(part-excess, 0)
}
