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
// What backend servers report about themselves in their answers.
// ================================================================

const (
	// malformedHeaderEvery is how often a malformed header, which a server may send in every
	// answer, is logged. All of them are counted.
	malformedHeaderEvery = time.Second
	// configurationFieldsEvery is how often a configuration is checked for fields that nothing
	// reads.
	configurationFieldsEvery = 30 * time.Second
	// statusesEvery is how often a box checks whether server statuses have to be sent again.
	statusesEvery = 100 * time.Millisecond
	// maxSpreadRecords bounds the servers whose statuses a box sends to some others each
	// spreadEvery, to keep this a small part of the traffic allowed for control.
	maxSpreadRecords = 8
	// endedLimitSpreadTime is how long boxes are told that a limit has ended.
	endedLimitSpreadTime = time.Minute
	// unlistedTime is how long an incarnation of a server may be missing from the list before
	// its status is forgotten.
	unlistedTime = time.Minute
)

// noteAnswer processes what an answer says about its server. An answer that another server gave
// in place of the expected one says nothing about it.
func (n *Node) noteAnswer(server *backend.Server, v *ingress.AnswerMeta, sent time.Time) {
	for _, problem := range v.HeaderErrors {
		metrics.GetOrRegisterCounter("words.unread", n.Metrics).Inc(1)
		if n.malformedHeaders.allow(n.uptime(), malformedHeaderEvery) {
			n.log.Warn("malformed header in an answer", map[string]any{"server": server.ID, "error": problem.Error()})
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

// A server that leaves says so in its answers, but the platform's list shows it as ready for as long as
// the store is silent. So this is remembered for the server's incarnation, whatever the list says, and sent
// to all boxes: otherwise each box would send it requests until the server told that box as well.

// noteLeaving records that a server says that it leaves.
func (n *Node) noteLeaving(server *backend.Server, v *ingress.AnswerMeta) {
	if !v.Leaving {
		return
	}
	metrics.GetOrRegisterCounter("words.leaving", n.Metrics).Inc(1)
	n.Statuses.MarkLeaving(server)
	n.Set.MarkLeaving(server.Incarnation())
}

// noteBackoff records that a server asks this box to back off for a time. What it asks of one
// box does not apply to others, so they are not informed.
func (n *Node) noteBackoff(server *backend.Server, v *ingress.AnswerMeta) {
	if v.Backoff == 0 {
		return
	}
	metrics.GetOrRegisterCounter("words.rest", n.Metrics).Inc(1)
	n.backOff(server.Incarnation(), v.Backoff)
	if v.Via != "" {
		n.tellBackoff(v.Via, server.Incarnation(), v.Backoff)
	}
}

// ----------------------------------------------------------------
// Exchange of statuses between boxes
// ----------------------------------------------------------------

// broadcastStatuses sends changed statuses to all boxes; in a large fleet, only to those that
// serve clients and those that grant tokens of limits.
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

// spreadStatuses sends the statuses that this box knows to some other boxes, so that a box that
// has started or was cut off learns of them, and forgets servers that are gone.
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
	records := n.Statuses.Active(endedLimitSpreadTime)
	all, _ := n.liveBoxes()
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	n.sendStatuses(randomSubset(all, spreadFanout), records[:min(maxSpreadRecords, len(records))])
}

func (n *Node) sendStatuses(to []string, records []serverstatus.Record) {
	sendMessages(n, serverstatus.Wire, "statuses.sent", to, serverstatus.Messages(n.Settings.Box, records),
		func(m *serverstatus.Message) int { return len(m.Records) })
}

// receiveStatuses processes another box's statuses.
func (n *Node) receiveStatuses(datagram []byte, from *net.UDPAddr) {
	m, err := serverstatus.Wire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	for _, r := range m.Records {
		n.Statuses.Merge(r)
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

// serveSaid returns to operators what backend servers report about themselves, as far as this
// box knows.
func (n *Node) serveSaid(w http.ResponseWriter, _ *http.Request) {
	rests := map[string]int64{}
	records := n.Statuses.Active(0)
	for _, r := range n.Set.BackedOff() {
		life := r.Server.Incarnation()
		rests[life] = r.Left.Milliseconds()
		known := func(other serverstatus.Record) bool { return other.Server == life }
		if !slices.ContainsFunc(records, known) {
			records = append(records, serverstatus.Record{Server: life, Zone: r.Server.Zone})
		}
	}
	body := serverstatus.BoxStatuses{Box: n.Settings.Box, Servers: []serverstatus.Status{}}
	for _, r := range records {
		said := serverstatus.Status{Server: r.Server, Zone: r.Zone, Leaving: r.Leaving, RestMS: rests[r.Server]}
		if r.HasLimit {
			said.PerSecond = &r.PerSecond
		}
		body.Servers = append(body.Servers, said)
	}
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("servers", json.NewEncoder(w).Encode(body))
}

// ----------------------------------------------------------------
// Headers and fields that nothing reads
// ----------------------------------------------------------------

// logLimiter allows one log line per interval. last is the time of the last line in nanoseconds
// plus one, and 0 before the first.
type logLimiter struct{ last atomic.Int64 }

// allow reports whether a line may be written now. The time is measured from any fixed moment.
func (g *logLimiter) allow(now, every time.Duration) bool {
	last := g.last.Load()
	if last != 0 && now+1-time.Duration(last) < every {
		return false
	}
	return g.last.CompareAndSwap(last, int64(now)+1)
}

// unreadNames are the names of headers and fields that nothing reads and that have been logged.
type unreadNames struct {
	mu     sync.Mutex
	logged map[string]bool
}

// maxUnreadNames bounds the names that are remembered, and so logged.
const maxUnreadNames = 64

// first reports whether a name has not been logged yet, and records it.
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

// logUnreadHeader logs, once for each name, a header of an answer that nothing reads. The
// platform's documentation may describe it although the adapter does not know it.
func (n *Node) logUnreadHeader(name string) {
	if n.unreadNames.first(name) {
		n.log.Warn("unknown header in an answer", map[string]any{"header": name})
	}
}

// logUnreadFields logs, once for each name, the fields of the store's objects that nothing reads.
// Configurations are large and always sent as a whole, so only one per configurationFieldsEvery
// is checked.
func (n *Node) logUnreadFields(kind string, o objects.Object) {
	if kind == n.adapter.Kinds.Configuration && !n.configurationFields.allow(n.uptime(), configurationFieldsEvery) {
		return
	}
	for _, field := range n.adapter.UnreadFields(kind, o) {
		if n.unreadNames.first(field) {
			n.log.Warn("unknown field in an object of the store", map[string]any{"field": field, "object": o.Name, "revision": o.Revision})
		}
	}
}
