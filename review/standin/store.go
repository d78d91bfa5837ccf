package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: lists, watches, and writes of single objects.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []event
	changed  chan struct{}
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Made       uint64   `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object of a kind.
type event struct {
	kind     string
	revision uint64
	Object   *object `json:"object"`
	Gone     bool    `json:"gone"`
}

// listPage bounds the objects of one page.
const listPage = 500

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.read)
	mux.HandleFunc("POST /-/objects/{kind}", s.create)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.remove)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// put makes an object or replaces its spec. The return is the acknowledgement.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, text)
}

// set stores an object. The caller holds the lock.
func (s *store) set(kind, name string, spec json.RawMessage) *object {
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Made: s.revision, Finalizers: []string{}}, Spec: spec}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	if known := s.objects[kind][name]; known != nil {
		o.Metadata.Made = known.Metadata.Made
	}
	s.objects[kind][name] = o
	s.record(event{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) record(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.PathValue("kind")
	if known := s.objects[kind][o.Metadata.Name]; known != nil {
		answer(w, http.StatusConflict, known)
		return
	}
	answer(w, http.StatusOK, s.set(kind, o.Metadata.Name, o.Spec))
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(event{kind: kind, revision: s.revision, Object: o, Gone: true})
	answer(w, http.StatusOK, o)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Get("watch") == "" {
		s.list(w, kind, query.Get("after"))
		return
	}
	since, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.watch(w, r, kind, since, time.Duration(wait)*time.Millisecond)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []*object{}
	for _, name := range names[:min(len(names), listPage)] {
		items = append(items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": len(names) > len(items), "at": s.revision})
}

// watch answers as soon as there is an event of the kind, or when the wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, since uint64, wait time.Duration) {
	over := time.NewTimer(wait)
	defer over.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-over.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
