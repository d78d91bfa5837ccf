package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Servers that announce how many requests a second they accept from all boxes together.
// ================================================================

// limitFactor times the event's duration is how long a server announces a limit.
const limitFactor = 3

// announcedRates are the limits that servers announce, in requests a second.
var announcedRates = []float64{2.7, 0, 1, 5, 20}

// AnnouncedLimit is a limit that a server announces for a time.
type AnnouncedLimit struct {
	Server    string
	PerSecond float64
	From      time.Time
	// To is zero if the limit is announced until the end.
	To time.Time
	// Announcements are the headers of the answers that announce it.
	Announcements []machines.SentHeader
}

// announceLimits makes a server announce a limit; for one event in four, all servers of its
// service do.
func (r *run) announceLimits(s *listedServer, e Event) {
	perSecond := announcedRates[e.Target%len(announcedRates)]
	for _, other := range r.servers {
		if other == s || e.Target%4 == 0 && other.service == s.service {
			r.announceLimit(other, perSecond, min(limitFactor*e.Duration, r.Plan.Length-e.At))
		}
	}
}

func (r *run) announceLimit(s *listedServer, perSecond float64, d time.Duration) {
	var server *machines.Server
	index := -1
	r.update(func(h *History) {
		if s.departed || slices.ContainsFunc(h.AnnouncedLimits, func(l AnnouncedLimit) bool { return l.Server == s.historyKey }) {
			// The server has left, or has announced a limit before: each announces a single
			// limit.
			return
		}
		server, index = s.server, len(h.AnnouncedLimits)
		h.AnnouncedLimits = append(h.AnnouncedLimits, AnnouncedLimit{Server: s.historyKey, PerSecond: perSecond, From: time.Now()})
	})
	if server == nil {
		return
	}
	server.SetHeader(machines.LimitHeader, strconv.FormatFloat(perSecond, 'g', -1, 64))
	r.later(d, func() {
		server.SetHeader(machines.LimitHeader, "")
		r.update(func(h *History) { h.AnnouncedLimits[index].To = time.Now() })
	})
}

// The bound on a server that announces a limit: in any period of limitWindow it gets at most
// limitOverage times the requests of the limit plus limitSlack, from boxes that it told of the
// limit at least limitDelay before.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	limitDelay   = 500 * time.Millisecond
)

// serverLimits finds servers that got more requests than their announced limit allows once
// boundContact has passed since the first announcement. Only the requests of boxes that the
// server told and that had no fault count.
func serverLimits(h *History) (found []string) {
	for i := range h.AnnouncedLimits {
		l := &h.AnnouncedLimits[i]
		allowed := limitOverage*l.PerSecond*limitWindow.Seconds() + limitSlack
		counted := h.toldArrivals(l)
		for k, end := range counted {
			windowStart := end.Add(-limitWindow)
			from, _ := slices.BinarySearchFunc(counted, windowStart, time.Time.Compare)
			if end.Sub(l.From) < boundContact+timingSlack || float64(k+1-from) <= allowed {
				continue
			}
			found = append(found, fmt.Sprintf("%s announced a limit of %g requests a second and got %d in %s, %s after the first announcement; %.0f are allowed",
				l.Server, l.PerSecond, k+1-from, limitWindow, end.Sub(l.From).Round(time.Millisecond), allowed))
			break
		}
	}
	return found
}

// toldArrivals returns the times of the requests that count against a limit, in order.
func (h *History) toldArrivals(l *AnnouncedLimit) []time.Time {
	firstTold := map[string]time.Time{}
	for _, n := range l.Announcements {
		if _, known := firstTold[n.To]; !known {
			firstTold[n.To] = n.At
		}
	}
	var counted []time.Time
	for _, a := range h.Arrivals[l.Server] {
		at, known := firstTold[a.From]
		switch {
		case !known || a.At.Sub(at) < limitDelay || !l.To.IsZero() && a.At.After(l.To):
		case h.hadFault(a.From, a.At.Add(-boundContact), a.At, BoxStop, BoxKill, BoxPause):
		case h.hadFault("", a.At.Add(-boundContact), a.At, LinkDelay, LinkSilent, LinkOneWay, LinkMute):
			// Requests that a link held back arrive together.
		default:
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	return counted
}
