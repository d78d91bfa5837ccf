// Package config holds the active configuration of this box, whose revisions only
// increase.
//
// An object may arrive from the platform or from another box, late, or from a platform
// that was restored to an older state. In any case the highest revision of each object
// wins and older ones are ignored, so boxes that have received the same objects agree,
// independent of their order.
package config

import (
	"hash/fnv"
	"sort"
	"strconv"
	"sync"

	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/shift"
)

// PlanPrefix is the prefix of the names of plans. No service can have such a name.
const PlanPrefix = "plan:"

// Object is a revision of a service, or of a service's plan. A deleted service stays as a
// tombstone, so that an older revision cannot restore it.
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

// Newer reports whether o replaces other. Different objects with the same revision can
// only come from a platform that lost data; the greater change id wins then, so that all
// boxes agree.
func (o *Object) Newer(other *Object) bool {
	if other == nil || o.Revision != other.Revision {
		return other == nil || o.Revision > other.Revision
	}
	return o.ChangeID > other.ChangeID
}

// Store holds the active configuration.
type Store struct {
	// OnChange is called, without any lock held, with each object that became active.
	OnChange func(*Object)
	// Newer reports whether an object replaces the active one. Tests may replace it.
	Newer func(o, inForce *Object) bool

	mu      sync.RWMutex
	objects map[string]*Object
	synced  bool
}

// NewStore makes an empty store that is not synced.
func NewStore() *Store {
	return &Store{objects: map[string]*Object{}, OnChange: func(*Object) {}, Newer: (*Object).Newer}
}

// Merge merges objects and returns those that became active. It is commutative,
// associative and idempotent.
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

// MarkSynced records that a complete copy was read, from the platform or from a peer.
func (s *Store) MarkSynced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = true
}

// Synced reports whether a complete copy was ever read. Before that, a service that is
// missing here may exist.
func (s *Store) Synced() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.synced
}

// Get returns the active object, which may be a tombstone, or nil.
func (s *Store) Get(name string) *Object {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.objects[name]
}

// All returns all objects including tombstones, sorted by name.
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

// Digest returns a hash of the names, revisions and change ids of all objects.
func (s *Store) Digest() string {
	h := fnv.New64a()
	for _, o := range s.All() {
		_, _ = h.Write([]byte(o.Name + "\x00" + strconv.FormatUint(o.Revision, 10) + "\x00" + o.ChangeID + "\x00"))
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Stamp identifies a revision of an object.
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

// NewerThan returns the objects that are newer than a peer's, given by stamps.
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
