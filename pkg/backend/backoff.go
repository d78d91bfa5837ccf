package backend

import (
	"slices"
	"strings"
	"time"
)

// A server that sheds a request may ask the box that sent it for a backoff: for that time it
// accepts no requests from that box. The request applies to that box only, so boxes do not pass
// it on. After the backoff, one request at a time probes whether the server accepts requests
// again. Otherwise all requests for its keys would come back at once, only to be shed if the
// server has not recovered.

// backoffState is the backoff that a server has asked this box for.
type backoffState struct {
	// until is the end of the backoff.
	until time.Time
	// unproven is true if the server has asked for a backoff and run no request since.
	unproven bool
	// trial is true while a probing request is in flight.
	trial bool
}

// blocks reports whether the server is to get no request now.
func (r *backoffState) blocks(now time.Time) bool {
	return now.Before(r.until) || r.unproven && r.trial
}

// BackOff stops requests from this box to that incarnation of a server for the given time. A
// longer backoff in progress stays in force. BackOff reports whether a backoff began now.
func (s *Set) BackOff(incarnation string, d time.Duration) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(incarnation)
	if v == nil || d <= 0 {
		return false
	}
	now := s.Now()
	began = !now.Before(v.backoff.until)
	if until := now.Add(d); until.After(v.backoff.until) {
		v.backoff.until = until
	}
	v.backoff.unproven = true
	s.backedOff[v] = true
	return began
}

// Backoff is a server that has asked this box for a backoff, and the time left of it.
type Backoff struct {
	Server Server
	Left   time.Duration
}

// BackedOff returns the servers whose backoff has not ended, ordered by ID.
func (s *Set) BackedOff() []Backoff {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	var list []Backoff
	for _, v := range s.servers {
		if now.Before(v.backoff.until) {
			list = append(list, Backoff{Server: v.Server, Left: v.backoff.until.Sub(now)})
		}
	}
	slices.SortFunc(list, func(a, b Backoff) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return list
}

// skippedBackoffs describes the servers that a choice has skipped because they have asked for a
// backoff.
type skippedBackoffs struct {
	// count is the number of servers, and near how many of them are in the region in which the
	// key has its home.
	count, near int
	// until is when the first of them accepts requests again; zero if there is none.
	until time.Time
}

func (r *skippedBackoffs) add(v *server, near bool) {
	r.count++
	if near {
		r.near++
	}
	if until := v.backoff.until; r.until.IsZero() || until.Before(r.until) {
		r.until = until
	}
}

// retryAfter returns the time until the first of them accepts requests again; 0 if that is unknown.
func (r *skippedBackoffs) retryAfter(now time.Time) time.Duration {
	return max(0, r.until.Sub(now))
}

// MaySend reports whether the request may still be sent to the server. Since the choice the
// server may have left or asked for a backoff.
func (l *Lease) MaySend() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.usable() && !l.set.Now().Before(l.server.backoff.until)
}
