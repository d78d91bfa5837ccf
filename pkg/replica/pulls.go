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
// What boxes learn from each other of the store's objects.
// ================================================================

const (
	// pullAfter is for how many heartbeats another box's mirror must be
	// newer before it is asked for; the store's own change notification is usually quicker.
	pullAfter = 2
	// PullIdleTimeout is how long nothing may come of a pull until it is given up, and LongestPull bounds it
	// as a whole: how long a list takes to come follows its length and the box's share of a processor.
	PullIdleTimeout = time.Second
	PullTimeout     = 30 * time.Second
)

// learnsFrom reports whether this box takes a newer mirror of another one as
// soon as it hears of it: of the own zone, whose watchers it relies on, or, if
// it asks the store itself and has no list yet or no answer, of anywhere. What
// other zones know sooner than the own one is left to the heartbeats.
func (r *Replica) learnsFrom(from *gossip.Record, m *objects.Mirror) bool {
	near := from.Zone == r.Zone
	switch {
	case !r.watching.Load():
		return near
	case !m.Synced():
		return true
	}
	return r.contact.lost()
}

// catchUpWith looks for a newer mirror if the box that has just spoken has one.
// All others are not looked at: heartbeats are many.
func (r *Replica) catchUpWith(from *gossip.Record) {
	for kind, v := range from.Versions {
		m := r.mirrors[kind]
		if m != nil && m.Lacks(v) && r.learnsFrom(from, m) {
			r.catchUp(kind, true)
		}
	}
}

// pulls are the mirrors that are being pulled from other boxes, or soon will be.
type pulls struct {
	mu sync.Mutex
	// behind counts for how many heartbeats a mirror has been behind others'.
	behind  map[string]int
	running map[string]bool
}

func newPulls() *pulls {
	return &pulls{behind: map[string]int{}, running: map[string]bool{}}
}

// begin reports whether the mirror is to be pulled now: at once, or when others
// have been ahead for a while. If so, end must be called.
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

// upToDate notes that no other box is ahead.
func (p *pulls) upToDate(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.behind[kind] = 0
}

// catchUp pulls a mirror from a box that has a newer one: at once, or when it
// has been newer for a while.
func (r *Replica) catchUp(kind string, atOnce bool) {
	if r.pulls.isRunning(kind) {
		// Heartbeats are many while a list changes, and each would have all boxes looked at.
		return
	}
	m := r.mirrors[kind]
	source, near := r.newest(kind, m)
	if source == "" {
		r.pulls.upToDate(kind)
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

// pullCounter names the metric of pulls from the own zone, or from others.
func pullCounter(near bool) string {
	if near {
		return "mirror.pulls.zone"
	}
	return "mirror.pulls.far"
}

// newest returns where the newest mirror is that differs from this box's own,
// or "", and whether that is in the own zone, where one is taken if it has any
// that is newer.
func (r *Replica) newest(kind string, m *objects.Mirror) (source string, near bool) {
	var best uint64
	r.Members.EachLive(func(one *gossip.Record) {
		v, ok := one.Versions[kind]
		if !ok || !m.Lacks(v) {
			return
		}
		isNear := one.Zone == r.Zone
		if isNear && !near || isNear == near && v.Revision >= best {
			best, source, near = v.Revision, one.Peers, isNear
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
	r.settleClaims(m.Kind)
	r.BoxLog.Info("caught up through another box", map[string]any{
		"from": source, "kind": m.Kind, "revision": body.CompleteTo, "whole": body.Whole, "changes": len(body.Events),
	})
	r.OnAnswer()
}
