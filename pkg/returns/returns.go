// Package returns decides what becomes of requests that are not served at once: whether the box
// sends a request that a backend server has shed, although it has free slots, to another server or
// refuses it so that its client returns; and when clients return to a full server.
//
// The first decision answers the load under which many servers of a service shed a part of their requests
// whatever their load. The retry budget of the boxes then covers only some of the requests that
// are shed, while a client's own attempts do not count against the budget. So the box spends what
// is left of the budget on requests whose client has no attempt left, and refuses the others at
// once: their clients return within milliseconds. Otherwise the first attempts, which are the
// majority, would use up the budget, and requests would end refused that one more server could
// have served.
//
// The package has no I/O and reads no clock.
package returns

import "time"

// Shed is a request that a backend server has shed.
type Shed struct {
	// HasRoom is true if the server reported free slots.
	HasRoom bool
	// IsReturn is true if the request is probably a client's return after a failed attempt.
	IsReturn bool
	// RetryAfter is when the client would be asked to return, and Left the time until its
	// deadline.
	RetryAfter time.Duration
	Left       time.Duration
	// Latency is the expected latency of the service, 0 if it is unknown.
	Latency time.Duration
}

// Decision is what becomes of a request.
type Decision int

// The decisions.
const (
	// Retry: the box sends the request to another server if the budget allows it.
	Retry Decision = iota
	// RetryIfSpare: the same, but only from the part of the budget that is not reserved for
	// returns.
	RetryIfSpare
)

// String returns the decision's name.
func (d Decision) String() string {
	if d == RetryIfSpare {
		return "retry if spare"
	}
	return "retry"
}

// patience is the part of the remaining time for which clients wait before they return.
const patience = 3

// Decide returns what becomes of a shed request. A first attempt is left to its client only if the
// client waits as long as it is asked to and the request can still be served after that.
func Decide(s Shed) Decision {
	if !s.HasRoom || s.IsReturn {
		return Retry
	}
	if s.RetryAfter > s.Left/patience || s.RetryAfter+2*s.Latency > s.Left {
		return Retry
	}
	return RetryIfSpare
}
