package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// call is the state of one request over all its attempts.
type call struct {
	client  *Client
	request Request
	id      string
	key     string
	// notRun is true as long as certainly no attempt has run.
	notRun bool
	tries  int
}

// Do sends the request and retries it where that is safe, until it is answered, the
// maximum number of attempts is reached, or the context ends. The error is a *LookupError;
// any other failure is reported in the Result.
//
// An at-most-once request keeps its key as soon as an attempt may have run, so that
// retries reach the same owner through any box.
func (c *Client) Do(ctx context.Context, r Request) (*Result, error) {
	x := &call{client: c, request: r, id: r.ID, notRun: true}
	if x.id == "" {
		x.id = randomID()
	}
	var last *Result
	pause := initialBackoff
	for x.tries < c.MaxAttempts {
		entries, err := c.Lookup(ctx, r.Service)
		if err != nil {
			if last != nil {
				return last, nil
			}
			return nil, err
		}
		result := x.attempt(ctx, entries[x.tries%len(entries)])
		if last = x.mergeOutcome(result); !x.shouldRetry(result) {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(max(pause, result.RetryAfter)):
		}
		pause = min(2*pause, maxBackoff)
	}
	return last, nil
}

// mergeOutcome changes the outcome "not run" of an attempt to "unknown" if an earlier
// attempt may have run.
func (x *call) mergeOutcome(r *Result) *Result {
	if r.Outcome == outcome.NotRun && !x.notRun {
		r.Outcome = outcome.Unknown
	}
	if r.Outcome == outcome.Unknown {
		x.notRun = false
	}
	return r
}

func (x *call) shouldRetry(r *Result) bool {
	if r.Outcome == outcome.Answered {
		return false
	}
	switch r.Reason {
	case outcome.ReasonBadRequest, outcome.ReasonKeyRequired, outcome.ReasonTooLarge, outcome.ReasonNoSuchService, outcome.ReasonAnswerNotKept:
		return false
	case outcome.ReasonStaleTicket, outcome.ReasonOwnerUnreachable, outcome.ReasonConnect, outcome.ReasonBoxLeaving:
		x.client.InvalidateLookup(x.request.Service)
	}
	return r.Outcome == outcome.NotRun || x.request.MayRepeat || x.request.AtMostOnce
}

func (x *call) attempt(ctx context.Context, e entry.LookupEntry) *Result {
	x.tries++
	if x.request.AtMostOnce && x.notRun {
		// No attempt has run, so a key owned by this box may replace one whose
		// owner has failed.
		x.key = e.KeyPrefix + "/" + x.id
	}
	result := x.client.Submit(ctx, e.Address, Submission{Request: x.request, ID: x.id, Key: x.key, First: x.notRun})
	result.Attempts = x.tries
	if result.Status == 0 {
		x.client.InvalidateLookup(x.request.Service)
	}
	return result
}

// Submission is a single attempt of a request.
type Submission struct {
	Request Request
	ID      string
	// Key is the idempotency key, or empty if there is none.
	Key string
	// First asserts that no earlier attempt with this key can have run.
	First bool
}

// Submit sends a request to one box, without retries.
func (c *Client) Submit(ctx context.Context, address string, s Submission) *Result {
	result := &Result{Attempts: 1, Entry: address, Key: s.Key}
	got, err := c.pool(address).Do(ctx, &exchange.Request{
		Header: c.header(ctx, address, s), Body: s.Request.Body, MaxIdle: maxIdle,
	})
	if err != nil {
		return result.fail(err)
	}
	got.Header.CopyTo(&result.Header)
	body, err := got.ReadAll(c.MaxAnswer)
	if err != nil {
		return result.fail(err)
	}
	result.Status = got.Header.StatusCode()
	result.Body = body
	result.readOutcome()
	return result
}

func (c *Client) header(ctx context.Context, address string, s Submission) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(s.Request.Method)
	h.SetRequestURI(entry.PathRequests + s.Request.Service + s.Request.Path)
	h.SetHost(address)
	h.SetNoDefaultContentType(true)
	for _, f := range s.Request.Header {
		h.Set(f[0], f[1])
	}
	h.Set(entry.HeaderRequestID, s.ID)
	if c.Address != "" {
		h.Set(entry.HeaderClient, c.Address)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(entry.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	if s.Key == "" {
		return h
	}
	h.Set(entry.HeaderKey, s.Key)
	if s.First {
		h.Set(entry.HeaderAttempt, entry.AttemptFirst)
	}
	return h
}

// fail sets the result of an attempt without a complete answer from a box.
func (r *Result) fail(err error) *Result {
	f := entry.Classify(err)
	r.Outcome, r.Reason = f.Outcome, f.Reason
	r.Body = nil
	return r
}

func (r *Result) readOutcome() {
	r.Outcome = outcome.Outcome(r.Header.Peek(entry.HeaderOutcome))
	r.Reason = outcome.Reason(r.Header.Peek(entry.HeaderReason))
	if ms, err := strconv.ParseInt(string(r.Header.Peek(entry.HeaderRetryMS)), 10, 64); err == nil {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	switch r.Outcome {
	case outcome.Answered, outcome.NotRun, outcome.Unknown:
	default:
		r.Outcome, r.Reason = outcome.Unknown, outcome.ReasonMalformed
	}
}
