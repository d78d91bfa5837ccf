package machines

import (
	"net/http"
	"time"
)

// StatusHeader is a header by which a server says something of itself in its answers, named as the
// users' pages do. Tests may make others.
type StatusHeader string

// The words.
const (
	// LimitHeader: it takes so many requests a second from all boxes together.
	LimitHeader StatusHeader = "Server-Limit"
	// LeavingHeader: it leaves.
	LeavingHeader StatusHeader = "Server-Leaving"
	// RetryAfterHeader: it wants no requests from the box that gets this for so many seconds. It stands
	// in refusals with 503 alone; see Refuse.
	RetryAfterHeader StatusHeader = "Retry-After"
)

// SentHeader is one answer with a word.
type SentHeader struct {
	// To is the IP number that got it, and ID the request that it answers.
	To string
	ID string
	At time.Time
	// Value is what was said.
	Value string
}

// statusHeaders are what a server says now, and has said.
type statusHeaders struct {
	current  map[StatusHeader]string
	sent map[StatusHeader][]SentHeader
}

// lines returns the lines of an answer's header that hold the words.
func (w *statusHeaders) lines(to, id string, status int) string {
	text := ""
	for word, value := range w.current {
		if value == "" || word == RetryAfterHeader && status != http.StatusServiceUnavailable {
			continue
		}
		text += string(word) + ": " + value + "\r\n"
		w.sent[word] = append(w.sent[word], SentHeader{To: to, ID: id, At: time.Now(), Value: value})
	}
	return text
}

// SetHeader sets what answers say from now on; empty for nothing.
func (s *Server) SetHeader(word StatusHeader, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headers.current == nil {
		s.headers.current, s.headers.sent = map[StatusHeader]string{}, map[StatusHeader][]SentHeader{}
	}
	s.headers.current[word] = value
}

// SentHeaders returns the answers that had the word.
func (s *Server) SentHeaders(word StatusHeader) []SentHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]SentHeader(nil), s.headers.sent[word]...)
}

// RejectWithRetryAfter has the server turn all requests away and ask the boxes that sent them for so many
// seconds of rest; with "" it works as before.
func (s *Server) RejectWithRetryAfter(seconds string) {
	s.SetHeader(RetryAfterHeader, seconds)
	if seconds == "" {
		s.SetFault(nil)
		return
	}
	s.SetFault(func(*Run) Fault { return Refuse })
}
