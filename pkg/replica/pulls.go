package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// Copies that boxes take over from each other.
// ================================================================

const (
	// pullAfter is for how many heartbeats another box's mirror must be newer before it is
	// pulled; the store's own change notification is usually quicker.
	pullAfter = 2
	// PullIdleTimeout is how long a pull may go without receiving anything, and PullTimeout
	// bounds the pull as a whole: the time to receive a list depends on its length and on the
	// box's share of a processor.
	PullIdleTimeout = time.Second
	PullTimeout     = 30 * time.Second
)

// pullsAtOnceFrom reports whether this box pulls a newer mirror of another box as soon as it
// hears of it. It does so from boxes of its own zone, on whose pollers it relies. A poller
// does so from any box if it has no list yet or its calls fail. What other zones know sooner
// than the own zone is otherwise left to PullOverdue.
func (r *Replica) pullsAtOnceFrom(from *gossip.Record, m *objects.Mirror) bool {
	near := from.Zone == r.Zone
	switch {
	case !r.isPoller.Load():
		return near
	case !m.Synced():
		return true
	}
	return r.contact.anyFailing()
}

// pullNewerFrom pulls newer mirrors if the box that sent the record has any. It does not look
// at all boxes, since heartbeats are frequent.
func (r *Replica) pullNewerFrom(from *gossip.Record) {
	for kind, v := range from.Versions {
		m := r.mirrors[kind]
		if m != nil && m.Lacks(v) && r.pullsAtOnceFrom(from, m) {
			r.pullNewer(kind, true)
		}
	}
}

// pulls are the mirrors that are being pulled from other boxes, or soon will be.
type pulls struct {
	mu sync.Mutex
	// behind counts for how many heartbeats a mirror has been behind those of others.
	behind  map[string]int
	running map[string]bool
}

func newPulls() *pulls {
	return &pulls{behind: map[string]int{}, running: map[string]bool{}}
}

// begin reports whether the mirror is to be pulled now: at once, or once it has been behind
// for pullAfter heartbeats. If it returns true, end must be called.
func (p *pulls) begin(kind string, atOnce bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !atOnce {
		p.behind[kind]++
	}
	if p.running[kind] || !atOnce && p.behind[kind] < pullAfter {
		return false
	}
	p.behind[kind] = 0
	p.running[kind] = true
	return true
}

func (p *pulls) isRunning(kind string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[kind]
}

func (p *pulls) end(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[kind] = false
}

// resetBehind records that no other box is ahead.
func (p *pulls) resetBehind(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behind[kind] = 0
}

// pullNewer pulls a mirror from a box that has a newer one: at once, or once it has been
// behind for pullAfter heartbeats.
func (r *Replica) pullNewer(kind string, atOnce bool) {
	if r.pulls.isRunning(kind) {
		// Heartbeats are frequent while a list changes, and without this check each would scan
		// all boxes.
		return
	}
	m := r.mirrors[kind]
	source, near := r.newest(kind, m)
	if source == "" {
		r.pulls.resetBehind(kind)
		return
	}
	if !r.pulls.begin(kind, atOnce) {
		return
	}
	r.Go(func() {
		defer r.pulls.end(kind)
		metrics.GetOrRegisterCounter(pullCounter(near), r.Metrics).Inc(1)
		r.pull(source, m)
	})
}

// pullCounter returns the name of the metric of pulls from the own zone, or from other zones.
func pullCounter(near bool) string {
	if near {
		return "mirror.pulls.zone"
	}
	return "mirror.pulls.far"
}

// newest returns the address of the box whose mirror is the newest of those that differ from
// this box's, or "", and whether that box is in the own zone. Any newer mirror in the own zone
// is preferred to those in other zones.
func (r *Replica) newest(kind string, m *objects.Mirror) (source string, near bool) {
	var best objects.Position
	// The copy must not be locked while the table of boxes is; see CopyState.
	lacks := m.Comparison()
	r.Members.EachLive(func(one *gossip.Record) {
		v, ok := one.Versions[kind]
		if !ok || !lacks(v) {
			return
		}
		isNear := one.Zone == r.Zone
		if isNear && !near || isNear == near && !v.Position().Before(best) {
			best, source, near = v.Position(), one.Peers, isNear
		}
	})
	return source, near
}

func (r *Replica) pull(source string, m *objects.Mirror) {
	ctx, cancel := context.WithTimeout(r.Context, PullTimeout)
	defer cancel()
	body, err := r.Fetch(ctx, source, m)
	if err != nil {
		r.BoxLog.Warn("box did not hand over its mirror", map[string]any{"from": source, "kind": m.Kind, "error": err.Error()})
		return
	}
	if body.Whole {
		m.Load(body.Items, body.Extent)
	} else {
		m.Apply(body.Events, body.Extent)
	}
	r.noteEra(body.Era)
	r.resolveClaims(m.Kind)
	r.BoxLog.Info("caught up through another box", map[string]any{
		"from": source, "kind": m.Kind, "revision": body.CompleteTo, "era": body.Era, "whole": body.Whole, "changes": len(body.Events),
	})
	r.OnAnswer()
}
