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

// limitTimes is for how many times of its event's time a server names a limit.
const limitTimes = 3

// namedLimits are the limits that servers name, in requests a second.
var namedLimits = []float64{2.7, 0, 1, 5, 20}

// Limited is a limit that a server names for a time.
type Limited struct {
	Server    string
	PerSecond float64
	From      time.Time
	// To is zero if it names the limit until the end.
	To time.Time
	// Namings are the answers that name it.
	Namings []machines.SentHeader
}

// nameLimits has a server name a limit, and for one event in four all servers of its service.
func (r *run) nameLimits(s *listedServer, e Event) {
	perSecond := namedLimits[e.Target%len(namedLimits)]
	for _, other := range r.servers {
		if other == s || e.Target%4 == 0 && other.service == s.service {
			r.nameLimit(other, perSecond, min(limitTimes*e.For, r.Plan.Length-e.At))
		}
	}
}

func (r *run) nameLimit(s *listedServer, perSecond float64, d time.Duration) {
	var server *machines.Server
	index := -1
	r.note(func(h *History) {
		if s.left || slices.ContainsFunc(h.Limited, func(l Limited) bool { return l.Server == s.key }) {
			// It has ended, or has named one before: what it names changes once.
			return
		}
		server, index = s.server, len(h.Limited)
		h.Limited = append(h.Limited, Limited{Server: s.key, PerSecond: perSecond, From: time.Now()})
	})
	if server == nil {
		return
	}
	server.SetHeader(machines.LimitHeader, strconv.FormatFloat(perSecond, 'g', -1, 64))
	r.later(d, func() {
		server.SetHeader(machines.LimitHeader, "")
		r.note(func(h *History) { h.Limited[index].To = time.Now() })
	})
}

// The bound on a server that names a limit: in any time of limitWindow it gets at most the limit's
// requests x limitOverage + limitSlack of boxes that it had told for limitTold.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	limitTold    = 500 * time.Millisecond
)

// serverLimits: from the time of contact on after a server has first named a limit, it gets no more
// than that allows, of all boxes together that it has told and that were not struck.
func serverLimits(h *History) (found []string) {
	for i := range h.Limited {
		l := &h.Limited[i]
		allowed := limitOverage*l.PerSecond*limitWindow.Seconds() + limitSlack
		counted := h.toldArrivals(l)
		for k, end := range counted {
			begun := end.Add(-limitWindow)
			from, _ := slices.BinarySearchFunc(counted, begun, time.Time.Compare)
			if end.Sub(l.From) < boundContact+pace || float64(k+1-from) <= allowed {
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
func (h *History) toldArrivals(l *Limited) []time.Time {
	told := map[string]time.Time{}
	for _, n := range l.Namings {
		if _, known := told[n.To]; !known {
			told[n.To] = n.At
		}
	}
	var counted []time.Time
	for _, a := range h.Arrivals[l.Server] {
		at, known := told[a.From]
		switch {
		case !known || a.At.Sub(at) < limitTold || !l.To.IsZero() && a.At.After(l.To):
		case h.struck(a.From, a.At.Add(-boundContact), a.At, BoxStop, BoxKill, BoxPause):
		case h.struck("", a.At.Add(-boundContact), a.At, LinkDelay, LinkSilent, LinkOneWay, LinkMute):
			// What a link holds back arrives together.
		default:
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	return counted
}
