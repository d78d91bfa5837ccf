package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageObjects and pageBytes bound a page of a list.
	pageObjects = 500
	pageBytes   = 1 << 20
	// history is how long the store remembers changes.
	history = 20 * time.Second
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

// metadata is what the store keeps of an object besides its content.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Made       int64    `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// event is a change of an object, as a watch returns it.
type event struct {
	Object object `json:"object"`
	Gone   bool   `json:"gone"`

	kind     string
	revision uint64
	at       time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	objects  map[string]map[string]*object
	revision uint64
	events   []event
	// forgotten is the revision up to which the history is forgotten.
	forgotten uint64
	changed   chan struct{}
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), objects: map[string]map[string]*object{}, revision: 1, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.serveKind)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.serveObject)
	mux.HandleFunc("POST /-/objects/{kind}", s.serveCreate)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", s.serveStatus)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.serveDelete)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

// put makes an object or replaces its spec. It returns once the store would have acknowledged that.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := object{Metadata: metadata{Name: name, Made: time.Now().UnixMilli(), Finalizers: []string{}}, Status: json.RawMessage("null")}
	if known := s.objects[kind][name]; known != nil {
		next = *known
	}
	next.Spec = text
	s.change(kind, next)
}

// change stores a new state of an object. The caller holds the lock.
func (s *store) change(kind string, o object) {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][o.Metadata.Name] = &o
	s.record(event{Object: o, kind: kind})
}

// record adds an event and wakes the watches. The caller holds the lock.
func (s *store) record(e event) {
	e.revision, e.at = s.revision, time.Now()
	s.events = append(s.events, e)
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.forgotten = s.events[0].revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKind(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	if q.Get("watch") == "" {
		s.serveList(w, r.PathValue("kind"), q.Get("after"))
		return
	}
	since, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	s.serveWatch(w, r, since, time.Duration(min(wait, 30_000))*time.Millisecond)
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, strings.Compare)
	items, size := []*object{}, 0
	for _, name := range names {
		o := s.objects[kind][name]
		size += len(o.Spec)
		if len(items) > 0 && (len(items) == pageObjects || size > pageBytes) {
			break
		}
		items = append(items, o)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": len(items) < len(names), "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, since uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		if since < s.forgotten || since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.kind == r.PathValue("kind") && e.revision > since {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveObject(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[r.PathValue("kind")][r.PathValue("name")]; o != nil {
		writeJSON(w, http.StatusOK, o)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *store) serveCreate(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.objects[r.PathValue("kind")][o.Metadata.Name]; known != nil {
		writeJSON(w, http.StatusConflict, known)
		return
	}
	o.Metadata.Made = time.Now().UnixMilli()
	s.change(r.PathValue("kind"), o)
	writeJSON(w, http.StatusOK, o)
}

func (s *store) serveStatus(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	var body object
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.objects[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case known == nil:
		w.WriteHeader(http.StatusNotFound)
	case body.Metadata.Revision != 0 && body.Metadata.Revision != known.Metadata.Revision:
		writeJSON(w, http.StatusConflict, known)
	default:
		next := *known
		next.Status = body.Status
		s.change(r.PathValue("kind"), next)
		writeJSON(w, http.StatusOK, next)
	}
}

func (s *store) serveDelete(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	known := s.objects[kind][name]
	if known == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(event{Object: *known, Gone: true, kind: kind})
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// size returns the length of an object's spec in bytes.
func (s *store) size(kind, name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[kind][name].Spec)
}
