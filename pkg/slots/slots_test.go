package slots

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// init fixes the seed so that every run tests the same cases; -rapid.seed=0 selects a
// new seed for each run.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "20000")
}

func TestPartsOfOneViewSumToSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.SliceOfN(rapid.StringMatching(`[a-e]`), 1, 5).Draw(t, "boxes")
		slots := rapid.IntRange(0, 9).Draw(t, "slots")
		v := NewView(boxes...)
		sum := 0
		for _, b := range v {
			sum += v.Share(b, "server", slots)
		}
		if sum != slots {
			t.Fatalf("%v: %d of %d", v, sum, slots)
		}
	})
}

// box is one box of the model: its active views, the heartbeat that it sent last, the
// heartbeats that it received, its requests in flight and its usable slots.
type box struct {
	views  []VersionedView
	sent   heartbeat
	heard  map[string]heartbeat
	inUse  int
	usable int
}

type heartbeat struct {
	views  []VersionedView
	seen   map[string]uint64
	excess int
}

// TestNeverAboveSlots drives boxes that change their views at any time and receive each
// other's heartbeats late and in any order: together they never use more than the slots.
// Without view versions and Seen, a box that had released its share took it back because
// of an outdated heartbeat.
func TestNeverAboveSlots(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		boxes := map[string]*box{}
		for _, n := range names {
			boxes[n] = &box{views: []VersionedView{{1, NewView(names...)}}, heard: map[string]heartbeat{}}
		}
		for _, b := range boxes {
			b.sent = heartbeat{views: b.views, seen: map[string]uint64{"a": 1, "b": 1, "c": 1}}
		}
		for _, n := range names {
			for _, other := range names {
				if other != n {
					boxes[n].heard[other] = boxes[other].sent
				}
			}
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			n := rapid.SampledFrom(names).Draw(t, "box")
			b := boxes[n]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				next := NewView(rapid.SliceOfN(rapid.SampledFrom(names), 1, 3).Draw(t, "view")...)
				b.views = append(b.views[:len(b.views):len(b.views)], VersionedView{b.views[len(b.views)-1].Version + 1, next})
			case 1, 2:
				if other := rapid.SampledFrom(names).Draw(t, "other"); other != n {
					b.heard[other] = boxes[other].sent
				}
			case 3:
				if b.inUse < b.usable {
					b.inUse++
				}
			case 4:
				b.inUse = max(b.inUse-1, 0)
			}
			b.refresh(n, slots)
			sum := 0
			for _, other := range boxes {
				sum += other.inUse
			}
			if sum > slots {
				t.Fatalf("%d in use of %d", sum, slots)
			}
		}
	})
}

// refresh does what a box does before a heartbeat: it computes its usable slots, then the
// heartbeat.
func (b *box) refresh(name string, slots int) {
	var others []PeerReport
	var seen []uint64
	acknowledged := map[string]uint64{}
	for other, h := range b.heard {
		others = append(others, PeerReport{Views: h.views, Excess: h.excess})
		seen = append(seen, h.seen[name])
		acknowledged[other] = h.views[len(h.views)-1].Version
	}
	b.views = ActiveViews(b.views, func(v VersionedView) uint64 { return v.Version }, seen)
	b.usable = Usable(name, "server", slots, b.views, others)
	b.sent = heartbeat{views: b.views, seen: acknowledged, excess: max(b.inUse-b.usable, 0)}
}

// TestShareIsUsableOnceOthersHaveSeenTheView checks that a box can use a larger share once
// all others have seen the view that gives it.
func TestShareIsUsableOnceOthersHaveSeenTheView(t *testing.T) {
	is := is.New(t)
	own := []VersionedView{{1, NewView("a", "b")}, {2, NewView("a")}}
	version := func(v VersionedView) uint64 { return v.Version }
	is.Equal(Usable("a", "s", 6, ActiveViews(own, version, []uint64{1}), nil), 3)
	is.Equal(Usable("a", "s", 6, ActiveViews(own, version, []uint64{2}), nil), 6)
	is.Equal(Usable("a", "s", 6, ActiveViews(own, version, nil), nil), 6)
}

func TestViewAndHomes(t *testing.T) {
	is := is.New(t)
	v := NewView("a", "b", "c", "a")
	is.Equal(len(v), 3)
	is.True(v.Has("b"))
	is.Equal(len(v.Homes("server")), 2)
}
