package ingress

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/graceful"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// bufferedAnswer is the size in bytes up to which an answer is buffered whole before any of it
// is passed on, so that the request can still be retried if the answer breaks off.
const bufferedAnswer = 256 << 10

// receive reads the answer and passes it on. A large answer is streamed; if it breaks off, the
// client's connection is aborted.
func (c *call) receive(lease *backend.Lease, start time.Time, answer *exchange.Answer, meta AnswerMeta) *outcome.Failure {
	c.noteSurvival(meta)
	status := answer.Header.StatusCode()
	attempt := Attempt{
		Failed:   status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout,
		TimedOut: status == http.StatusGatewayTimeout, Took: c.server.Now().Sub(start),
	}
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, bufferedAnswer+1))
	if err != nil {
		_ = answer.Body.Close()
		return c.failed(lease, start, sentError(err))
	}
	c.observeAttempt(lease, attempt)
	c.copyHeader(answer)
	if len(buffered) > bufferedAnswer || answer.Sending && !c.expectsContinue() {
		c.stream(lease, start, answer, buffered, meta)
		return nil
	}
	_ = answer.Body.Close() // waits for the rest of a body that is still being sent
	c.finish(lease, backend.Answered, meta.Load, start, nil)
	c.setLength(answer, len(buffered))
	c.beginAnswer(status, false)
	_, _ = c.w.Write(buffered)
	c.answered(status)
	return nil
}

// setLength sets the length of the answer's body, negative if it is not known. An answer to HEAD has no body,
// and states the length that one to GET would have.
func (c *call) setLength(answer *exchange.Answer, length int) {
	if c.r.Method == http.MethodHead {
		length = answer.Header.ContentLength()
	}
	if length >= 0 {
		c.w.Header().Set("Content-Length", strconv.Itoa(length))
	}
}

// sentError makes sure that a failure of an answer's body counts as one after the request was
// sent.
func sentError(err error) error {
	var x *exchange.Error
	if errors.As(err, &x) {
		return err
	}
	return &exchange.Error{Stage: exchange.StageBody, Sent: true, Cause: err}
}

// stream passes on an answer while it arrives. If the request's body is still being sent, that goes on
// until its end.
func (c *call) stream(lease *backend.Lease, start time.Time, answer *exchange.Answer, buffered []byte, meta AnswerMeta) {
	c.setLength(answer, answer.Length)
	// HTTP/1.0 has no chunks.
	endsWithConn := answer.Length < 0 && !c.r.ProtoAtLeast(1, 1)
	if endsWithConn {
		graceful.ResetOnClose(c.r.Context(), true)
	}
	c.beginAnswer(answer.Header.StatusCode(), answer.Sending)
	_, err := c.w.Write(buffered)
	if err == nil {
		_, err = io.Copy(c.w, answer.Body)
	}
	if err == nil && (answer.Sending || endsWithConn) {
		err = http.NewResponseController(c.w).Flush()
	}
	_ = answer.Body.Close()
	if err != nil {
		result := backend.Broken
		if c.r.Context().Err() != nil {
			result = backend.Abandoned
		}
		c.finish(lease, result, meta.Load, start, err)
		c.log("answer broke off", outcome.ReasonTruncated, http.StatusBadGateway, 1)
		// Aborting the connection is the only way to show the client that the answer is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
	if endsWithConn {
		graceful.ResetOnClose(c.r.Context(), false)
	}
	c.finish(lease, backend.Answered, meta.Load, start, nil)
	c.answered(answer.Header.StatusCode())
}

func (c *call) copyHeader(answer *exchange.Answer) {
	out := c.w.Header()
	// Otherwise net/http would guess a content type and add a date.
	out["Content-Type"] = nil
	out["Date"] = nil
	connectionHeaders := connectionListed([]string{string(answer.Header.Peek("Connection"))})
	for name, value := range answer.Header.All() {
		n := http.CanonicalHeaderKey(string(name))
		if isHopByHop(n, connectionHeaders) {
			continue
		}
		c.noteUnknownHeader(n, answer)
		out[n] = append(out[n], string(value))
	}
}

// noteUnknownHeaders reports the unknown headers of an answer that is not passed on.
func (c *call) noteUnknownHeaders(answer *exchange.Answer) {
	for name := range answer.Header.All() {
		n := http.CanonicalHeaderKey(string(name))
		if !isHopByHop(n, nil) {
			c.noteUnknownHeader(n, answer)
		}
	}
}

// noteUnknownHeader reports a header of an answer if the platform's adapter does not know it.
func (c *call) noteUnknownHeader(name string, answer *exchange.Answer) {
	if c.server.Dialect.IsUnknownHeader(name, answer.Header.StatusCode()) {
		c.server.ObserveUnknownHeader(name)
	}
}

// fail sends the client an answer that the box itself generates.
func (c *call) fail(f *outcome.Failure) {
	s := c.server
	s.Count("failed." + string(f.Reason))
	c.log("not answered: "+f.Detail, f.Reason, f.Status(), 1)
	if f.Reason != outcome.ReasonCancelled && f.Reason != outcome.ReasonOverLimit {
		c.observeTarget(false)
	}
	if f.Reason == outcome.ReasonCancelled {
		// The client is gone, so nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	h := c.w.Header()
	for name := range h {
		if name != "Connection" {
			delete(h, name)
		}
	}
	s.Dialect.WriteFailure(h, &c.meta, f)
	h.Set("Content-Type", "text/plain")
	text := string(f.Reason) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.beginAnswer(f.Status(), false)
	_, _ = io.WriteString(c.w, text)
	c.drainUpload()
}

func (c *call) answered(status int) {
	s := c.server
	c.observeTarget(status < http.StatusInternalServerError)
	s.Observe(c.service, s.Now().Sub(c.start))
	s.Count("answered")
	clean := len(c.steps) == 1 && status < 500
	if !clean {
		c.log("answered", "", status, 1)
		return
	}
	every := s.Policy().LogAnsweredEvery
	if s.Random()%uint64(every) == 0 {
		c.log("answered", "", status, every)
	}
}

// log writes the one log line of a request: what was received, which configuration was used,
// and each backend server that was tried with what was known of it. The line stands for the
// given number of similar requests.
func (c *call) log(text string, reason outcome.Reason, status, requests int) {
	fields := map[string]any{
		"request": c.meta.ID, "status": status, "took_ms": c.server.Now().Sub(c.start).Milliseconds(),
		"config": c.version, "service": c.service,
	}
	if reason != "" {
		fields["reason"] = reason
	}
	if c.route != nil {
		fields["route"] = c.route.Name
		fields["timeout_ms"] = c.timeout().Milliseconds()
		fields["target_ms"] = c.route.TargetLatency.Milliseconds()
	}
	if c.customer != nil {
		fields["customer"] = c.customer.Name
		if reason == outcome.ReasonOverLimit {
			fields["rate_per_s"], fields["burst"] = c.customer.Rate, c.customer.Burst
		}
	}
	if c.isRegionRestricted() {
		fields["bound"] = true
	}
	if requests > 1 {
		fields["requests"] = requests
	}
	if c.isLeftToClient {
		fields["left_to_client"] = true
	}
	if c.full != nil {
		fields["home_fill"] = math.Round(c.full.HomeFill*10) / 10
		fields["free_slots"] = c.full.FreeSlots
		fields["region_fill"] = math.Round(c.full.RegionFill*10) / 10
		fields["shortage"] = c.isShortage
	}
	if c.anyUnanswered() {
		fields["fingerprint"] = c.fingerprint().String()
	}
	for i, t := range c.steps {
		t.log("try"+strconv.Itoa(i+1), fields)
	}
	c.server.Log.Info(text, fields)
}

// log adds the fields of a try to those of a request's log line.
func (t *step) log(name string, fields map[string]any) {
	l := t.lease
	fields[name] = l.ID + " " + t.result.String()
	fields[name+"_home"] = l.Rank
	fields[name+"_busy"] = int(l.InFlight + 0.5)
	fields[name+"_slots"] = l.Slots
	fields[name+"_ms"] = t.took.Milliseconds()
	if l.LoadAge > 0 {
		fields[name+"_load_age_ms"] = l.LoadAge.Milliseconds()
	}
	if l.Expected > 0 {
		fields[name+"_expected_ms"] = l.Expected.Milliseconds()
	}
	if l.KeyKnown {
		fields[name+"_known"] = true
	}
	if l.Remote {
		fields[name+"_remote"] = true
	}
	if l.Metered {
		fields[name+"_metered"] = true
	}
	if l.Denied > 0 {
		fields[name+"_denied"] = l.Denied
	}
	if l.BackedOff > 0 {
		fields[name+"_resting"] = l.BackedOff
	}
	if t.via != "" {
		fields[name+"_via"] = t.via
	}
	if t.problem != nil {
		fields[name+"_error"] = t.problem.Error()
	}
}
