package relay

import (
	"sync"
	"time"
)

// unavailableTime is how long a box is not asked again that was unavailable.
const unavailableTime = 2 * time.Second

// helpers chooses the boxes that are asked for help.
type helpers struct {
	now    func() time.Time
	random func() float64
	// region is this box's region.
	region string

	mu sync.Mutex
	// unavailable holds until when boxes are not asked, by name.
	unavailable map[string]time.Time
}

// choose returns a box that is not among those tried. Boxes of this box's region are preferred,
// then those of the server's region, since each other region makes the way longer; larger boxes
// are chosen more often. ok is false if there is none.
func (h *helpers) choose(boxes []Box, t Target, tried map[string]bool) (chosen Box, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var groups [3][]Box
	for _, b := range boxes {
		if tried[b.Name] || h.now().Before(h.unavailable[b.Name]) || t.Bound && b.Region != t.Region {
			continue
		}
		switch b.Region {
		case h.region:
			groups[0] = append(groups[0], b)
		case t.Region:
			groups[1] = append(groups[1], b)
		default:
			groups[2] = append(groups[2], b)
		}
	}
	for _, group := range groups {
		if len(group) > 0 {
			return h.draw(group), true
		}
	}
	return Box{}, false
}

// draw returns one of the boxes at random, in proportion to their capacities.
func (h *helpers) draw(boxes []Box) Box {
	total := 0.0
	for _, b := range boxes {
		total += weight(b)
	}
	left := h.random() * total
	for _, b := range boxes {
		if left -= weight(b); left < 0 {
			return b
		}
	}
	return boxes[len(boxes)-1]
}

func weight(b Box) float64 { return max(1, b.Capacity) }

// markUnavailable keeps a box from being asked for a while.
func (h *helpers) markUnavailable(box string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for name, until := range h.unavailable {
		if now.After(until) {
			delete(h.unavailable, name)
		}
	}
	h.unavailable[box] = now.Add(unavailableTime)
}
