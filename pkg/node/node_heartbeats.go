package node

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/failurereport"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/packet"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
	"github.com/stoneworks/stoneworks/pkg/quota"
	"github.com/stoneworks/stoneworks/pkg/rollout"
	"github.com/stoneworks/stoneworks/pkg/serverstatus"
)

// ================================================================
// Datagrams between boxes: heartbeats, and the dispatch of all other kinds.
// ================================================================

// maxDatagram bounds a received datagram, in bytes.
const maxDatagram = 16 << 10

// heartbeat does the work that is due at each heartbeat and sends it.
func (n *Node) heartbeat() {
	n.Members.Expire()
	n.Set.Expire()
	if omitted := n.listedLines.takeOmitted(); omitted > 0 {
		n.log.Info("log lines about listed or cold servers were omitted", map[string]any{"lines": omitted})
	}
	n.checkReady()
	n.refreshSelf()
	n.refreshUse()
	n.sendHeartbeats()
	n.Replica.PullOverdue()
}

func (n *Node) sendHeartbeats() {
	for _, e := range n.Members.Beat() {
		n.send(e)
	}
}

// announcedState is what this box last announced about itself.
type announcedState struct {
	ready           bool
	storeHealthy    bool
	storeUnanswered bool
	serving         bool
}

// announce notifies the zone's other boxes at once if the store has changes, or if this box's
// readiness, its contact with the store or whether it serves clients has changed.
func (n *Node) announce() {
	if n.Members.Alone() {
		// The seeds may have started after this box.
		n.sendHeartbeats()
	}
	n.Replica.Tick()
	changed := n.Replica.TakeUnannounced()
	n.refreshSelf()
	self := n.Members.Self()
	now := announcedState{ready: self.Ready, storeHealthy: self.StoreHealthy, storeUnanswered: self.StoreUnanswered, serving: self.Serving}
	if changed || now != n.announced {
		n.announced = now
		n.send(n.Members.Announce())
	}
}

func (n *Node) refreshSelf() {
	copies := n.Replica.CopyState()
	n.Members.Update(func(self *gossip.Record) {
		copies.FillRecord(self)
		self.Ready = n.ready.Load()
		self.Leaving = n.leaving.Load()
		self.Serving = n.serving()
	})
}

// refreshUse reads how much of its machine the box uses.
func (n *Node) refreshUse() {
	use := n.readUtilization(n.Members.Self().Use)
	n.Members.Update(func(self *gossip.Record) { self.Use = use })
}

// send sends a heartbeat to the addresses of its envelope.
func (n *Node) send(e gossip.Envelope) {
	if len(e.To) == 0 {
		return
	}
	datagram, err := gossip.Wire.Encode(&e.Message)
	if err != nil {
		n.log.Warn("heartbeat could not be encoded", map[string]any{"error": err.Error()})
		return
	}
	n.sendEach(e.To, datagram)
}

// liveBoxes returns the datagram addresses of all other live boxes, and of those among them that
// are known to serve clients.
func (n *Node) liveBoxes() (all, serving []string) {
	n.Members.EachLive(func(r *gossip.Record) {
		all = append(all, r.Peers)
		if r.Serving {
			serving = append(serving, r.Peers)
		}
	})
	return all, serving
}

// randomSubset returns up to count of the addresses, chosen at random. It changes their order.
func randomSubset(addresses []string, count int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// sendMessages sends messages to boxes and adds the number of entries sent to the metric, once
// for each box.
func sendMessages[T any](n *Node, wire packet.Codec[T], metric string, to []string, messages []T, count func(m *T) int) {
	for i := range messages {
		datagram, err := wire.Encode(&messages[i])
		if err != nil {
			n.log.Warn(wire.Kind+" message could not be encoded", map[string]any{"error": err.Error()})
			continue
		}
		n.sendEach(to, datagram)
		metrics.GetOrRegisterCounter(metric, n.Metrics).Inc(int64(count(&messages[i]) * len(to)))
	}
}

// sendEach sends a datagram to each address. One that cannot be sent is equivalent to one that
// is lost: a later datagram replaces it, so the failure is only counted.
func (n *Node) sendEach(addresses []string, datagram []byte) {
	for _, address := range addresses {
		to, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = n.ports.datagrams.WriteToUDPAddrPort(datagram, to)
			n.traffic.sent.Add(uint64(len(datagram)))
		}
		if err != nil {
			metrics.GetOrRegisterCounter("heartbeats.unsent", n.Metrics).Inc(1)
			n.log.Debug("datagram not sent", map[string]any{"to": address, "error": err.Error()})
		}
	}
}

func (n *Node) receiveDatagrams() {
	buffer := make([]byte, maxDatagram)
	for n.context.Err() == nil {
		size, from, err := n.ports.datagrams.ReadFromUDP(buffer)
		if err != nil {
			if n.context.Err() == nil {
				time.Sleep(time.Millisecond)
			}
			continue
		}
		n.traffic.received.Add(uint64(size))
		n.Clock.Sync()
		if failurereport.Wire.IsMessage(buffer[:size]) {
			n.receiveFailureReports(buffer[:size], from)
			continue
		}
		if quarantine.Wire.IsMessage(buffer[:size]) {
			n.receiveQuarantine(buffer[:size], from)
			continue
		}
		if serverstatus.Wire.IsMessage(buffer[:size]) {
			n.receiveStatuses(buffer[:size], from)
			continue
		}
		if rollout.Wire.IsMessage(buffer[:size]) {
			n.receiveRolloutReport(buffer[:size], from)
			continue
		}
		if rollout.ProgressWire.IsMessage(buffer[:size]) {
			n.receiveRolloutProgress(buffer[:size], from)
			continue
		}
		if quota.IsMessage(buffer[:size]) {
			n.receiveQuota(buffer[:size], from)
			continue
		}
		m, err := gossip.Wire.Decode(buffer[:size])
		if err != nil {
			n.noteUnreadDatagram(from, err)
			continue
		}
		n.receive(m, from)
	}
}

// noteUnreadDatagram counts and logs a datagram that is not a message of this version.
func (n *Node) noteUnreadDatagram(from *net.UDPAddr, err error) {
	metrics.GetOrRegisterCounter("heartbeats.unread", n.Metrics).Inc(1)
	n.log.Debug("datagram could not be decoded", map[string]any{"from": from.String(), "error": err.Error()})
}

// serveFleet returns to operators what this box knows of all boxes.
func (n *Node) serveFleet(w http.ResponseWriter, _ *http.Request) {
	kind := n.adapter.Kinds.Servers
	listAge, configurationAge := n.Replica.Ages()
	body := gossip.FleetBox{
		Box: n.Settings.Box, Zone: n.Settings.Zone, Zones: n.Members.Overview(kind), ListAt: n.Replica.Mirror(kind).Version().Revision,
		ListAgeMS: listAge.Milliseconds(), ConfigurationAgeMS: configurationAge.Milliseconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("fleet", json.NewEncoder(w).Encode(body))
}

// receive processes a heartbeat and answers it if an answer is requested.
func (n *Node) receive(m *gossip.Message, from *net.UDPAddr) {
	answers, greetings := n.Members.Receive(m)
	for i := range answers {
		n.send(gossip.Envelope{Message: answers[i], To: []string{from.String()}})
	}
	for _, e := range greetings {
		n.send(e)
	}
	n.Replica.HandleRecord(&m.From)
}
