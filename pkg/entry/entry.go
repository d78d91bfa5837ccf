// Package entry is the request path of a box: it parses a caller's request,
// routes it, sends it to a backend server or another box, and returns the answer.
//
// Routing is in package decide, admission to slots in admission, the records of
// idempotency keys in once, and HTTP exchanges in exchange. This package calls
// them in order and determines which outcome a caller is told after a failure.
package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/idempotency"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// Limits of one request.
const (
	// maxBoxAttempts is the highest number of boxes that one request is sent to.
	maxBoxAttempts = 3
	// idleRepeatable and idleNonRepeatable are the longest times for which a
	// connection may have been idle before it carries a request of that kind. The
	// server may be closing an idle connection; a request lost that way cannot be
	// told from one that ran.
	idleRepeatable    = 20 * time.Second
	idleNonRepeatable = time.Second
	// idlePeer is the same limit for connections between boxes.
	idlePeer = 20 * time.Second
)

// Entry serves requests. Its function fields are dependencies that tests replace.
type Entry struct {
	Self        string
	Zone        string
	Incarnation string
	LookupTTL   time.Duration
	// BufferedBody is the largest size in bytes of a body that is buffered whole.
	BufferedBody int
	Log          *logging.Logger
	Budget       *Budget

	Now   func() time.Time
	Age   func() time.Duration
	Ready func() bool
	// Closed reports whether the box is stopping and refuses new requests.
	Closed   func() bool
	Snapshot func() *decide.Snapshot
	Gate     func(service string) *admission.Gate
	// ServerPool and PeerPool return the connections to an address.
	ServerPool func(address string, connections int) *exchange.Pool
	PeerPool   func(address string) *exchange.Pool
	Member     func(box string) (membership.Member, bool)
	// Begin starts the run of an idempotency key, or returns the run that the key
	// already has; first is true if it started one.
	Begin func(k idempotency.Key, issued time.Duration) (run *idempotency.Execution, first bool, failure *outcome.Failure)
	// MaySend reports whether this box may still use its share of the slots. It
	// is called immediately before a request is sent.
	MaySend func() bool
	// Claim makes this box the owner of a key that has no ticket, unless another
	// box claimed it first, and returns the owner's ticket.
	Claim func(ctx context.Context, service, key string) (idempotency.Ticket, *outcome.Failure)
	// OnServerLeaving is called when an answer carries the backend server's leaving signal.
	OnServerLeaving func(service, server string)
	// Classify converts the error of an exchange into a failure.
	Classify func(err error) *outcome.Failure
	// CountBucket counts a request by service, client region and bucket.
	CountBucket func(service, client string, bucket int)
	// CountOutcome counts finished requests by outcome and reason, and look-ups.
	CountOutcome func(result string)
	// ObserveDuration records the time from the arrival of a request until its
	// answer or failure is known.
	ObserveDuration func(d time.Duration)
}

// Request is a caller's request while this box handles it.
type Request struct {
	ID      string
	Service string
	Method  string
	// Path starts with '/' and includes the query.
	Path     string
	Client   netip.Addr
	Deadline time.Time
	Key      string
	// FirstAttempt is true if the caller states that it has sent no request with
	// this key before.
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
