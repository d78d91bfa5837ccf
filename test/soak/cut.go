package soak

import (
	"fmt"
	"time"
)

// ================================================================
// Boxes that are cut off from all backend servers.
// ================================================================

const (
	// cutFactor times the event's duration is how long a cut lasts.
	cutFactor = 3
	// cutContact is how long after the begin of a cut a box has to serve its clients again.
	cutContact = 4 * time.Second
	// cutAllowed and cutAllowedOneIn bound the first tries that may fail after that: a number and
	// one in so many.
	cutAllowed      = 10
	cutAllowedOneIn = 50
)

// cutNames are the cuts that events choose from; see machines.Cuts.
var cutNames = []string{"hanging", "reset", "refuses-new"}

// cutFromServers cuts a box off from all backend servers, or all boxes but one.
func (r *run) cutFromServers(e Event) {
	name := cutNames[e.Target/2%len(cutNames)]
	first := e.Target % len(r.boxes)
	boxes := r.boxes[first : first+1]
	if e.Target%2 == 0 {
		boxes = append(append(boxes[:0:0], r.boxes[:first]...), r.boxes[first+1:]...)
	}
	for _, b := range boxes {
		end := r.beginFault(BoxCut, b.IP)
		if err := b.CutFromServers(name); err != nil {
			fmt.Fprintf(r.Out, "cutting %s off failed: %v\n", b.Name, err)
		}
		r.later(cutFactor*e.Duration, func() {
			if err := b.CutFromServers(""); err != nil {
				fmt.Fprintf(r.Out, "restoring the links of %s failed: %v\n", b.Name, err)
			}
			end()
		})
	}
}

// cutServed finds cut boxes whose clients' requests fail although nothing else is wrong: no other
// fault, and a box that is not cut, from the time in which the box has to notice the cut until the
// request has ended.
func cutServed(h *History) (found []string) {
	for _, cut := range h.FaultPeriods {
		if cut.Kind != BoxCut {
			continue
		}
		served, failed := 0, 0
		for _, q := range h.Requests {
			// The boxes that are left may not be allowed to help with restricted requests.
			if len(q.Regions) > 0 {
				continue
			}
			if q.Box != cut.Target || q.Sent.Before(cut.From.Add(cutContact)) || q.Ended.After(cut.To) || h.hadOtherFault(q.Sent.Add(-cutContact), q.Ended) || h.wereAllCut(q.Sent.Add(-cutContact), q.Ended) {
				continue
			}
			if q.Status == 200 {
				served++
			} else {
				failed++
			}
		}
		if failed > cutAllowed+(served+failed)/cutAllowedOneIn {
			found = append(found, fmt.Sprintf("%s was cut off from all servers and served %d of %d requests", cut.Target, served, served+failed))
		}
	}
	return found
}

// wereAllCut reports whether each box was cut at some time between from and to, so that none may
// have been left to help the others.
func (h *History) wereAllCut(from, to time.Time) bool {
	for _, box := range h.Boxes {
		if !h.hadFault(box, from, to, BoxCut) {
			return false
		}
	}
	return true
}

// hadOtherFault reports whether there was any fault but cuts between from and to.
func (h *History) hadOtherFault(from, to time.Time) bool {
	for _, f := range h.FaultPeriods {
		if f.Kind != BoxCut && !f.From.After(to) && (f.To.IsZero() || !f.To.Before(from)) {
			return true
		}
	}
	return false
}
