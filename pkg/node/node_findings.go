package node

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/failurereport"
)

// ================================================================
// What boxes that serve clients tell each other of backend servers.
// ================================================================

const (
	// findingsEvery is how soon others are told of a server that is gone: a
	// fraction of the time that finding it out takes each of them.
	findingsEvery = 100 * time.Millisecond
	// servingWindow is for how long after a request a box counts as one that
	// serves clients: a few times as long as clients keep what they looked up.
	servingWindow = 15 * time.Second
)

// serving reports whether clients have lately sent this box requests.
func (n *Node) serving() bool {
	last := n.lastRequest.Load()
	return last > 0 && n.uptime()-time.Duration(last) < servingWindow
}

// broadcastFindings sends what this box has found to all boxes that serve clients.
// Others have no use for it.
func (n *Node) broadcastFindings() {
	messages := n.findings.Take()
	if len(messages) == 0 {
		return
	}
	_, to := n.liveBoxes()
	for i := range messages {
		datagram, err := failurereport.Wire.Encode(&messages[i])
		if err != nil {
			n.log.Warn("findings not sent", map[string]any{"error": err.Error()})
			continue
		}
		n.sendEach(to, datagram)
		metrics.GetOrRegisterCounter("findings.sent", n.Metrics).Inc(int64(len(messages[i].Reports)))
	}
}

// receiveFindings takes in what another box has found.
func (n *Node) receiveFindings(datagram []byte, from *net.UDPAddr) {
	m, err := failurereport.Wire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	for _, f := range m.Reports {
		n.Set.ApplyFailureReport(m.Box, f)
	}
	metrics.GetOrRegisterCounter("findings.received", n.Metrics).Inc(int64(len(m.Reports)))
}
