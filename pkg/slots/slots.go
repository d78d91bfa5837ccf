// Package slots splits the slots of each backend server over boxes of its own
// availability zone, so that all of them together never use more than there
// are, also while boxes come and go and see that at different times.
//
// Each box computes with a view: the boxes of its zone that it believes to
// take part. It tells its view in its heartbeat, and uses no more than what
// every view that it knows of would give it. So a part is given up before it
// is taken: a new box gets its part only when the others' heartbeats show
// views that name it.
//
// Example: dakar-a-1 alone holds all 6 slots of a server. dakar-a-2 starts
// and computes with both names, which would give it 3. The heartbeat of
// dakar-a-1 still shows itself alone, a view that gives dakar-a-2 nothing, so
// it uses none. When dakar-a-1 has read the new list it goes down to 3 and its
// next heartbeat says so; only now dakar-a-2 starts to use its 3.
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

// Part returns how many of the server's slots the view gives to the box.
func (v View) Part(box, server string, slots int) int {
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

// Usable returns how many of the server's slots the box may use: the least
// that its own view, and each view the other boxes of its zone were last heard
// to compute with, gives it.
func Usable(box, server string, slots int, own View, others []View) int {
	part := own.Part(box, server, slots)
	for _, v := range others {
		part = min(part, v.Part(box, server, slots))
	}
	return part
}
