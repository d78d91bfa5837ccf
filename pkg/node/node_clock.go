package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/gossip"
)

// watchSuspensions logs what the clock finds. A box that wakes is one that was frozen: all that
// it believes is as much older, other boxes have taken it for silent, and the parts of limits
// that it was lent are lent to others.
func (n *Node) watchSuspensions() {
	if err := n.Clock.Err(); err != nil {
		n.log.Warn("suspensions of the machine cannot be found", map[string]any{"error": err.Error()})
	}
	n.Timers.OnPause(n.handlePause)
	n.Clock.Woke = func(away time.Duration) {
		n.handlePause(away)
		metrics.GetOrRegisterCounter("suspended", n.Metrics).Inc(away.Milliseconds())
		n.log.Warn("the machine was suspended", map[string]any{"away_ms": away.Milliseconds()})
	}
}

// handlePause has the box count others anew if it has forgotten all of them: it would take
// what boxes share, as a cold server's rate, for its own part until it hears them.
func (n *Node) handlePause(away time.Duration) {
	if away >= gossip.ForgetAfter {
		n.resumed.Store(int64(n.uptime()))
	}
}
