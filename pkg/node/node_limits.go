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
// Rate limits that backend servers name in their answers, enforced over all boxes together.
// ================================================================

const (
	// serverLimitWait bounds how long a request waits for the decision whether a server's limit
	// has capacity left: one round trip between regions plus the ways within two zones. If no
	// capacity is expected, the request is denied earlier and goes to another server.
	serverLimitWait = 100 * time.Millisecond
)

func (n *Node) newLimits(log *logging.Logger) {
	n.Statuses = serverstatus.NewTable(n.Clock.Now)
	n.Statuses.OnChange = func(r serverstatus.Record, what serverstatus.Change) {
		if what == serverstatus.ServerLeaving {
			n.statusChanged.Store(true)
			return
		}
		n.applyLimit(&r, what)
		log.Info("limit of server "+what.String(), map[string]any{
			"server": r.Server, "zone": r.Zone, "per_s": r.PerSecond, "number": r.LimitVersion,
		})
	}
	n.Set.AnyLimited = func() bool { return !n.Statuses.Empty() }
	n.Set.HasLimit = func(v *backend.Server) bool {
		_, named := n.Statuses.LimitOf(v.Incarnation())
		return named
	}
	n.Set.Admit = n.admitToServer
	n.Set.Release = n.releaseRoom
	n.Set.IsLeaving = n.Statuses.IsLeaving
}

// applyLimit enforces a server's limit, or ends it.
func (n *Node) applyLimit(r *serverstatus.Record, what serverstatus.Change) {
	id := quota.ServerIDOf(r.Server)
	switch what {
	case serverstatus.LimitEnded:
		n.Quota.DropServer(id)
	case serverstatus.ServerForgotten:
		n.Quota.ForgetServer(id)
	default:
		n.Quota.SetServer(id, r.PerSecond, n.zonesOfRegion(r.Zone))
	}
	n.statusChanged.Store(true)
}

// zonesOfRegion returns the zones of the region to which the zone belongs, or all zones if the
// region is not known.
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
// Limits in answers
// ----------------------------------------------------------------

// noteLimit records what an answer says about its server's limit.
func (n *Node) noteLimit(server *backend.Server, v *ingress.AnswerMeta, sent time.Time) {
	if v.Limit.Malformed {
		metrics.GetOrRegisterCounter("limits.unread", n.Metrics).Inc(1)
		return
	}
	if v.Limit.Present {
		metrics.GetOrRegisterCounter("limits.answers", n.Metrics).Inc(1)
	}
	n.Statuses.ObserveAnswer(server, v.Limit, v.Signed, sent)
}

// allocators returns the datagram addresses of the boxes that may grant tokens.
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

// A single box cannot enforce a limit that holds for all boxes together, so each request takes a
// token that is accounted for over all boxes.

// admitToServer reports whether the limit that a server may name has capacity for one more
// request, and takes a token for it if so. With yield set, the request leaves the capacity to
// more urgent ones.
func (n *Node) admitToServer(server *backend.Server, ask, yield bool) (a backend.Admission, retryAfter time.Duration) {
	life := server.Incarnation()
	if _, named := n.Statuses.LimitOf(life); !named {
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

// awaitRoom waits for the decision of the zone's allocator on a request for which admitToServer
// returned AdmissionUnknown, and reports whether the limit has capacity for it.
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

// releaseRoom returns the token that a request took from a server's limit and did not use.
func (n *Node) releaseRoom(server *backend.Server) {
	n.Quota.GiveBack(quota.ServerIDOf(server.Incarnation()))
}

// ----------------------------------------------------------------
// Operators
// ----------------------------------------------------------------

// serveLimits returns to operators the limits that this box knows of and the counts of its
// requests under them.
func (n *Node) serveLimits(w http.ResponseWriter, _ *http.Request) {
	body := serverstatus.BoxLimits{Box: n.Settings.Box, Limits: []serverstatus.Limit{}}
	for _, r := range n.Statuses.All() {
		if !r.HasLimit {
			continue
		}
		s := n.Quota.Stats(quota.ServerIDOf(r.Server))
		body.Limits = append(body.Limits, serverstatus.Limit{
			Server: r.Server, Zone: r.Zone, PerSecond: r.PerSecond, Admitted: s.Admitted, Denied: s.Refused, AskedPerSecond: s.PerSecond,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("limits", json.NewEncoder(w).Encode(body))
}
