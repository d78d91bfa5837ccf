package node

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
)

// ================================================================
// What boxes tell each other of requests that crash backend servers.
// ================================================================

const (
	// crashBatchDelay is how long a box waits after a crash before it tells others, so that one
	// datagram tells of all requests that the server took with it. A request that crashes
	// servers does so each 40 ms and more, and another box may be about to send it on.
	crashBatchDelay = 2 * time.Millisecond
	// quarantineEvery is how often a box looks whether anything is to be told again.
	quarantineEvery = 100 * time.Millisecond
	// largeFleet is from how many boxes on a first crash is not told to all of them: the requests
	// of a server with nine slots may be at nine boxes, each of which would tell 3,000.
	largeFleet = 64
	// spreadEvery is how often a box tells some others of all requests that it holds, and
	// spreadTo how many: one that has started meanwhile, or was cut off, hears of each six
	// times a second, and of none within a second once in 400 times in a large fleet.
	spreadEvery  = 500 * time.Millisecond
	spreadFanout = 3
)

func (n *Node) newQuarantine(log *logging.Part) {
	n.Quarantine = quarantine.NewTable(func() quarantine.Terms {
		p := n.policy.Load()
		return quarantine.Terms{Crashes: p.QuarantineAfter, Hold: p.QuarantineHold}
	}, n.Clock.Now)
	n.Quarantine.Changed = func(r quarantine.Record, what string) {
		log.Warn("request "+what, map[string]any{
			"fingerprint": r.Request.String(), "crashed": r.Crashed, "excused": r.Excused, "left_ms": r.Left.Milliseconds(),
		})
	}
	held := metrics.NewFunctionalGauge(func() int64 { return int64(len(n.Quarantine.Holds())) })
	if err := n.Metrics.Register("quarantine.held", held); err != nil {
		n.log.Warn("metric not told", map[string]any{"metric": "quarantine.held", "error": err.Error()})
	}
}

// noteCrash has a crash count against a request, here and soon at all boxes.
func (n *Node) noteCrash(f quarantine.Fingerprint, server string) {
	if begun := n.Quarantine.Crashed(f, server); begun != nil {
		n.background.Go(func() { n.storeHold(begun) })
	}
	if n.crashSendPending.Swap(true) {
		return
	}
	n.background.Go(func() {
		sleep(n.context, crashBatchDelay)
		n.crashSendPending.Store(false)
		n.broadcastCrashes()
	})
}

// broadcastCrashes tells others what this one has seen. In a large fleet, of requests against
// which one crash counts, as it does against all that a server took with it, only the boxes
// that are known to serve clients are told.
func (n *Node) broadcastCrashes() {
	if n.Quarantine.Empty() {
		return
	}
	records := n.Quarantine.Due()
	if len(records) == 0 {
		return
	}
	var rare, usual []quarantine.Record
	for _, r := range records {
		if r.Counted() > 1 {
			rare = append(rare, r)
		} else {
			usual = append(usual, r)
		}
	}
	all, serving := n.liveBoxes()
	n.sendRecords(all, rare)
	if len(all) > largeFleet {
		all = serving
	}
	n.sendRecords(all, usual)
}

// spreadHolds tells some boxes of all requests that this one holds.
func (n *Node) spreadHolds() {
	if n.Quarantine.Empty() {
		return
	}
	n.Quarantine.Expire()
	held := n.Quarantine.Holds()
	if len(held) == 0 {
		return
	}
	all, _ := n.liveBoxes()
	n.sendRecords(randomSubset(all, spreadFanout), held)
}

func (n *Node) sendRecords(to []string, records []quarantine.Record) {
	sendMessages(n, quarantine.Wire, "quarantine.sent", to, quarantine.Messages(n.Settings.Box, records),
		func(m *quarantine.Message) int { return len(m.Records) })
}

// receiveQuarantine takes in what another box knows.
func (n *Node) receiveQuarantine(datagram []byte, from *net.UDPAddr) {
	m, err := quarantine.Wire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	for i := range m.Records {
		n.Quarantine.Learn(m.Records[i])
	}
	metrics.GetOrRegisterCounter("quarantine.received", n.Metrics).Inc(int64(len(m.Records)))
}

// serveQuarantine tells operators which requests this box keeps from servers.
func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	told := quarantine.Box{Box: n.Settings.Box, Held: quarantine.HeldOf(n.Quarantine.Holds())}
	if err := json.NewEncoder(w).Encode(told); err != nil {
		n.log.Debug("quarantine not sent", map[string]any{"error": err.Error()})
	}
}

// serveRelease has a request sent to servers again that an operator takes to be harmless now.
func (n *Node) serveRelease(w http.ResponseWriter, r *http.Request) {
	f, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !n.Quarantine.Answered(f):
		http.Error(w, f.String()+" is not held", http.StatusNotFound)
	default:
		n.log.Info("request released by an operator", map[string]any{"fingerprint": f.String(), "from": r.RemoteAddr})
		n.broadcastCrashes()
		n.removeHold(f)
		w.WriteHeader(http.StatusNoContent)
	}
}
