package soak

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/stoneworks/stoneworks/test/machines"
)

// ================================================================
// Servers that name the requests a second that they take from all boxes together.
// ================================================================

// limitFactor is for how many times of its event's time a server names a limit.
const limitFactor = 3

// announcedRates are the limits that servers name, in requests a second.
var announcedRates = []float64{2.7, 0, 1, 5, 20}

// AnnouncedLimit is a limit that a server names for a time.
type AnnouncedLimit struct {
	Server    string
	PerSecond float64
	From      time.Time
	// To is zero if it names the limit until the end.
	To time.Time
	// Announcements are the answers that name it.
	Announcements []machines.Saying
}

// announceLimits has a server name a limit, and for one event in four all servers of its service.
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
			// It has ended, or has named one before: what it names changes once.
			return
		}
		server, index = s.server, len(h.AnnouncedLimits)
		h.AnnouncedLimits = append(h.AnnouncedLimits, AnnouncedLimit{Server: s.historyKey, PerSecond: perSecond, From: time.Now()})
	})
	if server == nil {
		return
	}
	server.Say(machines.SaysLimit, strconv.FormatFloat(perSecond, 'g', -1, 64))
	r.later(d, func() {
		server.Say(machines.SaysLimit, "")
		r.update(func(h *History) { h.AnnouncedLimits[index].To = time.Now() })
	})
}

// The bound on a server that names a limit: in any time of limitWindow it gets at most the limit's
// requests x limitOverage + limitSlack of boxes that it had told for limitDelay.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	limitDelay    = 500 * time.Millisecond
)

// serverLimits: from the time of contact on after a server has first named a limit, it gets no more
// than that allows, of all boxes together that it has told and that were not struck.
func serverLimits(h *History) (found []string) {
	for i := range h.AnnouncedLimits {
		l := &h.AnnouncedLimits[i]
		allowed := limitOverage*l.PerSecond*limitWindow.Seconds() + limitSlack
		counted := h.toldArrivals(l)
		for k, end := range counted {
			begun := end.Add(-limitWindow)
			from, _ := slices.BinarySearchFunc(counted, begun, time.Time.Compare)
			if end.Sub(l.From) < boundContact+timingSlack || float64(k+1-from) <= allowed {
				continue
			}
			found = append(found, fmt.Sprintf("%s named %g a second and got %d in %s, %s after it had named that, allowed %.0f",
				l.Server, l.PerSecond, k+1-from, limitWindow, end.Sub(l.From).Round(time.Millisecond), allowed))
			break
		}
	}
	return found
}

// toldArrivals are the times of the requests that count against a limit, in order.
func (h *History) toldArrivals(l *AnnouncedLimit) []time.Time {
	told := map[string]time.Time{}
	for _, n := range l.Announcements {
		if _, known := told[n.To]; !known {
			told[n.To] = n.At
		}
	}
	var counted []time.Time
	for _, a := range h.Arrivals[l.Server] {
		at, known := told[a.From]
		switch {
		case !known || a.At.Sub(at) < limitDelay || !l.To.IsZero() && a.At.After(l.To):
		case h.hadFault(a.From, a.At.Add(-boundContact), a.At, BoxStop, BoxKill, BoxPause):
		case h.hadFault("", a.At.Add(-boundContact), a.At, LinkDelay, LinkSilent, LinkOneWay, LinkMute):
			// What a link holds back arrives together.
		default:
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	return counted
}
