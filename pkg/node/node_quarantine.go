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
// Exchange of records between boxes about requests that crash backend servers.
// ================================================================

const (
	// crashBatchDelay is how long a box waits after a crash before it informs others, so that
	// one datagram covers all requests that the server had. A request that crashes servers does
	// so every 40 ms or more, and another box may be about to send it on.
	crashBatchDelay = 2 * time.Millisecond
	// quarantineEvery is how often a box checks whether records have to be sent again.
	quarantineEvery = 100 * time.Millisecond
	// largeFleet is the number of boxes above which a first crash is not reported to all of
	// them: the requests of a server with nine slots may be at nine boxes, each of which would
	// inform 3,000.
	largeFleet = 64
	// spreadEvery is how often a box sends all requests that it holds to some other boxes, and
	// spreadFanout is how many. A box that has started meanwhile or was cut off receives each
	// record six times a second on average; in a large fleet it receives none within a second
	// once in 400 times.
	spreadEvery  = 500 * time.Millisecond
	spreadFanout = 3
)

func (n *Node) newQuarantine(log *logging.Logger) {
	n.Quarantine = quarantine.NewTable(func() quarantine.Config {
		p := n.policy.Load()
		return quarantine.Config{Crashes: p.QuarantineAfter, Hold: p.QuarantineHold}
	}, n.Clock.Now)
	n.Quarantine.OnChange = func(r quarantine.Record, what string) {
		log.Warn("request "+what, map[string]any{
			"fingerprint": r.Request.String(), "crashed": r.Crashed, "excused": r.Excused, "left_ms": r.Remaining.Milliseconds(),
		})
	}
	held := metrics.NewFunctionalGauge(func() int64 { return int64(len(n.Quarantine.Holds())) })
	if err := n.Metrics.Register("quarantine.held", held); err != nil {
		n.log.Warn("metric could not be registered", map[string]any{"metric": "quarantine.held", "error": err.Error()})
	}
}

// noteCrash counts a crash against a request, at this box and soon at all boxes.
func (n *Node) noteCrash(f quarantine.Fingerprint, server string) {
	if begun := n.Quarantine.ObserveCrash(f, server); begun != nil {
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

// broadcastCrashes sends this box's records to others. In a large fleet, records of requests
// against which only one crash counts are sent only to the boxes that are known to serve
// clients: one crash counts against every request that the server had.
func (n *Node) broadcastCrashes() {
	if n.Quarantine.Empty() {
		return
	}
	records := n.Quarantine.Due()
	if len(records) == 0 {
		return
	}
	var repeated, single []quarantine.Record
	for _, r := range records {
		if r.CountedCrashes() > 1 {
			repeated = append(repeated, r)
		} else {
			single = append(single, r)
		}
	}
	all, serving := n.liveBoxes()
	n.sendRecords(all, repeated)
	if len(all) > largeFleet {
		all = serving
	}
	n.sendRecords(all, single)
}

// spreadHolds sends all requests that this box holds to some other boxes.
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

// receiveQuarantine processes the records of another box.
func (n *Node) receiveQuarantine(datagram []byte, from *net.UDPAddr) {
	m, err := quarantine.Wire.Decode(datagram)
	if err != nil {
		n.noteUnreadDatagram(from, err)
		return
	}
	for i := range m.Records {
		n.Quarantine.Merge(m.Records[i])
	}
	metrics.GetOrRegisterCounter("quarantine.received", n.Metrics).Inc(int64(len(m.Records)))
}

// serveQuarantine returns to operators the requests that this box keeps from servers.
func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	body := quarantine.BoxHolds{Box: n.Settings.Box, Held: quarantine.HeldRequests(n.Quarantine.Holds())}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Debug("list of held requests could not be sent", map[string]any{"error": err.Error()})
	}
}

// serveRelease releases a held request that an operator considers harmless now, so that it is
// sent to servers again.
func (n *Node) serveRelease(w http.ResponseWriter, r *http.Request) {
	f, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !n.Quarantine.ObserveAnswer(f):
		http.Error(w, f.String()+" is not held", http.StatusNotFound)
	default:
		n.log.Info("request released by an operator", map[string]any{"fingerprint": f.String(), "from": r.RemoteAddr})
		n.broadcastCrashes()
		n.removeHold(f)
		w.WriteHeader(http.StatusNoContent)
	}
}
