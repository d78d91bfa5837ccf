package machines

import (
	"net/http"
	"time"
)

// StatusHeader is the name of a header by which a server reports its own state in its answers.
// Tests may define others.
type StatusHeader string

// The status headers that boxes read.
const (
	// LimitHeader is the number of requests per second that the server accepts from all boxes
	// together.
	LimitHeader StatusHeader = "Server-Limit"
	// LeavingHeader announces that the server is shutting down.
	LeavingHeader StatusHeader = "Server-Leaving"
	// RetryAfterHeader asks the box that receives it to send no requests for a number of seconds.
	// Only answers with status 503 carry it; see Refuse.
	RetryAfterHeader StatusHeader = "Retry-After"
)

// SentHeader is one answer that carried a status header.
type SentHeader struct {
	// To is the IP address of the receiver, and ID the request that was answered.
	To string
	ID string
	At time.Time
	// Value is the header's value.
	Value string
}

// statusHeaders holds the status headers that a server sends, and those that it has sent.
type statusHeaders struct {
	current map[StatusHeader]string
	sent    map[StatusHeader][]SentHeader
}

// nextLines returns the header lines for the next answer, which has the status, and records them as
// sent.
func (h *statusHeaders) nextLines(to, id string, status int) string {
	text := ""
	for header, value := range h.current {
		if value == "" || header == RetryAfterHeader && status != http.StatusServiceUnavailable {
			continue
		}
		text += string(header) + ": " + value + "\r\n"
		h.sent[header] = append(h.sent[header], SentHeader{To: to, ID: id, At: time.Now(), Value: value})
	}
	return text
}

// SetHeader sets the value of the header in all further answers; "" omits it.
func (s *Server) SetHeader(header StatusHeader, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.headers.current == nil {
		s.headers.current, s.headers.sent = map[StatusHeader]string{}, map[StatusHeader][]SentHeader{}
	}
	s.headers.current[header] = value
}

// SentHeaders returns the answers that carried the header.
func (s *Server) SentHeaders(header StatusHeader) []SentHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]SentHeader(nil), s.headers.sent[header]...)
}

// RejectWithRetryAfter makes the server refuse all requests with 503 and a Retry-After header of
// that many seconds; "" ends this and removes any fault.
func (s *Server) RejectWithRetryAfter(seconds string) {
	s.SetHeader(RetryAfterHeader, seconds)
	if seconds == "" {
		s.SetFault(nil)
		return
	}
	s.SetFault(func(*Run) Fault { return Refuse })
}
