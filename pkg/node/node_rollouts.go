package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

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
// Moves of services to new versions of their backend servers. Some boxes judge a version by what
// all boxes count, take the steps, tell them to the others and write them to the store.
// ================================================================

const (
	// rolloutSettleTime is how long after its start a box's requests are no evidence of how a
	// version performs.
	rolloutSettleTime = 3 * time.Second
	// rolloutsEvery is how often orders are advanced. Counts and progress are sent with every
	// rolloutSendsEvery-th of these times.
	rolloutsEvery     = 250 * time.Millisecond
	rolloutSendsEvery = 2
	// maxJudges bounds the boxes that judge, since all others send them their counts twice a
	// second.
	maxJudges = 6
	// newsFanOut is how many boxes of its zone, and of others, a box tells what it has newly
	// learned of an order; each of them does the same. progressFanOut is how many boxes a judge
	// tells the progress twice a second, for boxes that missed that or have started since.
	newsFanOutZone  = 4
	newsFanOutOther = 2
	progressFanOut  = 8
	// statusWriteTimeout bounds a call that writes a status to the store.
	statusWriteTimeout = 1200 * time.Millisecond
)

// newRollouts creates the table of orders.
func (n *Node) newRollouts() {
	n.Rollouts = rollout.NewTable(n.Settings.Box, n.Clock.Now, func() int64 { return time.Now().UnixMilli() })
}

// rolloutChanged applies a new, changed or removed order.
func (n *Node) rolloutChanged(log *logging.Logger, o objects.Object, gone bool) {
	if gone {
		n.Rollouts.Remove(o.Name)
		n.applyRollouts()
		log.Info("rollout removed", map[string]any{"service": o.Name, "revision": o.Revision})
		return
	}
	order, err := n.adapter.Rollout(o)
	if err != nil {
		n.noteUnreadObject(log, err)
		return
	}
	n.Rollouts.Set(order)
	n.applyRollouts()
	log.Info("rollout ordered", map[string]any{
		"service": order.Service, "version": order.Version, "duration": order.Duration.String(), "state": string(order.State),
		"step": order.Step, "by_hand": string(order.ByHand), "given": order.Given, "revision": o.Revision,
	})
}

// applyRollouts passes the orders' rules to the choice of servers. Of two concurrent calls, the
// later one must not pass on the earlier one's rules.
func (n *Node) applyRollouts() {
	n.rolloutRules.Lock()
	defer n.rolloutRules.Unlock()
	n.Set.SetVersions(n.Rollouts.Rules())
}

// noteAttempt counts the outcome of a request at a server of a service that is being moved. A box
// that has just started does not: requests that waited for it come at once, and which keys the
// servers know is not known.
func (n *Node) noteAttempt(route string, lease *backend.Lease, a ingress.Attempt) {
	if !n.Settings.Platform.Rollouts || !n.Rollouts.IsMoving(lease.Service) || n.uptime() < rolloutSettleTime {
		return
	}
	n.Rollouts.Observe(lease.Service, lease.Version, canary.Sample{
		Route: route, Server: lease.ID, Servers: n.Set.VersionServers(lease.Service), Key: a.Key, Known: lease.KeyKnown, Cold: lease.Cold,
		Remote: lease.Remote, Fill: (lease.InFlight + 1) / float64(max(1, lease.Slots)), Failed: a.Failed, Late: a.TimedOut, Took: a.Took,
	})
}

// canaryParameters returns how versions are judged.
func canaryParameters(p *policy.Policy) canary.Parameters {
	return canary.Parameters{FalseRate: p.CanaryFalseRate, MissRate: p.CanaryMissRate, Margin: p.CanaryMargin, SlowFactor: p.CanarySlowFactor}
}

// ----------------------------------------------------------------
// Who judges
// ----------------------------------------------------------------

// judge is a box that judges versions. Judges are ordered by rank, a hash of their names.
type judge struct {
	rank    uint64
	address string
	isSelf  bool
}

// judges are the boxes that judge versions, in the order in which they write to the store.
type judges struct {
	list []judge
	// mayStep is false if the boxes seen are too few to take steps without the store: a zone that
	// is cut off does not know what the others have found.
	mayStep bool
	// mayWrite is true if these boxes are in healthy contact with the store.
	mayWrite bool
}

// place returns this box's place among the judges, and false if it is none of them.
func (j *judges) place() (int, bool) {
	at := slices.IndexFunc(j.list, func(b judge) bool { return b.isSelf })
	return at, at >= 0
}

// others returns the datagram addresses of the other judges.
func (j *judges) others() []string {
	var list []string
	for _, b := range j.list {
		if !b.isSelf {
			list = append(list, b.address)
		}
	}
	return list
}

// rolloutJudges returns the boxes in healthy contact with the store or, if there is none, any. All
// boxes that see the same boxes choose the same judges.
func (n *Node) rolloutJudges() judges {
	var healthy, all []judge
	zones := map[string]bool{}
	add := func(r *gossip.Record, isSelf bool) {
		zones[r.Zone] = true
		if r.Leaving {
			return
		}
		b := judge{rank: backend.Hash(r.Box), address: r.Peers, isSelf: isSelf}
		all = addJudge(all, b)
		if r.StoreHealthy {
			healthy = addJudge(healthy, b)
		}
	}
	self := n.Members.Self()
	add(&self, true)
	n.Members.EachLive(func(r *gossip.Record) { add(r, false) })
	if len(healthy) > 0 {
		return judges{list: healthy, mayStep: true, mayWrite: true}
	}
	return judges{list: all, mayStep: 2*len(zones) > len(n.Settings.Zones)}
}

// addJudge adds a box to a list in the order of ranks, which keeps the first maxJudges.
func addJudge(list []judge, b judge) []judge {
	at, _ := slices.BinarySearchFunc(list, b, func(a, b judge) int { return cmp.Compare(a.rank, b.rank) })
	if at == maxJudges {
		return list
	}
	list = slices.Insert(list, at, b)
	return list[:min(maxJudges, len(list))]
}

// ----------------------------------------------------------------
// Steps and messages
// ----------------------------------------------------------------

// tickRollouts advances the orders, sends counts and progress, and writes to the store.
func (n *Node) tickRollouts() {
	if !n.Rollouts.InProgress() {
		return
	}
	n.Rollouts.SetParameters(canaryParameters(n.policy.Load()))
	j := n.rolloutJudges()
	turn, isJudge := j.place()
	events := n.Rollouts.Tick(rollout.View{IsJudge: isJudge, MayStep: j.mayStep, Room: n.Set.VersionRoom})
	n.applyRollouts()
	for i := range events {
		n.logRolloutEvent(&events[i])
		if events[i].What != rollout.EventWait {
			n.tellProgress(n.newsTargets())
		}
	}
	n.rolloutTicks++
	if n.rolloutTicks%rolloutSendsEvery == 0 {
		sendMessages(n, rollout.Wire, "rollouts.sent", j.others(), n.Rollouts.Reports(n.Set.VersionRoom), func(*rollout.Report) int { return 1 })
		if isJudge {
			all, _ := n.liveBoxes()
			n.tellProgress(randomSubset(all, progressFanOut))
		}
	}
	if isJudge && j.mayWrite {
		changes := n.Rollouts.Changes(turn)
		for i := range changes {
			n.background.Go(func() { _ = n.writeRolloutStatus(&changes[i]) })
		}
	}
}

func (n *Node) logRolloutEvent(e *rollout.Event) {
	metrics.GetOrRegisterCounter("rollouts."+e.What, n.Metrics).Inc(1)
	fields := map[string]any{
		"service": e.Order.Service, "version": e.Order.Version, "share": e.Share, "ran_ms": e.Ran.Milliseconds(),
		"route": e.Verdict.Route, "bad_share": e.Verdict.BadShare, "others_share": e.Verdict.OthersShare, "slower": e.Verdict.Slowdown,
		"bad_servers": e.Verdict.Servers, "answers": e.Verdict.Answers, "shown_good": e.Verdict.Good,
	}
	switch e.What {
	case rollout.EventBad:
		n.log.Warn("version found bad", fields)
	case rollout.EventWait:
		fields["reason"] = e.Wait.String()
		n.log.Info("rollout waits", fields)
	default:
		n.log.Info("rollout step", fields)
	}
}

// newsTargets returns the boxes that this box tells what it has newly learned.
func (n *Node) newsTargets() []string {
	var zone, other []string
	n.Members.EachLive(func(r *gossip.Record) {
		if r.Zone == n.Settings.Zone {
			zone = append(zone, r.Peers)
		} else {
			other = append(other, r.Peers)
		}
	})
	return append(randomSubset(zone, newsFanOutZone), randomSubset(other, newsFanOutOther)...)
}

// tellProgress tells boxes the progress of the orders.
func (n *Node) tellProgress(to []string) {
	m := []rollout.Message{n.Rollouts.Progress()}
	sendMessages(n, rollout.ProgressWire, "rollouts.told", to, m, func(*rollout.Message) int { return 1 })
}

// receiveRolloutProgress processes what another box tells of the orders, and passes on what is
// new.
func (n *Node) receiveRolloutProgress(datagram []byte, from *net.UDPAddr) {
	m, err := rollout.ProgressWire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	if !n.Rollouts.Receive(m) {
		return
	}
	n.applyRollouts()
	n.log.Info("rollout progress learned", map[string]any{"from": from.String(), "orders": m.Orders})
	n.tellProgress(n.newsTargets())
}

// receiveRolloutReport processes another box's counts.
func (n *Node) receiveRolloutReport(datagram []byte, from *net.UDPAddr) {
	r, err := rollout.Wire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	if err := n.Rollouts.AddReport(r); err != nil {
		n.noteUnreadDatagram(from, err)
	}
}

// ----------------------------------------------------------------
// The status in the store, and operators
// ----------------------------------------------------------------

// writeRolloutStatus writes a status to the store. If another box has changed the object first,
// all boxes learn of that from the store. The error is that of the call.
func (n *Node) writeRolloutStatus(c *rollout.Change) error {
	ctx, cancel := context.WithTimeout(n.context, statusWriteTimeout)
	defer cancel()
	err := n.store.SetStatus(ctx, n.adapter.Kinds.Rollouts, c.Order.Service, c.Order.Revision, n.adapter.RolloutStatus(c))
	var conflict *objects.ConflictError
	isConflict := errors.As(err, &conflict)
	n.Rollouts.Written(c, err == nil || isConflict)
	fields := map[string]any{
		"service": c.Order.Service, "version": c.Order.Version, "state": string(c.State), "step": c.Order.Step, "revision": c.Order.Revision,
		"ran_ms": c.Order.Ran.Milliseconds(), "by_hand": string(c.Order.ByHand),
		"route": c.Verdict.Route, "bad_share": c.Verdict.BadShare, "slower": c.Verdict.Slowdown,
	}
	switch {
	case isConflict:
		fields["error"] = err.Error()
		n.log.Info("rollout status was already written by another box", fields)
	case err != nil:
		fields["error"] = err.Error()
		n.log.Warn("rollout status could not be written", fields)
	default:
		n.log.Info("rollout noted", fields)
	}
	return err
}

// serveRollouts returns to operators the orders as this box sees them.
func (n *Node) serveRollouts(w http.ResponseWriter, _ *http.Request) {
	j := n.rolloutJudges()
	_, isJudge := j.place()
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("rollouts", json.NewEncoder(w).Encode(n.Rollouts.View(isJudge)))
}

// serveRolloutRequest writes to the store what an operator asks of an order.
func (n *Node) serveRolloutRequest(w http.ResponseWriter, r *http.Request) {
	c, err := n.Rollouts.Ask(r.PathValue("service"), rollout.Request(r.PathValue("request")))
	var unknown *rollout.UnknownRequestError
	switch {
	case errors.As(err, &unknown):
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	n.log.Info("rollout asked by an operator", map[string]any{
		"service": c.Order.Service, "request": r.PathValue("request"), "from": r.RemoteAddr, "revision": c.Order.Revision,
	})
	err = n.writeRolloutStatus(&c)
	var conflict *objects.ConflictError
	switch {
	case errors.As(err, &conflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
