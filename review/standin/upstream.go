package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstream is a stand-in for a backend server of one service.
type upstream struct {
	id      string
	address string
	zone    string
	slots   chan struct{}
	// work is how long a request takes, and answerBytes the size of a success's body.
	work        time.Duration
	answerBytes int
	// isEarly makes it begin its answers to long bodies before it has read them.
	isEarly func() bool

	mu   sync.Mutex
	runs []run
}

// run is what an upstream saw of one request that it ran.
type run struct {
	id       string
	upstream string
	at       time.Time
	// isWhole is set if the body arrived with a proper end; bytes and sum describe what arrived.
	isWhole bool
	bytes   int64
	sum     [sha256.Size]byte
	// ended says how the run ended.
	ended string
}

const (
	// earlyRead is how much of a long body an upstream reads before it answers early, and
	// answerTail how much of its answer it then holds back until it has read the rest.
	earlyRead  = 64 << 10
	answerTail = 1000
)

func newUpstream(ip, id, zone string, slots int, work time.Duration, answerBytes int) (*upstream, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, address: l.Addr().String(), zone: zone, slots: make(chan struct{}, slots), work: work, answerBytes: answerBytes,
		isEarly: func() bool { return false },
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u, nil
}

// entry is what the upstream writes of itself into the store.
func (u *upstream) entry(service string) map[string]any {
	return map[string]any{
		"service": service, "address": u.address, "zone": u.zone, "version": "v1", "slots": cap(u.slots),
		"state": "ready", "cold-remaining-ms": 0, "call-seq": 1,
	}
}

func (u *upstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil || !u.handle(c, r, request) {
			return
		}
	}
}

// handle serves one request and reports whether the connection may carry another one.
func (u *upstream) handle(c net.Conn, r *bufio.Reader, request *http.Request) bool {
	id := request.Header.Get("X-Stoneworks-Request-Id")
	switch expected := request.Header.Get("X-Stoneworks-Expect-Instance"); {
	case request.URL.Path == "/health":
		return u.write(c, id, http.StatusOK, "X-Stoneworks-Instance-Id: "+u.id+"\r\n", 0)
	case id == "":
		return u.refuse(c, request, id, http.StatusBadRequest)
	case expected != "" && expected != u.id:
		return u.refuse(c, request, id, http.StatusMisdirectedRequest)
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	default:
		return u.refuse(c, request, id, http.StatusServiceUnavailable)
	}
	return u.run(c, r, request, id)
}

// refuse reads the request's body, and answers that it was not run.
func (u *upstream) refuse(c net.Conn, request *http.Request, id string, status int) bool {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	return u.write(c, id, status, "X-Stoneworks-Not-Executed: 1\r\nX-Stoneworks-Instance-Id: "+u.id+"\r\n", 0)
}

func (u *upstream) run(c net.Conn, r *bufio.Reader, request *http.Request, id string) bool {
	one := run{id: id, upstream: u.id, at: time.Now()}
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.runs = append(u.runs, one)
	}()
	sum := sha256.New()
	body := io.TeeReader(request.Body, sum)
	var err error
	isEarly := u.isEarly()
	if isEarly {
		one.bytes, err = io.CopyN(io.Discard, body, earlyRead)
		if errors.Is(err, io.EOF) {
			isEarly, err = false, nil // a short body
		}
	}
	if isEarly && err == nil && !u.write(c, id, http.StatusOK, u.signed(), u.answerBytes-answerTail) {
		err = io.ErrClosedPipe
	}
	if err == nil {
		var rest int64
		rest, err = io.Copy(io.Discard, body)
		one.bytes += rest
	}
	sum.Sum(one.sum[:0])
	if one.isWhole = err == nil; !one.isWhole {
		one.ended = "body broke off: " + err.Error()
		return false
	}
	if isEarly {
		one.ended = "answered 200 before the body was in"
		_, err := io.WriteString(c, strings.Repeat("a", answerTail))
		return err == nil
	}
	if !u.workOn(c, r, request, &one) {
		return false
	}
	status, size := http.StatusOK, u.answerBytes
	if one.ended != "" {
		status, size = http.StatusGatewayTimeout, 0
	}
	one.ended = "answered " + strconv.Itoa(status)
	return u.write(c, id, status, u.signed(), size)
}

// workOn waits until the work is done, or until the time that was handed over is up, which it
// records as the run's end. It returns false if the connection has ended before.
func (u *upstream) workOn(c net.Conn, r *bufio.Reader, request *http.Request, one *run) bool {
	took := u.work
	if ms, err := strconv.Atoi(request.Header.Get("X-Stoneworks-Request-Timeout-Ms")); err == nil && time.Duration(ms)*time.Millisecond < took {
		took = time.Duration(ms) * time.Millisecond
		one.ended = "time is up"
	}
	_ = c.SetReadDeadline(time.Now().Add(took))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	if _, err := r.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		one.ended = "connection ended while it worked"
		return false
	}
	return true
}

func (u *upstream) signed() string {
	return "X-Stoneworks-Response-Signature: " + u.id + ".1\r\n"
}

// write sends an answer whose body has the given size. A success is announced at its full size,
// of which write may be told to send less.
func (u *upstream) write(c net.Conn, id string, status int, extra string, size int) bool {
	announced := size
	if status == http.StatusOK && size > 0 {
		announced = u.answerBytes
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Stoneworks-Request-Id: %s\r\nX-Stoneworks-Server-Load: %d,0,%d\r\n%sContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), id, len(u.slots), cap(u.slots), extra, announced)
	_, err := io.WriteString(c, head+strings.Repeat("a", size))
	return err == nil
}

// allRuns returns the runs of all upstreams by request id.
func allRuns(list []*upstream) map[string][]run {
	runs := map[string][]run{}
	for _, u := range list {
		u.mu.Lock()
		for _, one := range u.runs {
			runs[one.id] = append(runs[one.id], one)
		}
		u.mu.Unlock()
	}
	return runs
}
