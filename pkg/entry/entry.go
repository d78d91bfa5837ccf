// Package entry is the request path of a box: it reads a caller's request,
// decides where it goes, sends it there, and passes the answer back.
//
// The decisions are package decide's, the slots admission's, the memory of
// keys once's, the wire exchange's; this package puts them in order and says
// what a caller may be told when something fails.
package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/once"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// Limits of one request.
const (
	// maxBoxAttempts bounds the boxes that one request is offered to.
	maxBoxAttempts = 3
	// idleRepeatable and idleOnce bound how long a connection may have been
	// idle before it carries a request of that kind: the other side may be
	// closing it, which loses the request in a way that cannot be told from
	// one that ran.
	idleRepeatable    = 20 * time.Second
	idleNonRepeatable = time.Second
	// idlePeer is the same for connections between boxes.
	idlePeer = 20 * time.Second
)

// Entry serves requests. Its function fields are its seams.
type Entry struct {
	Self        string
	Zone        string
	Incarnation string
	LookupTTL   time.Duration
	// BufferedBody bounds the bodies that are held whole, in bytes.
	BufferedBody int
	Log          *logging.Part
	Budget       *Budget

	Now   func() time.Time
	Age   func() time.Duration
	Ready func() bool
	// Closed reports whether the box, being stopped, takes no new request.
	Closed   func() bool
	Snapshot func() *decide.Snapshot
	Gate     func(service string) *admission.Gate
	// ServerPool and PeerPool return the connections to an address.
	ServerPool func(address string, connections int) *exchange.Pool
	PeerPool   func(address string) *exchange.Pool
	Member     func(box string) (membership.Member, bool)
	// Begin takes an idempotency key, or joins whoever took it.
	Begin func(k once.Key, issued time.Duration) (run *once.Run, first bool, failure *outcome.Failure)
	// MaySend reports whether this box's grant of slots still runs; it is
	// asked at the moment of sending.
	MaySend func() bool
	// Claim makes this box, or whoever was first, the owner of a key that
	// has no ticket, and returns the ticket that the key has from then on.
	Claim func(ctx context.Context, service, key string) (once.Ticket, *outcome.Failure)
	// OnServerLeaving is told when a backend server says that it leaves.
	OnServerLeaving func(service, server string)
	// Classify says what a failed exchange means.
	Classify func(err error) *outcome.Failure
	// CountBucket counts requests by client region and bucket.
	CountBucket func(service, client string, bucket int)
	// CountOutcome counts ends of requests, by outcome and reason.
	CountOutcome func(result string)
	// ObserveDuration measures a whole request.
	ObserveDuration func(d time.Duration)
}

// Request is a request on its way through this box.
type Request struct {
	ID      string
	Service string
	Method  string
	// Path has the query, and starts with '/'.
	Path     string
	Client   netip.Addr
	Deadline time.Time
	Key      string
	// FirstAttempt is true if the caller vouches that no request with this
	// key was sent before.
	FirstAttempt bool
	Hop          Hop

	ctx        context.Context
	view       *decide.ServiceView
	snapshot   *decide.Snapshot
	repeatable bool
	cacheKey   uint64
	body       *requestBody
	raw        rawHeaders
}

// Repeatable reports whether the request may run more than once.
func (r *Request) Repeatable() bool { return r.repeatable }
