package node

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/failurereport"
)

// ================================================================
// Failure reports about backend servers, sent to the boxes that serve clients.
// ================================================================

const (
	// failureReportsEvery is how often failure reports are sent: a fraction of the time that
	// each box would need to detect the failure itself.
	failureReportsEvery = 100 * time.Millisecond
	// servingWindow is how long after its last request a box counts as serving clients: a few
	// times as long as clients keep answers of the directory.
	servingWindow = 15 * time.Second
)

// serving reports whether clients have recently sent requests to this box.
func (n *Node) serving() bool {
	last := n.lastRequest.Load()
	return last > 0 && n.uptime()-time.Duration(last) < servingWindow
}

// broadcastFailureReports sends this box's failure reports to all boxes that serve clients.
// Other boxes have no use for them.
func (n *Node) broadcastFailureReports() {
	messages := n.failureReports.Take()
	if len(messages) == 0 {
		return
	}
	_, to := n.liveBoxes()
	for i := range messages {
		datagram, err := failurereport.Wire.Encode(&messages[i])
		if err != nil {
			n.log.Warn("failure reports could not be encoded", map[string]any{"error": err.Error()})
			continue
		}
		n.sendEach(to, datagram)
		metrics.GetOrRegisterCounter("findings.sent", n.Metrics).Inc(int64(len(messages[i].Reports)))
	}
}

// receiveFailureReports processes another box's failure reports.
func (n *Node) receiveFailureReports(datagram []byte, from *net.UDPAddr) {
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
