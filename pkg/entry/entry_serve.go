package entry

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/linger"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// Answer is an answer to return to the caller.
type Answer struct {
	Status int
	Header [][2]string
	// Body is the whole body, unless Stream is set; Stream must be closed.
	Body   []byte
	Stream io.ReadCloser
	// Length is the length of Stream in bytes, -1 if it is not known.
	Length int
	Server string
	Zone   string
}

// Serve handles one request and calls done when it is finished: for a streamed
// answer when the stream is closed. fromPeer is true on the port for other boxes.
func (e *Handler) Serve(ctx *fasthttp.RequestCtx, fromPeer bool, done func()) {
	started := e.Now()
	r, failure := e.parse(ctx, fromPeer)
	if failure != nil {
		done()
		e.refuse(ctx, r, failure, true)
		return
	}
	body, failure := openBody(ctx, e.BufferedBody)
	if failure != nil {
		done()
		e.refuse(ctx, r, failure, true)
		return
	}
	r.body = body
	hangup, hungUp := context.WithCancel(context.Background())
	unwatch := func() {}
	if body.stream == nil {
		unwatch = exchange.WatchHangup(ctx.Conn(), hungUp)
	}
	bounded, cancel := r.withDeadline(hangup)
	r.ctx = bounded
	finish := func() {
		unwatch()
		cancel()
		hungUp()
		done()
	}
	answer, failure := e.run(r)
	e.ObserveDuration(e.Now().Sub(started))
	if failure != nil {
		finish()
		e.refuse(ctx, r, failure, body.stream != nil)
		return
	}
	e.writeAnswer(ctx, r, answer, finish)
}

func (e *Handler) run(r *Request) (*Answer, *outcome.Failure) {
	if r.Hop == HopZone {
		return e.serveLocally(r, "")
	}
	if !r.repeatable {
		return e.runOnce(r)
	}
	return e.route(r)
}

// writeAnswer writes an answer. It calls finish, for a streamed answer when the stream
// is closed.
func (e *Handler) writeAnswer(ctx *fasthttp.RequestCtx, r *Request, a *Answer, finish func()) {
	e.CountOutcome(string(outcome.Answered))
	resp := &ctx.Response
	resp.SetStatusCode(a.Status)
	resp.Header.SetNoDefaultContentType(true)
	for _, h := range a.Header {
		resp.Header.Add(h[0], h[1])
	}
	resp.Header.Set(HeaderOutcome, string(outcome.Answered))
	resp.Header.Set(HeaderRequestID, r.ID)
	resp.Header.Set(HeaderServer, a.Server)
	resp.Header.Set(HeaderZone, a.Zone)
	resp.Header.Set(HeaderBox, e.Self)
	if r.body.aborted.Load() || (r.body.stream != nil && !r.body.started.Load()) {
		linger.Enable(ctx.Conn())
		resp.SetConnectionClose()
	}
	if a.Stream == nil {
		finish()
		if r.Method == fasthttp.MethodHead {
			resp.SkipBody = true
		}
		resp.SetBody(a.Body)
		return
	}
	resp.SetBodyStream(&answerStream{ReadCloser: a.Stream, finish: finish}, a.Length)
}

// answerStream calls finish after the stream is closed.
type answerStream struct {
	io.ReadCloser
	finish func()
}

// Close implements io.Closer.
func (s *answerStream) Close() error {
	err := s.ReadCloser.Close()
	s.finish()
	return err
}

// FailureBody is the JSON body of a request that was not answered.
type FailureBody struct {
	Outcome      outcome.Outcome `json:"outcome"`
	Reason       outcome.Reason  `json:"reason"`
	Detail       string          `json:"detail,omitempty"`
	RequestID    string          `json:"request_id"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
}

// refuse writes a failure. closeConnection is set if the request's body may not
// have been read to its end, since the connection cannot be used again then.
func (e *Handler) refuse(ctx *fasthttp.RequestCtx, r *Request, f *outcome.Failure, closeConnection bool) {
	e.CountOutcome(string(f.Outcome) + "." + string(f.Reason))
	e.Log.Info("request not answered", map[string]any{
		"request": r.ID, "service": r.Service, "outcome": f.Outcome, "reason": f.Reason, "detail": f.Detail,
	})
	WriteFailure(ctx, r.ID, f)
	ctx.Response.Header.Set(HeaderBox, e.Self)
	if closeConnection {
		linger.Enable(ctx.Conn())
		ctx.Response.SetConnectionClose()
	}
}

// WriteFailure writes a failure in the format that all failures have.
func WriteFailure(ctx *fasthttp.RequestCtx, id string, f *outcome.Failure) {
	resp := &ctx.Response
	resp.Reset()
	resp.SetStatusCode(f.Status())
	resp.Header.Set(HeaderOutcome, string(f.Outcome))
	resp.Header.Set(HeaderReason, string(f.Reason))
	resp.Header.Set(HeaderRequestID, id)
	if f.RetryAfter > 0 {
		resp.Header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
		resp.Header.Set(HeaderRetryMS, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	resp.Header.SetContentType("application/json")
	text, _ := json.Marshal(FailureBody{
		Outcome: f.Outcome, Reason: f.Reason, Detail: f.Detail, RequestID: id,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	})
	resp.SetBody(append(text, '\n'))
}

// failureFrom reads a failure from the answer of another box.
func failureFrom(h *fasthttp.ResponseHeader) *outcome.Failure {
	f := &outcome.Failure{
		Outcome: outcome.Outcome(h.Peek(HeaderOutcome)),
		Reason:  outcome.Reason(h.Peek(HeaderReason)),
		Detail:  "said box " + string(h.Peek(HeaderBox)),
	}
	if ms, err := strconv.ParseInt(string(h.Peek(HeaderRetryMS)), 10, 64); err == nil && ms > 0 {
		f.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return f
}
