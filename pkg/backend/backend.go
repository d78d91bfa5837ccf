// Package backend chooses the backend server for each request. It has no
// input or output: it is told which servers there are, what they said of
// their load and how exchanges ended, and answers with a Lease on one server.
//
// A request's affinity key has a home, found by rendezvous hashing, so that
// all boxes send equal keys to the same server without talking to each other.
// A request that its home cannot serve goes to the next server in that order.
package backend

import (
	"fmt"
	"strconv"
	"time"

	"github.com/stoneworks/stoneworks/pkg/hashing"
)

// Server is one backend server as the platform lists it. It may start again under the ID
// that it had; see Life.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many requests it works on at once.
	Slots    int  `json:"slots"`
	Draining bool `json:"draining,omitempty"`
	// ColdFor is for how much longer it stays cold, counted from when it was told.
	ColdFor time.Duration `json:"cold,omitempty"`
	// StartedAtMs is when it started, in milliseconds since 1970 by its own clock; 0 if it does not
	// say. It tells its lives apart.
	StartedAtMs int64 `json:"born,omitempty"`
	// Version is that of its software.
	Version string `json:"version,omitempty"`
}

// Incarnation names one life of the server, from its start to its end.
func (v *Server) Incarnation() string {
	if v.StartedAtMs == 0 {
		return v.ID
	}
	return v.ID + incarnationSeparator + strconv.FormatInt(v.StartedAtMs, 10)
}

// incarnationSeparator stands between the ID and the start in the name of a life.
const incarnationSeparator = "@"

// Load is what a server said of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// RateLimit is what an answer of a server says of how many requests it takes.
type RateLimit struct {
	// Present: the answer names a limit.
	Present bool
	// PerSecond is how many requests a second the server takes from all boxes together.
	PerSecond float64
	// Malformed: it names something that cannot be read, which ends no limit of before.
	Malformed bool
}

// HasRoom reports whether the server had free slots; false if it said nothing.
func (l *Load) HasRoom() bool { return l != nil && l.Running+l.Waiting < l.Slots }

// Result is how an exchange ended, as far as the server is concerned.
type Result int

// The results of exchanges.
const (
	// Answered: the server gave a whole answer.
	Answered Result = iota
	// Shed: the server said that it did not run the request.
	Shed
	// Unreachable: no connection came up; nothing was sent.
	Unreachable
	// Refused: the server's port refused the connection; nothing was sent.
	Refused
	// Broken: the exchange failed after something was sent.
	Broken
	// TimedOut: no answer came in time.
	TimedOut
	// Stale: another server has the address now.
	Stale
	// Abandoned: the client left; this says nothing of the server.
	Abandoned
	// Withdrawn: the server left before anything was sent.
	Withdrawn
	// Crashed: the server ended while it had the request, which it had not answered.
	Crashed
)

// resultNames are the results' names in logs, by value.
var resultNames = [...]string{"answered", "shed", "unreachable", "refused", "broken", "late", "stale", "abandoned", "withdrawn", "crashed"}

// unsent reports whether nothing of the request has reached the server.
func (r Result) unsent() bool { return r == Unreachable || r == Refused || r == Withdrawn }

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// Reason says why no server was chosen.
type Reason string

// The reasons.
const (
	// NoServer: no server may take the request, or it was sent to all that may.
	NoServer Reason = "no_server"
	// Full: every server that may take it has more than it can do.
	Full Reason = "full"
	// Limited: those that may take it have named limits, which leave no room now.
	Limited Reason = "limited"
	// BackingOff: those that may take it have asked this box for rest.
	BackingOff Reason = "resting"
	// Failing: those that may take it have failed a moment ago, and rest.
	Failing Reason = "failing"
	// AdmissionPending: whether the limit of the server that it prefers leaves room is to be asked
	// first; see Request.Asked.
	AdmissionPending Reason = "undecided"
)

// ChoiceError is a request for which no server was found.
type ChoiceError struct {
	Reason  Reason
	Service string
	// HomeFill is how much of its slots the key's home has taken, and
	// FreeSlots how many slots the service's servers have free, none of which
	// is known to have the key. Both are set where Reason is Full.
	HomeFill  float64
	FreeSlots int
	// RetryAfter is after what time the home is expected to have worked off what it has too
	// much, a limit to leave room again, or a time of rest to end, 0 if that is not known.
	RetryAfter time.Duration
	// Server is the one whose limit is to be asked for, where Reason is Undecided.
	Server Server
}

// Error implements error.
func (e *ChoiceError) Error() string { return fmt.Sprintf("backend: %s: %s", e.Service, e.Reason) }

// Request is what a choice looks at.
type Request struct {
	Service string
	// Key is the hash of the affinity key; requests without one give a random
	// number.
	Key uint64
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// LargeBody requests carry large bodies; they are kept near where that costs
	// nothing else.
	LargeBody bool
	// RegionAllowed reports whether the request may run in a region.
	RegionAllowed func(region string) bool
	// Tried lists the servers that the request was already sent to.
	Tried []string
	// AdmissionAsked: it has been asked whether a server's limit leaves room for the request, and Granted
	// is the life of the one that has, empty for none. It is not asked twice.
	AdmissionAsked bool
	GrantedBy      string
}

// Admission is whether a server's limit leaves room for one more request.
type Admission int

// The admissions.
const (
	// Unlimited: the server names no limit.
	Unlimited Admission = iota
	// Granted: it leaves room, which this request has taken.
	Granted
	// Denied: it leaves none.
	Denied
	// AdmissionUnknown: that is not known here.
	AdmissionUnknown
)

// Hash is the one hash of affinity keys: equal on all boxes.
func Hash(parts ...string) uint64 { return hashing.Of(parts...) }

func mix(x uint64) uint64 { return hashing.Mix(x) }

// fraction maps a hash to [0, 1).
func fraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }
