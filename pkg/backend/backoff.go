package backend

import (
	"slices"
	"strings"
	"time"
)

// A server that turns a request away may ask the box that sent it for rest: for so long it wants no
// requests from that box. What it asks of one box says nothing of others, so boxes do not tell each
// other. After the time one request at a time finds out whether it takes requests again: all that its
// keys ask for would else come back at once, to be turned away if it is not well yet.

// backoffState is what a server has asked this box for.
type backoffState struct {
	// until is the end of the time for which it wants nothing.
	until time.Time
	// unproven: it has asked for rest, and run no request since.
	unproven bool
	// trial: a request is on its way that finds out.
	trial bool
}

// blocks reports whether the server is to get nothing now.
func (r *backoffState) blocks(now time.Time) bool {
	return now.Before(r.until) || r.unproven && r.trial
}

// BackOff has a life of a server get nothing from this box for a time, or for the rest of a longer one,
// and reports whether that began now.
func (s *Set) BackOff(life string, d time.Duration) (began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byIncarnation(life)
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

// Backoff is a server that has asked this box for rest, and for how much longer.
type Backoff struct {
	Server Server
	Left   time.Duration
}

// BackedOff returns the servers that rest now, by ID.
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

// skippedBackoffs are the servers that a choice has passed over since they have asked for rest.
type skippedBackoffs struct {
	// count is how many, and near how many of the region in which the key has its home.
	count, near int
	// until is when the first of them takes requests again, zero if that is not known.
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

// roomIn is after what time the first of them takes requests again, 0 if that is not known.
func (r *skippedBackoffs) roomIn(now time.Time) time.Duration {
	return max(0, r.until.Sub(now))
}

// MaySend reports whether the server may still get the request: since it was chosen it may have left,
// or asked for rest.
func (l *Lease) MaySend() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.usable() && !l.set.Now().Before(l.server.backoff.until)
}
