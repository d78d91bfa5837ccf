// Package machines has stand-ins for the platform's store and for backend servers, which speak
// their published protocol, and runs boxes against them.
package machines

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how the store handles a call.
type Mode int

// The modes.
const (
	// Serving answers normally.
	Serving Mode = iota
	// Busy answers 503, and TooMany answers 429.
	Busy
	TooMany
	// Silent never answers calls that arrive in this mode; watches that already wait are
	// answered when the mode ends. Resetting closes the connection without an answer.
	Silent
	Resetting
)

// pageSize is the number of objects on a page of a list.
const pageSize = 5

// Store is a stand-in for the platform's store.
type Store struct {
	Address string
	// mode returns the mode of a call by the caller's IP address and the path; nil means
	// Serving. It is guarded by mu.
	mode func(ip, path string) Mode

	mu             sync.Mutex
	objects        map[string]map[string]*storedObject
	revision       uint64
	events         []storedEvent
	oldestRevision uint64
	changed        chan struct{}
	calls          map[string]int
	server         *http.Server
	closed         chan struct{}
	// era counts how often the store has come back from a copy. away is closed and replaced
	// when it does so, which cuts the calls that wait.
	era  int
	away chan struct{}
	// texts holds the specs that are sent as they are, by the quoted text that stands for each.
	texts sync.Map
	// written holds the last write of each object by others than boxes.
	written map[objectKey]write
}

// objectKey names an object, and write is its content as written last, nil if it was deleted.
type objectKey struct{ kind, name string }

type write struct {
	spec     any
	revision uint64
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Made is when the object was made, in milliseconds since 1970.
	Made int64 `json:"made"`
}

type storedObject struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// storedEvent is a change. Its text is encoded once, since the changes of a long object take long to
// encode, and a store answers soon however many there are.
type storedEvent struct {
	kind     string
	text     []byte
	revision uint64
}

// NewStore starts a store on a free port of the IP address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: l.Addr().String(), objects: map[string]map[string]*storedObject{},
		changed: make(chan struct{}), closed: make(chan struct{}), calls: map[string]int{},
		away: make(chan struct{}), written: map[objectKey]write{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.serve)
	mux.HandleFunc("POST /-/objects/{kind}", s.serveCreate)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", s.serveStatus)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.serveDelete)
	s.server = &http.Server{Handler: s.withEra(mux), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() {
	close(s.closed)
	_ = s.server.Close()
}

// SetMode sets the function that chooses the mode of each call; nil means Serving.
func (s *Store) SetMode(treat func(ip, path string) Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = treat
	s.notifyWatches()
}

// Put creates an object or replaces its spec. The spec is any value that can be encoded as JSON.
func (s *Store) Put(kind, name string, spec any) {
	s.put(kind, name, spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[objectKey{kind, name}] = write{spec, s.revision}
}

// PutText is Put for a spec that is given as a JSON text, which may be nested deeper than package
// encoding/json reads and writes.
func (s *Store) PutText(kind, name, text string) {
	placeholder := "the text of " + kind + "/" + name
	s.texts.Store(strconv.Quote(placeholder), text)
	s.Put(kind, name, placeholder)
}

func (s *Store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storedObject{}
	}
	s.revision++
	o := &storedObject{Metadata: metadata{Name: name, Revision: s.revision, Made: time.Now().UnixMilli()}, Spec: text}
	if known := s.objects[kind][name]; known != nil {
		o.Metadata.Made, o.Status = known.Metadata.Made, known.Status
	}
	s.objects[kind][name] = o
	s.addEvent(kind, o, false)
	s.notifyWatches()
}

// addEvent records a change at the store's revision. The caller holds the lock.
func (s *Store) addEvent(kind string, o *storedObject, deleted bool) {
	text, err := json.Marshal(map[string]any{"object": o, "gone": deleted})
	if err != nil {
		panic(err)
	}
	s.events = append(s.events, storedEvent{kind: kind, text: text, revision: s.revision})
}

// putStatus replaces an object's status if the object still has the revision, and reports whether
// it did.
func (s *Store) putStatus(kind, name string, revision uint64, status json.RawMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil || o.Metadata.Revision != revision {
		return false
	}
	s.revision++
	changed := &storedObject{Metadata: metadata{Name: name, Revision: s.revision, Made: o.Metadata.Made}, Spec: o.Spec, Status: status}
	s.objects[kind][name] = changed
	s.addEvent(kind, changed, false)
	s.notifyWatches()
	return true
}

// StatusOf returns an object's status, or "" if it has none.
func (s *Store) StatusOf(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		return string(o.Status)
	}
	return ""
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.remove(kind, name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[objectKey{kind, name}] = write{nil, s.revision}
}

func (s *Store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.addEvent(kind, o, true)
	s.notifyWatches()
}

// Compact discards the history of changes, so that watches of older revisions are answered 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.oldestRevision = s.revision
	s.revision++
	s.notifyWatches()
}

// Calls returns the number of calls from an IP address.
func (s *Store) Calls(ip string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[ip]
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.countCall(r)
	if s.refused(w, r) {
		return
	}
	kind, q := r.PathValue("kind"), r.URL.Query()
	if q.Get("watch") == "" {
		s.serveList(w, kind, q.Get("after"))
		return
	}
	since, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	s.serveWatch(w, r, kind, since, time.Duration(wait)*time.Millisecond)
}

// serveCreate creates an object, or answers 409 if one of its name exists.
func (s *Store) serveCreate(w http.ResponseWriter, r *http.Request) {
	s.countCall(r)
	if s.refused(w, r) {
		return
	}
	var o storedObject
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.Has(r.PathValue("kind"), o.Metadata.Name) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.put(r.PathValue("kind"), o.Metadata.Name, o.Spec)
	s.writeJSON(w, o)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.countCall(r)
	if s.refused(w, r) {
		return
	}
	if !s.Has(r.PathValue("kind"), r.PathValue("name")) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.remove(r.PathValue("kind"), r.PathValue("name"))
}

// serveStatus replaces an object's status, or answers 409 if its revision is outdated.
func (s *Store) serveStatus(w http.ResponseWriter, r *http.Request) {
	s.countCall(r)
	if s.refused(w, r) {
		return
	}
	var o storedObject
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.putStatus(r.PathValue("kind"), r.PathValue("name"), o.Metadata.Revision, o.Status) {
		w.WriteHeader(http.StatusConflict)
	}
}

// Has reports whether the object exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name] != nil
}

// countCall counts a call under the caller's IP address.
func (s *Store) countCall(r *http.Request) {
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[ip]++
}

// modeOf returns the current mode of a call.
func (s *Store) modeOf(r *http.Request) Mode {
	s.mu.Lock()
	treat := s.mode
	s.mu.Unlock()
	if treat == nil {
		return Serving
	}
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	return treat(ip, r.URL.Path)
}

// refused handles the call according to its mode, and returns false if it is to be served.
func (s *Store) refused(w http.ResponseWriter, r *http.Request) bool {
	switch s.modeOf(r) {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case Silent:
		select {
		case <-s.closed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case Resetting:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

func (s *Store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	page := names[:min(len(names), pageSize)]
	items := make([]*storedObject, 0, len(page))
	for _, name := range page {
		items = append(items, s.objects[kind][name])
	}
	s.writeJSON(w, map[string]any{"items": items, "more": len(names) > len(page), "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, kind string, since uint64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	s.mu.Lock()
	away := s.away
	s.mu.Unlock()
	over := false
	for {
		s.mu.Lock()
		events, gone := s.eventsSince(kind, since)
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		silent := s.modeOf(r) == Silent
		switch {
		case silent:
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			s.write(w, fmt.Appendf(nil, `{"events":[%s],"at":%d}`, bytes.Join(events, []byte(",")), at))
			return
		}
		select {
		case <-changed:
			if s.modeOf(r) != Silent && s.refused(w, r) {
				return
			}
		case <-timeout.C:
			over = true
		case <-s.closed:
			panic(http.ErrAbortHandler)
		case <-away:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the texts of the changes since a revision.
func (s *Store) eventsSince(kind string, since uint64) (events [][]byte, gone bool) {
	if since < s.oldestRevision || since > s.revision {
		return nil, true
	}
	for _, e := range s.events {
		if e.kind == kind && e.revision > since {
			events = append(events, e.text)
		}
	}
	return events, false
}

func (s *Store) writeJSON(w http.ResponseWriter, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.write(w, text)
}

// write writes an answer, with the texts in the places that stand for them.
func (s *Store) write(w http.ResponseWriter, text []byte) {
	s.texts.Range(func(placeholder, spec any) bool {
		text = bytes.ReplaceAll(text, []byte(placeholder.(string)), []byte(spec.(string)))
		return true
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}
