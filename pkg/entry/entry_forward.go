package entry

import (
	"io"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// forward sends the request to another box and returns that box's answer, or the
// outcome that it reports. If the exchange with the box fails, the outcome is
// unknown unless no byte was sent to it.
func (e *Entry) forward(r *Request, address string, hop Hop) (*Answer, *outcome.Failure) {
	h := r.outgoing(e.Now(), PathRequests+r.Service+r.Path)
	h.SetHost(address)
	h.Set(HeaderHop, string(hop))
	h.Set(HeaderClient, r.Client.String())
	if r.FirstAttempt {
		h.Set(HeaderAttempt, AttemptFirst)
	}
	got, err := e.PeerPool(address).Do(r.ctx, r.exchangeRequest(h, idlePeer))
	if err != nil {
		return nil, e.Classify(err)
	}
	if outcome.Outcome(got.Header.Peek(HeaderOutcome)) != outcome.Answered {
		_ = got.Body.Close()
		f := failureFrom(&got.Header)
		if f.Outcome != outcome.NotRun {
			f.Outcome = outcome.Unknown
		}
		if f.Reason == "" {
			f.Reason = outcome.ReasonMalformed
		}
		return nil, f
	}
	a := newAnswer(&got.Header, string(got.Header.Peek(HeaderServer)), string(got.Header.Peek(HeaderZone)))
	if got.Length < 0 || got.Length > e.BufferedBody {
		a.Stream, a.Length = got.Body, got.Length
		return a, nil
	}
	a.Body = make([]byte, got.Length)
	if _, err := io.ReadFull(got.Body, a.Body); err != nil {
		_ = got.Body.Close()
		return nil, e.Classify(err)
	}
	return a, nil
}
