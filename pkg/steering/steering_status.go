package steering

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
	// wordsEvery is how often something that a server may say in each answer is logged. All
	// answers are counted.
	wordsEvery = time.Second
	// configurationEvery is how often a configuration is looked at for fields that nothing reads.
	configurationEvery = 30 * time.Second
	// statusesEvery is how often a box looks whether anything that servers say is to be told again.
	statusesEvery = 100 * time.Millisecond
	// spreadRecords bounds the servers of which a box tells some others each spreadEvery: what
	// that sends must stay a small part of what control may take.
	spreadRecords = 8
	// endSpreads is for how long boxes are told that a limit has ended.
	endSpreads = time.Minute
	// gone is how long a life of a server may be missing from the list until it is forgotten.
	gone = time.Minute
)

// heardOf takes in what an answer says of its server. One that another server gave in its place
// says nothing of it.
func (n *Node) heardOf(server *backend.Server, v *ingress.Verdict, sent time.Time) {
	for _, problem := range v.Problems {
		metrics.GetOrRegisterCounter("words.unread", n.Metrics).Inc(1)
		if n.malformedHeaders.pass(n.age(), wordsEvery) {
			n.log.Warn("header of answers malformed", map[string]any{"server": server.ID, "error": problem.Error()})
		}
	}
	if v.Stale {
		return
	}
	n.heardLeaving(server, v)
	n.heardRest(server, v)
	n.heardLimit(server, v, sent)
	if n.statusChanged.Swap(false) {
		n.tellStatuses()
		n.tickQuota()
	}
}

// A server that leaves says so in its answers, and the platform's list says that it is ready for as
// long as the store is silent. So the word is kept for the server's life, whatever the list says, and told
// to all boxes: each would else send it requests until it was told itself.

// heardLeaving takes in that a server says that it leaves.
func (n *Node) heardLeaving(server *backend.Server, v *ingress.Verdict) {
	if !v.Leaving {
		return
	}
	metrics.GetOrRegisterCounter("words.leaving", n.Metrics).Inc(1)
	n.Statuses.Leave(server)
	n.Set.MarkLeaving(server.Incarnation())
}

// heardRest takes in that a server wants no requests from this box for a time. What it asks of one
// box is no word to others.
func (n *Node) heardRest(server *backend.Server, v *ingress.Verdict) {
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

// tellStatuses tells others of what has changed: all boxes, and in a large fleet those that serve
// clients and those that grant tokens of limits.
func (n *Node) tellStatuses() {
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
	n.Statuses.Expire(func(life string) bool { return listed[life] }, gone)
	records := n.Statuses.InForce(endSpreads)
	all, _ := n.liveBoxes()
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	n.sendStatuses(someOf(all, spreadTo), records[:min(spreadRecords, len(records))])
}

func (n *Node) sendStatuses(to []string, records []serverstatus.Record) {
	tellBoxes(n, serverstatus.Wire, "statuses.sent", to, serverstatus.Messages(n.Settings.Box, records),
		func(m *serverstatus.Message) int { return len(m.Records) })
}

// receiveStatuses takes in what another box knows.
func (n *Node) receiveStatuses(datagram []byte, from *net.UDPAddr) {
	m, err := serverstatus.Wire.Decode(datagram)
	if err != nil {
		n.unread(from, err)
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

// unknownWords are words that have been told.
type unknownWords struct {
	mu    sync.Mutex
	words map[string]bool
}

// mostUnread bounds the words that are remembered as unread.
const mostUnread = 64

// first reports whether a word has not been told yet.
func (u *unknownWords) first(word string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.words[word] || len(u.words) >= mostUnread {
		return false
	}
	if u.words == nil {
		u.words = map[string]bool{}
	}
	u.words[word] = true
	return true
}

// unreadHeader tells once of a header of answers that nothing here reads: it may say what
// the platform's pages say and the adapter does not know.
func (n *Node) unreadHeader(name string) {
	if n.unknown.first(name) {
		n.log.Warn("header of answers not read", map[string]any{"header": name})
	}
}

// noteFields tells once of each field of the store's objects that nothing here reads. Of
// configurations, which are large and each of which is whole, it looks at one in a while.
func (n *Node) noteFields(kind string, o objects.Object) {
	if kind == n.adapter.Kinds.Configuration && !n.configurationFields.pass(n.age(), configurationEvery) {
		return
	}
	for _, field := range n.adapter.UnreadFields(kind, o) {
		if n.unknown.first(field) {
			n.log.Warn("field of objects not read", map[string]any{"field": field, "object": o.Name, "revision": o.Revision})
		}
	}
}
