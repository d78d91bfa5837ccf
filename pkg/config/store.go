// Package config holds the configuration that is in force on this box and
// moves it forward, only forward.
//
// An object may arrive from the platform, from another box, or late, or from a
// store that was put back to an older state. Whatever the way, the highest
// revision of each object wins and everything older is ignored, so boxes that
// have heard the same objects agree, in whatever order they heard them.
package config

import (
	"hash/fnv"
	"sort"
	"strconv"
	"sync"

	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/shift"
)

// PlanPrefix starts the names of plans, which no service can have.
const PlanPrefix = "plan:"

// Object is one revision of one service, or of a service's plan. A deleted service stays as a
// tombstone, so that an older revision cannot bring it back.
type Object struct {
	Name     string         `json:"name"`
	Revision uint64         `json:"revision"`
	ChangeID string         `json:"change_id"`
	Deleted  bool           `json:"deleted,omitempty"`
	Service  *model.Service `json:"service,omitempty"`
	Plan     *shift.Plan    `json:"plan,omitempty"`
}

// IsService reports whether o is a service that is not deleted.
func (o *Object) IsService() bool { return o.Service != nil }

// Newer reports whether o replaces other. Two objects of one revision that
// differ can only come from a store that lost its memory; the change id
// decides then, so that all boxes decide alike.
func (o *Object) Newer(other *Object) bool {
	if other == nil || o.Revision != other.Revision {
		return other == nil || o.Revision > other.Revision
	}
	return o.ChangeID > other.ChangeID
}

// Store is the configuration in force.
type Store struct {
	// OnChange is called, without any lock held, with each object that came
	// into force.
	OnChange func(*Object)
	// Newer reports whether an object replaces the one in force; a seam for
	// tests.
	Newer func(o, inForce *Object) bool

	mu      sync.RWMutex
	objects map[string]*Object
	synced  bool
}

// NewStore makes an empty store that is not ready.
func NewStore() *Store {
	return &Store{objects: map[string]*Object{}, OnChange: func(*Object) {}, Newer: (*Object).Newer}
}

// Merge takes in objects and returns those that came into force. Merge is
// commutative, associative and idempotent.
func (s *Store) Merge(objects ...*Object) []*Object {
	var news []*Object
	s.mu.Lock()
	for _, o := range objects {
		if s.Newer(o, s.objects[o.Name]) {
			s.objects[o.Name] = o
			news = append(news, o)
		}
	}
	s.mu.Unlock()
	for _, o := range news {
		s.OnChange(o)
	}
	return news
}

// MarkSynced says that a whole copy was read, from the platform or a peer.
func (s *Store) MarkSynced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = true
}

// Synced reports whether a whole copy was ever read. Until then a service
// that is not here may exist all the same.
func (s *Store) Synced() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.synced
}

// Get returns the object in force, tombstones too, or nil.
func (s *Store) Get(name string) *Object {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.objects[name]
}

// All returns every object by name, tombstones too.
func (s *Store) All() []*Object {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*Object, 0, len(s.objects))
	for _, o := range s.objects {
		all = append(all, o)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Digest returns a short text that is equal on boxes with the same objects.
func (s *Store) Digest() string {
	h := fnv.New64a()
	for _, o := range s.All() {
		_, _ = h.Write([]byte(o.Name + "\x00" + strconv.FormatUint(o.Revision, 10) + "\x00" + o.ChangeID + "\x00"))
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Stamp tells two revisions of an object apart.
type Stamp struct {
	Revision uint64 `json:"r"`
	ChangeID string `json:"c"`
}

// Stamps returns the stamp of each object.
func (s *Store) Stamps() map[string]Stamp {
	s.mu.RLock()
	defer s.mu.RUnlock()
	m := make(map[string]Stamp, len(s.objects))
	for n, o := range s.objects {
		m[n] = Stamp{Revision: o.Revision, ChangeID: o.ChangeID}
	}
	return m
}

// NewerThan returns the objects that are newer than those a peer has.
func (s *Store) NewerThan(stamps map[string]Stamp) []*Object {
	var objects []*Object
	for _, o := range s.All() {
		theirs, ok := stamps[o.Name]
		if !ok || o.Newer(&Object{Revision: theirs.Revision, ChangeID: theirs.ChangeID}) {
			objects = append(objects, o)
		}
	}
	return objects
}
