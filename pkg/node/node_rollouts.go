package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/ingress"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// ================================================================
// Moves of services to new versions of their backend servers. Boxes that ask the store judge a version by
// what all boxes count, and note the state of the order there.
// ================================================================

const (
	// rolloutsEvery is how often shares are worked out anew, and boxes tell what they have counted.
	rolloutsEvery = 500 * time.Millisecond
	// noteTime bounds a call that notes a state.
	noteTime = 1200 * time.Millisecond
)

// rolloutChanged takes in an order.
func (n *Node) rolloutChanged(log *logging.Part, o objects.Object, gone bool) {
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

// noteOutcome counts how a server has dealt with a request.
func (n *Node) noteAttempt(route string, lease *backend.Lease, a ingress.Attempt) {
	n.Rollouts.Observe(rollout.Outcome{
		Service: lease.Service, Route: route, Version: lease.Version, Failed: a.Failed, Late: a.Late, Known: lease.KeyKnown, Took: a.Took,
	})
}

// tickRollouts puts shares in force, tells what was counted, and notes states.
func (n *Node) tickRollouts() {
	rules := n.Rollouts.Rules()
	if len(rules) == 0 {
		return
	}
	changes := n.Rollouts.Changes()
	n.Set.SetVersions(n.Rollouts.Rules())
	sendMessages(n, rollout.Wire, "rollouts.sent", n.judges(), n.Rollouts.Reports(), func(*rollout.Report) int { return 1 })
	if self := n.Members.Self(); self.StoreHealthy {
		for i := range changes {
			n.noteState(&changes[i])
		}
	}
}

// judges are where the other boxes take datagrams that ask the store.
func (n *Node) judges() []string {
	var list []string
	n.Members.EachLive(func(r *gossip.Record) {
		if r.StoreHealthy {
			list = append(list, r.Peers)
		}
	})
	return list
}

// noteState writes a state to the store. Another box may have done so first, which all hear of.
func (n *Node) noteState(c *rollout.Change) {
	ctx, cancel := context.WithTimeout(n.context, noteTime)
	defer cancel()
	err := n.store.SetStatus(ctx, n.adapter.Kinds.Rollouts, c.Order.Service, c.Order.Revision, n.adapter.RolloutStatus(c))
	fields := map[string]any{
		"service": c.Order.Service, "version": c.Order.Version, "state": string(c.State), "revision": c.Order.Revision,
		"route": c.Verdict.Route, "bad_share": c.Verdict.BadShare, "slower": c.Verdict.Slowdown,
	}
	var conflict *objects.ConflictError
	switch {
	case errors.As(err, &conflict):
		fields["error"] = err.Error()
		n.log.Info("rollout was noted by another box", fields)
	case err != nil:
		fields["error"] = err.Error()
		n.log.Warn("rollout not noted", fields)
	default:
		n.log.Info("rollout noted", fields)
	}
}

// receiveReport takes in what another box has counted.
func (n *Node) receiveReport(datagram []byte, from *net.UDPAddr) {
	r, err := rollout.Wire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	n.Rollouts.AddReport(r)
}
