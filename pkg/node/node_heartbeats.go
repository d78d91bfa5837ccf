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
// Heartbeats, as datagrams.
// ================================================================

// maxDatagram bounds a heartbeat, in bytes.
const maxDatagram = 16 << 10

// heartbeat sends the next heartbeat.
func (n *Node) heartbeat() {
	n.Members.Expire()
	n.Set.Expire()
	if more := n.listedLines.takeOmitted(); more > 0 {
		n.log.Info("servers listed or cold, not told one by one", map[string]any{"lines": more})
	}
	n.checkReady()
	n.refreshSelf()
	n.sendHeartbeats()
	n.Replica.PullOverdue()
}

func (n *Node) sendHeartbeats() {
	for _, e := range n.Members.Beat() {
		n.send(e)
	}
}

// announcedState is what this box last announced of itself.
type announcedState struct {
	ready        bool
	storeHealthy bool
	trying       bool
	serving      bool
}

// announce tells the zone's other boxes at once that the store has changes, that
// this box has become ready, that clients send it requests, or that it asks the store
// from now on.
func (n *Node) announce() {
	if n.Members.Alone() {
		// The seeds may have started after this box.
		n.sendHeartbeats()
	}
	n.Replica.Tick()
	changed := n.Replica.TakeUnannounced()
	n.refreshSelf()
	self := n.Members.Self()
	now := announcedState{ready: self.Ready, storeHealthy: self.StoreHealthy, trying: self.StoreUnanswered, serving: self.Serving}
	if changed || now != n.announced {
		n.announced = now
		n.send(n.Members.Announce())
	}
}

func (n *Node) refreshSelf() {
	n.Members.Update(func(self *gossip.Record) {
		n.Replica.FillRecord(self)
		self.Ready = n.ready.Load()
		self.Leaving = n.leaving.Load()
		self.Serving = n.serving()
	})
}

// send sends a heartbeat to its addresses.
func (n *Node) send(e gossip.Envelope) {
	if len(e.To) == 0 {
		return
	}
	datagram, err := gossip.Wire.Encode(&e.Message)
	if err != nil {
		n.log.Warn("heartbeat not sent", map[string]any{"error": err.Error()})
		return
	}
	n.sendEach(e.To, datagram)
}

// liveBoxes returns where all other live boxes take datagrams, and where those do that are known to
// serve clients.
func (n *Node) liveBoxes() (all, serving []string) {
	n.Members.EachLive(func(r *gossip.Record) {
		all = append(all, r.Peers)
		if r.Serving {
			serving = append(serving, r.Peers)
		}
	})
	return all, serving
}

// randomSubset returns so many of the addresses, drawn at random. It changes their order.
func randomSubset(addresses []string, count int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// sendMessages sends messages to boxes, and counts under the metric the entries that were told, once for
// each box.
func sendMessages[T any](n *Node, wire packet.Codec[T], metric string, to []string, messages []T, count func(m *T) int) {
	for i := range messages {
		datagram, err := wire.Encode(&messages[i])
		if err != nil {
			n.log.Warn(wire.Kind+" not told", map[string]any{"error": err.Error()})
			continue
		}
		n.sendEach(to, datagram)
		metrics.GetOrRegisterCounter(metric, n.Metrics).Inc(int64(count(&messages[i]) * len(to)))
	}
}

// sendEach sends a datagram to each address. One that cannot be sent is like one
// that is lost: the next one takes its place, so it is only counted.
func (n *Node) sendEach(addresses []string, datagram []byte) {
	for _, address := range addresses {
		to, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = n.ports.datagrams.WriteToUDPAddrPort(datagram, to)
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
		n.Clock.Sync()
		if failurereport.Wire.Is(buffer[:size]) {
			n.receiveFindings(buffer[:size], from)
			continue
		}
		if quarantine.Wire.Is(buffer[:size]) {
			n.receiveQuarantine(buffer[:size], from)
			continue
		}
		if serverstatus.Wire.Is(buffer[:size]) {
			n.receiveStatuses(buffer[:size], from)
			continue
		}
		if rollout.Wire.Is(buffer[:size]) {
			n.receiveReport(buffer[:size], from)
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

// noteUnreadDatagram notes a datagram that is no message of this version.
func (n *Node) noteUnreadDatagram(from *net.UDPAddr, err error) {
	metrics.GetOrRegisterCounter("heartbeats.unread", n.Metrics).Inc(1)
	n.log.Debug("datagram not understood", map[string]any{"from": from.String(), "error": err.Error()})
}

// serveFleet tells operators what this box knows of all boxes.
func (n *Node) serveFleet(w http.ResponseWriter, _ *http.Request) {
	kind := n.adapter.Kinds.Servers
	listAge, configurationAge := n.Replica.Ages()
	told := gossip.FleetBox{
		Box: n.Settings.Box, Zone: n.Settings.Zone, Zones: n.Members.Overview(kind), ListAt: n.Replica.Mirror(kind).Version().Revision,
		ListAgeMS: listAge.Milliseconds(), ConfigurationAgeMS: configurationAge.Milliseconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	n.logUnsent("fleet", json.NewEncoder(w).Encode(told))
}

// receive takes in a heartbeat, and answers it where that is asked for.
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
