package entry

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// serveLocally admits the request to a backend server that this box has slots of and
// sends it. If that server certainly did not run it, one other server is tried.
func (e *Handler) serveLocally(r *Request, avoid string) (*Answer, *outcome.Failure) {
	gate := e.Gate(r.Service)
	if gate == nil {
		return nil, outcome.NewNotRun(outcome.ReasonNoServer, "this box is no home of the service").WithRetryAfter(time.Second)
	}
	permit, failure := gate.Acquire(r.ctx, admission.Request{CacheKey: r.cacheKey, Avoid: avoid})
	if failure != nil {
		return nil, failure
	}
	e.Log.Info("backend server selected", map[string]any{
		"request": r.ID, "service": r.Service, "revision": r.view.Revision, "server": permit.Server.Name, "address": permit.Server.Address,
	})
	answer, failure := e.send(r, permit)
	if failure == nil {
		return answer, nil
	}
	if failure.Outcome == outcome.NotRun && avoid == "" && e.mayRetry(r, failure) {
		return e.serveLocally(r, permit.Server.Name)
	}
	return nil, failure
}

// send runs the exchange with one backend server. The permit ends with the
// exchange; for a streamed answer that is when the stream is closed.
func (e *Handler) send(r *Request, permit *admission.Permit) (answer *Answer, failure *outcome.Failure) {
	// Only the first release counts. This one applies if the code below panics.
	defer func() {
		if answer == nil {
			permit.Release(admission.Broken)
		}
	}()
	h := r.outgoing(e.Now(), r.Path)
	h.SetHost(permit.Server.Address)
	idle := idleNonRepeatable
	if r.repeatable {
		idle = idleRepeatable
	}
	pool := e.ServerPool(permit.Server.Address, permit.Server.Share)
	x := r.exchangeRequest(h, idle)
	// Checked as late as possible, since the box may be suspended at any moment.
	x.MaySend = e.MaySend
	got, err := pool.Do(r.ctx, x)
	var withdrawn *exchange.WithdrawnError
	if errors.As(err, &withdrawn) {
		permit.Release(admission.Unused)
		return nil, outcome.NewNotRun(outcome.ReasonNotReady, "this box stood still; its part of the slots is being confirmed").WithRetryAfter(time.Second)
	}
	if err != nil {
		return nil, e.exchangeFailure(r, permit, err)
	}
	if len(got.Header.Peek(HeaderLeaving)) > 0 {
		e.OnServerLeaving(r.Service, permit.Server.Name)
	}
	if outcome.Outcome(got.Header.Peek(HeaderOutcome)) == outcome.NotRun {
		_ = got.Body.Close()
		permit.Release(admission.Unused)
		return nil, shedFailure(&got.Header, permit.Server.Name)
	}
	return e.readAnswer(r, permit, got)
}

func (r *Request) exchangeRequest(h *fasthttp.RequestHeader, idle time.Duration) *exchange.Request {
	x := &exchange.Request{Header: h, Body: r.body.bytes, MaxIdle: idle}
	if r.body.stream != nil {
		x.Stream, x.Length, x.AbortStream = r.body, r.body.length, r.body.interrupt
	}
	return x
}

func shedFailure(h *fasthttp.ResponseHeader, server string) *outcome.Failure {
	f := outcome.NewNotRun(outcome.ReasonShed, server)
	if s, err := strconv.Atoi(string(h.Peek(headerRetryAfter))); err == nil && s > 0 {
		f.RetryAfter = time.Duration(s) * time.Second
	}
	if f.RetryAfter == 0 {
		f.RetryAfter = time.Second
	}
	return f
}

func (e *Handler) exchangeFailure(r *Request, permit *admission.Permit, err error) *outcome.Failure {
	if r.body.broken.Load() {
		// The caller's body caused the failure, not the backend server.
		permit.Abandon(admission.Unused)
		return outcome.NewUnknown(outcome.ReasonBadRequest, "the request's body broke off or is misframed")
	}
	f := e.Classify(err)
	result := admission.Broken
	switch f.Reason {
	case outcome.ReasonCancelled, outcome.ReasonDeadline:
		result = admission.Unused
	case outcome.ReasonTimeout:
		result = admission.TimedOut
	}
	if f.Outcome == outcome.NotRun {
		permit.Release(result)
	} else {
		permit.Abandon(result)
	}
	return f
}

// readAnswer buffers a small answer whole, so that the caller never gets part of it.
// A larger answer is streamed.
func (e *Handler) readAnswer(r *Request, permit *admission.Permit, got *exchange.Answer) (*Answer, *outcome.Failure) {
	a := newAnswer(&got.Header, permit.Server.Name, e.Zone)
	if got.Length >= 0 && got.Length <= e.BufferedBody {
		body := make([]byte, got.Length)
		if _, err := io.ReadFull(got.Body, body); err != nil {
			_ = got.Body.Close()
			return nil, e.exchangeFailure(r, permit, err)
		}
		_ = got.Body.Close()
		permit.Release(admission.Succeeded)
		a.Body = body
		return a, nil
	}
	a.Length = got.Length
	a.Stream = &slotStream{ReadCloser: got.Body, permit: permit}
	return a, nil
}

// slotStream is the body of a streamed answer; closing it ends the permit.
type slotStream struct {
	io.ReadCloser
	permit   *admission.Permit
	complete bool
}

// Read implements io.Reader.
func (s *slotStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.complete = s.complete || errors.Is(err, io.EOF)
	return n, err
}

// Close implements io.Closer.
func (s *slotStream) Close() error {
	err := s.ReadCloser.Close()
	if s.complete {
		s.permit.Release(admission.Succeeded)
	} else {
		s.permit.Abandon(admission.Succeeded)
	}
	return err
}

func newAnswer(h *fasthttp.ResponseHeader, server, zone string) *Answer {
	a := &Answer{Status: h.StatusCode(), Server: server, Zone: zone}
	for name, value := range h.All() {
		if !isForwardedHeader(string(name)) {
			continue
		}
		a.Header = append(a.Header, [2]string{string(name), string(value)})
	}
	return a
}

// isForwardedHeader reports whether a header of an answer is forwarded to the caller.
func isForwardedHeader(name string) bool {
	if len(name) >= len(headerPrefix) && name[:len(headerPrefix)] == headerPrefix {
		return false
	}
	if name == fasthttp.HeaderContentLength {
		return false
	}
	for _, h := range hopByHop {
		if name == h {
			return false
		}
	}
	return true
}

// Classify converts the error of an exchange into a failure. The outcome is "not
// run" only if no byte of the request was handed to the network.
func Classify(err error) *outcome.Failure {
	var x *exchange.Error
	if !errors.As(err, &x) {
		return outcome.NewUnknown(outcome.ReasonTruncated, err.Error())
	}
	f := outcome.NewUnknown(reasonOf(x), x.Error())
	if !x.Sent {
		f.Outcome = outcome.NotRun
		f.RetryAfter = time.Second
	}
	return f
}

func reasonOf(x *exchange.Error) outcome.Reason {
	var framing *exchange.FramingError
	var tooLong *exchange.TooLongError
	switch {
	case errors.Is(x.Cause, context.Canceled):
		return outcome.ReasonCancelled
	case errors.Is(x.Cause, context.DeadlineExceeded) && !x.Sent:
		return outcome.ReasonDeadline
	case errors.Is(x.Cause, context.DeadlineExceeded):
		return outcome.ReasonTimeout
	case !x.Sent:
		return outcome.ReasonConnect
	case errors.As(x.Cause, &framing), errors.As(x.Cause, &tooLong):
		return outcome.ReasonMalformed
	case x.Stage == exchange.StageBody:
		return outcome.ReasonTruncated
	}
	return outcome.ReasonConnectionLost
}
