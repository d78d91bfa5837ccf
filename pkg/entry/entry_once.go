package entry

import (
	"bytes"
	"strconv"
	"time"

	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/idempotency"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// runOnce runs a request that may not be repeated. The box that owns its key
// runs it at most once.
func (e *Handler) runOnce(r *Request) (*Answer, *outcome.Failure) {
	if r.Key == "" {
		return nil, outcome.NewNotRun(outcome.ReasonKeyRequired, r.Method+" of this service may not be repeated")
	}
	ticket, hasTicket, err := idempotency.ParseKey(r.Key)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	if !hasTicket {
		owner, failure := e.Claim(r.ctx, r.Service, r.Key)
		if failure != nil {
			return nil, r.notRunOnlyIfFirst(failure)
		}
		ticket = owner
	}
	if ticket.Box == e.Self && ticket.Incarnation == e.Incarnation {
		return e.runOwned(r, ticket)
	}
	return e.forwardToOwner(r, ticket)
}

// notRunOnlyIfFirst changes the outcome "not run" to "unknown" unless this is the first
// attempt: an earlier request with the key may have run, and only the caller can
// rule that out.
func (r *Request) notRunOnlyIfFirst(f *outcome.Failure) *outcome.Failure {
	if f.Outcome == outcome.NotRun && !r.FirstAttempt {
		f.Outcome = outcome.Unknown
	}
	return f
}

// forwardToOwner forwards the request to the box that owns its key. If the owner did not
// receive it, an earlier request with the same key may still have run.
func (e *Handler) forwardToOwner(r *Request, t idempotency.Ticket) (*Answer, *outcome.Failure) {
	owner, known := e.Member(t.Box)
	if known && owner.Incarnation != t.Incarnation || t.Box == e.Self || r.Hop == HopOwner {
		return nil, r.notRunOnlyIfFirst(outcome.NewNotRun(outcome.ReasonStaleTicket, t.String()).WithRetryAfter(time.Second))
	}
	if !known || owner.State == membership.Dead {
		return nil, r.notRunOnlyIfFirst(outcome.NewNotRun(outcome.ReasonOwnerUnreachable, t.Box).WithRetryAfter(time.Second))
	}
	e.Log.Info("forwarded to the box that owns the key", map[string]any{"request": r.ID, "service": r.Service, "owner": t.Box})
	a, f := e.forward(r, owner.Peers, HopOwner)
	if f != nil && f.Reason == outcome.ReasonConnect {
		f.Reason = outcome.ReasonOwnerUnreachable
		return nil, r.notRunOnlyIfFirst(f)
	}
	return a, f
}

// runOwned runs the request here, or waits for the execution that its key
// already has.
func (e *Handler) runOwned(r *Request, t idempotency.Ticket) (*Answer, *outcome.Failure) {
	key := idempotency.Key{Service: r.Service, Key: r.Key, Fingerprint: r.fingerprint()}
	execution, first, failure := e.Begin(key, t.Issued)
	if failure != nil {
		return nil, failure
	}
	if r.body.stream != nil {
		r.body.digest = newBodyDigest(r.body.length)
	}
	if !first {
		return r.answerOf(execution)
	}
	answer, failure := e.route(r)
	if failure != nil {
		execution.Fail(failure)
		return nil, failure
	}
	if answer.Stream == nil {
		kept := &idempotency.Answer{
			Status: answer.Status, Header: answer.Header, Body: bytes.Clone(answer.Body), Server: answer.Server, Zone: answer.Zone,
		}
		if r.body.digest != nil {
			kept.StreamDigest, kept.HasStreamDigest = r.body.digest.sum()
		}
		execution.Complete(kept)
		return answer, nil
	}
	execution.Complete(nil)
	return answer, nil
}

// answerOf returns the answer of an earlier execution of the request's key. It belongs to this
// request only if the bodies are equal too; fingerprint does not cover a streamed one.
func (r *Request) answerOf(execution *idempotency.Execution) (*Answer, *outcome.Failure) {
	kept, failure := execution.Wait(r.ctx)
	if failure != nil {
		return nil, failure
	}
	if r.body.stream != nil {
		if !kept.HasStreamDigest {
			return nil, outcome.NewUnknown(outcome.ReasonAnswerNotKept, "the server answered before it had read the body, which cannot be compared")
		}
		digest, err := r.body.readDigest(r.ctx)
		if err != nil {
			return nil, outcome.NewUnknown(outcome.ReasonBadRequest, "the body could not be read: "+err.Error())
		}
		if digest != kept.StreamDigest {
			return nil, idempotency.DifferentRequest()
		}
	}
	return &Answer{Status: kept.Status, Header: kept.Header, Body: kept.Body, Server: kept.Server, Zone: kept.Zone}, nil
}

// fingerprint returns a hash of the request, which detects different requests that wrongly use
// the same key. Of a streamed body it covers only the length.
func (r *Request) fingerprint() uint64 {
	length := len(r.body.bytes)
	if r.body.stream != nil {
		length = r.body.length
	}
	return decide.Hash(r.Method, r.Path, strconv.Itoa(length), string(r.body.bytes))
}
