package steering

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/ingress"
)

// ================================================================
// What backend servers say of themselves in their answers.
// ================================================================

// wordsEvery is how often something that a server may say in each answer is logged. All
// answers are counted.
const wordsEvery = time.Second

// heardOf takes in what an answer says of its server. One that another server gave in its place
// says nothing of it.
func (n *Node) heardOf(server *backend.Server, v *ingress.Verdict, sent time.Time) {
	for _, problem := range v.Problems {
		metrics.GetOrRegisterCounter("words.unread", n.Metrics).Inc(1)
		if n.unreadWords.pass(n.age(), wordsEvery) {
			n.log.Warn("header of answers malformed", map[string]any{"server": server.ID, "error": problem.Error()})
		}
	}
	if v.Stale {
		return
	}
	n.heardLeaving(server, v)
	n.heardRest(server, v)
	n.heardLimit(server, v, sent)
}

// heardLeaving takes in that a server says that it leaves.
func (n *Node) heardLeaving(server *backend.Server, v *ingress.Verdict) {
	if !v.Leaving {
		return
	}
	metrics.GetOrRegisterCounter("words.leaving", n.Metrics).Inc(1)
	if n.leavingWords.pass(n.age(), wordsEvery) {
		n.log.Info("server says that it leaves", map[string]any{"server": server.ID, "zone": server.Zone})
	}
}

// heardRest takes in that a server wants no requests from this box for a time.
func (n *Node) heardRest(server *backend.Server, v *ingress.Verdict) {
	if v.Rest == 0 {
		return
	}
	metrics.GetOrRegisterCounter("words.rest", n.Metrics).Inc(1)
	if n.restWords.pass(n.age(), wordsEvery) {
		n.log.Info("server asks for rest", map[string]any{"server": server.ID, "rest_ms": v.Rest.Milliseconds()})
	}
}

// ----------------------------------------------------------------
// What nothing reads
// ----------------------------------------------------------------

// logGate lets one log line pass in a time. What is kept is one more than when the last one did, in
// nanoseconds, and 0 before the first.
type logGate struct{ last atomic.Int64 }

// pass reports whether a line may be written now; the time counts from any fixed moment.
func (g *logGate) pass(now, every time.Duration) bool {
	last := g.last.Load()
	if last != 0 && now+1-time.Duration(last) < every {
		return false
	}
	return g.last.CompareAndSwap(last, int64(now)+1)
}

// headerNames are names of headers.
type headerNames struct {
	mu    sync.Mutex
	names map[string]bool
}

// mostUnread bounds the headers that are remembered as unread.
const mostUnread = 32

// unreadHeader tells once of a header of answers that nothing here reads: it may say what
// the platform's pages say and the adapter does not know.
func (n *Node) unreadHeader(name string) {
	h := &n.unreadHeaders
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.names[name] || len(h.names) >= mostUnread {
		return
	}
	if h.names == nil {
		h.names = map[string]bool{}
	}
	h.names[name] = true
	n.log.Warn("header of answers not read", map[string]any{"header": name})
}
