package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/box"
	"github.com/stoneworks/stoneworks/pkg/entry"
)

// FaultHeader is the request header that asks a backend server for a fault:
//
//	shed          refuse the request with outcome not-run
//	reset-before  reset the connection without running the request
//	reset-after   run the request, then reset the connection
//	truncate      run the request, then send half of the answer
//	close         run the request, answer, then close without announcing it
//	hang          run the request, then wait until the client closes the connection
const FaultHeader = "X-Fault"

// Record is a backend server's record of the requests that it ran.
type Record struct {
	Name string `json:"name"`
	// Runs counts runs by idempotency key, or by request id for requests without a key.
	Runs map[string]int `json:"runs"`
	// InUse is the number of requests in progress and Peak its maximum; Connections is the
	// number of open connections.
	InUse       int `json:"in_use"`
	Peak        int `json:"peak"`
	Connections int `json:"connections"`
	// LastRequestMs is when the last request began, in Unix milliseconds.
	LastRequestMs int64 `json:"last_new"`
	Cancelled     int   `json:"cancelled"`
}

// BackendControl is the behaviour of a backend server, which can be changed while it runs.
type BackendControl struct {
	Leaving bool `json:"leaving"`
	// MisleadingHealth makes the health endpoint fail while the server still answers requests.
	MisleadingHealth bool `json:"misleading_health"`
	// ServiceMS is how long each request takes, in milliseconds.
	ServiceMS int `json:"service_ms"`
}

// Backend is a backend server that answers with a digest of the request.
type Backend struct {
	Name string
	// MaxConnections is how many connections it accepts at a time.
	MaxConnections int

	mu      sync.Mutex
	record  Record
	control BackendControl
}

// NewBackend returns a backend server; see Serve.
func NewBackend(name string, serviceTime time.Duration, maxConnections int) *Backend {
	return &Backend{
		Name: name, MaxConnections: maxConnections,
		record:  Record{Name: name, Runs: map[string]int{}},
		control: BackendControl{ServiceMS: int(serviceTime.Milliseconds())},
	}
}

// Serve serves requests on the listener until the listener is closed.
func (b *Backend) Serve(l net.Listener) {
	server := &http.Server{Handler: b, ConnState: b.connState}
	_ = server.Serve(l)
}

// connState counts open connections and closes those above MaxConnections.
func (b *Backend) connState(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateNew:
		b.record.Connections++
		if b.record.Connections > b.MaxConnections {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		b.record.Connections--
	}
}

// Snapshot returns a copy of the record.
func (b *Backend) Snapshot() Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record
	r.Runs = make(map[string]int, len(b.record.Runs))
	for k, v := range b.record.Runs {
		r.Runs[k] = v
	}
	return r
}

// Control changes the behaviour of the server for later requests.
func (b *Backend) Control(c BackendControl) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.control = c
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	control := b.control
	b.mu.Unlock()
	if r.URL.Path == box.HealthPath {
		if control.MisleadingHealth {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_ = json.NewEncoder(w).Encode(box.Health{Leaving: control.Leaving})
		return
	}
	fault := r.Header.Get(FaultHeader)
	switch fault {
	case "shed":
		w.Header().Set(entry.HeaderOutcome, "not-run")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "reset-before":
		reset(w)
		return
	}
	b.begin()
	// A caller may receive the last byte before this handler returns and send its next request,
	// so the slot counts as free from just before the last write.
	end := sync.OnceFunc(b.end)
	defer end()
	digest := sha256.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		return
	}
	b.ran(r)
	if !b.work(r, control, fault) {
		return
	}
	body := ExpectedAnswer(r.Header.Get(entry.HeaderRequestID), hex.EncodeToString(digest.Sum(nil)), size)
	b.answer(w, r, fault, body, end)
}

// ExpectedAnswer returns the body of the answer to a request. It holds the request's id and
// digest, so that a caller can detect another request's answer.
func ExpectedAnswer(id, bodyDigest string, size int64) string {
	sum := sha256.Sum256([]byte(id + "/" + bodyDigest))
	return fmt.Sprintf("%s %d %s\n", id, size, hex.EncodeToString(sum[:]))
}

// begin records a request in progress.
func (b *Backend) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.InUse++
	b.record.Peak = max(b.record.Peak, b.record.InUse)
	b.record.LastRequestMs = time.Now().UnixMilli()
}

// end records that a request has finished.
func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.InUse--
}

func (b *Backend) ran(r *http.Request) {
	key := r.Header.Get(entry.HeaderKey)
	if key == "" {
		key = r.Header.Get(entry.HeaderRequestID)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Runs[key]++
}

// work waits for the service time of the request. It returns false if the client closed the
// connection meanwhile.
func (b *Backend) work(r *http.Request, control BackendControl, fault string) bool {
	ms := control.ServiceMS
	if asked, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		ms = asked
	}
	wait := time.After(time.Duration(ms) * time.Millisecond)
	if fault == "hang" {
		wait = nil
	}
	select {
	case <-wait:
		return true
	case <-r.Context().Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.record.Cancelled++
		return false
	}
}

// answer writes the answer, with the fault asked for, and calls end before the last write.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, fault, body string, end func()) {
	if n, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
		b.stream(w, r, n, end)
		return
	}
	end()
	switch fault {
	case "reset-after":
		reset(w)
	case "truncate":
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case "close":
		_, _ = io.WriteString(w, body)
		if h, ok := w.(http.Flusher); ok {
			h.Flush()
		}
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body)
	}
}

// stream sends n bytes of a pattern made from the request's id. It pauses for pause_ms before
// each write.
func (b *Backend) stream(w http.ResponseWriter, r *http.Request, n int64, end func()) {
	pattern := []byte(strings.Repeat(r.Header.Get(entry.HeaderRequestID)+"\n", 1024))
	if r.URL.Query().Get("chunked") == "" {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	pause, _ := strconv.Atoi(r.URL.Query().Get("pause_ms"))
	for n > 0 {
		part := pattern[:min(int64(len(pattern)), n)]
		time.Sleep(time.Duration(pause) * time.Millisecond)
		if int64(len(part)) == n {
			end()
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		n -= int64(len(part))
		if pause > 0 {
			w.(http.Flusher).Flush()
		}
	}
}

// reset closes the connection with a TCP reset.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
