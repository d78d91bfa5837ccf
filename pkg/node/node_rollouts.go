package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/canary"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/ingress"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/policy"
	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// ================================================================
// Moves of services to new versions of their backend servers. Boxes in healthy contact with the store judge
// a version by what all boxes count, and write the state of the order to the store.
// ================================================================

const (
	// rolloutsEvery is how often the versions' shares are recalculated and boxes send their
	// counts.
	rolloutsEvery = 500 * time.Millisecond
	// statusWriteTimeout bounds a call that writes a state to the store.
	statusWriteTimeout = 1200 * time.Millisecond
)

// rolloutChanged applies a new, changed or removed order.
func (n *Node) rolloutChanged(log *logging.Logger, o objects.Object, gone bool) {
	if gone {
		n.Rollouts.Remove(o.Name)
		n.Set.SetVersions(n.Rollouts.Rules())
		log.Info("rollout removed", map[string]any{"service": o.Name, "revision": o.Revision})
		return
	}
	order, err := n.adapter.Rollout(o)
	if err != nil {
		n.noteUnreadObject(log, err)
		return
	}
	n.Rollouts.Set(order)
	n.Set.SetVersions(n.Rollouts.Rules())
	log.Info("rollout ordered", map[string]any{
		"service": order.Service, "version": order.Version, "duration": order.Duration.String(), "state": string(order.State), "revision": o.Revision,
	})
}

// noteAttempt counts the outcome of a request at a server.
func (n *Node) noteAttempt(route string, lease *backend.Lease, a ingress.Attempt) {
	n.Rollouts.Observe(lease.Service, lease.Version, canary.Sample{
		Route: route, Server: lease.ID, Servers: n.Set.VersionServers(lease.Service), Key: a.Key, Known: lease.KeyKnown, Cold: lease.Cold,
		Remote: lease.Remote, Fill: (lease.InFlight + 1) / float64(max(1, lease.Slots)), Failed: a.Failed, Late: a.TimedOut, Took: a.Took,
	})
}

// canaryParameters returns how versions are judged.
func canaryParameters(p *policy.Policy) canary.Parameters {
	return canary.Parameters{FalseRate: p.CanaryFalseRate, MissRate: p.CanaryMissRate, Margin: p.CanaryMargin, SlowFactor: p.CanarySlowFactor}
}

// tickRollouts applies the versions' shares, sends the counts and writes states to the store.
func (n *Node) tickRollouts() {
	rules := n.Rollouts.Rules()
	if len(rules) == 0 {
		return
	}
	n.Rollouts.SetParameters(canaryParameters(n.policy.Load()))
	changes := n.Rollouts.Changes()
	n.Set.SetVersions(n.Rollouts.Rules())
	sendMessages(n, rollout.Wire, "rollouts.sent", n.storePollers(), n.Rollouts.Reports(), func(*rollout.Report) int { return 1 })
	if self := n.Members.Self(); self.StoreHealthy {
		for i := range changes {
			n.writeRolloutStatus(&changes[i])
		}
	}
}

// storePollers returns the datagram addresses of the other boxes that are in healthy contact
// with the store.
func (n *Node) storePollers() []string {
	var list []string
	n.Members.EachLive(func(r *gossip.Record) {
		if r.StoreHealthy {
			list = append(list, r.Peers)
		}
	})
	return list
}

// writeRolloutStatus writes a state to the store. If another box has already done so, all boxes
// learn of it from the store.
func (n *Node) writeRolloutStatus(c *rollout.Change) {
	ctx, cancel := context.WithTimeout(n.context, statusWriteTimeout)
	defer cancel()
	err := n.store.SetStatus(ctx, n.adapter.Kinds.Rollouts, c.Order.Service, c.Order.Revision, n.adapter.RolloutStatus(c))
	fields := map[string]any{
		"service": c.Order.Service, "version": c.Order.Version, "state": string(c.State), "revision": c.Order.Revision,
		"route": c.Verdict.Route, "bad_share": c.Verdict.BadShare, "others_share": c.Verdict.OthersShare, "slower": c.Verdict.Slowdown,
		"bad_servers": c.Verdict.Servers, "answers": c.Verdict.Answers, "shown_good": c.Verdict.Good,
	}
	var conflict *objects.ConflictError
	switch {
	case errors.As(err, &conflict):
		fields["error"] = err.Error()
		n.log.Info("rollout status was already written by another box", fields)
	case err != nil:
		fields["error"] = err.Error()
		n.log.Warn("rollout status could not be written", fields)
	default:
		n.log.Info("rollout noted", fields)
	}
}

// receiveRolloutReport processes another box's counts.
func (n *Node) receiveRolloutReport(datagram []byte, from *net.UDPAddr) {
	r, err := rollout.Wire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	n.Rollouts.AddReport(r)
}
