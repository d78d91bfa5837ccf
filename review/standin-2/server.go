package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// idleTime is for how long an upstream keeps an idle connection.
const idleTime = 10 * time.Second

// upstream is a stand-in for an upstream. It works on slots requests at the same time and queues three
// times as many.
type upstream struct {
	id      string
	service string
	address string
	slots   int
	// work returns how long a request takes, and size the length of its answer in bytes.
	work func(path string) time.Duration
	size func(path string) int

	free    chan struct{}
	waiting atomic.Int64
	runs    *runLog
}

// runLog holds the requests that upstreams have begun to work on. The value is set once the whole answer was
// handed to the network.
type runLog struct {
	mu       sync.Mutex
	runs     map[string]bool
	answered int
}

func newRunLog() *runLog { return &runLog{runs: map[string]bool{}} }

func (l *runLog) begin(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = false
}

func (l *runLog) answer(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = true
	l.answered++
}

// state returns whether an upstream has begun to work on a request, and whether it has answered it.
func (l *runLog) state(id string) (began, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered, began = l.runs[id]
	return began, answered
}

// counts returns how many requests upstreams have begun to work on, and how many they have answered.
func (l *runLog) counts() (began, answered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs), l.answered
}

// newUpstream starts an upstream on a free port of the IP address.
func newUpstream(ip, id, service string, slots int, runs *runLog) (*upstream, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, address: l.Addr().String(), slots: slots, free: make(chan struct{}, slots), runs: runs,
		work: func(string) time.Duration { return 0 }, size: func(string) int { return 400 },
	}
	for range slots {
		u.free <- struct{}{}
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve), IdleTimeout: idleTime, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return u, nil
}

// entry is the upstream's entry in the platform's store.
func (u *upstream) entry(zone string, cold time.Duration) map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address, "zone": zone, "version": "v1", "slots": u.slots, "state": "ready",
		"cold-remaining-ms": cold.Milliseconds(), "call-seq": 1,
	}
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Stoneworks-Request-Id")
	h := w.Header()
	h.Set("X-Stoneworks-Instance-Id", u.id)
	h.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTime.Seconds())))
	h.Set("X-Stoneworks-Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	expected := r.Header.Get("X-Stoneworks-Expect-Instance")
	switch {
	case r.URL.Path == "/health":
		return
	case expected != "" && expected != u.id:
		h.Set("X-Stoneworks-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		h.Set("X-Stoneworks-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !u.takeSlot(r) {
		h.Set("X-Stoneworks-Not-Executed", "1")
		h.Set("X-Stoneworks-Server-Load", u.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.runs.begin(id)
	finished := u.sleep(r, u.work(r.URL.Path))
	u.free <- struct{}{}
	if !finished {
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Stoneworks-Server-Load", u.load())
	h.Set("X-Stoneworks-Response-Signature", "s."+id)
	body := answerBody(id, u.size(r.URL.Path))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := io.WriteString(w, body); err == nil {
		u.runs.answer(id)
	}
}

// takeSlot waits for a slot. It returns false if the queue is full, or the request's time is over.
func (u *upstream) takeSlot(r *http.Request) bool {
	select {
	case <-u.free:
		return true
	default:
	}
	if u.waiting.Add(1) > int64(3*u.slots) {
		u.waiting.Add(-1)
		return false
	}
	defer u.waiting.Add(-1)
	ms, _ := strconv.Atoi(r.Header.Get("X-Stoneworks-Request-Timeout-Ms"))
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	select {
	case <-u.free:
		return true
	case <-end.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

// sleep works on a request. It returns false if the request's connection closed meanwhile.
func (u *upstream) sleep(r *http.Request, d time.Duration) bool {
	end := time.NewTimer(d)
	defer end.Stop()
	select {
	case <-end.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d", u.slots-len(u.free), u.waiting.Load(), u.slots)
}

// answerBody returns the body of the answer to a request.
func answerBody(id string, size int) string {
	return strings.Repeat(id+"\n", size/(len(id)+1)+1)[:size]
}
