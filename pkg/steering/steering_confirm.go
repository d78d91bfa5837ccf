package steering

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// How new this box's copies are: by its own calls of the store, or by the word of a box
// that asks it. A box that has had no word of the list of servers for long asks itself.
// ================================================================

const (
	// listWatchShare is which part of the time in which a server drains a watch of the
	// servers waits. Each answer confirms the list, also to the boxes that rely on this
	// one: with a heartbeat, half a second later at most.
	listWatchShare = 0.5
	// lookShare is after which part of that time without any word of the list a box
	// looks itself. What is left is for the way to the store and back, twice where the
	// connection is new: 0.3 s from the farthest region.
	lookShare = 0.8
	// lookTime bounds a look.
	lookTime = 1200 * time.Millisecond
	// lookAgain is how many times of contact a box waits after a look that was not
	// answered: the store may be down, and then all boxes look for nothing.
	lookAgain = 4
)

// tellsConfirmed returns what heartbeats tell of a copy: how long ago it was the newest,
// in milliseconds and one more; 0 if this box does not ask the store.
func (n *Node) tellsConfirmed(c *confirmation) uint32 {
	ago, ok := c.ago()
	if !ok || !n.watching.Load() {
		return 0
	}
	return 1 + uint32(ago.Milliseconds())
}

// claim is what a box said of its copy: of which version it is, and when that was the
// newest.
type claim struct {
	version objects.Version
	at      time.Time
}

// claims are the last ones of copies that this box did not have yet, by kind.
type claims struct {
	mu   sync.Mutex
	last map[string]claim
}

func (c *claims) put(kind string, one claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == nil {
		c.last = map[string]claim{}
	}
	c.last[kind] = one
}

func (c *claims) get(kind string) (claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	one, ok := c.last[kind]
	return one, ok
}

// confirmationOf returns what is known of the copy of a kind, nil for a kind of which
// nothing is told.
func (n *Node) confirmationOf(kind string) *confirmation {
	switch kind {
	case n.adapter.Kinds.Configuration:
		return &n.store.configuration
	case n.adapter.Kinds.Servers:
		return &n.store.list
	}
	return nil
}

// hearConfirmations takes the word of a box that asks the store on how new its copies
// are. It holds for this box's own once they lack nothing of those.
func (n *Node) hearConfirmations(r *gossip.Record) {
	for kind, told := range map[string]uint32{
		n.adapter.Kinds.Configuration: r.ConfirmedAgo, n.adapter.Kinds.Servers: r.ListConfirmedAgo,
	} {
		version, has := r.Versions[kind]
		if told == 0 || !has {
			continue
		}
		ago := time.Duration(told-1) * time.Millisecond
		n.claims.put(kind, claim{version, time.Now().Add(-ago)})
		n.settleClaim(kind)
	}
}

// settleClaim takes the last claim of a kind for this box's copy if that lacks nothing of
// what it was said of.
func (n *Node) settleClaim(kind string) {
	one, ok := n.claims.get(kind)
	if c := n.confirmationOf(kind); ok && c != nil && !n.mirrors[kind].Lacks(one.version) {
		c.note(one.at)
	}
}

// looks are this box's own questions.
type looks struct {
	mu      sync.Mutex
	running bool
	// next is before which no other look begins.
	next time.Time
}

func (l *looks) begin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running || now.Before(l.next) {
		return false
	}
	l.running = true
	return true
}

func (l *looks) end(next time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running, l.next = false, next
}

// lookForLeaving asks the store for what has changed where no other box has told of the
// list of servers for long: those that ask in this one's place may have been turned away,
// frozen or cut off, which their zone finds out later than a leaving server must be known
// (TestBoxAsksItselfWhereAllThatAskAreTurnedAway).
func (n *Node) lookForLeaving() {
	ago, ok := n.store.list.ago()
	longest := time.Duration(lookShare * float64(n.Settings.Bounds.Drain))
	if n.watching.Load() || !ok || ago < longest || !n.looks.begin(time.Now()) {
		return
	}
	n.background.Go(func() {
		fields := map[string]any{"confirmed_ago_ms": ago.Milliseconds()}
		made := time.Now()
		if err := n.look(); err != nil {
			fields["error"] = err.Error()
			n.log.Warn("look at the store not answered", fields)
			n.looks.end(made.Add(lookAgain * n.Settings.Bounds.Contact))
			return
		}
		n.looks.end(time.Time{})
		n.log.Info("looked at the store", fields)
	})
}

// look asks the store once for the changes of each kind, the servers' first. The error is
// that of the first call that is not answered.
func (n *Node) look() error {
	ctx, cancel := context.WithTimeout(n.context, lookTime)
	defer cancel()
	kinds := n.adapter.Kinds
	for _, kind := range []string{kinds.Servers, kinds.Configuration, kinds.Evacuations} {
		metrics.GetOrRegisterCounter("store.looks", n.Metrics).Inc(1)
		made := time.Now()
		if err := n.followerOf(kind).Look(ctx); err != nil {
			return err
		}
		n.store.noteAnswer()
		if c := n.confirmationOf(kind); c != nil {
			c.note(made)
		}
	}
	return nil
}
