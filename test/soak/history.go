package soak

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// The records of a run: what clients and servers observed, and when which part of the system
// had a fault. The checks use nothing else.
// ================================================================

// Request is one attempt of a client.
type Request struct {
	ID     string
	Kind   string
	Method string
	Target string
	Body   string
	// Box is the IP address of the box that it was sent to, Incarnation the number of that
	// box's incarnation.
	Box         string
	Incarnation int
	Timeout     time.Duration
	Sent        time.Time
	Ended       time.Time
	// Status is 0 if no answer came.
	Status int
	// BodyMatches reports whether the body is that of the answer to this request.
	BodyMatches bool
	// Signed reports whether the answer carries a server's signature.
	Signed bool
	// Reason is the reason that a box gave for refusing it.
	Reason string
	// IsDropped reports whether the request was sent whole and its connection was closed without a
	// byte of an answer.
	IsDropped bool
	// Regions are the only regions in which it may run; nil means all. Customer is the name that
	// servers have to get with it; empty means that of the usual or the limited customer.
	Customer string
	Regions  []string
	// BodySum is the sum of a long body, of which Body is only the start.
	BodySum *[sha256.Size]byte
}

// Probe is a request that tests whether a box follows a version of the configuration: its path
// or key exists only in that version.
type Probe struct {
	Box         string
	Incarnation int
	Version     int
	At          time.Time
	Status      int
}

// FaultPeriod is the time of a fault.
type FaultPeriod struct {
	Kind Kind
	// Target is the box's IP address or the server's id; it is empty if all are affected.
	Target string
	From   time.Time
	To     time.Time
}

// Departure is a server that left: it was listed as draining, or removed from the list.
type Departure struct {
	Server string
	At     time.Time
}

// Exit is the end of a box's process.
type Exit struct {
	Box string
	At  time.Time
}

// AcceptedConfiguration is a configuration that the store accepted.
type AcceptedConfiguration struct {
	Version int
	At      time.Time
}

// History is the record of a run.
type History struct {
	// Boxes are the IP addresses of all boxes.
	Boxes    []string
	Requests []Request
	// SideRequests are requests that do not count in the recovery: probes of the configuration
	// that did not succeed, and requests of the customer with a limit, with removed keys and
	// that crash servers.
	SideRequests []Request
	Probes       []Probe
	// OldKeys are requests with a key that only the given version had.
	OldKeys []Probe
	// CrashingTargets are the targets whose requests crash servers.
	CrashingTargets []string
	// AnnouncedLimits are the limits that servers announced.
	AnnouncedLimits []AnnouncedLimit
	// Moves are the rollouts of services to new versions.
	Moves []Move
	// LeavingHeaders and RetryAfterHeaders are, by server, the headers of answers that
	// announced that it leaves, and those that asked for a backoff.
	LeavingHeaders    map[string][]machines.SentHeader
	RetryAfterHeaders map[string][]machines.SentHeader
	// KeysLogged are the log lines that contain a key.
	KeysLogged []string
	Runs       map[string][]machines.Run
	Arrivals   map[string][]machines.Arrival
	Bodies     map[string][]machines.ReceivedBody
	// ServiceOf is the service of each server.
	ServiceOf map[string]string
	// RegionOf is the region of each server and, by its IP address, of each box.
	RegionOf       map[string]string
	Departures     []Departure
	Configurations []AcceptedConfiguration
	FaultPeriods   []FaultPeriod
	Exits          []Exit
	// PeakMemoryMB is the most memory that a process of each box has used, and MachineMB what their
	// machines have, 0 if that is unknown.
	PeakMemoryMB map[string]int
	MachineMB    int
	// Recovery counts the requests sent after all faults were over.
	Recovery struct{ Sent, Answered int }
}

// recorder records the history; its methods are safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	history History
}

func (r *recorder) update(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.history)
}

// beginFault records the start of a fault; the returned function records its end.
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

// hadFault reports whether the target, or all targets, had a fault of one of the kinds at any
// time between from and to. An empty target matches any.
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
