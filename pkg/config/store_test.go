package config

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/platform"
)

// init fixes the seed so that every run tests the same cases; -rapid.seed=0 selects a
// new seed for each run.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
}

// TestMergeAgrees merges the same objects into two stores in different orders, some more
// than once: the stores end up equal, and no revision decreases on the way.
func TestMergeAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objects := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *Object {
			return &Object{
				Name:     fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "name")),
				Revision: uint64(rapid.IntRange(1, 5).Draw(t, "revision")),
				ChangeID: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "change")),
				Deleted:  rapid.Bool().Draw(t, "deleted"),
			}
		}), 0, 20).Draw(t, "objects")
		a, b := NewStore(), NewStore()
		highest := map[string]uint64{}
		for _, o := range objects {
			a.Merge(o)
			for _, now := range a.All() {
				if now.Revision < highest[now.Name] {
					t.Fatalf("revision of %s decreased to %d", now.Name, now.Revision)
				}
				highest[now.Name] = now.Revision
			}
		}
		shuffled := rapid.Permutation(objects).Draw(t, "order")
		b.Merge(append(shuffled, shuffled...)...)
		if a.Digest() != b.Digest() {
			t.Fatalf("%v and %v", a.Stamps(), b.Stamps())
		}
		if len(a.NewerThan(b.Stamps())) != 0 {
			t.Fatal("equal stores have nothing newer for each other")
		}
	})
}

func TestNewerThanNothing(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	s.Merge(&Object{Name: "s", Revision: 1, Service: &model.Service{Name: "s"}})
	is.Equal(len(s.NewerThan(nil)), 1)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"s","revision":1,"service":{"name":"s"}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		o, err := Decode(platform.Object{Kind: Kind, Name: "s", Value: value})
		if err == nil && (o.Name != "s" || o.Revision == 0) {
			t.Fatalf("%+v", o)
		}
	})
}
