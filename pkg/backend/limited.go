package backend

import "time"

// maxDenied bounds how many servers are asked for a token of their limits in vain. After that only
// those that name no limit are considered.
const maxDenied = 4

// skipLimited passes over all servers of the list that name limits, and puts those that the key
// prefers of the others first. Without it, where most servers of a service name limits, requests
// would be refused that the few others can serve.
func (s *Set) skipLimited(list []candidate, r *Request, now time.Time) {
	end := len(list)
	for i := 0; i < end; {
		c := &list[i]
		if c.skipped || !s.HasLimit(&c.Server) {
			i++
			continue
		}
		c.skipped = true
		end--
		list[i], list[end] = list[end], list[i]
	}
	front := s.frontSize(r)
	bestFirst(list[:end], front)
	s.estimateLoads(list[:end], front, now)
}

// frontSize is how many servers of a list a choice may have to look at: a key's home, and the next one
// for a hot key, besides those that are passed over since they were tried or have no room by their
// limits.
func (s *Set) frontSize(r *Request) int {
	front := 2 + len(r.Tried)
	if s.AnyLimited() {
		front += maxDenied
	}
	return front
}

// denials are the servers that a choice has passed over since their limits leave no room.
type denials struct {
	count int
	// retryAfter is when the first of them has room again.
	retryAfter time.Duration
}

func (d *denials) add(roomIn time.Duration) {
	if d.count == 0 || roomIn < d.retryAfter {
		d.retryAfter = roomIn
	}
	d.count++
}

// noServer says why no server is left, and when the first of those that were passed over has room.
func (s *Set) noServer(denied *denials, service string, now time.Time) *ChoiceError {
	e := &ChoiceError{Reason: NoServer, Service: service}
	if s.skippedBackoffs.count > 0 {
		e.Reason, e.RetryAfter = BackingOff, s.skippedBackoffs.roomIn(now)
	}
	if denied.count > 0 && (e.RetryAfter == 0 || denied.retryAfter < e.RetryAfter) {
		e.Reason, e.RetryAfter = Limited, denied.retryAfter
	}
	return e
}

// admit reports whether the limit that the server may have named leaves room for the request, and
// for more urgent ones that lately found none.
func (s *Set) admit(c *candidate, r *Request, now time.Time) (a Admission, roomIn time.Duration) {
	if !s.AnyLimited() {
		return Unlimited, 0
	}
	if r.GrantedBy != "" && r.GrantedBy == c.Incarnation() {
		return Granted, 0
	}
	return s.Admit(&c.Server, !r.AdmissionAsked, c.order.yieldsToken(r.Priority, now))
}
