// Package standin has simple implementations of the platform and of backend servers, for tests
// and the demo.
package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/platform"
)

// watchTime is how long a watch waits for a change before it is answered without one.
const watchTime = 10 * time.Second

// PlatformFault is the fault that the platform injects; the zero value is none.
type PlatformFault struct {
	// Down drops the connection of every call.
	Down bool `json:"down"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers applies writes, then drops the connection instead of answering.
	LoseAnswers bool `json:"lose_answers"`
	// StaleBy answers reads with the state of so many writes ago.
	StaleBy int `json:"stale_by"`
}

// Platform is a store of versioned objects with a list of boxes.
type Platform struct {
	mu      sync.Mutex
	version uint64
	objects map[string]platform.Object
	history []map[string]platform.Object
	boxes   []platform.Box
	fault   PlatformFault
	changed chan struct{}
	calls   map[string]int
}

// NewPlatform returns a platform with the given list of boxes and no objects.
func NewPlatform(boxes []platform.Box) *Platform {
	return &Platform{objects: map[string]platform.Object{}, boxes: boxes, changed: make(chan struct{}), calls: map[string]int{}}
}

// ServeHTTP serves the platform's protocol, and the paths under /admin/ for tests.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/admin/") {
		p.admin(w, r)
		return
	}
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	if fault.Down {
		panic(http.ErrAbortHandler)
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case r.URL.Path == "/boxes":
		p.count("boxes")
		p.mu.Lock()
		boxes := append([]platform.Box{}, p.boxes...)
		p.mu.Unlock()
		reply(w, http.StatusOK, boxes)
	case len(parts) == 2 && r.URL.Query().Has("since"):
		p.count("watch")
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		reply(w, http.StatusOK, p.watch(r, parts[1], since))
	case len(parts) == 2:
		p.count("list")
		p.mu.Lock()
		page := p.page(parts[1], 0)
		p.mu.Unlock()
		reply(w, http.StatusOK, page)
	case len(parts) == 3 && r.Method == http.MethodPut:
		p.count("put")
		p.put(w, r, parts[1], parts[2])
	case len(parts) == 3:
		p.count("get")
		p.get(w, parts[1], parts[2])
	default:
		reply(w, http.StatusNotFound, nil)
	}
}

func (p *Platform) count(verb string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[verb]++
}

// view returns the objects that reads see: the current ones, or older ones with StaleBy.
func (p *Platform) view() map[string]platform.Object {
	if back := p.fault.StaleBy; back > 0 && len(p.history) > 0 {
		return p.history[max(0, len(p.history)-back)]
	}
	return p.objects
}

// page returns the objects of a kind that are newer than version since.
func (p *Platform) page(kind string, since uint64) platform.Page {
	page := platform.Page{Version: p.version, Objects: []platform.Object{}}
	for _, o := range p.view() {
		if o.Kind == kind && o.Version > since {
			page.Objects = append(page.Objects, o)
		}
	}
	return page
}

// watch waits for objects newer than version since. It returns an empty page after watchTime, or
// at once if the store's version is below since, as after a restore.
func (p *Platform) watch(r *http.Request, kind string, since uint64) platform.Page {
	timeout := time.After(watchTime)
	for {
		p.mu.Lock()
		page, changed := p.page(kind, since), p.changed
		p.mu.Unlock()
		if len(page.Objects) > 0 || page.Version < since {
			return page
		}
		select {
		case <-changed:
		case <-timeout:
			return page
		case <-r.Context().Done():
			return page
		}
	}
}

func (p *Platform) get(w http.ResponseWriter, kind, name string) {
	p.mu.Lock()
	o, ok := p.view()[kind+"/"+name]
	p.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, o)
}

// put writes an object if its current version equals the If-Match header, and fails with status
// 412 otherwise.
func (p *Platform) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	expected, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	var value json.RawMessage
	if err != nil || json.NewDecoder(r.Body).Decode(&value) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	p.mu.Lock()
	current := p.objects[kind+"/"+name]
	if current.Version != expected {
		p.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, platform.Object{Version: current.Version})
		return
	}
	p.history = append(p.history, clone(p.objects))
	if len(p.history) > 64 {
		p.history = p.history[1:]
	}
	p.version++
	o := platform.Object{Kind: kind, Name: name, Version: p.version, Value: value}
	p.objects[kind+"/"+name] = o
	close(p.changed)
	p.changed = make(chan struct{})
	lose := p.fault.LoseAnswers
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, o)
}

// admin lets a test set the fault, replace the list of boxes and undo the last writes. Every call
// that is carried out answers with the counts of calls by verb.
func (p *Platform) admin(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch r.URL.Path {
	case "/admin/fault":
		p.fault = PlatformFault{}
		if json.NewDecoder(r.Body).Decode(&p.fault) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		if p.fault.Down {
			// Wake the watches that wait for a change.
			close(p.changed)
			p.changed = make(chan struct{})
		}
	case "/admin/boxes":
		p.boxes = nil
		if json.NewDecoder(r.Body).Decode(&p.boxes) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	case "/admin/restore":
		n, _ := strconv.Atoi(r.URL.Query().Get("back"))
		if n < 1 || n > len(p.history) {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		p.objects = clone(p.history[len(p.history)-n])
		p.version -= uint64(n)
		p.history = p.history[:len(p.history)-n]
		close(p.changed)
		p.changed = make(chan struct{})
	}
	reply(w, http.StatusOK, p.calls)
}

func clone(m map[string]platform.Object) map[string]platform.Object {
	c := make(map[string]platform.Object, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
