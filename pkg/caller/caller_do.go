package caller

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// call is one request on its way through its attempts.
type call struct {
	client  *Client
	request Request
	id      string
	key     string
	// clean is true while every attempt so far was certainly not run.
	clean bool
	tries int
}

// Do sends the request and repeats it where that is safe, until it is
// answered, the attempts are used up, or the context ends. The error is a
// *LookupError; every other end is a Result.
//
// A request that may not be repeated keeps its key as soon as one attempt may
// have run: repeats then reach the same owner, whatever box they go through.
func (c *Client) Do(ctx context.Context, r Request) (*Result, error) {
	x := &call{client: c, request: r, id: r.ID, clean: true}
	if x.id == "" {
		x.id = randomID()
	}
	var last *Result
	pause := firstPause
	for x.tries < c.Attempts {
		entries, err := c.Lookup(ctx, r.Service)
		if err != nil {
			if last != nil {
				return last, nil
			}
			return nil, err
		}
		result := x.attempt(ctx, entries[x.tries%len(entries)])
		if last = x.worse(result); !x.again(result) {
			return last, nil
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(max(pause, result.RetryAfter)):
		}
		pause = min(2*pause, longestPause)
	}
	return last, nil
}

// worse keeps "unknown" once an attempt may have run, whatever later attempts
// say of themselves.
func (x *call) worse(r *Result) *Result {
	if r.Outcome == outcome.NotRun && !x.clean {
		r.Outcome = outcome.Unknown
	}
	if r.Outcome == outcome.Unknown {
		x.clean = false
	}
	return r
}

func (x *call) again(r *Result) bool {
	if r.Outcome == outcome.Answered {
		return false
	}
	switch r.Reason {
	case outcome.ReasonBadRequest, outcome.ReasonKeyRequired, outcome.ReasonTooLarge, outcome.ReasonNoSuchService, outcome.ReasonAnswerNotKept:
		return false
	case outcome.ReasonStaleTicket, outcome.ReasonOwnerUnreachable, outcome.ReasonConnect:
		x.client.Forget(x.request.Service)
	}
	return r.Outcome == outcome.NotRun || x.request.MayRepeat || x.request.Once
}

func (x *call) attempt(ctx context.Context, e entry.LookupEntry) *Result {
	x.tries++
	if x.request.Once && x.clean {
		// Nothing ran yet, so a key of the box at hand may take the place of
		// one whose owner is gone.
		x.key = e.KeyPrefix + "/" + x.id
	}
	result := &Result{Attempts: x.tries, Entry: e.Address, Key: x.key}
	got, err := x.client.pool(e.Address).Do(ctx, &exchange.Request{
		Header: x.header(ctx, e), Body: x.request.Body, MaxIdle: 2 * time.Second,
	})
	if err != nil {
		x.client.Forget(x.request.Service)
		return result.fail(err)
	}
	defer func() { _ = got.Body.Close() }()
	got.Header.CopyTo(&result.Header)
	result.Status = got.Header.StatusCode()
	body, err := io.ReadAll(got.Body)
	if err != nil {
		return result.fail(err)
	}
	result.Body = body
	result.readOutcome()
	return result
}

func (x *call) header(ctx context.Context, e entry.LookupEntry) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	h.SetMethod(x.request.Method)
	h.SetRequestURI(entry.PathRequests + x.request.Service + x.request.Path)
	h.SetHost(e.Address)
	h.SetNoDefaultContentType(true)
	for _, f := range x.request.Header {
		h.Set(f[0], f[1])
	}
	h.Set(entry.HeaderRequestID, x.id)
	if x.client.Address != "" {
		h.Set(entry.HeaderClient, x.client.Address)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(entry.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	if x.key != "" {
		h.Set(entry.HeaderKey, x.key)
		if x.clean {
			h.Set(entry.HeaderAttempt, "first")
		}
	}
	return h
}

// fail ends an attempt without a whole answer of a box.
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
