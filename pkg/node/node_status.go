package node

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/ingress"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/serverstatus"
)

// ================================================================
// What backend servers say of themselves in their answers.
// ================================================================

const (
	// malformedHeaderEvery is how often something that a server may say in each answer is logged. All
	// answers are counted.
	malformedHeaderEvery = time.Second
	// configurationFieldsEvery is how often a configuration is looked at for fields that nothing reads.
	configurationFieldsEvery = 30 * time.Second
	// statusesEvery is how often a box looks whether anything that servers say is to be told again.
	statusesEvery = 100 * time.Millisecond
	// maxSpreadRecords bounds the servers of which a box tells some others each spreadEvery: what
	// that sends must stay a small part of what control may take.
	maxSpreadRecords = 8
	// endedLimitSpreadTime is for how long boxes are told that a limit has ended.
	endedLimitSpreadTime = time.Minute
	// unlistedTime is how long a life of a server may be missing from the list until it is forgotten.
	unlistedTime = time.Minute
)

// noteAnswer takes in what an answer says of its server. One that another server gave in its place
// says nothing of it.
func (n *Node) noteAnswer(server *backend.Server, v *ingress.Verdict, sent time.Time) {
	for _, problem := range v.Problems {
		metrics.GetOrRegisterCounter("words.unread", n.Metrics).Inc(1)
		if n.malformedHeaders.allow(n.uptime(), malformedHeaderEvery) {
			n.log.Warn("header of answers malformed", map[string]any{"server": server.ID, "error": problem.Error()})
		}
	}
	if v.Stale {
		return
	}
	n.noteLeaving(server, v)
	n.noteBackoff(server, v)
	n.noteLimit(server, v, sent)
	if n.statusChanged.Swap(false) {
		n.broadcastStatuses()
		n.tickQuota()
	}
}

// A server that leaves says so in its answers, and the platform's list says that it is ready for as
// long as the store is silent. So the word is kept for the server's life, whatever the list says, and told
// to all boxes: each would else send it requests until it was told itself.

// noteLeaving takes in that a server says that it leaves.
func (n *Node) noteLeaving(server *backend.Server, v *ingress.Verdict) {
	if !v.Leaving {
		return
	}
	metrics.GetOrRegisterCounter("words.leaving", n.Metrics).Inc(1)
	n.Statuses.Leave(server)
	n.Set.MarkLeaving(server.Incarnation())
}

// noteBackoff takes in that a server wants no requests from this box for a time. What it asks of one
// box is no word to others.
func (n *Node) noteBackoff(server *backend.Server, v *ingress.Verdict) {
	if v.Rest == 0 {
		return
	}
	metrics.GetOrRegisterCounter("words.rest", n.Metrics).Inc(1)
	if n.Set.BackOff(server.Incarnation(), v.Rest) {
		n.log.Info("server asks for rest", map[string]any{"server": server.ID, "rest_ms": v.Rest.Milliseconds()})
	}
}

// ----------------------------------------------------------------
// What boxes tell each other
// ----------------------------------------------------------------

// broadcastStatuses tells others of what has changed: all boxes, and in a large fleet those that serve
// clients and those that grant tokens of limits.
func (n *Node) broadcastStatuses() {
	records := n.Statuses.Due()
	if len(records) == 0 {
		return
	}
	all, serving := n.liveBoxes()
	if len(all) > largeFleet {
		all = append(serving, n.allocators()...)
	}
	n.sendStatuses(all, records)
}

// spreadStatuses tells some boxes of what this one knows, so that one that has started or was cut off
// hears of it, and forgets servers that are gone.
func (n *Node) spreadStatuses() {
	known := n.Statuses.All()
	if len(known) == 0 {
		return
	}
	listed := map[string]bool{}
	for i := range known {
		listed[known[i].Server] = n.Set.HasIncarnation(known[i].Server)
	}
	n.Statuses.Expire(func(life string) bool { return listed[life] }, unlistedTime)
	records := n.Statuses.InForce(endedLimitSpreadTime)
	all, _ := n.liveBoxes()
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	n.sendStatuses(randomSubset(all, spreadFanout), records[:min(maxSpreadRecords, len(records))])
}

func (n *Node) sendStatuses(to []string, records []serverstatus.Record) {
	sendMessages(n, serverstatus.Wire, "statuses.sent", to, serverstatus.Messages(n.Settings.Box, records),
		func(m *serverstatus.Message) int { return len(m.Records) })
}

// receiveStatuses takes in what another box knows.
func (n *Node) receiveStatuses(datagram []byte, from *net.UDPAddr) {
	m, err := serverstatus.Wire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	for _, r := range m.Records {
		n.Statuses.Learn(r)
		if r.Leaving {
			n.Set.MarkLeaving(r.Server)
		}
	}
	metrics.GetOrRegisterCounter("statuses.received", n.Metrics).Inc(int64(len(m.Records)))
	if n.statusChanged.Swap(false) {
		n.tickQuota()
	}
}

// ----------------------------------------------------------------
// Operators
// ----------------------------------------------------------------

// serveSaid tells operators what backend servers say of themselves, as this box knows it.
func (n *Node) serveSaid(w http.ResponseWriter, _ *http.Request) {
	rests := map[string]int64{}
	records := n.Statuses.InForce(0)
	for _, r := range n.Set.BackedOff() {
		life := r.Server.Incarnation()
		rests[life] = r.Left.Milliseconds()
		known := func(other serverstatus.Record) bool { return other.Server == life }
		if !slices.ContainsFunc(records, known) {
			records = append(records, serverstatus.Record{Server: life, Zone: r.Server.Zone})
		}
	}
	told := serverstatus.SaidBox{Box: n.Settings.Box, Servers: []serverstatus.Said{}}
	for _, r := range records {
		said := serverstatus.Said{Server: r.Server, Zone: r.Zone, Leaving: r.Leaving, RestMS: rests[r.Server]}
		if r.Named {
			said.PerSecond = &r.PerSecond
		}
		told.Servers = append(told.Servers, said)
	}
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("servers", json.NewEncoder(w).Encode(told))
}

// ----------------------------------------------------------------
// What nothing reads
// ----------------------------------------------------------------

// logLimiter lets one log line pass in a time. What is kept is one more than when the last one did, in
// nanoseconds, and 0 before the first.
type logLimiter struct{ last atomic.Int64 }

// allow reports whether a line may be written now; the time counts from any fixed moment.
func (g *logLimiter) allow(now, every time.Duration) bool {
	last := g.last.Load()
	if last != 0 && now+1-time.Duration(last) < every {
		return false
	}
	return g.last.CompareAndSwap(last, int64(now)+1)
}

// unreadNames are words that have been told.
type unreadNames struct {
	mu     sync.Mutex
	logged map[string]bool
}

// maxUnreadNames bounds the words that are remembered as unread.
const maxUnreadNames = 64

// first reports whether a word has not been told yet.
func (u *unreadNames) first(word string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.logged[word] || len(u.logged) >= maxUnreadNames {
		return false
	}
	if u.logged == nil {
		u.logged = map[string]bool{}
	}
	u.logged[word] = true
	return true
}

// logUnreadHeader tells once of a header of answers that nothing here reads: it may say what
// the platform's pages say and the adapter does not know.
func (n *Node) logUnreadHeader(name string) {
	if n.unreadNames.first(name) {
		n.log.Warn("header of answers not read", map[string]any{"header": name})
	}
}

// logUnreadFields tells once of each field of the store's objects that nothing here reads. Of
// configurations, which are large and each of which is whole, it looks at one in a while.
func (n *Node) logUnreadFields(kind string, o objects.Object) {
	if kind == n.adapter.Kinds.Configuration && !n.configurationFields.allow(n.uptime(), configurationFieldsEvery) {
		return
	}
	for _, field := range n.adapter.UnreadFields(kind, o) {
		if n.unreadNames.first(field) {
			n.log.Warn("field of objects not read", map[string]any{"field": field, "object": o.Name, "revision": o.Revision})
		}
	}
}
