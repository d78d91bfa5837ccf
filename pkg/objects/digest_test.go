package objects

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestDigestFollowsTheObjects: mirrors with equal objects have equal digests, however they got
// them; other mirrors have different ones.
func TestDigestFollowsTheObjects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{items: map[string]Object{}}
		m := NewMirror("things")
		m.Load(s.list(), Exactly(s.at))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.change(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			before := m.Version()
			m.Apply(s.since(before.Revision), Exactly(s.at))
			fresh := NewMirror("things")
			fresh.Load(s.list(), Exactly(s.at))
			if fresh.Version() != m.Version() {
				t.Fatalf("%+v by changes, %+v by a list", m.Version(), fresh.Version())
			}
		}
	})
}

func BenchmarkApplyToALongList(b *testing.B) {
	m := NewMirror("things")
	var items []Object
	for i := range 3000 {
		items = append(items, object(string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), 1))
	}
	m.Load(items, Exactly(1))
	for i := range b.N {
		at := uint64(i + 2)
		m.Apply([]Event{{Object: object("aaa", at)}}, Exactly(at))
	}
}

// BenchmarkLoadLongList measures loading a whole list, as a starting box does.
func BenchmarkLoadLongList(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		var items []Object
		for i := range n {
			items = append(items, object(fmt.Sprintf("i-%08d", i), 1))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				NewMirror("things").Load(items, Exactly(1))
			}
		})
	}
}
