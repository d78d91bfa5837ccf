package machines

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is how a server spoils an answer.
type Fault int

// The faults.
const (
	// NoFault answers as it should.
	NoFault Fault = iota
	// CutBody ends the connection in the middle of the answer.
	CutBody
	// CutAnswer runs the request and resets the connection without an answer.
	CutAnswer
	// Unframed answers without a length and ends the connection.
	Unframed
	// Extra sends a second answer after the whole one.
	Extra
	// AnotherAnswerFirst sends the answer to another request before the right one.
	AnotherAnswerFirst
	// Early answers a long request before it is read.
	Early
	// Refuse says that the request was not run, although slots are free.
	Refuse
	// Garbage sends bytes that are not an answer.
	Garbage
	// NoAnswer never answers.
	NoAnswer
	// Fail answers 500 of its own.
	Fail
)

// Run is one request that a server began to work on.
type Run struct {
	ID      string
	Method  string
	Target  string
	Host    string
	Body    string
	Timeout string
	// Key is the affinity key.
	Key string
	// Header is all that came.
	Header http.Header
	At     time.Time
	// Completed is false if the client's connection closed before.
	Completed bool
	// CanceledAt is when the server was told, by the connection's end, that nobody waits; zero if it was not.
	CanceledAt time.Time
}

// Arrival is one request that reached a server, run or not.
type Arrival struct {
	ID string
	// From is the IP number that sent it.
	From string
	At   time.Time
}

func sourceOf(c net.Conn) string {
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return ip
}

// Server is a stand-in for a backend server.
type Server struct {
	ID      string
	Address string
	// Advertised is the address that is listed, if it is another one: that of
	// a proxy.
	Advertised string
	// Version is that of its software, "" for v1.
	Version string
	Slots   int
	Queue   int
	// StartedAtMs is when it started, in milliseconds since 1970.
	StartedAtMs int64
	// Work is how long a request takes.
	Work time.Duration
	// ExtraBytes is how many bytes more than usual whole answers have, which go out little by little.
	ExtraBytes int
	// Performance is what else decides how long; set it before the first request.
	Performance Performance

	mu       sync.Mutex
	fault    func(r *Run) Fault
	crashOn   func(target string) bool
	onCrash    func()
	busy     int
	waiting  int
	runs     []*Run
	arrivals []Arrival
	accepted int
	freeSlots     chan struct{}
	listener net.Listener
	conns    map[net.Conn]bool
	// cachedKeys are the keys that it remembers, the latest last.
	cachedKeys []string
	// headers are what it says of itself: Server-Limit, Server-Leaving, and Retry-After in refusals.
	headers statusHeaders
}

// Performance is what a server's answers depend on. The zero value is a server whose
// requests all take as long.
type Performance struct {
	// Memory is how many keys it remembers, and Gain which part of the work it
	// is spared for one that it remembers.
	Memory int
	Gain   float64
	// Speed divides its time; 0 for 1.
	Speed float64
}

// NewServer starts a server on a free port of the IP number.
func NewServer(ip, id string, slots int, work time.Duration) (*Server, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, Address: l.Addr().String(), Slots: slots, Queue: 3 * slots, Work: work,
		freeSlots: make(chan struct{}, slots), listener: l, StartedAtMs: time.Now().UnixMilli(), conns: map[net.Conn]bool{},
	}
	for range slots {
		s.freeSlots <- struct{}{}
	}
	go s.accept()
	return s, nil
}

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// SetFault sets how answers are spoiled from now on; nil spoils none.
func (s *Server) SetFault(fault func(r *Run) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetCrashOn sets which requests end the server while it works on them: all its connections
// close without an answer, and its port refuses new ones. Ended is called once, then.
func (s *Server) SetCrashOn(deadly func(target string) bool, ended func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn, s.onCrash = deadly, ended
}

func (s *Server) crashesOn(target string) bool {
	s.mu.Lock()
	deadly := s.crashOn
	s.mu.Unlock()
	return deadly != nil && deadly(target)
}

// crash ends the server, and tells of it once.
func (s *Server) crash() {
	s.mu.Lock()
	ended := s.onCrash
	s.onCrash = nil
	s.mu.Unlock()
	if ended != nil {
		// What stands before the server is gone with it.
		ended()
	}
	s.Close()
}

// Runs returns the requests that were run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, *r)
	}
	return list
}

// Arrivals returns how many requests came, run or not.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.arrivals)
}

// ArrivalLog returns the requests that came, run or not.
func (s *Server) ArrivalLog() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Connections returns how many connections were ever opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.accepted++
		s.mu.Unlock()
		go func() {
			s.serve(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

func (s *Server) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.answer(c, reader, request) {
			return
		}
	}
}

// answer serves one request and reports whether the connection goes on.
func (s *Server) answer(c net.Conn, reader *bufio.Reader, request *http.Request) bool {
	run := &Run{
		ID: request.Header.Get("X-Stoneworks-Request-Id"), Method: request.Method, Target: request.RequestURI,
		Host: request.Host, Timeout: request.Header.Get("X-Stoneworks-Request-Timeout-Ms"), At: time.Now(),
		Key: request.Header.Get("X-Stoneworks-Affinity-Key"), Header: request.Header,
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{ID: run.ID, From: sourceOf(c), At: run.At})
	fault := NoFault
	if s.fault != nil {
		fault = s.fault(run)
	}
	s.mu.Unlock()
	if fault == Early {
		s.refuse(c, run, http.StatusServiceUnavailable, true)
		// It goes on reading the body for a while, as a server may.
		_, _ = io.Copy(io.Discard, request.Body)
		return true
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	run.Body = string(body)
	if expected := request.Header.Get("X-Stoneworks-Expect-Instance"); expected != "" && expected != s.ID {
		s.refuse(c, run, http.StatusMisdirectedRequest, false)
		return true
	}
	if fault == Refuse {
		s.refuse(c, run, http.StatusServiceUnavailable, true)
		return true
	}
	if !s.acquireSlot() {
		s.refuse(c, run, http.StatusServiceUnavailable, true)
		return true
	}
	defer s.releaseSlot()
	return s.run(c, reader, run, fault)
}

func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	if s.busy+s.waiting >= s.Slots+s.Queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	<-s.freeSlots
	s.mu.Lock()
	s.waiting--
	s.busy++
	s.mu.Unlock()
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	s.busy--
	s.mu.Unlock()
	s.freeSlots <- struct{}{}
}

func (s *Server) run(c net.Conn, reader *bufio.Reader, run *Run, fault Fault) bool {
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	if !s.simulateWork(c, reader, s.serviceTime(run.Key)) {
		s.mu.Lock()
		run.CanceledAt = time.Now()
		s.mu.Unlock()
		return false
	}
	if s.crashesOn(run.Target) {
		s.crash()
		return false
	}
	s.mu.Lock()
	run.Completed = true
	s.mu.Unlock()
	return s.writeAnswer(c, run, fault)
}

// serviceTime returns how long a request for the key takes, and remembers the key.
func (s *Server) serviceTime(key string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := float64(s.Work)
	if s.Performance.Speed > 0 {
		took /= s.Performance.Speed
	}
	if key == "" || s.Performance.Memory == 0 {
		return time.Duration(took)
	}
	if i := slices.Index(s.cachedKeys, key); i >= 0 {
		took *= 1 - s.Performance.Gain
		s.cachedKeys = slices.Delete(s.cachedKeys, i, i+1)
	}
	s.cachedKeys = append(s.cachedKeys, key)
	if len(s.cachedKeys) > s.Performance.Memory {
		s.cachedKeys = s.cachedKeys[1:]
	}
	return time.Duration(took)
}

// simulateWork waits for as long as the request takes, or until its client leaves.
func (s *Server) simulateWork(c net.Conn, reader *bufio.Reader, took time.Duration) bool {
	end := time.Now().Add(took)
	_ = c.SetReadDeadline(end)
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := reader.Peek(1)
	if err == nil {
		// More was sent than should be; the answer comes first.
		time.Sleep(time.Until(end))
		return true
	}
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// AnswerBody is the body of a whole answer to the request.
func AnswerBody(id string) string { return "the answer to " + id + strings.Repeat(".", 2000) }

func (s *Server) writeAnswer(c net.Conn, run *Run, fault Fault) bool {
	body := AnswerBody(run.ID)
	switch fault {
	case CutBody:
		s.writeHead(c, run.ID, http.StatusOK, len(body), true, "")
		_, _ = io.WriteString(c, body[:100])
		return false
	case CutAnswer:
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case Unframed:
		s.writeHead(c, run.ID, http.StatusOK, -1, true, "Connection: close\r\n")
		_, _ = io.WriteString(c, body)
		return false
	case Garbage:
		_, _ = io.WriteString(c, "these bytes are no answer\r\n\r\n")
		return false
	case NoAnswer:
		_, _ = io.Copy(io.Discard, c)
		return false
	case AnotherAnswerFirst:
		s.writeComplete(c, "another-request")
	case Fail:
		s.writeHead(c, run.ID, http.StatusInternalServerError, 0, true, "")
		return true
	}
	if s.ExtraBytes > 0 {
		return s.writeLarge(c, run)
	}
	s.writeComplete(c, run.ID)
	if fault == Extra {
		s.writeComplete(c, run.ID)
	}
	return true
}

func (s *Server) writeComplete(c net.Conn, id string) {
	body := AnswerBody(id)
	s.writeHead(c, id, http.StatusOK, len(body), true, "")
	_, _ = io.WriteString(c, body)
}

// largePart is how many bytes of a large answer go out at once, and largePause the pause after them.
const (
	largePart  = 64 << 10
	largePause = 20 * time.Millisecond
)

// writeLarge gives a writeLarge answer, and reports whether all of it went out. The run notes when its client has left.
func (s *Server) writeLarge(c net.Conn, run *Run) bool {
	body := AnswerBody(run.ID)
	s.writeHead(c, run.ID, http.StatusOK, len(body)+s.ExtraBytes, true, "")
	rest := body + strings.Repeat(".", s.ExtraBytes)
	for rest != "" {
		part := rest[:min(len(rest), largePart)]
		rest = rest[len(part):]
		if _, err := io.WriteString(c, part); err != nil {
			s.mu.Lock()
			run.CanceledAt = time.Now()
			s.mu.Unlock()
			return false
		}
		time.Sleep(largePause)
	}
	return true
}

// refuse answers that the request was not run.
func (s *Server) refuse(c net.Conn, run *Run, status int, notRun bool) {
	extra := ""
	if notRun {
		extra = "X-Stoneworks-Not-Executed: 1\r\n"
	}
	s.writeHead(c, run.ID, status, 0, false, extra)
}

func (s *Server) writeHead(c net.Conn, id string, status, length int, signed bool, extra string) {
	s.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", s.busy, s.waiting, s.Slots)
	extra += s.headers.lines(sourceOf(c), id, status)
	s.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "X-Stoneworks-Request-Id: %s\r\nX-Stoneworks-Server-Load: %s\r\n", id, load)
	if signed {
		fmt.Fprintf(&b, "X-Stoneworks-Response-Signature: %s\r\n", s.ID)
	}
	if length >= 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString(extra + "\r\n")
	_, _ = io.WriteString(c, b.String())
}
