package steering

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// noteSuspensions logs what the clock finds. A box that wakes is one that was frozen: all that
// it believes is as much older, other boxes have taken it for silent, and the parts of limits
// that it was lent are lent to others.
func (n *Node) noteSuspensions() {
	if err := n.Clock.Err(); err != nil {
		n.log.Warn("suspensions of the machine cannot be found", map[string]any{"error": err.Error()})
	}
	n.Clock.Woke = func(away time.Duration) {
		metrics.GetOrRegisterCounter("suspended", n.Metrics).Inc(away.Milliseconds())
		n.log.Warn("the machine was suspended", map[string]any{"away_ms": away.Milliseconds()})
	}
}
