package objects

import (
	"fmt"
	"sort"
	"testing"

	"pgregory.net/rapid"
)

// pageSize is the number of objects on a page of the model's lists.
const pageSize = 2

// listing is a list that a box reads page by page while the store changes.
type listing struct {
	items []Object
	after string
	held  Extent
	began bool
}

// page reads the next page and reports whether the list is complete.
func (l *listing) page(s *storeModel) bool {
	if !l.began {
		l.began, l.held.CompleteTo = true, s.at
	}
	l.held.PartialTo = s.at
	names := make([]string, 0, len(s.items))
	for name := range s.items {
		if name > l.after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names[:min(pageSize, len(names))] {
		l.items = append(l.items, s.items[name])
		l.after = name
	}
	return len(names) <= pageSize
}

// lacking describes a change up to the mirror's revision that the mirror does not reflect, or
// returns "" if there is none.
func lacking(s *storeModel, m *Mirror) string {
	items, extent := m.Items()
	at := extent.CompleteTo
	held := map[string]Object{}
	for _, o := range items {
		held[o.Name] = o
	}
	last := map[string]Event{}
	for _, e := range s.events {
		if e.Object.Revision <= at {
			last[e.Object.Name] = e
		}
	}
	for name, e := range last {
		o, ok := held[name]
		switch {
		case e.Deleted && ok && o.Revision < e.Object.Revision:
			return fmt.Sprintf("%s was deleted at %d, but is held at revision %d by a mirror at %d", name, e.Object.Revision, o.Revision, at)
		case !e.Deleted && ok && o.Revision < e.Object.Revision:
			return fmt.Sprintf("%s was changed at %d, but is held at revision %d by a mirror at %d", name, e.Object.Revision, o.Revision, at)
		case !e.Deleted && !ok && s.items[name].Revision == e.Object.Revision:
			return fmt.Sprintf("%s was put at %d, but is not held by a mirror at %d", name, e.Object.Revision, at)
		}
	}
	return ""
}

// The failure that this test guards against: a server announces that it is leaving while a box
// reads a list of several pages. The first page is older than that change, a later one
// includes it. The box reports the first page's revision as its own. Another box, which is
// past that revision but has not seen the change, asks it for the changes since. The answer
// lacks what the list contained early, but leads to a revision that includes it. So that box
// takes itself to be up to date and sends requests to the server until its entry changes
// again.
//
// There were two causes. A mirror recorded changes under the revision that it had reached,
// instead of the highest one they may have come from. And a mirror that had skipped changes by
// loading a new list still passed on the changes since before that list, without those it had
// skipped.

// TestMirrorsThatLearnFromEachOtherMissNothing: whether a mirror is updated from the store, by
// lists of many pages and by watches, or from the changes of other mirrors, it holds all
// changes up to the revision that it reports.
func TestMirrorsThatLearnFromEachOtherMissNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{items: map[string]Object{}}
		boxes := []*Mirror{NewMirror("things"), NewMirror("things"), NewMirror("things")}
		lists := make([]listing, len(boxes))
		// arriving holds what other boxes have handed over and has not arrived yet.
		arriving := make([]func(), len(boxes))
		box := rapid.IntRange(0, len(boxes)-1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := box.Draw(t, "box")
			m := boxes[i]
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				s.change(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			case 2:
				if lists[i].page(s) {
					m.Load(lists[i].items, lists[i].held)
					lists[i] = listing{}
				}
			case 3:
				if m.Synced() {
					m.Apply(s.since(m.Version().Revision), Exactly(s.at))
				}
			case 4:
				source := boxes[box.Draw(t, "source")]
				if source == m || !m.Lacks(source.Version()) {
					continue
				}
				if events, held, ok := source.EventsSince(m.Version().Position()); ok && m.Synced() {
					arriving[i] = func() { m.Apply(events, held) }
				} else if source.Synced() {
					items, held := source.Items()
					arriving[i] = func() { m.Load(items, held) }
				}
			case 5:
				if arriving[i] != nil {
					arriving[i]()
					arriving[i] = nil
				}
			}
			if missing := lacking(s, m); missing != "" {
				t.Fatal(missing)
			}
		}
	})
}
