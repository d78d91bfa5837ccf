// Package ingress is the request path of a box: it reads a client's request,
// finds its route, chooses a backend server, sends the request there, and
// passes the answer back. The decisions are those of packages routing,
// backend and retry; the wire to backend servers is package exchange's; what
// headers are called is a Dialect's. This package puts the steps in order and
// says what a client may be told when one of them fails.
package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/customer"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
	"github.com/stoneworks/stoneworks/pkg/retry"
	"github.com/stoneworks/stoneworks/pkg/routing"
)

// Meta is what a client's headers say of a request.
type Meta struct {
	ID string
	// Key is the affinity key, empty for none.
	Key string
	// Timeout is how long the client waits; 0 if it did not say.
	Timeout time.Duration
	// Credential is the key of the customer whose request it is.
	Credential customer.Credential
}

// AnswerMeta is what a backend server's headers say of its answer.
type AnswerMeta struct {
	// NotRun: the backend server did not run the request and will not.
	NotRun bool
	// Stale: the backend server is not the one that was expected.
	Stale bool
	// Signed: the answer is a backend server's own.
	Signed bool
	// Load is what it said of its load, or nil.
	Load *backend.Load
	// Limit is what it said of how many requests it takes.
	Limit backend.RateLimit
	// Leaving: it says that it leaves.
	Leaving bool
	// Backoff is for how long it wants no requests from this box, 0 if it has not asked for that.
	Backoff time.Duration
	// HeaderErrors are headers that cannot be read. What they would have said is not known.
	HeaderErrors []error
}

// Attempt is how a server has dealt with a request that was sent to it.
type Attempt struct {
	// Failed: it failed the request, or broke its answer off; Late: it gave none in time.
	Failed   bool
	TimedOut bool
	Took     time.Duration
}

// Dialect names the headers of a deployment. All fields are needed.
type Dialect struct {
	// ReadRequest reads a client's headers; the error names a malformed one.
	ReadRequest func(h http.Header) (Meta, error)
	// WriteRequest sets the headers for a backend server: what is left of the time,
	// and which backend server is expected.
	WriteRequest func(h *fasthttp.RequestHeader, m *Meta, left time.Duration, server *backend.Server)
	// ReadAnswer reads a backend server's headers.
	ReadAnswer func(h *fasthttp.ResponseHeader) AnswerMeta
	// IsAnswerTo reports whether an answer is the one to the request.
	IsAnswerTo func(h *fasthttp.ResponseHeader, m *Meta) bool
	// IsUnknownHeader reports whether a header of that name of an answer of some status may say something
	// of the server, and ReadAnswer does not read it.
	IsUnknownHeader func(name string, status int) bool
	// Internal reports whether a client's header of that name is not passed on.
	Internal func(name string) bool
	// CarriesKey reports whether a header of that name may carry a customer's key,
	// which no backend server gets to see.
	CarriesKey func(name string) bool
	// WriteCustomer sets the header that tells a backend server whose request it is.
	WriteCustomer func(h *fasthttp.RequestHeader, name string)
	// WriteFailure sets the headers of an answer of the box's own.
	WriteFailure func(h http.Header, m *Meta, f *outcome.Failure)
}

// Server serves clients. All fields are needed.
type Server struct {
	Dialect *Dialect
	// Table returns the configuration in force, nil if there is none yet.
	Table func() *routing.Table
	// Current reports whether the configuration is known to be fresh.
	Current func() bool
	// Leaving reports whether the box is stopping, Closed whether it takes
	// nothing new any more.
	Leaving func() bool
	Closed  func() bool

	// Starting returns for how long the box has been starting, 0 if it has been ready.
	Starting func() time.Duration

	// Policy returns the figures in force.
	Policy   func() *policy.Policy
	Splitter *routing.Splitter
	Set      *backend.Set
	Budget   *retry.Budget
	// KeysTrusted reports whether the customers' keys may still be trusted.
	KeysTrusted func() bool
	// Admit decides whether a request is within its customer's limit, or when it may
	// come back. It may wait a moment to find out.
	Admit func(ctx context.Context, c *customer.Customer) (admitted bool, retryAfter time.Duration)
	// ReturnAdmission returns what an admitted request took of the limit, since it has not
	// run.
	ReturnAdmission func(c *customer.Customer)
	// AwaitServerLimit asks whether the limit that a backend server names leaves room for a request,
	// which then has taken it, and ReleaseRoom gives that back. AwaitServerLimit may take a moment.
	AwaitServerLimit   func(ctx context.Context, server *backend.Server) bool
	ReleaseServerLimit func(server *backend.Server)
	// ObserveTarget notes whether a request of a customer, within its limit and not left by its
	// client, was answered within its route's target.
	ObserveTarget func(c *customer.Customer, inTime bool)
	// HasCrashed finds out whether a backend server, which has closed a connection without
	// an answer, has ended. It takes one way there and back.
	HasCrashed func(server *backend.Server) bool
	// ObserveCrash has the crash of a server that had a request count against that, and Released
	// is told of a request that was held and that a server has answered.
	ObserveCrash   func(f quarantine.Fingerprint, server string)
	ObserveRelease func(f quarantine.Fingerprint)
	// Quarantine is what is known of requests that crash backend servers.
	Quarantine *quarantine.Table
	// ObserveAnswer takes in what an answer says of its server besides its load. Sent is when the
	// request was sent.
	ObserveAnswer func(server *backend.Server, verdict *AnswerMeta, sent time.Time)
	// ObserveAttempt notes how a server has dealt with a request that reached it.
	ObserveAttempt func(route string, lease *backend.Lease, a Attempt)
	// ObserveUnknownHeader notes an answer's header that the platform's adapter does not know.
	ObserveUnknownHeader func(name string)
	// Background runs work that outlasts its request.
	Background func(work func())
	// Pool returns the connections to a backend server.
	Pool func(server *backend.Server) *exchange.Pool
	Now  func() time.Time
	// SyncClock has Now count what the machine was suspended for.
	SyncClock func()
	// Random returns a random number, for requests without a key.
	Random func() uint64
	Log    *logging.Part
	// Count counts an event; Observe a request's time by service and outcome.
	Count   func(name string)
	Observe func(name string, d time.Duration)
}

// Tuning of the request path.
const (
	// bufferedBody bounds a body that is held whole, so that it can be sent
	// again; a larger one is passed on as it comes. In bytes.
	bufferedBody = 1 << 20
	// maxTries bounds how often one request looks for a backend server, those that
	// could not be reached included.
	maxTries = 4
	// minTimeLeft is the least time that must be left to send a request.
	minTimeLeft = 20 * time.Millisecond
	// defaultTimeout bounds requests for which neither the client nor the
	// route names a time.
	defaultTimeout = 30 * time.Second
	// idleIdempotent and idleOnce bound the idle time of connections that are
	// used again: what may not be repeated must not meet a closing connection.
	idleIdempotent    = 8 * time.Second
	idleNonIdempotent = 4 * time.Second
)

// call is one client's request on its way.
type call struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	meta   Meta
	route  *routing.Route
	// customer is whose request it is, nil if it needs no key and brings none.
	customer *customer.Customer
	// hasCustomers: there are customers, so the request may carry a key.
	hasCustomers bool
	version      uint64
	service      string
	key          uint64
	start        time.Time
	deadline     time.Time
	body         body
	// isBodyRead: reading the body has begun.
	isBodyRead bool
	ctx        context.Context
	tried      []string
	sent       int
	// crashes is how many backend servers have crashed under this attempt.
	crashes int
	// cachedFingerprint is the request's fingerprint once it is asked for.
	cachedFingerprint *quarantine.Fingerprint
	steps             []step
	// full is why no server was chosen, if all were full.
	full *backend.ChoiceError
}

// step is one try, for the log.
type step struct {
	lease   *backend.Lease
	result  backend.Result
	took    time.Duration
	problem error
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{server: s, w: w, r: r, start: s.Now()}
	if s.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if failure := c.prepare(); failure != nil {
		c.fail(failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.deadline.Sub(s.Now()))
	defer cancel()
	c.ctx = ctx
	if failure := c.admit(); failure != nil {
		c.fail(failure)
		return
	}
	failure := c.readBody()
	if failure == nil {
		failure = c.checkQuarantine()
	}
	if failure == nil {
		failure = c.forward()
	}
	if failure != nil {
		c.returnAdmission(failure)
		c.fail(failure)
	}
}

// MayServeAhead reports whether a request may be served at the same time as others of its
// connection: if it may be repeated, and the box is not stopping, since then its connection closes.
func (s *Server) MayServeAhead(r *http.Request) bool {
	table := s.Table()
	if table == nil || s.Leaving() {
		return false
	}
	route := table.Find(r.Host, r.URL.EscapedPath())
	return route != nil && route.Idempotent()
}

// prepare reads the request's header and finds its route.
func (c *call) prepare() *outcome.Failure {
	s := c.server
	meta, err := s.Dialect.ReadRequest(c.r.Header)
	c.meta = meta
	if err != nil {
		return outcome.NewNotRun(outcome.ReasonBadRequest, err.Error())
	}
	table := s.Table()
	if table == nil {
		return outcome.NewNotRun(outcome.ReasonNotReady, "no configuration yet").WithRetryAfter(c.startRetryAfter())
	}
	c.version = table.Configuration.Version
	c.route = table.Find(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		if !s.Current() {
			return outcome.NewNotRun(outcome.ReasonNotReady, "the configuration may be old").WithRetryAfter(notReadyRetry)
		}
		return outcome.NewNotRun(outcome.ReasonNoRoute, c.r.Host)
	}
	if failure := c.authenticate(table); failure != nil {
		return failure
	}
	if s.Closed() {
		return outcome.NewNotRun(outcome.ReasonBoxLeaving, "").WithRetryAfter(time.Millisecond)
	}
	c.deadline = c.start.Add(c.timeout())
	c.service = c.route.Backends[s.Splitter.Pick(c.route)].Service
	c.key = s.Random()
	if c.route.SessionAffinity && meta.Key != "" {
		c.key = backend.Hash(c.route.Host, c.route.PathPrefix, meta.Key)
	}
	s.Budget.Request(c.service)
	return nil
}

const (
	// notReadyRetry is the least time after which a client may come back to a box that is not ready, and
	// mostStartRetry the most for one that starts.
	notReadyRetry = 200 * time.Millisecond
	maxStartRetry = 4 * time.Second
)

// startRetryAfter is when a client may come back to a box that starts: its start is expected to take as long
// again as it has taken, since that follows the fleet and its list of servers. Sooner the client is refused again.
func (c *call) startRetryAfter() time.Duration {
	return max(notReadyRetry, min(c.server.Starting(), maxStartRetry))
}

// timeout is the lesser of what the client and the route allow.
func (c *call) timeout() time.Duration {
	d := c.meta.Timeout
	if d <= 0 {
		d = defaultTimeout
	}
	if c.route.Timeout > 0 && c.route.Timeout < d {
		d = c.route.Timeout
	}
	return d
}
