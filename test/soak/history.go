package soak

import (
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// What a run left behind: what clients and servers saw, and when which part
// of the system was struck. The checks look at nothing else.
// ================================================================

// Request is one attempt of a client.
type Request struct {
	ID     string
	Kind   string
	Method string
	Target string
	Body   string
	// Box is the IP number of the box that it was sent to, Life which of its
	// lives.
	Box     string
	Life    int
	Timeout time.Duration
	Sent    time.Time
	Ended   time.Time
	// Status is 0 if no answer came.
	Status int
	// Whole: the body is that of the answer to this request.
	Whole bool
	// Signed: the answer carries a server's signature.
	Signed bool
	// Reason is why a box refused it.
	Reason string
}

// Probe is a question which configuration a box follows: it asks for a path
// that only one version has.
type Probe struct {
	Box     string
	Life    int
	Version int
	At      time.Time
	Status  int
}

// Span is a time in which something was struck.
type Span struct {
	Kind Kind
	// What is the box's IP number or the server's id; empty for all.
	What string
	From time.Time
	To   time.Time
}

// Departure is a server that left: it was listed as draining, or taken off
// the list.
type Departure struct {
	Server string
	At     time.Time
}

// Acknowledged is a configuration that the store took.
type Acknowledged struct {
	Version int
	At      time.Time
}

// History is all that a run left behind.
type History struct {
	Requests []Request
	// Left are probes that were not answered with a success.
	Left   []Request
	Probes []Probe
	// OldKeys are requests with a key that only the given version had.
	OldKeys []Probe
	// Deadly are the targets that end the servers that run them.
	Deadly []string
	// Limited are the limits that servers named.
	Limited []Limited
	// Moves are the orders to move a service to a new version.
	Moves []Move
	// Leavings and Rests are, by server, the answers that said that it leaves, and those that asked
	// for rest.
	Leavings map[string][]machines.SentHeader
	Rests    map[string][]machines.SentHeader
	// KeysLogged are lines of logs with a key in them.
	KeysLogged     []string
	Runs           map[string][]machines.Run
	Arrivals       map[string][]machines.Arrival
	Departures     []Departure
	Configurations []Acknowledged
	Spans          []Span
	// Recovery counts the requests sent after all faults were over.
	Recovery struct{ Sent, Answered int }
}

// recorder takes in what happens, from many goroutines.
type recorder struct {
	mu      sync.Mutex
	history History
}

func (r *recorder) note(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.history)
}

// open notes that something is struck from now on; the return value ends it.
func (r *recorder) open(kind Kind, what string) (end func()) {
	index := 0
	r.note(func(h *History) {
		index = len(h.Spans)
		h.Spans = append(h.Spans, Span{Kind: kind, What: what, From: time.Now()})
	})
	return func() {
		r.note(func(h *History) { h.Spans[index].To = time.Now() })
	}
}

// struck reports whether one of the kinds struck the part, or all parts, at
// any moment from from to to.
func (h *History) struck(what string, from, to time.Time, kinds ...Kind) bool {
	for _, s := range h.Spans {
		if s.What != "" && what != "" && s.What != what {
			continue
		}
		if s.From.After(to) || !s.To.IsZero() && s.To.Before(from) {
			continue
		}
		for _, k := range kinds {
			if s.Kind == k {
				return true
			}
		}
	}
	return false
}
