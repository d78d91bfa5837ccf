package backend

import "time"

// maxDenied bounds how many servers a choice asks for a token in vain. After that it considers
// only servers without a rate limit.
const maxDenied = 4

// skipLimited skips all servers of the list that have a rate limit and moves the preferred ones
// of the others to the front. Without it, where most servers of a service have limits, requests
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

// frontSize returns how many servers of a list a choice may look at: the key's home and, for a
// hot key, the next server, besides those that are skipped because they were tried or their
// limits leave no room.
func (s *Set) frontSize(r *Request) int {
	front := 2 + len(r.Tried)
	if s.AnyLimited() {
		front += maxDenied
	}
	return front
}

// denials counts the servers that a choice has skipped because their limits leave no room.
type denials struct {
	count int
	// retryAfter is the time until the first of them has room again.
	retryAfter time.Duration
}

func (d *denials) add(retryAfter time.Duration) {
	if d.count == 0 || retryAfter < d.retryAfter {
		d.retryAfter = retryAfter
	}
	d.count++
}

// noServer returns the error for a choice that no server is left for, with the time until the
// first skipped server has room.
func (s *Set) noServer(denied *denials, service string, now time.Time) *ChoiceError {
	e := &ChoiceError{Reason: NoServer, Service: service}
	if s.skippedBackoffs.count > 0 {
		e.Reason, e.RetryAfter = BackingOff, s.skippedBackoffs.retryAfter(now)
	}
	if denied.count > 0 && (e.RetryAfter == 0 || denied.retryAfter < e.RetryAfter) {
		e.Reason, e.RetryAfter = Limited, denied.retryAfter
	}
	return e
}

// admit reports whether the server's rate limit, if any, leaves room for the request and for more
// urgent ones that recently found none.
func (s *Set) admit(c *candidate, r *Request, now time.Time) (a Admission, retryAfter time.Duration) {
	if !s.AnyLimited() {
		return Unlimited, 0
	}
	if r.GrantedBy != "" && r.GrantedBy == c.Incarnation() {
		return Granted, 0
	}
	return s.Admit(&c.Server, !r.AdmissionAsked, c.shortages.yieldsToken(r.Priority, now))
}
