package machines

import (
	"maps"
	"net/http"
	"strconv"
)

// EraHeader is the header of all answers of the store that rises when it has come back from a copy.
const EraHeader = "Store-Era"

// withEra adds the header to the answers of a handler.
func (s *Store) withEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		w.Header().Set(EraHeader, strconv.Itoa(era))
		h.ServeHTTP(w, r)
	})
}

// StoreCopy is the store's content at a time.
type StoreCopy struct {
	objects  map[string]map[string]*storedObject
	revision uint64
}

// Copy returns a copy of the store.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{objects: map[string]map[string]*storedObject{}, revision: s.revision}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// ComeBackFrom makes the store come back from a copy: what was written since is lost, its revisions
// are given out again, and calls that wait are cut. The era rises.
func (s *Store) ComeBackFrom(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = map[string]map[string]*storedObject{}
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.revision, s.oldestRevision, s.events = c.revision, c.revision, nil
	s.era++
	close(s.away)
	s.away = make(chan struct{})
}

// WriteAgain writes what others than boxes have written since a copy, as they do after the store
// has come back from it.
func (s *Store) WriteAgain(c *StoreCopy) {
	s.mu.Lock()
	lost := map[objectKey]write{}
	for key, w := range s.written {
		if w.revision > c.revision {
			lost[key] = w
		}
	}
	s.mu.Unlock()
	for key, w := range lost {
		if w.spec == nil {
			s.Delete(key.kind, key.name)
		} else {
			s.Put(key.kind, key.name, w.spec)
		}
	}
}
