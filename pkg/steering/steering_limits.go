package steering

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/ingress"
	"github.com/stoneworks/stoneworks/pkg/logging"
)

// ================================================================
// What backend servers say of how many requests they take.
// ================================================================

// serverLimits are the limits that backend servers name, as this box has heard of them.
type serverLimits struct {
	log *logging.Part

	mu sync.Mutex
	// named are the limits in requests a second, by the server's life.
	named map[string]float64
	// unread are headers of answers that nothing here reads.
	unread map[string]bool
}

// mostUnread bounds the headers that are remembered as unread.
const mostUnread = 32

// heardOf notes what an answer says of its server, and tells of changes.
func (n *Node) heardOf(server *backend.Server, v *ingress.Verdict, _ time.Time) {
	l := &n.limits
	if v.Problem != nil {
		metrics.GetOrRegisterCounter("limits.unread", n.Metrics).Inc(1)
		l.log.Warn("limit not read", map[string]any{"server": server.ID, "error": v.Problem.Error()})
		return
	}
	if v.Limit.Named {
		metrics.GetOrRegisterCounter("limits.answers", n.Metrics).Inc(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	life := server.Life()
	before, was := l.named[life]
	switch {
	case v.Limit.Named && (!was || before != v.Limit.PerSecond):
		l.named[life] = v.Limit.PerSecond
		l.log.Info("server names a limit", map[string]any{"server": server.ID, "service": server.Service, "per_s": v.Limit.PerSecond})
	case was && !v.Limit.Named && v.Signed:
		delete(l.named, life)
		l.log.Info("server names no limit any more", map[string]any{"server": server.ID, "service": server.Service})
	}
}

// unreadHeader tells once of a header of answers that nothing here reads: it may say what
// the platform's pages say and the adapter does not know.
func (n *Node) unreadHeader(name string) {
	l := &n.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unread[name] || len(l.unread) >= mostUnread {
		return
	}
	l.unread[name] = true
	l.log.Warn("header of answers not read", map[string]any{"header": name})
}
