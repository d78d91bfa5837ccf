package steering

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/ingress"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/quota"
	"github.com/stoneworks/stoneworks/pkg/serverstatus"
)

// ================================================================
// Limits that backend servers name, over all boxes.
// ================================================================

const (
	// limitsEvery is how often a box looks whether a limit is to be told again.
	limitsEvery = 100 * time.Millisecond
	// roomTime bounds how long a request waits for its box to find out whether a server's
	// limit has room: a way between regions and back, and the ways in two zones. Where nothing
	// is to come it is told so sooner, and goes to another server.
	roomTime = 100 * time.Millisecond
	// spreadRecords bounds the limits of which a box tells some others each spreadEvery: 2.7 KB a
	// second of the 11 KB that control may take. One that starts hears of 48 a second.
	spreadRecords = 8
	// endSpreads is for how long boxes are told that a limit has ended.
	endSpreads = time.Minute
	// gone is how long a life of a server may be missing from the list until it is forgotten.
	gone = time.Minute
)

func (n *Node) newLimits(log *logging.Part) {
	n.Statuses = serverstatus.NewTable(n.Clock.Now)
	n.Statuses.Changed = func(r serverstatus.Record, what serverstatus.Change) {
		n.bindLimit(&r, what)
		log.Info("limit of server "+what.String(), map[string]any{
			"server": r.Server, "zone": r.Zone, "per_s": r.PerSecond, "number": r.Number,
		})
	}
	n.Set.Limited = func() bool { return !n.Statuses.Empty() }
	n.Set.Admit = n.admitTo
	n.Set.Release = n.releaseRoom
}

// bindLimit has a server's limit hold, or hold no more.
func (n *Node) bindLimit(r *serverstatus.Record, what serverstatus.Change) {
	id := quota.ServerIDOf(r.Server)
	switch what {
	case serverstatus.Ended:
		n.Quota.DropServer(id)
	case serverstatus.Forgotten:
		n.Quota.ForgetServer(id)
	default:
		n.Quota.SetServer(id, r.PerSecond, n.zonesOfRegion(r.Zone))
	}
	n.limitsChanged.Store(true)
}

// zonesOfRegion returns the zones of the region of a zone; all if that is not known.
func (n *Node) zonesOfRegion(zone string) []string {
	region := n.Topology.RegionOf(zone)
	var own, all []string
	for _, z := range n.Settings.Zones {
		all = append(all, z.Zone)
		if z.Region == region {
			own = append(own, z.Zone)
		}
	}
	if len(own) == 0 {
		return all
	}
	return own
}

// ----------------------------------------------------------------
// What servers and other boxes say
// ----------------------------------------------------------------

// heardLimit takes in what an answer says of its server's limit.
func (n *Node) heardLimit(server *backend.Server, v *ingress.Verdict, sent time.Time) {
	if v.Limit.Malformed {
		metrics.GetOrRegisterCounter("limits.unread", n.Metrics).Inc(1)
		return
	}
	if v.Limit.Named {
		metrics.GetOrRegisterCounter("limits.answers", n.Metrics).Inc(1)
	}
	n.Statuses.Answered(server, v.Limit, v.Signed, sent)
	if n.limitsChanged.Swap(false) {
		n.tellLimits()
		n.tickQuota()
	}
}

// tellLimits tells others of limits that have changed: all boxes, and in a large fleet those that
// serve clients and those that grant.
func (n *Node) tellLimits() {
	records := n.Statuses.Due()
	if len(records) == 0 {
		return
	}
	all, serving := n.liveBoxes()
	if len(all) > largeFleet {
		all = append(serving, n.allocators()...)
	}
	n.sendLimits(all, records)
}

// allocators returns where boxes that may grant tokens take datagrams.
func (n *Node) allocators() (addresses []string) {
	v := n.quotaView()
	lists := slices.AppendSeq([][]quota.Box{v.First}, maps.Values(v.Zones))
	for _, b := range slices.Concat(lists...) {
		addresses = append(addresses, b.Address)
	}
	return addresses
}

// spreadLimits tells some boxes of limits that this one knows, so that one that has started or was
// cut off hears of them, and forgets servers that are gone.
func (n *Node) spreadLimits() {
	known := n.Statuses.All()
	if len(known) == 0 {
		return
	}
	listed := map[string]bool{}
	for i := range known {
		listed[known[i].Server] = n.Set.Lists(known[i].Server)
	}
	n.Statuses.Expire(func(life string) bool { return listed[life] }, gone)
	records := n.Statuses.InForce(endSpreads)
	all, _ := n.liveBoxes()
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	n.sendLimits(someOf(all, spreadTo), records[:min(spreadRecords, len(records))])
}

func (n *Node) sendLimits(to []string, records []serverstatus.Record) {
	tellBoxes(n, serverstatus.Wire, "limits.sent", to, serverstatus.Messages(n.Settings.Box, records),
		func(m *serverstatus.Message) int { return len(m.Records) })
}

// receiveLimits takes in what another box knows.
func (n *Node) receiveLimits(datagram []byte, from *net.UDPAddr) {
	m, err := serverstatus.Wire.Decode(datagram)
	if err != nil {
		n.unread(from, err)
		return
	}
	for _, r := range m.Records {
		n.Statuses.Learn(r)
	}
	metrics.GetOrRegisterCounter("limits.received", n.Metrics).Inc(int64(len(m.Records)))
	if n.limitsChanged.Swap(false) {
		n.tickQuota()
	}
}

// ----------------------------------------------------------------
// Requests
// ----------------------------------------------------------------

// Nothing once read the limits that servers name: one of 2.7 requests a second got 45 in four seconds
// of 12 boxes. Each box by itself cannot keep it, since 12 would send 130 so; so each request
// takes a token of the limit's sum over all boxes (TestServerThatNamesItsLimit: 997 requests in four
// seconds of six boxes before, 11 and 12 now).

// admitTo reports whether the limit that a server may name leaves room for one more request, and
// has that take it. One that yields leaves it to more urgent ones.
func (n *Node) admitTo(server *backend.Server, ask, yield bool) (a backend.Admission, roomIn time.Duration) {
	life := server.Life()
	if _, named := n.Statuses.Of(life); !named {
		return backend.Unlimited, 0
	}
	if yield {
		metrics.GetOrRegisterCounter("limits.yielded", n.Metrics).Inc(1)
		return backend.Denied, 0
	}
	id := quota.ServerIDOf(life)
	d := n.Quota.Arrive(id)
	if d.Verdict == quota.Waiting {
		if ask {
			return backend.Open, 0
		}
		d = n.Quota.Again(id, true)
	}
	if d.Verdict == quota.Admitted {
		metrics.GetOrRegisterCounter("limits.admitted", n.Metrics).Inc(1)
		return backend.Granted, 0
	}
	metrics.GetOrRegisterCounter("limits.denied", n.Metrics).Inc(1)
	return backend.Denied, d.RetryAfter
}

// awaitRoom waits for what the zone's allocator says of a request for which admitTo left that
// open, and reports whether it has room.
func (n *Node) awaitRoom(ctx context.Context, server *backend.Server) bool {
	id := quota.ServerIDOf(server.Life())
	n.sendQuota()
	d := n.awaitDecision(ctx, id, n.Quota.Again(id, false), roomTime)
	if d.Verdict == quota.Admitted {
		metrics.GetOrRegisterCounter("limits.admitted", n.Metrics).Inc(1)
		return true
	}
	metrics.GetOrRegisterCounter("limits.denied", n.Metrics).Inc(1)
	return false
}

// releaseRoom gives back what a request has taken of a server's limit and not used.
func (n *Node) releaseRoom(server *backend.Server) {
	n.Quota.GiveBack(quota.ServerIDOf(server.Life()))
}

// ----------------------------------------------------------------
// Operators
// ----------------------------------------------------------------

// serveLimits tells operators which limits this box knows of, and what became of its requests.
func (n *Node) serveLimits(w http.ResponseWriter, _ *http.Request) {
	told := serverstatus.Box{Box: n.Settings.Box, Limits: []serverstatus.Limit{}}
	for _, r := range n.Statuses.All() {
		if !r.Named {
			continue
		}
		s := n.Quota.Statement(quota.ServerIDOf(r.Server))
		told.Limits = append(told.Limits, serverstatus.Limit{
			Server: r.Server, Zone: r.Zone, PerSecond: r.PerSecond, Admitted: s.Admitted, Denied: s.Refused, AskedPerSecond: s.PerSecond,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("limits", json.NewEncoder(w).Encode(told))
}
