package node

import (
	"context"
	"encoding/json"
	"maps"
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
	// serverLimitWait bounds how long a request waits for its box to find out whether a server's
	// limit has room: a way between regions and back, and the ways in two zones. Where nothing
	// is to come it is told so sooner, and goes to another server.
	serverLimitWait = 100 * time.Millisecond
)

func (n *Node) newLimits(log *logging.Part) {
	n.Statuses = serverstatus.NewTable(n.Clock.Now)
	n.Statuses.Changed = func(r serverstatus.Record, what serverstatus.Change) {
		if what == serverstatus.Leaves {
			n.statusChanged.Store(true)
			return
		}
		n.applyLimit(&r, what)
		log.Info("limit of server "+what.String(), map[string]any{
			"server": r.Server, "zone": r.Zone, "per_s": r.PerSecond, "number": r.Number,
		})
	}
	n.Set.AnyLimited = func() bool { return !n.Statuses.Empty() }
	n.Set.HasLimit = func(v *backend.Server) bool {
		_, named := n.Statuses.Of(v.Incarnation())
		return named
	}
	n.Set.Admit = n.admitToServer
	n.Set.Release = n.releaseRoom
	n.Set.IsLeaving = n.Statuses.IsLeaving
}

// applyLimit has a server's limit hold, or hold no more.
func (n *Node) applyLimit(r *serverstatus.Record, what serverstatus.Change) {
	id := quota.ServerIDOf(r.Server)
	switch what {
	case serverstatus.Ended:
		n.Quota.DropServer(id)
	case serverstatus.Forgotten:
		n.Quota.ForgetServer(id)
	default:
		n.Quota.SetServer(id, r.PerSecond, n.zonesOfRegion(r.Zone))
	}
	n.statusChanged.Store(true)
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
// What servers say
// ----------------------------------------------------------------

// noteLimit takes in what an answer says of its server's limit.
func (n *Node) noteLimit(server *backend.Server, v *ingress.Verdict, sent time.Time) {
	if v.Limit.Malformed {
		metrics.GetOrRegisterCounter("limits.unread", n.Metrics).Inc(1)
		return
	}
	if v.Limit.Present {
		metrics.GetOrRegisterCounter("limits.answers", n.Metrics).Inc(1)
	}
	n.Statuses.Answered(server, v.Limit, v.Signed, sent)
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

// ----------------------------------------------------------------
// Requests
// ----------------------------------------------------------------

// Each box by itself cannot keep a limit that holds for all of them together, so each request takes a
// token of the limit's sum over all boxes.

// admitToServer reports whether the limit that a server may name leaves room for one more request, and
// has that take it. One that yields leaves it to more urgent ones.
func (n *Node) admitToServer(server *backend.Server, ask, yield bool) (a backend.Admission, roomIn time.Duration) {
	life := server.Incarnation()
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
			return backend.AdmissionUnknown, 0
		}
		d = n.Quota.Recheck(id, true)
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
	id := quota.ServerIDOf(server.Incarnation())
	n.sendQuota()
	d := n.awaitDecision(ctx, id, n.Quota.Recheck(id, false), serverLimitWait)
	if d.Verdict == quota.Admitted {
		metrics.GetOrRegisterCounter("limits.admitted", n.Metrics).Inc(1)
		return true
	}
	metrics.GetOrRegisterCounter("limits.denied", n.Metrics).Inc(1)
	return false
}

// releaseRoom gives back what a request has taken of a server's limit and not used.
func (n *Node) releaseRoom(server *backend.Server) {
	n.Quota.GiveBack(quota.ServerIDOf(server.Incarnation()))
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
		s := n.Quota.Stats(quota.ServerIDOf(r.Server))
		told.Limits = append(told.Limits, serverstatus.Limit{
			Server: r.Server, Zone: r.Zone, PerSecond: r.PerSecond, Admitted: s.Admitted, Denied: s.Refused, AskedPerSecond: s.PerSecond,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("limits", json.NewEncoder(w).Encode(told))
}
