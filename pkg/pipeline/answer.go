package pipeline

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc/panics"
)

// maxHeld is the size in bytes up to which an answer is held until its turn. The rest of a
// longer answer is written once its turn has come.
const maxHeld = 256 << 10

// answer is the answer to a request that is served ahead. It is the http.ResponseWriter of its
// handler and holds what the handler writes until the connection gets to it.
type answer struct {
	request *http.Request
	header  http.Header
	// release takes back what the request takes of memory, and users is by how many it is still used:
	// its handler and its connection.
	release func()
	users   atomic.Int32
	// done is closed when the handler has returned; panicked is its panic, if it panicked.
	done     chan struct{}
	panicked *panics.Recovered

	mu sync.Mutex
	// turn is closed once w, which then receives the answer, is set.
	turn   chan struct{}
	w      http.ResponseWriter
	status int
	held   bytes.Buffer
}

// isTo reports whether this is the answer to a request that net/http has read.
func (a *answer) isTo(r *http.Request) bool {
	return a.request.RequestURI == r.RequestURI && a.request.Host == r.Host && a.request.Method == r.Method &&
		maps.EqualFunc(a.request.Header, r.Header, slices.Equal)
}

func (a *answer) run(h http.Handler) {
	defer a.endUse()
	defer close(a.done)
	a.panicked = panics.Try(func() { h.ServeHTTP(a, a.request) })
}

// endUse records that the handler or the connection needs the request no longer.
func (a *answer) endUse() {
	if a.users.Add(-1) == 0 {
		a.release()
	}
}

// deliver writes the answer and waits until it is complete.
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
		// net/http closes the connection, as if it had called the handler itself.
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

// Write implements http.ResponseWriter. If the answer is too long to be held, it blocks until
// the answer's turn.
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

// hold holds a part of the answer if its turn has not come yet and there is space.
func (a *answer) hold(p []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.w != nil || a.held.Len()+len(p) > maxHeld {
		return false
	}
	a.held.Write(p)
	return true
}
