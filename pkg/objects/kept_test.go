package objects

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/stoneworks/stoneworks/test/heap"
)

// The failure that these tests guard against: a mirror keeps the latest changes for other boxes,
// bounded by their number. Each held the whole object, so that a configuration of 955 kB that
// changed some 280 times took all memory of a box, which was killed with the requests that it had
// passed on. A box that asked for the changes was sent each former state of the object.

// longObject returns an object with a content of the given length.
func longObject(name string, revision uint64, length int) Object {
	return Object{Name: name, Revision: revision, Spec: bytes.Repeat([]byte{'7'}, length)}
}

// keptRounds is how many changes each form makes: more than a mirror keeps.
const keptRounds = maxChanges + 200

// TestMirrorsKeepNoFormerObjects checks that what a mirror holds follows its objects, however often
// they change.
func TestMirrorsKeepNoFormerObjects(t *testing.T) {
	for name, change := range map[string]func(i uint64) []Event{
		"one long object": func(i uint64) []Event { return []Event{{Object: longObject("main", i, 100<<10)}} },
		"several in turn": func(i uint64) []Event { return []Event{{Object: longObject(fmt.Sprint(i%20), i, 30<<10)}} },
		"created and deleted": func(i uint64) []Event {
			return []Event{
				{Object: longObject(fmt.Sprint(i), i, 100<<10)},
				{Object: longObject(fmt.Sprint(i-5), i, 100<<10), Deleted: true},
			}
		},
		"deleted, with long names": func(i uint64) []Event {
			return []Event{{Object: longObject(fmt.Sprint(i)+strings.Repeat("n", 50<<10), i, 0), Deleted: true}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMirror("things")
			m.Load(nil, Exactly(1))
			before := heap.Live()
			for i := range uint64(keptRounds) {
				m.Apply(change(i+2), Exactly(i+2))
			}
			grown, u := heap.Live()-before, m.Usage()
			t.Logf("the heap grew by %d kB; %+v", grown>>10, u)
			is.True(u.ChangeBytes <= maxChangeBytes)
			is.True(grown < u.ObjectBytes+(1<<20))
			is.True(m.Synced())
		})
	}
}

// TestChangesAreNoLongerThanTheirObjects checks that a box that asks for the changes of an object is
// sent its present state once.
func TestChangesAreNoLongerThanTheirObjects(t *testing.T) {
	is := is.New(t)
	m := NewMirror("things")
	m.Load([]Object{object("still", 1)}, Exactly(1))
	for i := range uint64(300) {
		m.Apply([]Event{{Object: object("main", i+2)}}, Exactly(i+2))
	}
	events, held, ok := m.EventsSince(Position{Revision: 1})
	is.True(ok)
	is.Equal(held, Exactly(301))
	is.Equal(events, []Event{{Object: object("main", 301)}})
	events, _, ok = m.EventsSince(Position{Revision: 301})
	is.True(ok)
	is.Equal(len(events), 0)
}

// TestDeletionsAreNotMerged checks that a box that is sent the changes of an object that was deleted
// and created again reports both: a server that is created again is another one.
func TestDeletionsAreNotMerged(t *testing.T) {
	is := is.New(t)
	source, follower := NewMirror("things"), NewMirror("things")
	for _, m := range []*Mirror{source, follower} {
		m.Load([]Object{object("a", 1)}, Exactly(1))
	}
	var reported []string
	follower.OnChange = func(o Object, gone bool) {
		reported = append(reported, fmt.Sprintf("%s at %d, gone %t", o.Name, o.Revision, gone))
	}
	source.Apply([]Event{{Object: object("a", 2)}, {Object: object("a", 3), Deleted: true}}, Exactly(3))
	source.Apply([]Event{{Object: object("a", 4)}, {Object: object("a", 5)}}, Exactly(5))
	events, held, ok := source.EventsSince(follower.Version().Position())
	is.True(ok)
	follower.Apply(events, held)
	is.Equal(reported, []string{"a at 1, gone true", "a at 5, gone false"})
	is.Equal(follower.Version(), source.Version())
	events, _, ok = source.EventsSince(Position{Revision: 3})
	is.True(ok)
	is.Equal(events, []Event{{Object: object("a", 5)}}) // the deletion is known there
}

// TestChangesLeadToTheSameState checks that changes of any order, length and number lead a follower
// that asks now and then to the source's objects.
func TestChangesLeadToTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{items: map[string]Object{}}
		source, follower := NewMirror("things"), NewMirror("things")
		source.Load(nil, Exactly(0))
		follower.Load(nil, Exactly(0))
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			for range rapid.IntRange(0, 12).Draw(t, "changes") {
				s.change(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			}
			source.Apply(s.since(source.Version().Revision), Exactly(s.at))
			if rapid.Bool().Draw(t, "asks") {
				events, held, ok := source.EventsSince(follower.Version().Position())
				if !ok || len(events) > 2*4 {
					t.Fatalf("%d events, known: %t", len(events), ok)
				}
				follower.Apply(events, held)
				if follower.Version() != source.Version() {
					t.Fatalf("follower at %+v, source at %+v", follower.Version(), source.Version())
				}
			}
		}
	})
}
