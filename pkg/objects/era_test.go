package objects

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// eraMirror is a mirror with a clock, and what it has reported.
type eraMirror struct {
	*Mirror
	now      time.Time
	reported map[string]string
}

func newEraMirror() *eraMirror {
	m := &eraMirror{Mirror: NewMirror("things"), now: time.Now(), reported: map[string]string{}}
	m.Now = func() time.Time { return m.now }
	m.OnChange = func(o Object, gone bool) {
		if gone {
			delete(m.reported, o.Name)
			return
		}
		m.reported[o.Name] = string(o.Spec)
	}
	return m
}

func spec(name string, revision uint64, text string) Object {
	return Object{Name: name, Revision: revision, Spec: []byte(text)}
}

func at(era, revision uint64) Extent { return At(Position{Era: era, Revision: revision}) }

// TestCopyUndoesNothingUntilEverybodyHasWrittenAgain checks that what a copy shows of the time before
// does not take effect while it may be written again, that a change does at once, and that the copy does
// in the end.
func TestCopyUndoesNothingUntilEverybodyHasWrittenAgain(t *testing.T) {
	is := is.New(t)
	m := newEraMirror()
	m.Load([]Object{spec("leaving", 9, "draining"), spec("kept", 3, "x"), spec("new", 10, "x")}, at(1, 10))
	m.Apply([]Event{{Object: spec("gone", 10, "x")}, {Object: spec("gone", 11, "x"), Deleted: true}}, at(1, 11))
	before := map[string]string{"leaving": "draining", "kept": "x", "new": "x"}
	is.Equal(m.reported, before)
	is.True(m.Load([]Object{spec("leaving", 4, "ready"), spec("kept", 3, "x"), spec("gone", 5, "x")}, at(2, 5)))
	is.Equal(m.reported, before)
	is.Equal(m.Version().Revision, uint64(5))
	m.Apply([]Event{{Object: spec("new", 6, "y")}}, at(2, 6))
	is.Equal(m.reported["new"], "y")
	m.Apply([]Event{{Object: spec("leaving", 7, "draining")}}, at(2, 7)) // written again
	m.now = m.now.Add(settleTime)
	m.Settle()
	is.Equal(m.reported, map[string]string{"leaving": "draining", "kept": "x", "new": "y", "gone": "x"})
}

// TestPastEraChangesNothing checks lists, events and positions of an era that is over.
func TestPastEraChangesNothing(t *testing.T) {
	is := is.New(t)
	m := newEraMirror()
	m.Load([]Object{spec("a", 40, "old")}, at(1, 50))
	m.Load([]Object{spec("a", 40, "old")}, at(2, 45))
	m.Apply([]Event{{Object: spec("a", 46, "new")}}, at(2, 46))
	version := m.Version()
	is.True(!m.Load([]Object{spec("a", 60, "late")}, at(1, 60)))
	m.Apply([]Event{{Object: spec("a", 61, "late")}}, at(1, 61))
	is.Equal(m.reported["a"], "new")
	is.Equal(m.Version(), version)
	is.True(!m.Lacks(Version{Era: 1, Revision: 90, Digest: 1}))
	is.True(m.Lacks(Version{Era: 3, Revision: 1, Digest: 1}))
	_, _, ok := m.EventsSince(Position{Era: 1, Revision: 45})
	is.True(!ok)
}

// TestMirrorsAgreeInTheLastEra checks as a property that mirrors which follow a store through copies, in
// lists and events that arrive in any order, hold what it holds, and report that in the end.
func TestMirrorsAgreeInTheLastEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{items: map[string]Object{}}
		era := uint64(1)
		type answer struct {
			items  []Object
			events []Event
			extent Extent
		}
		var answers []answer
		m := newEraMirror()
		m.OnChange = func(o Object, gone bool) {
			if delete(m.reported, o.Name); !gone {
				m.reported[o.Name] = string(o.Spec)
			}
		}
		copied := storeModel{items: map[string]Object{}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			case 2:
				copied = storeModel{items: map[string]Object{}, at: store.at}
				for name, o := range store.items {
					copied.items[name] = o
				}
			case 3:
				era++
				store = &storeModel{items: map[string]Object{}, at: copied.at}
				for name, o := range copied.items {
					store.items[name] = o
				}
			case 4:
				answers = append(answers, answer{items: store.list(), extent: at(era, store.at)})
			case 5:
				if v := m.Version(); m.Synced() && v.Era == era && v.Revision >= copied.at {
					answers = append(answers, answer{events: store.since(v.Revision), extent: at(era, store.at)})
				}
			}
			if len(answers) > 0 && rapid.Bool().Draw(t, "arrives") {
				i := rapid.IntRange(0, len(answers)-1).Draw(t, "which")
				a := answers[i]
				answers = append(answers[:i:i], answers[i+1:]...)
				if a.events != nil {
					if v := m.Version(); v.Era == a.extent.Era {
						m.Apply(a.events, a.extent)
					}
				} else {
					m.Load(a.items, a.extent)
				}
			}
		}
		m.Load(store.list(), at(era, store.at))
		m.now = m.now.Add(settleTime)
		m.Settle()
		want := map[string]string{}
		for name, o := range store.items {
			want[name] = string(o.Spec)
		}
		if fmt.Sprint(m.reported) != fmt.Sprint(want) {
			t.Fatalf("reported %v, the store has %v", m.reported, want)
		}
	})
}

// TestFollowerListsAgainInANewEra checks an answer of a later era, one of a past era, and a store that
// goes back without telling an era: no loop of calls without a pause.
func TestFollowerListsAgainInANewEra(t *testing.T) {
	is := is.New(t)
	s := &script{}
	s.list = func() (Page, error) {
		return Page{Items: []Object{object("a", 5)}, Revision: 40 + s.era.Load(), Era: s.era.Load()}, nil
	}
	s.watch = func(ctx context.Context, since uint64) ([]Event, uint64, error) {
		if s.era.Load() == 0 && since > 40 {
			return nil, 0, &CompactedError{}
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-time.After(time.Millisecond):
			return nil, since, nil
		}
	}
	s.era.Store(3)
	f, stop := startFollower(s, time.Second)
	defer stop()
	eventually(is, func() bool { return f.Mirror.Version().Position() == Position{3, 43} })
	s.era.Store(4)
	eventually(is, func() bool { return f.Mirror.Version().Position() == Position{4, 44} })
	s.era.Store(2)
	time.Sleep(50 * time.Millisecond)
	is.Equal(f.Mirror.Version().Position(), Position{4, 44})
	s.era.Store(0)
	eventually(is, func() bool { return f.Mirror.Version().Revision == 40 })
	s.mu.Lock()
	calls := len(s.calls)
	s.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(len(s.calls)-calls < 300)
}
