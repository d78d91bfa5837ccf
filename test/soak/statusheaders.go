package soak

import (
	"fmt"
	"strconv"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Servers that announce in their answers that they leave, and servers that ask boxes for a
// backoff.
// ================================================================

const (
	// backoffFactor times the event's duration is how long a server asks for a backoff.
	backoffFactor = 2
	// maxUnlisted bounds how long a leaving server is still listed as ready, in addition to
	// the time of draining, in which boxes may still send it requests.
	maxUnlisted = 2 * time.Second
)

// retryAfterValues are the values of Retry-After that servers send, in seconds.
var retryAfterValues = []string{"3", "1", "0.4", "2.5"}

// announceLeaving makes a server announce in its answers that it leaves, while the store lists
// it as ready for some time longer.
func (r *run) announceLeaving(s *listedServer, e Event) {
	departed := false
	r.update(func(*History) { departed, s.departed = s.departed, true })
	if departed {
		return
	}
	old := s.server
	old.SetHeader(machines.LeavingHeader, "1")
	r.later(min(e.Duration, maxUnlisted)+boundDrain, func() {
		r.fleet.PutServer(old, s.service, s.zone, "draining", 0)
		r.update(func(h *History) { h.Departures = append(h.Departures, Departure{Server: s.historyKey, At: time.Now()}) })
		time.Sleep(replaceAfter)
		if err := r.serve(s, fmt.Sprintf("%s-%d", old.ID, e.At.Milliseconds())); err != nil {
			fmt.Fprintf(r.Out, "starting a server failed: %v\n", err)
		}
		r.fleet.Store.Delete("servers", old.ID)
		old.Close()
	})
}

// rejectWithRetryAfter makes a server reject all requests with Retry-After; for one event in
// four, all servers of its service do.
func (r *run) rejectWithRetryAfter(s *listedServer, e Event) {
	seconds := retryAfterValues[e.Target%len(retryAfterValues)]
	for _, other := range r.servers {
		if other != s && (e.Target%4 != 0 || other.service != s.service) {
			continue
		}
		var server *machines.Server
		r.update(func(*History) { server = other.server })
		server.RejectWithRetryAfter(seconds)
		r.later(min(backoffFactor*e.Duration, r.Plan.Length-e.At), func() { server.RejectWithRetryAfter("") })
	}
}

// linkKinds are the faults that may delay the answers of a server to a box, or lose them.
var linkKinds = []Kind{LinkDelay, LinkReset, LinkSilent, LinkOneWay, LinkMute}

// leavingKept finds requests that a server got although it leaves: the box had passed on an
// answer that announced it, and a client sent the request more than boundDrain after that. A
// box that was stopped or paused since is exempt.
func leavingKept(h *History) (found []string) {
	sent := map[string]*Request{}
	for _, list := range [][]Request{h.Requests, h.SideRequests} {
		for i := range list {
			sent[list[i].ID] = &list[i]
		}
	}
	for server, list := range h.LeavingHeaders {
		passedOn := map[string]time.Time{}
		for _, said := range list {
			q := sent[said.ID]
			if q == nil || q.Status == 0 || !q.Signed {
				continue
			}
			if at, known := passedOn[said.To]; !known || q.Ended.Before(at) {
				passedOn[said.To] = q.Ended
			}
		}
		for _, a := range h.Arrivals[server] {
			at, known := passedOn[a.From]
			q := sent[a.ID]
			if !known || q == nil || q.Sent.Sub(at) <= boundDrain || h.hadFault(a.From, at, a.At, BoxStop, BoxKill, BoxPause) {
				continue
			}
			found = append(found, fmt.Sprintf("%s was sent %s after %s passed on that %s leaves, and still reached that server", a.ID, q.Sent.Sub(at).Round(time.Millisecond), a.From, server))
		}
	}
	return found
}

const (
	// backoffDelay is how long after a server has asked for a backoff requests may still be on
	// their way. maxDuringBackoff is how many may reach it from that box after that until the
	// backoff is over.
	backoffDelay     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// backoffKept finds servers that asked a box for a backoff and got more than maxDuringBackoff
// requests from it during that time.
func backoffKept(h *History) (found []string) {
	for server, list := range h.RetryAfterHeaders {
		for _, asked := range list {
			seconds, err := strconv.ParseFloat(asked.Value, 64)
			if err != nil {
				continue
			}
			backoff := time.Duration(seconds * float64(time.Second))
			n, last := 0, time.Time{}
			for _, a := range h.Arrivals[server] {
				if after := a.At.Sub(asked.At); a.From == asked.To && after >= backoffDelay && after < backoff {
					n, last = n+1, a.At
				}
			}
			if n <= maxDuringBackoff || h.hadFault(asked.To, asked.At, last, BoxStop, BoxKill, BoxPause) || h.hadFault("", asked.At.Add(-boundContact), last, linkKinds...) {
				continue
			}
			found = append(found, fmt.Sprintf("%s asked %s for a backoff of %s and got %d requests from it in that time", server, asked.To, backoff, n))
			break
		}
	}
	return found
}
