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

// FaultHeader asks a backend server for a fault:
//
//	shed          refuse, saying that it did not run
//	reset-before  reset the connection without running
//	reset-after   run, then reset the connection
//	truncate      run, then send half of the answer
//	close         run, answer, then close without a word
//	hang          run, then wait until the other side hangs up
const FaultHeader = "X-Fault"

// Record is what a backend server remembers of what it ran.
type Record struct {
	Name string `json:"name"`
	// Runs counts by idempotency key, or by request id where there is none.
	Runs map[string]int `json:"runs"`
	// InUse and Peak count requests at work; Connections open connections.
	InUse       int `json:"in_use"`
	Peak        int `json:"peak"`
	Connections int `json:"connections"`
	// LastRequestMs is when it last got new work, in Unix milliseconds.
	LastRequestMs   int64 `json:"last_new"`
	Cancelled int   `json:"cancelled"`
}

// BackendControl changes a backend server while it runs.
type BackendControl struct {
	Leaving bool `json:"leaving"`
	// MisleadingHealth makes its health endpoint fail.
	MisleadingHealth bool `json:"misleading_health"`
	// ServiceMS is how long each request takes.
	ServiceMS int `json:"service_ms"`
}

// Backend is a backend server that answers with digests of what it was asked.
type Backend struct {
	Name string
	// Connections it accepts.
	MaxConnections int

	mu      sync.Mutex
	record  Record
	control BackendControl
}

// NewBackend makes a backend server.
func NewBackend(name string, serviceTime time.Duration, maxConnections int) *Backend {
	return &Backend{
		Name: name, MaxConnections: maxConnections,
		record:  Record{Name: name, Runs: map[string]int{}},
		control: BackendControl{ServiceMS: int(serviceTime.Milliseconds())},
	}
}

// Serve answers on the listener until it is closed.
func (b *Backend) Serve(l net.Listener) {
	server := &http.Server{Handler: b, ConnState: b.connState}
	_ = server.Serve(l)
}

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

// Control sets what the server does from now on.
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
	// A caller may have the last byte before this handler returns, so the slot
	// counts as free from just before the last write.
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

// ExpectedAnswer is the answer to a request: it names the request's id and digest,
// so that a caller can tell its own answer from any other.
func ExpectedAnswer(id, bodyDigest string, size int64) string {
	sum := sha256.Sum256([]byte(id + "/" + bodyDigest))
	return fmt.Sprintf("%s %d %s\n", id, size, hex.EncodeToString(sum[:]))
}

func (b *Backend) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.InUse++
	b.record.Peak = max(b.record.Peak, b.record.InUse)
	b.record.LastRequestMs = time.Now().UnixMilli()
}

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

// work takes the time of the request; false if the other side hung up.
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

// stream sends n bytes that depend on the request's id, slowly if asked.
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

// reset closes the connection so that the other side sees a reset.
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
