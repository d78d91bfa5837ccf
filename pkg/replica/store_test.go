package replica

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// storeKinds are the kinds of objects in the model's store.
var storeKinds = Kinds{Configuration: "configuration", Servers: "servers", Evacuations: "evacuations"}

// treatment is how the store treats a box.
type treatment int

const (
	serving treatment = iota
	// silent: calls are never answered; pending calls are answered once the store responds
	// again.
	silent
	// refusing: new and pending calls are refused at once.
	refusing
)

// pageSize is the number of objects on a page of a list.
const pageSize = 3

// modelStore is a store whose answers take some time, and which may treat each box
// differently.
type modelStore struct {
	mu sync.Mutex
	at uint64
	// oldest is the revision from which the history is known.
	oldest uint64
	// byKind means that answers contain the revision of the last change of their own kind,
	// rather than of any kind.
	byKind bool
	last   map[string]uint64
	// objects are all objects, events all changes since oldest, by kind.
	objects    map[string]map[string]objects.Object
	events     map[string][]objects.Event
	treatments map[string]treatment
	// watches counts the watches by kind.
	watches map[string]int
	// changed is closed when anything changes.
	changed chan struct{}
}

// storeDelay is how long a call takes to the store, and its answer back.
const storeDelay = 55 * time.Millisecond

func newModelStore() *modelStore {
	return &modelStore{
		objects: map[string]map[string]objects.Object{}, events: map[string][]objects.Event{},
		treatments: map[string]treatment{}, last: map[string]uint64{}, watches: map[string]int{}, changed: make(chan struct{}),
	}
}

// revisionFor returns the revision for an answer of a kind. The store must be locked.
func (s *modelStore) revisionFor(kind string) uint64 {
	if s.byKind {
		return max(s.last[kind], s.oldest)
	}
	return s.at
}

// wake wakes all pending watches because something has changed. The store must be locked.
func (s *modelStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put creates or replaces an object.
func (s *modelStore) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.change(kind, name, text)
}

// remove deletes an object.
func (s *modelStore) remove(kind, name string) { s.change(kind, name, nil) }

func (s *modelStore) change(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.last[kind] = s.at
	o := objects.Object{Name: name, Revision: s.at, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]objects.Object{}
	}
	if spec == nil {
		delete(s.objects[kind], name)
	} else {
		s.objects[kind][name] = o
	}
	s.events[kind] = append(s.events[kind], objects.Event{Object: o, Deleted: spec == nil})
	s.wake()
}

// treat sets how the store treats boxes from now on.
func (s *modelStore) treat(m treatment, boxes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range boxes {
		s.treatments[b] = m
	}
	s.wake()
}

// compact discards the history and interrupts the watches.
func (s *modelStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.oldest = s.at
	clear(s.events)
	s.wake()
}

// client returns a client of the store for a box.
func (s *modelStore) client(box string) *objects.Client {
	return &objects.Client{
		List: func(ctx context.Context, kind, after string, _ bool) (objects.Page, error) {
			return s.list(ctx, box, kind, after)
		},
		Watch: func(ctx context.Context, kind string, since uint64, wait time.Duration) (objects.Changes, error) {
			events, at, err := s.watch(ctx, box, kind, since, wait)
			return objects.Changes{Events: events, Revision: at}, err
		},
	}
}

// refusedStatus is the status with which the store refuses a call.
const refusedStatus = 503

// arrive takes a call to the store.
func (s *modelStore) arrive(ctx context.Context, box string) error {
	time.Sleep(storeDelay)
	s.mu.Lock()
	m := s.treatments[box]
	s.mu.Unlock()
	switch m {
	case silent:
		<-ctx.Done()
	case refusing:
		return &objects.UnavailableError{Status: refusedStatus}
	}
	return unavailable(ctx.Err())
}

func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return &objects.UnavailableError{Cause: err}
}

func (s *modelStore) list(ctx context.Context, box, kind, after string) (objects.Page, error) {
	if err := s.arrive(ctx, box); err != nil {
		return objects.Page{}, err
	}
	s.mu.Lock()
	page := objects.Page{Revision: s.revisionFor(kind)}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		if len(page.Items) == pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.objects[kind][name])
	}
	s.mu.Unlock()
	time.Sleep(storeDelay)
	return page, unavailable(ctx.Err())
}

func (s *modelStore) watch(ctx context.Context, box, kind string, since uint64, wait time.Duration) ([]objects.Event, uint64, error) {
	if err := s.arrive(ctx, box); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	s.watches[kind]++
	s.mu.Unlock()
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		m, at, oldest, changed := s.treatments[box], s.revisionFor(kind), s.oldest, s.changed
		var events []objects.Event
		for _, e := range s.events[kind] {
			if e.Object.Revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch over := !time.Now().Before(end); {
		case m == refusing:
			return nil, 0, &objects.UnavailableError{Status: refusedStatus}
		case m == silent:
		case since < oldest:
			return nil, 0, &objects.CompactedError{}
		case len(events) > 0 || over:
			time.Sleep(storeDelay)
			return events, at, unavailable(ctx.Err())
		}
		timer := time.NewTimer(max(time.Until(end), 0))
		over := timer.C
		if m == silent {
			over = nil
		}
		select {
		case <-changed:
		case <-over:
		case <-ctx.Done():
			timer.Stop()
			return nil, 0, unavailable(ctx.Err())
		}
		timer.Stop()
	}
}
