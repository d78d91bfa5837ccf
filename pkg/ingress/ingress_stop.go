package ingress

import (
	"time"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// Stop is a planned stop of the box. The zero value stands for none.
type Stop struct {
	Began time.Time
	// Ends is when the box cuts off the requests that are still in progress.
	Ends time.Time
}

// lateAfter is how long after the start of a planned stop the box still takes a request that it may
// have to cut off. Clients are to use other boxes 3 s after the signal, which comes before the start.
const lateAfter = 2500 * time.Millisecond

// stopFailure returns a failure if the request is not to be sent to a server because of a planned stop:
// the box might have to cut it off, and the stop has gone on for long or the request is not expected to
// be answered in time. expected is the expected time to the answer, 0 if it is not known. Another box
// can serve the request at once.
func (c *call) stopFailure(expected time.Duration) *outcome.Failure {
	stop := c.server.Stop()
	if stop.Ends.IsZero() || !c.deadline.After(stop.Ends) {
		return nil
	}
	now := c.server.Now()
	if now.Sub(stop.Began) < lateAfter && !now.Add(expected).After(stop.Ends) {
		return nil
	}
	return newBoxLeaving()
}

func newBoxLeaving() *outcome.Failure {
	return outcome.NewNotRun(outcome.ReasonBoxLeaving, "").WithRetryAfter(time.Millisecond)
}

// withdraw gives a lease back that no request was sent on.
func (c *call) withdraw(lease *backend.Lease) {
	c.finish(lease, backend.Withdrawn, nil, c.server.Now(), nil)
}
