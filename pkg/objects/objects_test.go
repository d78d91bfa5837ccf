package objects

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func object(name string, revision uint64) Object {
	return Object{Name: name, Revision: revision, Spec: json.RawMessage(fmt.Sprint(revision))}
}

// storeModel is a store with its whole history.
type storeModel struct {
	items  map[string]Object
	at     uint64
	events []Event
}

func (s *storeModel) change(name string, gone bool) {
	s.at++
	o := object(name, s.at)
	if gone {
		if _, ok := s.items[name]; !ok {
			return
		}
		delete(s.items, name)
	} else {
		s.items[name] = o
	}
	s.events = append(s.events, Event{Object: o, Deleted: gone})
}

func (s *storeModel) list() []Object {
	var list []Object
	for _, o := range s.items {
		list = append(list, o)
	}
	return list
}

func (s *storeModel) since(at uint64) []Event {
	var list []Event
	for _, e := range s.events {
		if e.Object.Revision > at {
			list = append(list, e)
		}
	}
	return list
}

// TestMirrorFollowsInAnyOrder: old lists, and lists from other boxes between events, never
// return a mirror to an older state, and it ends up equal to the store.
func TestMirrorFollowsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{items: map[string]Object{}}
		m := NewMirror("things")
		seen := map[string]uint64{}
		m.OnChange = func(o Object, gone bool) {
			if o.Revision < seen[o.Name] {
				t.Fatalf("%s went back from %d to %d", o.Name, seen[o.Name], o.Revision)
			}
			seen[o.Name] = o.Revision
		}
		type oldList struct {
			items []Object
			at    uint64
		}
		var lists []oldList
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
				lists = append(lists, oldList{s.list(), s.at})
			case 1:
				if m.Synced() {
					m.Apply(s.since(m.Version().Revision), Exactly(s.at))
				}
			case 2:
				if len(lists) > 0 {
					l := lists[rapid.IntRange(0, len(lists)-1).Draw(t, "list")]
					m.Load(l.items, Exactly(l.at))
				}
			case 3:
				m.Load(s.list(), Exactly(s.at))
			}
		}
		m.Load(s.list(), Exactly(s.at))
		items, held := m.Items()
		if held != Exactly(s.at) || len(items) != len(s.items) {
			t.Fatalf("mirror has %v at %v, store %v at %d", items, held, s.items, s.at)
		}
		for _, o := range items {
			if s.items[o.Name].Revision != o.Revision {
				t.Fatalf("%s is at %d, in the store at %d", o.Name, o.Revision, s.items[o.Name].Revision)
			}
		}
	})
}

func TestDigestTellsEqualMirrors(t *testing.T) {
	is := is.New(t)
	a, b := NewMirror("things"), NewMirror("things")
	a.Load([]Object{object("x", 1), object("y", 2)}, Exactly(2))
	b.Load([]Object{object("x", 1)}, Exactly(1))
	is.True(a.Version().Digest != b.Version().Digest)
	b.Apply([]Event{{Object: object("y", 2)}}, Exactly(7))
	is.Equal(a.Version().Digest, b.Version().Digest)
}

// TestMirrorWithoutAListLacksAnEmptyOne: an empty list has the digest of a mirror without a
// list, and a box that waits for a list must still take it.
func TestMirrorWithoutAListLacksAnEmptyOne(t *testing.T) {
	is := is.New(t)
	a, b := NewMirror("things"), NewMirror("things")
	a.Load(nil, Exactly(4))
	is.True(b.Lacks(a.Version()))
	b.Load(nil, Exactly(4))
	is.True(!b.Lacks(a.Version()))
	a.Apply([]Event{{Object: object("x", 5)}}, Exactly(5))
	is.True(b.Lacks(a.Version()))
	is.True(!a.Lacks(b.Version()))
}

// script is a client whose answers a test provides.
type script struct {
	mu    sync.Mutex
	calls []string
	list  func() (Page, error)
	watch func(ctx context.Context, since uint64) ([]Event, uint64, error)
	// era is the era of all answers to watches.
	era atomic.Uint64
}

func (s *script) client() *Client {
	note := func(call string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls = append(s.calls, call)
	}
	return &Client{
		List: func(_ context.Context, _, after string, _ bool) (Page, error) {
			note("list " + after)
			return s.list()
		},
		Watch: func(ctx context.Context, _ string, since uint64, _ time.Duration) (Changes, error) {
			note(fmt.Sprint("watch ", since))
			events, at, err := s.watch(ctx, since)
			return Changes{Events: events, Revision: at, Era: s.era.Load()}, err
		},
	}
}

func startFollower(s *script, wait time.Duration) (*Follower, func()) {
	f := NewFollower(s.client(), NewMirror("things"), wait, func() float64 { return 0 })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	return f, func() { cancel(); <-done }
}

func eventually(is *is.I, what func() bool) {
	is.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if what() {
			return
		}
	}
	is.Fail()
}

func has(f *Follower, name string) func() bool {
	return func() bool {
		items, _ := f.Mirror.Items()
		for _, o := range items {
			if o.Name == name {
				return true
			}
		}
		return false
	}
}

func blocked(ctx context.Context) ([]Event, uint64, error) {
	<-ctx.Done()
	return nil, 0, &UnavailableError{Cause: ctx.Err()}
}

func TestFollowerReadsAllPagesAndResumes(t *testing.T) {
	is := is.New(t)
	pages := []Page{
		{Items: []Object{object("a", 1)}, More: true, Revision: 5},
		{Items: []Object{object("b", 2)}, Revision: 9},
	}
	s := &script{}
	s.list = func() (Page, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		p := pages[0]
		pages = pages[1:]
		return p, nil
	}
	s.watch = func(ctx context.Context, since uint64) ([]Event, uint64, error) {
		if since == 5 {
			return []Event{{Object: object("c", 6)}}, 6, nil
		}
		return blocked(ctx)
	}
	f, stop := startFollower(s, time.Minute)
	eventually(is, has(f, "c"))
	stop()
	// It continues from the revision of the first page, and from that of the last event.
	is.Equal(s.calls[:3], []string{"list ", "list a", "watch 5"})
}

func TestFollowerListsAnewWhenHistoryIsGone(t *testing.T) { listsAnew(t, &CompactedError{}) }

// TestFollowerListsAnewWhenTheHistoryIsTooLong guards against a follower that asks again and again for
// changes that are a longer answer than it reads, and learns of none of them.
func TestFollowerListsAnewWhenTheHistoryIsTooLong(t *testing.T) {
	listsAnew(t, &TooLongError{Kind: "things", Length: 2, Limit: 1})
}

// listsAnew checks that a follower whose watch fails with the error lists next.
func listsAnew(t *testing.T, failure error) {
	t.Helper()
	is := is.New(t)
	s := &script{}
	lists := 0
	s.list = func() (Page, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		lists++
		if lists == 1 {
			return Page{Items: []Object{object("a", 1)}, Revision: 1}, nil
		}
		return Page{Items: []Object{object("b", 9)}, Revision: 9}, nil
	}
	s.watch = func(ctx context.Context, since uint64) ([]Event, uint64, error) {
		if since == 1 {
			return nil, 0, failure
		}
		return blocked(ctx)
	}
	f, stop := startFollower(s, time.Minute)
	eventually(is, has(f, "b"))
	is.True(!has(f, "a")())
	stop()
	is.Equal(s.calls[:3], []string{"list ", "watch 1", "list "})
}

// TestListThatIsTooLongIsAskedForWithPauses checks that a follower does not ask without pause for a list
// that is a longer answer than it reads.
func TestListThatIsTooLongIsAskedForWithPauses(t *testing.T) {
	is := is.New(t)
	s := &script{}
	s.list = func() (Page, error) { return Page{}, &TooLongError{Kind: "things", Length: 2, Limit: 1} }
	_, stop := startFollower(s, time.Minute)
	time.Sleep(10 * minRetry)
	stop()
	t.Log(len(s.calls), "calls")
	is.True(len(s.calls) >= 2)
	is.True(len(s.calls) <= 7)
}

func TestFollowerAbandonsAWatchWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	s := &script{}
	s.list = func() (Page, error) { return Page{Revision: 1}, nil }
	watches := 0
	s.watch = func(ctx context.Context, _ uint64) ([]Event, uint64, error) {
		s.mu.Lock()
		watches++
		n := watches
		s.mu.Unlock()
		if n == 2 {
			return []Event{{Object: object("late", 2)}}, 2, nil
		}
		return blocked(ctx)
	}
	f, stop := startFollower(s, 10*time.Millisecond)
	defer stop()
	eventually(is, has(f, "late"))
}

// TestRestartedFollowerAsksAtOnce: a restarted follower continues from its revision, which
// costs one watch and no list.
func TestRestartedFollowerAsksAtOnce(t *testing.T) {
	is := is.New(t)
	s := &script{}
	s.list = func() (Page, error) { return Page{Revision: 1}, nil }
	watches := 0
	s.watch = func(ctx context.Context, since uint64) ([]Event, uint64, error) {
		s.mu.Lock()
		watches++
		n := watches
		s.mu.Unlock()
		if n == 2 && since == 1 {
			return []Event{{Object: object("news", 2)}}, 2, nil
		}
		return blocked(ctx)
	}
	f, stop := startFollower(s, time.Hour)
	defer stop()
	eventually(is, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return watches == 1
	})
	start := time.Now()
	f.Restart()
	f.RetryNow()
	eventually(is, has(f, "news"))
	is.True(time.Since(start) < time.Second)
}

// TestFollowerThatIsNotAllowedAsksNothing: a follower that is not allowed to call the store
// makes no calls, and continues from the revision that other boxes have brought the mirror to
// once it is allowed again.
func TestFollowerThatIsNotAllowedAsksNothing(t *testing.T) {
	is := is.New(t)
	s := &script{}
	s.list = func() (Page, error) { return Page{Revision: 1}, nil }
	s.watch = func(ctx context.Context, since uint64) ([]Event, uint64, error) {
		if since == 7 {
			return []Event{{Object: object("news", 8)}}, 8, nil
		}
		return blocked(ctx)
	}
	var allowed atomic.Bool
	f := NewFollower(s.client(), NewMirror("things"), time.Hour, func() float64 { return 0 })
	f.Allowed = allowed.Load
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	eventually(is, f.Mirror.Synced)
	time.Sleep(50 * time.Millisecond)
	f.Mirror.Apply([]Event{{Object: object("other", 7)}}, Exactly(7))
	s.mu.Lock()
	is.Equal(len(s.calls), 1)
	s.mu.Unlock()
	allowed.Store(true)
	f.RetryNow()
	eventually(is, has(f, "news"))
}

func TestHurryEndsAPause(t *testing.T) {
	is := is.New(t)
	s := &script{}
	down := true
	failures := 0
	s.list = func() (Page, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if down {
			failures++
			return Page{}, &UnavailableError{Status: 503}
		}
		return Page{Items: []Object{object("news", 2)}, Revision: 2}, nil
	}
	s.watch = func(ctx context.Context, _ uint64) ([]Event, uint64, error) { return blocked(ctx) }
	f, stop := startFollower(s, time.Hour)
	defer stop()
	eventually(is, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return failures == 5
	})
	s.mu.Lock()
	down = false
	s.mu.Unlock()
	// The pause is at least half a second by now.
	time.Sleep(50 * time.Millisecond)
	f.RetryNow()
	start := time.Now()
	eventually(is, has(f, "news"))
	is.True(time.Since(start) < 300*time.Millisecond)
}

// TestMirrorPassesItsChangesOn: a mirror that applies the changes of another one since its own
// revision is equal to it, wherever both started.
func TestMirrorPassesItsChangesOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{items: map[string]Object{}}
		source, follower := NewMirror("things"), NewMirror("things")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "gone"))
			case 1:
				if source.Synced() {
					source.Apply(s.since(source.Version().Revision), Exactly(s.at))
				}
			case 2:
				source.Load(s.list(), Exactly(s.at))
			case 3:
				events, held, ok := source.EventsSince(follower.Version().Position())
				if ok && follower.Synced() {
					follower.Apply(events, held)
				} else if source.Synced() {
					items, held := source.Items()
					follower.Load(items, held)
				}
				if follower.Version() != source.Version() {
					t.Fatalf("follower at %+v, source at %+v", follower.Version(), source.Version())
				}
			}
		}
	})
}

func TestMirrorForgetsOldChanges(t *testing.T) {
	is := is.New(t)
	m := NewMirror("things")
	m.Load(nil, Exactly(1))
	for i := range uint64(maxChanges + 10) {
		m.Apply([]Event{{Object: object(fmt.Sprint("a", i), i+2)}}, Exactly(i+2))
	}
	_, _, ok := m.EventsSince(Position{Revision: 1})
	is.True(!ok)
	events, held, ok := m.EventsSince(Position{Revision: maxChanges})
	is.True(ok)
	is.Equal(held, Exactly(maxChanges+11))
	is.Equal(len(events), 11)
}

// TestLongListOfAFarStoreIsRead: each page has the timeout of a call, rather than all pages
// together.
func TestLongListOfAFarStoreIsRead(t *testing.T) {
	is := is.New(t)
	s := &script{}
	pages := 0
	s.list = func() (Page, error) {
		time.Sleep(callTimeout / 3)
		s.mu.Lock()
		defer s.mu.Unlock()
		pages++
		return Page{Items: []Object{object(fmt.Sprint("server-", pages), 1)}, More: pages < 5, Revision: 1}, nil
	}
	s.watch = func(ctx context.Context, _ uint64) ([]Event, uint64, error) { return blocked(ctx) }
	f := NewFollower(s.client(), NewMirror("things"), time.Hour, func() float64 { return 0 })
	f.Client.List = func(ctx context.Context, _, _ string, _ bool) (Page, error) {
		p, err := s.list()
		if ctx.Err() != nil {
			return Page{}, &UnavailableError{Cause: ctx.Err()}
		}
		return p, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	eventually(is, has(f, "server-5"))
}

// TestLongListIsHandedOver: a box that may not continue a long list stops after the first
// pages, and continues from the list that another box hands over.
func TestLongListIsHandedOver(t *testing.T) {
	is := is.New(t)
	s := &script{}
	s.list = func() (Page, error) { return Page{Items: []Object{object("a", 1)}, More: true, Revision: 1}, nil }
	s.watch = func(ctx context.Context, since uint64) ([]Event, uint64, error) {
		if since == 7 {
			return []Event{{Object: object("news", 8)}}, 8, nil
		}
		return blocked(ctx)
	}
	f := NewFollower(s.client(), NewMirror("things"), time.Hour, func() float64 { return 0 })
	f.ReadsAllPages = func() bool { return false }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	time.Sleep(4 * turnInterval)
	is.True(!f.Mirror.Synced())
	f.Mirror.Load([]Object{object("b", 6)}, Exactly(7))
	eventually(is, has(f, "news"))
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.calls[:3], []string{"list ", "list a", "watch 7"})
}

// TestBoxWithoutAListCallsAStoreThatIsDownOnce: a box that may not call the store tries
// once and then leaves the calls to the boxes that may.
func TestBoxWithoutAListCallsAStoreThatIsDownOnce(t *testing.T) {
	is := is.New(t)
	s := &script{}
	s.list = func() (Page, error) { return Page{}, &UnavailableError{Status: 503} }
	f := NewFollower(s.client(), NewMirror("things"), time.Hour, func() float64 { return 0 })
	f.Allowed = func() bool { return false }
	f.ReadsAllPages = func() bool { return false }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	time.Sleep(2 * minRetry)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.calls, []string{"list "})
}
