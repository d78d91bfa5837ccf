package entry

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// route sends the request to one box after another until one answers or no further
// attempt is allowed.
func (e *Entry) route(r *Request) (*Answer, *outcome.Failure) {
	target := decide.Request{Client: r.Client, Spread: decide.Hash(r.ID)}
	var last *outcome.Failure
	for try := range maxBoxAttempts {
		d := e.decide(r, &target)
		e.logDecision(r, d, try)
		if try == 0 {
			e.CountBucket(r.Service, d.ClientRegion, d.Bucket)
		}
		if d.Box == nil {
			break
		}
		answer, failure := e.attempt(r, d)
		if failure == nil {
			e.Budget.Success(r.Service)
			return answer, nil
		}
		last = combineFailures(last, failure)
		if try < len(target.Tried) {
			target.Tried[try] = d.Box.Box
		}
		if !e.mayRetry(r, failure) {
			break
		}
	}
	if last == nil {
		last = outcome.NewNotRun(outcome.ReasonNoServer, "no box with backend servers of this service is known").WithRetryAfter(time.Second)
	}
	return nil, last
}

// decide routes the request. If all slots of this box are in use and another box is
// known to have free ones, it chooses that box instead of waiting here. If that box
// refuses, a later attempt may choose this box again and wait.
func (e *Entry) decide(r *Request, target *decide.Request) decide.Decision {
	d := r.snapshot.Route(r.view, target)
	if d.Box == nil || d.Box.Box != e.Self || target.Tried[0] != "" {
		return d
	}
	gate := e.Gate(r.Service)
	if gate == nil || gate.HasFree() {
		return d
	}
	elsewhere := *target
	elsewhere.Tried[0] = e.Self
	other := r.snapshot.Route(r.view, &elsewhere)
	if other.Box != nil && other.Box.Free[r.Service] > 0 {
		return other
	}
	return d
}

// combineFailures returns the failure that stands after two attempts. If the outcome
// of the earlier one is unknown, the request may have run, even if the later box
// did not run it.
func combineFailures(earlier, later *outcome.Failure) *outcome.Failure {
	if earlier != nil && earlier.Outcome == outcome.Unknown && later.Outcome == outcome.NotRun {
		return earlier
	}
	return later
}

func (e *Entry) attempt(r *Request, d decide.Decision) (*Answer, *outcome.Failure) {
	if d.Box.Box == e.Self {
		return e.serveLocally(r, "")
	}
	return e.forward(r, d.Box.Peers, HopZone)
}

// mayRetry reports whether the request may be sent again, and deducts the retry
// from the budget if so.
func (e *Entry) mayRetry(r *Request, f *outcome.Failure) bool {
	if r.ctx.Err() != nil || !r.body.replayable() {
		return false
	}
	switch f.Reason {
	case outcome.ReasonCancelled, outcome.ReasonDeadline, outcome.ReasonBadRequest, outcome.ReasonNoSuchService:
		return false
	}
	if f.Outcome == outcome.Unknown && !r.repeatable {
		return false
	}
	return e.Budget.Take(r.Service)
}

func (e *Entry) logDecision(r *Request, d decide.Decision, try int) {
	box := ""
	if d.Box != nil {
		box = d.Box.Box
	}
	e.Log.Info("routed", map[string]any{
		"request": r.ID, "service": r.Service, "revision": r.view.Revision, "bucket": d.Bucket,
		"region": d.Region, "zone": d.Zone, "box": box, "reason": d.Reason, "try": try,
	})
}
