package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/returns"
	"github.com/stoneworks/stoneworks/pkg/routing"
)

// hopByHop lists headers that apply to a single connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length",
}

// forward sends the request until it is answered or may not be sent again.
func (c *call) forward() *outcome.Failure {
	var last *outcome.Failure
	for range maxTries {
		if failure := c.outOfTime(); failure != nil {
			return preferLast(last, failure)
		}
		lease, failure := c.choose()
		if failure != nil {
			return preferLast(last, failure)
		}
		if failure := c.stopFailure(lease.Expected); failure != nil {
			c.withdraw(lease)
			return preferLast(last, failure)
		}
		failure = c.try(lease)
		if failure == nil {
			return nil
		}
		last = failure
		if !c.mayTryAgain(failure) {
			return last
		}
	}
	return last
}

func preferLast(last, failure *outcome.Failure) *outcome.Failure {
	if last != nil {
		return last
	}
	return failure
}

// outOfTime returns a failure if nothing can be sent any more. It synchronizes the clock
// first, because the machine may have been suspended since the last server was asked.
func (c *call) outOfTime() *outcome.Failure {
	c.server.SyncClock()
	if c.r.Context().Err() != nil {
		return outcome.NewNotRun(outcome.ReasonCancelled, "the client left")
	}
	if c.deadline.Sub(c.server.Now()) < minTimeLeft {
		return outcome.NewNotRun(outcome.ReasonDeadline, "").WithRetryAfter(notReadyRetry)
	}
	return nil
}

// choose takes a server for the request. If it is not known here whether the limit that the
// preferred server states allows another request, that is asked once.
func (c *call) choose() (*backend.Lease, *outcome.Failure) {
	r := &backend.Request{
		Service: c.service, Route: c.route.Name, Key: c.placementKey(), Priority: c.priority(), LargeBody: c.route.Kind == routing.Upload, RegionAllowed: c.regionAllowed, Bound: c.isRegionRestricted(), Tried: c.tried,
	}
	lease, err := c.server.Set.Choose(r)
	var choice *backend.ChoiceError
	if errors.As(err, &choice) && choice.Reason == backend.AdmissionPending {
		lease, err = c.chooseAsking(r, &choice.Server)
	}
	if err == nil {
		return lease, nil
	}
	return nil, c.choiceFailure(err)
}

// chooseAsking asks whether the server's limit allows another request and chooses again: that
// server if it does, or another one.
func (c *call) chooseAsking(r *backend.Request, server *backend.Server) (*backend.Lease, error) {
	r.AdmissionAsked = true
	if c.server.AwaitServerLimit(c.ctx, server) {
		r.GrantedBy = server.Incarnation()
	}
	lease, err := c.server.Set.Choose(r)
	if r.GrantedBy != "" && (lease == nil || lease.Incarnation() != r.GrantedBy) {
		// The candidates changed while the limit was being asked for.
		c.server.ReleaseServerLimit(server)
	}
	return lease, err
}

// choiceFailure returns why no server was chosen, and when the client may return.
func (c *call) choiceFailure(err error) *outcome.Failure {
	choice := &backend.ChoiceError{}
	errors.As(err, &choice)
	switch choice.Reason {
	case backend.Full:
		c.full = choice
		return outcome.NewNotRun(outcome.ReasonNoCapacity, "the server of its key is full").WithRetryAfter(c.fullRetryAfter(choice))
	case backend.Limited:
		return outcome.NewNotRun(outcome.ReasonNoCapacity, "the servers that may serve it are at the rate limits that they state").WithRetryAfter(c.roomRetryAfter(choice.RetryAfter))
	case backend.BackingOff:
		return outcome.NewNotRun(outcome.ReasonNoCapacity, "the servers that may serve it have asked this box to back off").WithRetryAfter(c.backoffRetryAfter(choice.RetryAfter))
	case backend.Failing:
		return outcome.NewNotRun(outcome.ReasonNoServer, "the servers that may serve it have failed recently").WithRetryAfter(c.backoffRetryAfter(choice.RetryAfter))
	}
	if c.server.Starting() > 0 {
		return outcome.NewNotRun(outcome.ReasonNotReady, "the box does not know the servers yet").WithRetryAfter(c.startRetryAfter())
	}
	return outcome.NewNotRun(outcome.ReasonNoServer, "no server may serve it").WithRetryAfter(c.spreadRetryAfter())
}

// roomRetryAfter returns when a server is expected to have a free slot, randomized by half of
// that time either way, so that clients that were refused together do not return together.
func (c *call) roomRetryAfter(untilFree time.Duration) time.Duration {
	if untilFree <= 0 {
		return c.spreadRetryAfter()
	}
	p := c.server.Policy()
	chance := float64(c.server.Random()%1024) / 1024
	return max(p.ReturnSoon, min(p.ReturnMost, time.Duration((0.5+chance)*float64(untilFree))))
}

// fullRetryAfter returns when a client may return whose request found its server full.
func (c *call) fullRetryAfter(choice *backend.ChoiceError) time.Duration {
	s := c.server
	f := returns.Full{RegionFill: choice.RegionFill, Left: c.deadline.Sub(s.Now())}
	if !f.InShortage(s.Policy().ShortageFill) {
		return c.roomRetryAfter(choice.RetryAfter)
	}
	c.isShortage = true
	s.Count("refused.shortage")
	return max(s.Policy().ReturnSoon, f.InShortageAfter(float64(s.Random()%1024)/1024))
}

// backoffRetryAfter returns when requests are sent again to a server that has asked for a
// backoff or has failed, plus a random part of up to a quarter of that time. A client that
// returns sooner is not served.
func (c *call) backoffRetryAfter(backoff time.Duration) time.Duration {
	if backoff <= 0 {
		return c.spreadRetryAfter()
	}
	chance := float64(c.server.Random()%1024) / 1024
	return backoff + time.Duration(chance*float64(min(backoff/4, c.server.Policy().ReturnMost)))
}

// spreadRetryAfter returns a random time, so that refused clients do not all return at once.
func (c *call) spreadRetryAfter() time.Duration {
	p := c.server.Policy()
	return p.ReturnLeast + time.Duration(c.server.Random()%uint64(p.ReturnMost-p.ReturnLeast))
}

// mayTryAgain reports whether the request may be sent to another backend server. A request
// that certainly did not run may be sent again; one that may have run, only if it is
// idempotent. A retry of a request that has reached a backend server is taken from the retry
// budget.
func (c *call) mayTryAgain(f *outcome.Failure) bool {
	if f.Reason == outcome.ReasonCancelled || !c.body.replayable() {
		return false
	}
	if f.Outcome != outcome.NotRun && !c.route.Idempotent() {
		return false
	}
	if c.sent == 0 {
		// Nothing has reached a backend server, so this is not a retry.
		return true
	}
	if c.sent >= max(1, c.route.MaxAttempts) || c.tooManyCrashes() {
		return false
	}
	return c.spendRetry()
}

// spendRetry takes a retry from the budget, unless the request is to be left to its client.
func (c *call) spendRetry() bool {
	s := c.server
	decision, reserve := returns.Retry, s.Policy().RetryReserve
	if c.shed != nil && reserve > 0 {
		decision = returns.Decide(*c.shed)
	}
	switch {
	case decision == returns.RetryIfSpare && !s.Budget.SpendSpare(c.service, reserve):
		c.isLeftToClient = true
		s.Count("retry.left_to_client")
		return false
	case decision == returns.Retry && !s.Budget.Spend(c.service):
		s.Count("retry.denied")
		return false
	}
	s.Count("retry.sent")
	return true
}

// try sends the request to one backend server and passes its answer on.
func (c *call) try(lease *backend.Lease) *outcome.Failure {
	s := c.server
	start := s.Now()
	c.tried = append(c.tried, lease.ID)
	c.shed, c.via = nil, ""
	answer, err := s.Pool(&lease.Server).Do(c.ctx, c.request(lease, start))
	if err != nil {
		if wasSent(err) {
			c.sent++
		}
		return c.failed(lease, start, err)
	}
	c.sent++
	c.via = answer.Via
	if answer.Via == "" {
		s.ObserveDirectAnswer(&lease.Server)
	}
	meta := s.Dialect.ReadAnswer(&answer.Header)
	meta.Via = answer.Via
	s.ObserveAnswer(&lease.Server, &meta, start)
	switch {
	case meta.Stale, meta.NotRun:
		return c.rejected(lease, start, answer, meta)
	case answer.Header.StatusCode() < 300 && !meta.Signed:
		_ = answer.Body.Close()
		c.finish(lease, backend.Broken, nil, start, nil)
		return outcome.NewUnknown(outcome.ReasonMalformed, "a successful answer without a signature")
	}
	return c.receive(lease, start, answer, meta)
}

// rejected handles an answer that states that the backend server did not run the request.
func (c *call) rejected(lease *backend.Lease, start time.Time, answer *exchange.Answer, meta AnswerMeta) *outcome.Failure {
	c.noteUnknownHeaders(answer)
	// The body is read so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, 4<<10))
	_ = answer.Body.Close()
	result := backend.Shed
	if meta.Stale {
		result = backend.Stale
	}
	c.finish(lease, result, meta.Load, start, nil)
	failure := outcome.NewNotRun(outcome.ReasonShed, lease.ID)
	failure = failure.WithRetryAfter(c.spreadRetryAfter())
	if result == backend.Shed && meta.Load.HasRoom() {
		failure = failure.WithRetryAfter(c.server.Policy().ReturnRoom)
	}
	if result == backend.Shed {
		c.shed = &returns.Shed{
			HasRoom: meta.Load.HasRoom(), IsReturn: c.server.IsReturn(c.r), RetryAfter: failure.RetryAfter,
			Left: c.deadline.Sub(c.server.Now()), Latency: lease.Expected,
		}
	}
	return failure
}

// failed records a failed exchange and returns what the client is told.
func (c *call) failed(lease *backend.Lease, start time.Time, err error) *outcome.Failure {
	sent := wasSent(err)
	timedOut := errors.Is(err, context.DeadlineExceeded)
	clientLeft := c.r.Context().Err() != nil
	attempt := Attempt{Failed: !timedOut, TimedOut: timedOut, Took: c.server.Now().Sub(start)}
	pathLost := !clientLeft && c.server.IsPathLost(&lease.Server, err)
	if sent && timedOut && !clientLeft && !pathLost {
		c.observeAttempt(lease, attempt)
	}
	switch {
	case sent && pathLost:
		c.finish(lease, backend.PathLost, nil, start, err)
	case pathLost:
		c.finish(lease, backend.NoPath, nil, start, err)
	case clientLeft:
		c.finish(lease, backend.Abandoned, nil, start, err)
	case isWithdrawn(err):
		c.finish(lease, backend.Withdrawn, nil, start, err)
	case !sent && errors.Is(err, syscall.ECONNREFUSED):
		c.finish(lease, backend.Refused, nil, start, err)
	case !sent:
		c.finish(lease, backend.Unreachable, nil, start, err)
	case timedOut:
		c.finish(lease, backend.TimedOut, nil, start, err)
	default:
		c.finish(lease, c.classifyLoss(lease, attempt, err), nil, start, err)
	}
	return classify(sent, timedOut, clientLeft, err)
}

// observeAttempt records how a server handled the request.
func (c *call) observeAttempt(lease *backend.Lease, a Attempt) {
	if c.isKeyed {
		a.Key = c.key
	}
	c.server.ObserveAttempt(c.route.Name, lease, a)
}

// wasSent reports whether any byte of the request may have reached the backend server.
func wasSent(err error) bool {
	var x *exchange.Error
	return !errors.As(err, &x) || x.Sent
}

func isWithdrawn(err error) bool {
	var withdrawn *exchange.WithdrawnError
	return errors.As(err, &withdrawn)
}

func classify(sent, timedOut, clientLeft bool, err error) *outcome.Failure {
	var malformed *exchange.FramingError
	switch {
	case clientLeft && !sent:
		return outcome.NewNotRun(outcome.ReasonCancelled, "the client left")
	case clientLeft:
		return outcome.NewUnknown(outcome.ReasonCancelled, "the client left")
	case !sent && timedOut:
		return outcome.NewNotRun(outcome.ReasonDeadline, err.Error()).WithRetryAfter(notReadyRetry)
	case !sent:
		return outcome.NewNotRun(outcome.ReasonConnect, err.Error()).WithRetryAfter(notReadyRetry)
	case timedOut:
		return outcome.NewUnknown(outcome.ReasonTimeout, err.Error())
	case errors.As(err, &malformed):
		return outcome.NewUnknown(outcome.ReasonMalformed, err.Error())
	}
	return outcome.NewUnknown(outcome.ReasonConnectionLost, err.Error())
}

// request builds the request that is sent to the backend server.
func (c *call) request(lease *backend.Lease, now time.Time) *exchange.Request {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(c.r.Method)
	h.SetRequestURI(c.r.RequestURI)
	h.SetNoDefaultContentType(true)
	h.SetHost(c.r.Host)
	connectionHeaders := connectionListed(c.r.Header["Connection"])
	for name, values := range c.r.Header {
		if isHopByHop(name, connectionHeaders) || c.server.Dialect.Internal(name) || c.hasCustomers && c.server.Dialect.CarriesKey(name) {
			continue
		}
		for _, v := range values {
			h.Add(name, v)
		}
	}
	c.server.Dialect.WriteRequest(h, &c.meta, c.deadline.Sub(now), &lease.Server)
	if c.customer != nil {
		c.server.Dialect.WriteCustomer(h, c.customer.Name)
	}
	x := &exchange.Request{Header: h, Body: c.body.whole, MaxIdle: idleNonIdempotent, NonIdempotent: !c.route.Idempotent()}
	x.MaySend = func() bool { return lease.MaySend() && c.outOfTime() == nil }
	x.Match = func(h *fasthttp.ResponseHeader) bool { return c.server.Dialect.IsAnswerTo(h, &c.meta) }
	if c.route.Idempotent() {
		x.MaxIdle = idleIdempotent
	}
	if c.isRegionRestricted() {
		x.Restriction = c.server.Restriction(&lease.Server)
	}
	if c.body.stream != nil {
		x.Stream, x.Length = c.body.stream, c.body.length
		x.AbortStream = c.upload.abort
		x.FinishStream = c.isSuccess
	}
	return x
}

// isSuccess reports whether an answer is one that a client gets as a success. A server that fails or
// refuses a request does not need the rest of its body.
func (c *call) isSuccess(h *fasthttp.ResponseHeader) bool {
	meta := c.server.Dialect.ReadAnswer(h)
	return h.StatusCode() < http.StatusMultipleChoices && meta.Signed && !meta.NotRun && !meta.Stale
}

// connectionListed returns the headers that a Connection header names, by their names in lower case.
func connectionListed(values []string) map[string]struct{} {
	var listed map[string]struct{}
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			if listed == nil {
				listed = map[string]struct{}{}
			}
			listed[strings.ToLower(strings.TrimSpace(name))] = struct{}{}
		}
	}
	return listed
}

func isHopByHop(name string, connectionHeaders map[string]struct{}) bool {
	if slices.Contains(hopByHop, name) {
		return true
	}
	if len(connectionHeaders) == 0 {
		return false
	}
	_, isListed := connectionHeaders[strings.ToLower(name)]
	return isListed
}

// finish ends the use of the backend server and records it for the log.
func (c *call) finish(lease *backend.Lease, result backend.Result, load *backend.Load, start time.Time, err error) {
	lease.Done(result, load)
	c.server.Count("backend." + result.String())
	if lease.Remote {
		c.server.Count("backend.remote")
	}
	c.steps = append(c.steps, step{
		lease: lease, result: result, took: c.server.Now().Sub(start), problem: err, via: c.via,
	})
}
