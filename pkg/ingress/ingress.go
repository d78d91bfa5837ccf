// Package ingress is the request path of a box. It reads a client's request, finds its route,
// chooses a backend server, sends the request there and passes the answer back. Packages
// routing, backend and retry make the decisions, package exchange speaks to the backend
// servers, and a Dialect names the headers. This package runs the steps in order and
// determines what a client is told when one of them fails.
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
	"github.com/stoneworks/stoneworks/pkg/pipeline"
	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
	"github.com/stoneworks/stoneworks/pkg/retry"
	"github.com/stoneworks/stoneworks/pkg/returns"
	"github.com/stoneworks/stoneworks/pkg/routing"
)

// Meta is what the headers of a client's request state.
type Meta struct {
	ID string
	// Key is the affinity key, empty if there is none.
	Key string
	// Timeout is how long the client waits, 0 if the request does not state it.
	Timeout time.Duration
	// Credential is the customer's key that the request carries.
	Credential customer.Credential
}

// AnswerMeta is what the headers of a backend server's answer state.
type AnswerMeta struct {
	// NotRun is set if the backend server did not run the request and will not.
	NotRun bool
	// Stale is set if the backend server is not the expected one.
	Stale bool
	// Signed is set if the answer comes from a backend server itself.
	Signed bool
	// Load is the load that the server reports, nil if it reports none.
	Load *backend.Load
	// Limit is the rate of requests that the server states it accepts.
	Limit backend.RateLimit
	// Leaving is set if the server announces that it is leaving.
	Leaving bool
	// Backoff is for how long the server asks this box to send no requests, 0 if it does not
	// ask.
	Backoff time.Duration
	// Via is the box that passed the answer on, "" if it came from the server directly.
	Via string
	// HeaderErrors are the errors of headers that cannot be parsed, whose content is unknown.
	HeaderErrors []error
}

// Attempt is how a server handled a request that was sent to it.
type Attempt struct {
	// Failed is set if the server failed the request or its answer broke off, TimedOut if it
	// did not answer in time.
	Failed   bool
	TimedOut bool
	// Key is the hash of the request's affinity key, 0 if it has none.
	Key  uint64
	Took time.Duration
}

// Dialect reads and writes the headers of a deployment. All fields are required.
type Dialect struct {
	// ReadRequest reads the headers of a client's request. The error names a malformed one.
	ReadRequest func(h http.Header) (Meta, error)
	// WriteRequest sets the headers for a backend server: the time left and the expected
	// backend server.
	WriteRequest func(h *fasthttp.RequestHeader, m *Meta, left time.Duration, server *backend.Server)
	// ReadAnswer reads the headers of a backend server's answer.
	ReadAnswer func(h *fasthttp.ResponseHeader) AnswerMeta
	// IsAnswerTo reports whether an answer belongs to the request.
	IsAnswerTo func(h *fasthttp.ResponseHeader, m *Meta) bool
	// IsUnknownHeader reports whether a header of that name, in an answer with that status,
	// may describe the server but is not read by ReadAnswer.
	IsUnknownHeader func(name string, status int) bool
	// Internal reports whether a client's header of that name is not forwarded.
	Internal func(name string) bool
	// CarriesKey reports whether a header of that name may carry a customer's key, which must
	// not reach a backend server.
	CarriesKey func(name string) bool
	// WriteCustomer sets the header that names the customer to a backend server.
	WriteCustomer func(h *fasthttp.RequestHeader, name string)
	// WriteFailure sets the headers of an answer that the box itself generates.
	WriteFailure func(h http.Header, m *Meta, f *outcome.Failure)
}

// Server serves clients. All fields are required.
type Server struct {
	Dialect *Dialect
	// Table returns the configuration in force, nil if there is none yet.
	Table func() *routing.Table
	// Current reports whether the configuration is known to be up to date.
	Current func() bool
	// Leaving reports whether the box is stopping, Closed whether it accepts no new requests.
	Leaving func() bool
	Closed  func() bool
	// Stop returns the box's planned stop.
	Stop func() Stop

	// Starting returns for how long the box has been starting, 0 once it has been ready.
	Starting func() time.Duration

	// Policy returns the policy parameters in force.
	Policy   func() *policy.Policy
	Splitter *routing.Splitter
	Set      *backend.Set
	Budget   *retry.Budget
	// KeysTrusted reports whether the customers' keys may still be trusted.
	KeysTrusted func() bool
	// Admit decides whether a request is within its customer's limit, and if not, when the
	// client may retry. It may block briefly to find out.
	Admit func(ctx context.Context, c *customer.Customer) (admitted bool, retryAfter time.Duration)
	// ReturnAdmission returns what an admitted request took of its customer's limit, because
	// the request was not run.
	ReturnAdmission func(c *customer.Customer)
	// Admission decides whether the box has room for that many bytes of a request's body, which
	// have not been read, or else when the client may retry. What it admits is taken back with
	// Release.
	Admission func(priority int, bytes int64) (admitted bool, retryAfter time.Duration)
	Release   func(bytes int64)
	// AsksToClose reports whether clients are to close their connections after their answers.
	AsksToClose func() bool
	// AwaitServerLimit asks whether the limit that a backend server states allows another
	// request and counts the request if so; ReleaseServerLimit takes that back.
	// AwaitServerLimit may block briefly.
	AwaitServerLimit   func(ctx context.Context, server *backend.Server) bool
	ReleaseServerLimit func(server *backend.Server)
	// ObserveTarget records whether a customer's request, which was within its limit and not
	// cancelled by its client, was answered within the target latency of its route.
	ObserveTarget func(c *customer.Customer, inTime bool)
	// ObserveDirectAnswer records that a server has answered over the box's own link to it.
	ObserveDirectAnswer func(server *backend.Server)
	// IsPathLost reports whether an exchange failed because the box's own link to the server has
	// failed, which shows nothing about the server.
	IsPathLost func(server *backend.Server, err error) bool
	// HasCrashed determines whether a backend server that closed a connection without an
	// answer has ended. It takes one network round trip.
	HasCrashed func(server *backend.Server) bool
	// ObserveCrash counts the crash of a server against a request that was at the server.
	// ObserveRelease is called when a server has answered a request that was held in
	// quarantine.
	ObserveCrash   func(f quarantine.Fingerprint, server string)
	ObserveRelease func(f quarantine.Fingerprint)
	// Quarantine holds what is known of requests that crash backend servers.
	Quarantine *quarantine.Table
	// ObserveAnswer processes what an answer states about its server other than its load. sent
	// is when the request was sent.
	ObserveAnswer func(server *backend.Server, meta *AnswerMeta, sent time.Time)
	// ObserveAttempt records how a server handled a request that reached it.
	ObserveAttempt func(route string, lease *backend.Lease, a Attempt)
	// ObserveUnknownHeader records a header of an answer that the platform's adapter does not
	// know.
	ObserveUnknownHeader func(name string)
	// Background runs work that outlives its request.
	Background func(work func())
	// Pool returns the connections to a backend server.
	Pool func(server *backend.Server) *exchange.Pool
	// Restriction allows, for requests that may not run in all regions, the connections to a
	// server that pass through no box outside the server's region.
	Restriction func(server *backend.Server) *exchange.Restriction
	Now         func() time.Time
	// SyncClock makes Now include the time for which the machine was suspended.
	SyncClock func()
	// IsReturn reports whether a request is probably a client's return after a failed attempt.
	IsReturn func(r *http.Request) bool
	// Random returns a random number, which is the key of a request that has none.
	Random func() uint64
	Log    *logging.Logger
	// Count counts an event, Observe records the duration of a request to a service.
	Count   func(name string)
	Observe func(service string, d time.Duration)
}

// Parameters of the request path.
const (
	// bufferedBody is the size in bytes up to which a body is buffered whole, so that the
	// request can be sent again. A larger body is streamed.
	bufferedBody = 1 << 20
	// maxTries bounds how many backend servers are chosen for one request, including those
	// that could not be reached.
	maxTries = 4
	// minTimeLeft is the minimum time that must be left to send a request.
	minTimeLeft = 20 * time.Millisecond
	// defaultTimeout bounds requests for which neither the client nor the route sets a
	// timeout.
	defaultTimeout = 30 * time.Second
	// idleIdempotent and idleNonIdempotent bound for how long a reused connection may have
	// been idle. A request that must not be repeated must not meet a connection that is
	// closing.
	idleIdempotent    = 8 * time.Second
	idleNonIdempotent = 4 * time.Second
)

// call is the processing of one client's request.
type call struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	meta   Meta
	route  *routing.Route
	// customer is the customer whose request it is, nil if the request needs no key and
	// carries none.
	customer *customer.Customer
	// hasCustomers is set if there are customers, so that the request may carry a key.
	hasCustomers bool
	version      uint64
	service      string
	// key is the hash of the affinity key, or a random number if isKeyed is false.
	key      uint64
	isKeyed  bool
	start    time.Time
	deadline time.Time
	body     body
	// reserved is how many bytes of the body Admission has admitted.
	reserved int64
	// upload is the client's body, nil if it sends none.
	upload *upload
	ctx    context.Context
	tried  []string
	sent   int
	// crashes is how many backend servers have crashed with this request during this call.
	crashes int
	// cachedFingerprint is the request's fingerprint once it has been computed.
	cachedFingerprint *quarantine.Fingerprint
	steps             []step
	// via is the name of the box through which the last server was reached, "" if it was directly.
	via string
	// shed is how a server has shed the request, nil if the last one tried did not.
	shed *returns.Shed
	// isLeftToClient is set if the request was refused so that its client returns.
	isLeftToClient bool
	// isShortage is set if the request was refused because the region's servers are short of room.
	isShortage bool
	// full is the error of choosing a server if all servers were full.
	full *backend.ChoiceError
}

// step is one try, recorded for the log.
type step struct {
	lease   *backend.Lease
	result  backend.Result
	took    time.Duration
	problem error
	// via is the name of the box through which the server was reached, "" if it was directly.
	via string
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{server: s, w: w, r: r, start: s.Now()}
	c.openUpload()
	defer c.endUpload()
	if (s.Leaving() || s.AsksToClose()) && pipeline.MayClose(r.Context()) {
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
	defer c.releaseBody()
	failure := c.reserveBody()
	if failure == nil {
		failure = c.readBody()
	}
	if failure == nil {
		failure = c.checkQuarantine()
	}
	if failure == nil {
		failure = c.forward()
	}
	if failure != nil {
		c.returnAdmission(failure)
		c.releaseBody() // reading the rest of a refused body takes a while
		c.fail(failure)
	}
}

// MayServeAhead reports whether a request may be served concurrently with others of its
// connection. It must be idempotent, and the box must neither be stopping nor ask clients to
// close, because then the connection closes.
func (s *Server) MayServeAhead(r *http.Request) bool {
	table := s.Table()
	if table == nil || s.Leaving() || s.AsksToClose() {
		return false
	}
	route := table.Find(r.Host, r.URL.EscapedPath())
	return route != nil && route.Idempotent()
}

// prepare reads the request's headers and finds its route.
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
			return outcome.NewNotRun(outcome.ReasonNotReady, "the configuration may be out of date").WithRetryAfter(notReadyRetry)
		}
		return outcome.NewNotRun(outcome.ReasonNoRoute, c.r.Host)
	}
	if failure := c.authenticate(table); failure != nil {
		return failure
	}
	if s.Closed() {
		return newBoxLeaving()
	}
	c.deadline = c.start.Add(c.timeout())
	if failure := c.stopFailure(0); failure != nil {
		return failure
	}
	c.service = c.route.Backends[s.Splitter.Pick(c.route)].Service
	c.key = s.Random()
	if c.route.SessionAffinity && meta.Key != "" {
		c.key, c.isKeyed = backend.Hash(c.route.Host, c.route.PathPrefix, meta.Key), true
	}
	s.Budget.Request(c.service)
	return nil
}

const (
	// notReadyRetry is the minimum time after which a client may return to a box that is not
	// ready, and maxStartRetry the maximum for a box that is starting.
	notReadyRetry = 200 * time.Millisecond
	maxStartRetry = 4 * time.Second
)

// startRetryAfter returns when a client may return to a box that is starting. The start is
// expected to take as long again as it has taken so far, because its duration depends on the
// fleet and its list of servers. A client that returns sooner is refused again.
func (c *call) startRetryAfter() time.Duration {
	return max(notReadyRetry, min(c.server.Starting(), maxStartRetry))
}

// timeout returns the shorter of the timeouts that the client and the route allow.
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
