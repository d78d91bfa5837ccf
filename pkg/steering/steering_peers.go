package steering

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// ================================================================
// What boxes say to each other: heartbeats as datagrams, and mirrors of the
// store, by HTTP with JSON, for a box that the store turns away.
// ================================================================

const (
	// maxDatagram bounds a heartbeat, in bytes.
	maxDatagram = 16 << 10
	// pullAfter is for how many heartbeats another box's mirror must be
	// newer before it is asked for; the store's own change notification is usually quicker.
	pullAfter = 2
	// pullTime bounds one pull.
	pullTime = time.Second
	// pathMirror serves a mirror: pathMirror + kind.
	pathMirror = "/v1/mirrors/"
)

// mirrorBody is a mirror on the wire.
type mirrorBody struct {
	At uint64 `json:"at"`
	// Whole: Items are all objects; else Events are what has changed.
	Whole  bool             `json:"whole,omitempty"`
	Items  []objects.Object `json:"items,omitempty"`
	Events []objects.Event  `json:"events,omitempty"`
}

// beat sends the next heartbeat.
func (n *Node) beat() {
	n.Members.Expire()
	n.Set.Expire()
	n.checkReady()
	n.refreshSelf()
	for _, e := range n.Members.Beat() {
		n.send(e)
	}
	n.chooseRole()
	for kind, m := range n.mirrors {
		n.catchUp(kind, m, false)
	}
}

// announce tells the zone's other boxes at once that the store has changes.
func (n *Node) announce() {
	if !n.watching.Load() || !n.unannounced.Swap(false) {
		return
	}
	n.refreshSelf()
	n.send(n.Members.Announce())
}

func (n *Node) refreshSelf() {
	versions := map[string]objects.Version{}
	for kind, m := range n.mirrors {
		if m.Synced() {
			versions[kind] = m.Version()
		}
	}
	n.Members.Update(func(self *gossip.Record) {
		self.Versions = versions
		self.Ready = n.ready.Load()
		self.Leaving = n.leaving.Load()
		self.StoreHealthy = n.watching.Load() && n.storeHealthy()
		self.Trying = n.watching.Load() && !self.StoreHealthy
	})
}

func (n *Node) send(e gossip.Envelope) {
	if len(e.To) == 0 {
		return
	}
	for _, address := range e.To {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			n.log.Warn("heartbeat not sent", map[string]any{"to": address, "error": err.Error()})
			continue
		}
		n.sendDatagram(to, &e.Message)
	}
}

// sendDatagram sends a heartbeat. One that cannot be sent is like one that is
// lost: the next one takes its place, so it is only counted.
func (n *Node) sendDatagram(to *net.UDPAddr, m *gossip.Message) {
	datagram, err := gossip.Encode(m)
	if err == nil {
		_, err = n.ports.datagrams.WriteToUDP(datagram, to)
	}
	if err != nil {
		metrics.GetOrRegisterCounter("heartbeats.unsent", n.Metrics).Inc(1)
		n.log.Debug("heartbeat not sent", map[string]any{"to": to.String(), "error": err.Error()})
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
		m, err := gossip.Decode(buffer[:size])
		if err != nil {
			metrics.GetOrRegisterCounter("heartbeats.unread", n.Metrics).Inc(1)
			n.log.Debug("datagram not understood", map[string]any{"from": from.String(), "error": err.Error()})
			continue
		}
		if n.Members.Receive(m) {
			n.answerNewcomer(from)
		}
		if n.learnsFrom(&m.From) {
			n.catchUpWith(&m.From)
		}
	}
}

// answerNewcomer tells a box that was not known of this one, and of the
// others, at once.
func (n *Node) answerNewcomer(to *net.UDPAddr) {
	for _, m := range n.Members.Introduce() {
		n.sendDatagram(to, &m)
	}
}

// learnsFrom reports whether this box takes a newer mirror of another one as
// soon as it hears of it: of the own zone, whose watchers it relies on, or, if
// it watches the store itself and that does not answer, of anywhere. What
// other zones know sooner than the own one is left to the heartbeats.
func (n *Node) learnsFrom(r *gossip.Record) bool {
	if n.watching.Load() {
		return n.storeLost.Load()
	}
	return r.Zone == n.Settings.Zone
}

// catchUpWith looks for a newer mirror if the box that has just spoken has one.
// All others are not looked at: heartbeats are many.
func (n *Node) catchUpWith(r *gossip.Record) {
	for kind, v := range r.Versions {
		if m := n.mirrors[kind]; m != nil && v.NewerThan(m.Version()) {
			n.catchUp(kind, m, true)
		}
	}
}

// catchUp pulls a mirror from a box that has a newer one: at once, or when it
// has been newer for a while.
func (n *Node) catchUp(kind string, m *objects.Mirror, atOnce bool) {
	source, near := n.newest(kind, m)
	n.mu.Lock()
	defer n.mu.Unlock()
	if source == "" {
		n.behind[kind] = 0
		return
	}
	if !atOnce {
		n.behind[kind]++
	}
	if n.pulling[kind] || !atOnce && n.behind[kind] < pullAfter {
		return
	}
	n.behind[kind] = 0
	n.pulling[kind] = true
	n.background.Go(func() {
		metrics.GetOrRegisterCounter(pullCounter(near), n.Metrics).Inc(1)
		n.pull(source, m)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.pulling[kind] = false
	})
}

// pullCounter names the metric of pulls from the own zone, or from others.
func pullCounter(near bool) string {
	if near {
		return "mirror.pulls.zone"
	}
	return "mirror.pulls.far"
}

// newest returns where the newest mirror is that differs from this box's own,
// or "", and whether that is in the own zone, where one is taken if it has any
// that is newer.
func (n *Node) newest(kind string, m *objects.Mirror) (source string, near bool) {
	own := m.Version()
	best := own.At
	for _, member := range n.Members.Members() {
		v, ok := member.Versions[kind]
		if !ok || !member.Live() || !v.NewerThan(own) {
			continue
		}
		isNear := member.Zone == n.Settings.Zone
		if isNear && !near || isNear == near && v.At > best {
			best, source, near = v.At, member.Peers, isNear
		}
	}
	return source, near
}

func (n *Node) pull(source string, m *objects.Mirror) {
	ctx, cancel := context.WithTimeout(n.context, pullTime)
	defer cancel()
	body, err := n.fetchMirror(ctx, source, m)
	if err != nil {
		n.log.Warn("box did not hand over its mirror", map[string]any{"from": source, "kind": m.Kind, "error": err.Error()})
		return
	}
	if body.Whole {
		m.Load(body.Items, body.At)
	} else {
		m.Apply(body.Events, body.At)
	}
	n.log.Info("caught up through another box", map[string]any{
		"from": source, "kind": m.Kind, "revision": body.At, "whole": body.Whole, "changes": len(body.Events),
	})
	n.checkReady()
}

// PeerError says that another box did not answer as expected.
type PeerError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: status %d", e.Address, e.Status) }

func (n *Node) fetchMirror(ctx context.Context, source string, m *objects.Mirror) (*mirrorBody, error) {
	address := "http://" + source + pathMirror + m.Kind
	if m.Synced() {
		address += "?since=" + strconv.FormatUint(m.Version().At, 10)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Transport: &http.Transport{DialContext: n.dialer().DialContext, DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, &PeerError{Address: source, Status: answer.StatusCode}
	}
	body := &mirrorBody{}
	return body, json.NewDecoder(answer.Body).Decode(body)
}

func (n *Node) serveMirror(w http.ResponseWriter, r *http.Request) {
	m := n.mirrors[r.PathValue("kind")]
	if m == nil || !m.Synced() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := mirrorBody{}
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	known := false
	if err == nil {
		body.Events, body.At, known = m.EventsSince(since)
	}
	if !known {
		body.Whole = true
		body.Items, body.At = m.Items()
	}
	w.Header().Set("Content-Type", "application/json")
	if !body.Whole {
		_ = json.NewEncoder(w).Encode(body)
		return
	}
	// Entries are much alike: a tenth of the bytes is left. The other side's
	// library unpacks them.
	w.Header().Set("Content-Encoding", "gzip")
	packed := gzip.NewWriter(w)
	_ = json.NewEncoder(packed).Encode(body)
	_ = packed.Close()
}
