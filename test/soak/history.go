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
	Incarnation    int
	Timeout time.Duration
	Sent    time.Time
	Ended   time.Time
	// Status is 0 if no answer came.
	Status int
	// BodyMatches: the body is that of the answer to this request.
	BodyMatches bool
	// Signed: the answer carries a server's signature.
	Signed bool
	// Reason is why a box refused it.
	Reason string
}

// Probe is a question which configuration a box follows: it asks for a path
// that only one version has.
type Probe struct {
	Box     string
	Incarnation    int
	Version int
	At      time.Time
	Status  int
}

// FaultPeriod is a time in which something was struck.
type FaultPeriod struct {
	Kind Kind
	// Target is the box's IP number or the server's id; empty for all.
	Target string
	From time.Time
	To   time.Time
}

// Departure is a server that left: it was listed as draining, or taken off
// the list.
type Departure struct {
	Server string
	At     time.Time
}

// AcceptedConfiguration is a configuration that the store took.
type AcceptedConfiguration struct {
	Version int
	At      time.Time
}

// History is all that a run left behind.
type History struct {
	Requests []Request
	// SideRequests are probes that were not answered with a success.
	SideRequests   []Request
	Probes []Probe
	// OldKeys are requests with a key that only the given version had.
	OldKeys []Probe
	// CrashingTargets are the targets that end the servers that run them.
	CrashingTargets []string
	// AnnouncedLimits are the limits that servers named.
	AnnouncedLimits []AnnouncedLimit
	// Moves are the orders to move a service to a new version.
	Moves []Move
	// LeavingHeaders and Rests are, by server, the answers that said that it leaves, and those that asked
	// for rest.
	LeavingHeaders map[string][]machines.Saying
	RetryAfterHeaders    map[string][]machines.Saying
	// KeysLogged are lines of logs with a key in them.
	KeysLogged     []string
	Runs           map[string][]machines.Run
	Arrivals       map[string][]machines.Arrival
	Departures     []Departure
	Configurations []AcceptedConfiguration
	FaultPeriods          []FaultPeriod
	// Recovery counts the requests sent after all faults were over.
	Recovery struct{ Sent, Answered int }
}

// recorder takes in what happens, from many goroutines.
type recorder struct {
	mu      sync.Mutex
	history History
}

func (r *recorder) update(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.history)
}

// beginFault notes that something is struck from now on; the return value ends it.
func (r *recorder) beginFault(kind Kind, what string) (end func()) {
	index := 0
	r.update(func(h *History) {
		index = len(h.FaultPeriods)
		h.FaultPeriods = append(h.FaultPeriods, FaultPeriod{Kind: kind, Target: what, From: time.Now()})
	})
	return func() {
		r.update(func(h *History) { h.FaultPeriods[index].To = time.Now() })
	}
}

// hadFault reports whether one of the kinds hadFault the part, or all parts, at
// any moment from from to to.
func (h *History) hadFault(what string, from, to time.Time, kinds ...Kind) bool {
	for _, s := range h.FaultPeriods {
		if s.Target != "" && what != "" && s.Target != what {
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
