package soak

import (
	"fmt"
	"strconv"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Servers that say in their answers that they leave, and servers that ask boxes for rest.
// ================================================================

const (
	// restTimes is for how many times of its event's time a server asks for rest.
	restTimes = 2
	// mostUnlisted bounds for how long a server that leaves is listed as ready, besides the time of
	// draining, in which boxes may still send it requests.
	mostUnlisted = 2 * time.Second
)

// askedRests are the seconds of rest that servers ask for.
var askedRests = []string{"3", "1", "0.4", "2.5"}

// leaveInAnswers has a server leave that the store's list has as ready for a while: only its answers
// say so.
func (r *run) leaveInAnswers(s *listedServer, e Event) {
	left := false
	r.note(func(*History) { left, s.left = s.left, true })
	if left {
		return
	}
	old := s.server
	old.SetHeader(machines.LeavingHeader, "1")
	r.later(min(e.For, mostUnlisted)+boundDrain, func() {
		r.fleet.PutServer(old, s.service, s.zone, "draining", 0)
		r.note(func(h *History) { h.Departures = append(h.Departures, Departure{Server: s.key, At: time.Now()}) })
		time.Sleep(replaceAfter)
		if err := r.serve(s, fmt.Sprintf("%s-%d", old.ID, e.At.Milliseconds())); err != nil {
			fmt.Fprintf(r.Out, "a server did not start: %v\n", err)
		}
		r.fleet.Store.Delete("servers", old.ID)
		old.Close()
	})
}

// askForRest has a server turn all requests away and ask for rest, and for one event in four all
// servers of its service.
func (r *run) askForRest(s *listedServer, e Event) {
	seconds := askedRests[e.Target%len(askedRests)]
	for _, other := range r.servers {
		if other != s && (e.Target%4 != 0 || other.service != s.service) {
			continue
		}
		var server *machines.Server
		r.note(func(*History) { server = other.server })
		server.RejectWithRetryAfter(seconds)
		r.later(min(restTimes*e.For, r.Plan.Length-e.At), func() { server.RejectWithRetryAfter("") })
	}
}

// cuts are the faults in which what a server says may not reach a box, or late.
var cuts = []Kind{LinkDelay, LinkReset, LinkSilent, LinkOneWay, LinkMute}

// leavingKept: a box that has passed on a server's word that it leaves sends it nothing that a client
// sends later than the time of draining. A box that was stopped or paused since may.
func leavingKept(h *History) (found []string) {
	sent := map[string]*Request{}
	for _, list := range [][]Request{h.Requests, h.Left} {
		for i := range list {
			sent[list[i].ID] = &list[i]
		}
	}
	for server, list := range h.Leavings {
		told := map[string]time.Time{}
		for _, said := range list {
			q := sent[said.ID]
			if q == nil || q.Status == 0 || !q.Signed {
				continue
			}
			if at, known := told[said.To]; !known || q.Ended.Before(at) {
				told[said.To] = q.Ended
			}
		}
		for _, a := range h.Arrivals[server] {
			at, known := told[a.From]
			q := sent[a.ID]
			if !known || q == nil || q.Sent.Sub(at) <= boundDrain || h.struck(a.From, at, a.At, BoxStop, BoxKill, BoxPause) {
				continue
			}
			found = append(found, fmt.Sprintf("%s was sent %s after %s had passed on that %s leaves, and reached it", a.ID, q.Sent.Sub(at).Round(time.Millisecond), a.From, server))
		}
	}
	return found
}

const (
	// restTold is how long after a server has asked for rest requests may still be on their way, and
	// mostInRest how many may reach it from that box from then on until the time is over.
	restTold   = 500 * time.Millisecond
	mostInRest = 2
)

// restKept: a server that has asked a box for rest gets next to nothing of it for that time.
func restKept(h *History) (found []string) {
	for server, list := range h.Rests {
		for _, asked := range list {
			seconds, err := strconv.ParseFloat(asked.Value, 64)
			if err != nil {
				continue
			}
			rest := time.Duration(seconds * float64(time.Second))
			n, last := 0, time.Time{}
			for _, a := range h.Arrivals[server] {
				if after := a.At.Sub(asked.At); a.From == asked.To && after >= restTold && after < rest {
					n, last = n+1, a.At
				}
			}
			if n <= mostInRest || h.struck(asked.To, asked.At, last, BoxStop, BoxKill, BoxPause) || h.struck("", asked.At.Add(-boundContact), last, cuts...) {
				continue
			}
			found = append(found, fmt.Sprintf("%s asked %s for %s of rest and got %d requests from it in that time", server, asked.To, rest, n))
			break
		}
	}
	return found
}
