// Package backend chooses the backend server for each request. It does no input or output:
// callers report the listed servers, the load that servers report and the results of exchanges,
// and get a Lease on one server.
//
// The home of a request's affinity key is found by rendezvous hashing, so that all boxes send
// equal keys to the same server without coordination. A request that its home cannot serve goes
// to the next server in the key's order.
package backend

import (
	"fmt"
	"strconv"
	"time"

	"github.com/stoneworks/stoneworks/pkg/hashing"
)

// Server is one backend server as the platform lists it. It may restart under the same ID; see
// Incarnation.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many requests the server runs at once.
	Slots    int  `json:"slots"`
	Draining bool `json:"draining,omitempty"`
	// ColdFor is how much longer the server stays cold, counted from when the platform reported
	// it.
	ColdFor time.Duration `json:"cold,omitempty"`
	// StartedAtMs is when the server started, in milliseconds since 1970 by its own clock, or 0
	// if it does not report that. It distinguishes the incarnations of an ID.
	StartedAtMs int64 `json:"born,omitempty"`
	// Version is the version of the server's software.
	Version string `json:"version,omitempty"`
}

// Incarnation returns a name for this run of the server, from its start to its end.
func (v *Server) Incarnation() string {
	if v.StartedAtMs == 0 {
		return v.ID
	}
	return v.ID + incarnationSeparator + strconv.FormatInt(v.StartedAtMs, 10)
}

// incarnationSeparator separates the ID and the start time in the name of an incarnation.
const incarnationSeparator = "@"

// Load is the load that a server reported in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// RateLimit is the rate limit that a server reported in an answer.
type RateLimit struct {
	// Present is true if the answer has a limit.
	Present bool
	// PerSecond is how many requests per second the server accepts from all boxes together.
	PerSecond float64
	// Malformed is true if the limit cannot be parsed. An earlier limit then stays in force.
	Malformed bool
}

// HasRoom reports whether the server had free slots; false if it reported no load.
func (l *Load) HasRoom() bool { return l != nil && l.Running+l.Waiting < l.Slots }

// Result is how an exchange ended with respect to the server.
type Result int

// The results of exchanges.
const (
	// Answered: the server sent a complete answer.
	Answered Result = iota
	// Shed: the server reported that it did not run the request.
	Shed
	// Unreachable: no connection could be opened; nothing was sent.
	Unreachable
	// Refused: the server's port refused the connection; nothing was sent.
	Refused
	// Broken: the exchange failed after something was sent.
	Broken
	// TimedOut: no answer arrived in time.
	TimedOut
	// Stale: the address now belongs to another server.
	Stale
	// Abandoned: the client left, which shows nothing about the server.
	Abandoned
	// Withdrawn: the server left before anything was sent.
	Withdrawn
	// Crashed: the server ended while it ran the request and before it answered.
	Crashed
	// NoPath: this box has lost its link to the server, and no other box helped; nothing was
	// sent.
	NoPath
	// PathLost: the exchange failed after something was sent, because this box has lost its link
	// to the server, which shows nothing about the server.
	PathLost
)

// resultNames holds the names of results in logs, indexed by value.
var resultNames = [...]string{"answered", "shed", "unreachable", "refused", "broken", "late", "stale", "abandoned", "withdrawn", "crashed", "no_path", "path_lost"}

// unsent reports whether no part of the request has reached the server.
func (r Result) unsent() bool {
	return r == Unreachable || r == Refused || r == Withdrawn || r == NoPath
}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// Reason is why no server was chosen.
type Reason string

const (
	// NoServer: no server is eligible, or the request was sent to all that are.
	NoServer Reason = "no_server"
	// Full: every eligible server has more requests than it can run.
	Full Reason = "full"
	// Limited: the rate limits of the eligible servers leave no room now.
	Limited Reason = "limited"
	// BackingOff: the eligible servers have asked this box for a backoff.
	BackingOff Reason = "resting"
	// Failing: the eligible servers have failed recently and are ejected.
	Failing Reason = "failing"
	// AdmissionPending: the caller has to ask first whether the rate limit of the preferred
	// server leaves room; see Request.AdmissionAsked.
	AdmissionPending Reason = "undecided"
)

// ChoiceError reports that no server was found for a request.
type ChoiceError struct {
	Reason  Reason
	Service string
	// HomeFill is the fraction of its slots that the key's home has taken, and FreeSlots is the
	// number of free slots at the service's servers, none of which is known to have the key. Both
	// are set where Reason is Full.
	HomeFill  float64
	FreeSlots int
	// RegionFill is the average fill that the servers of the home's region report.
	RegionFill float64
	// RetryAfter is the expected time until the home has worked off its excess, a rate limit
	// leaves room again, or a backoff or ejection ends; 0 if unknown.
	RetryAfter time.Duration
	// Server is the server whose limit the caller has to ask about, where Reason is
	// AdmissionPending.
	Server Server
}

// Error implements error.
func (e *ChoiceError) Error() string { return fmt.Sprintf("backend: %s: %s", e.Service, e.Reason) }

// Request describes a request for the choice of its server.
type Request struct {
	Service string
	// Route is the name of the request's route.
	Route string
	// Key is the hash of the affinity key, or a random number for a request without one.
	Key uint64
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// LargeBody is true if the request carries a large body. Such requests are kept near the box
	// where that has no other cost.
	LargeBody bool
	// RegionAllowed reports whether the request may run in a region. Bound is true if it may not
	// run in all regions, so that fewer boxes may pass it on.
	RegionAllowed func(region string) bool
	Bound         bool
	// Tried lists the IDs of the servers that the request was already sent to.
	Tried []string
	// AdmissionAsked is true once the caller has asked whether a server's limit leaves room for
	// the request. GrantedBy is the incarnation that granted it, or empty. The question is not
	// asked twice.
	AdmissionAsked bool
	GrantedBy      string
}

// Admission is whether a server's rate limit leaves room for one more request.
type Admission int

const (
	// Unlimited: the server has no limit.
	Unlimited Admission = iota
	// Granted: the limit leaves room, which this request has taken.
	Granted
	// Denied: the limit leaves no room.
	Denied
	// AdmissionUnknown: this box does not know whether the limit leaves room.
	AdmissionUnknown
)

// Hash hashes the parts of an affinity key. It is equal on all boxes.
func Hash(parts ...string) uint64 { return hashing.Of(parts...) }

func mix(x uint64) uint64 { return hashing.Mix(x) }

// fraction maps a hash to [0, 1).
func fraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }
