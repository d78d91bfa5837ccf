package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/gossip"
)

// watchSuspensions installs the handlers of suspensions and pauses. While the machine is
// suspended, everything that the box knows of others grows older, other boxes take it for
// silent, and the shares of limits that were lent to it are lent to others.
func (n *Node) watchSuspensions() {
	if err := n.Clock.Err(); err != nil {
		n.log.Warn("suspensions of the machine cannot be detected", map[string]any{"error": err.Error()})
	}
	n.Timers.OnPause(n.handlePause)
	n.Clock.OnResume = func(away time.Duration) {
		n.handlePause(away)
		metrics.GetOrRegisterCounter("suspended", n.Metrics).Inc(away.Milliseconds())
		n.log.Warn("the machine was suspended", map[string]any{"away_ms": away.Milliseconds()})
	}
}

// handlePause restarts the count of other boxes if the pause was so long that this box has
// forgotten them all. Otherwise it would take what boxes share, such as a cold server's rate,
// for itself alone until it hears from them.
func (n *Node) handlePause(away time.Duration) {
	if away >= gossip.ForgetAfter {
		n.resumed.Store(int64(n.uptime()))
	}
}
