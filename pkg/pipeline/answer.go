package pipeline

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/sourcegraph/conc/panics"
)

// maxHeld bounds an answer that is held until its turn comes, in bytes; the rest of a longer one
// is written when it has come.
const maxHeld = 256 << 10

// answer is the answer to a request that is served ahead. It is the http.ResponseWriter of its
// handler, and holds what that writes until the connection's turn comes to it.
type answer struct {
	request *http.Request
	header  http.Header
	// done closes when the handler has ended; panicked is how, if it panicked.
	done     chan struct{}
	panicked *panics.Recovered

	mu sync.Mutex
	// turn closes when w is set, to which the answer then goes.
	turn   chan struct{}
	w      http.ResponseWriter
	status int
	held   bytes.Buffer
}

func newAnswer(r *http.Request) *answer {
	return &answer{request: r, header: http.Header{}, done: make(chan struct{}), turn: make(chan struct{})}
}

// isTo reports whether it is the answer to a request that net/http has read.
func (a *answer) isTo(r *http.Request) bool {
	return a.request.RequestURI == r.RequestURI && a.request.Host == r.Host && a.request.Method == r.Method &&
		maps.EqualFunc(a.request.Header, r.Header, slices.Equal)
}

func (a *answer) run(h http.Handler) {
	defer close(a.done)
	a.panicked = panics.Try(func() { h.ServeHTTP(a, a.request) })
}

// deliver writes the answer, and waits for its end.
func (a *answer) deliver(w http.ResponseWriter) {
	a.mu.Lock()
	a.w = w
	if a.status != 0 {
		a.writeHeader()
		_, _ = w.Write(a.held.Bytes())
	}
	close(a.turn)
	a.mu.Unlock()
	<-a.done
	if a.panicked != nil {
		// net/http ends the connection, as if it had called the handler itself.
		panic(a.panicked.Value)
	}
}

func (a *answer) writeHeader() {
	maps.Copy(a.w.Header(), a.header)
	a.w.WriteHeader(a.status)
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.status != 0 {
		return
	}
	a.status = status
	if a.w != nil {
		a.writeHeader()
	}
}

// Write implements http.ResponseWriter. It waits for the connection's turn if the answer is too
// long to be held.
func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.hold(p) {
		return len(p), nil
	}
	select {
	case <-a.turn:
	case <-a.request.Context().Done():
		return 0, a.request.Context().Err()
	}
	return a.w.Write(p)
}

// hold holds a part of the answer, if it is not yet its turn and there is room.
func (a *answer) hold(p []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.w != nil || a.held.Len()+len(p) > maxHeld {
		return false
	}
	a.held.Write(p)
	return true
}
