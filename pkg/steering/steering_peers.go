package steering

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

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
	// newer before it is asked for; the store's own news is usually quicker.
	pullAfter = 2
	// pullTime bounds one pull.
	pullTime = time.Second
	// pathMirror serves a mirror: pathMirror + kind.
	pathMirror = "/v1/mirrors/"
)

// mirrorBody is a mirror on the wire.
type mirrorBody struct {
	At    uint64           `json:"at"`
	Items []objects.Object `json:"items"`
}

func (n *Node) beat() {
	versions := map[string]objects.Version{}
	for kind, m := range n.mirrors {
		if m.Synced() {
			versions[kind] = m.Version()
		}
	}
	n.Members.Expire()
	n.Set.Expire()
	n.checkReady()
	n.Members.Update(func(self *gossip.Record) {
		self.Versions = versions
		self.Ready = n.ready.Load()
		self.Leaving = n.leaving.Load()
		self.Untroubled = n.untroubled()
	})
	m, to := n.Members.Beat()
	text, err := json.Marshal(m)
	if err != nil {
		return
	}
	for _, address := range to {
		n.sendDatagram(address, text)
	}
	n.catchUp()
}

func (n *Node) sendDatagram(address string, text []byte) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return
	}
	_, _ = n.ports.datagrams.WriteToUDP(text, to)
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
		var m gossip.Message
		if json.Unmarshal(buffer[:size], &m) != nil {
			continue
		}
		if n.Members.Receive(&m) {
			n.answerNewcomer(from)
		}
	}
}

// answerNewcomer tells a box that was not known of this one at once.
func (n *Node) answerNewcomer(to *net.UDPAddr) {
	text, err := json.Marshal(gossip.Message{From: n.Members.Self()})
	if err == nil {
		_, _ = n.ports.datagrams.WriteToUDP(text, to)
	}
}

// catchUp pulls mirrors from a box whose mirror has been newer for a while.
func (n *Node) catchUp() {
	members := n.Members.Members()
	for kind, m := range n.mirrors {
		source := newest(members, kind, m)
		n.mu.Lock()
		if source == "" {
			n.behind[kind] = 0
		} else {
			n.behind[kind]++
		}
		due := n.behind[kind] >= pullAfter || source != "" && n.storeLost.Load()
		if due {
			n.behind[kind] = 0
		}
		n.mu.Unlock()
		if due {
			n.background.Go(func() { n.pull(source, m) })
		}
	}
}

// newest returns where the newest mirror is that differs from this box's own,
// or "".
func newest(members []gossip.Member, kind string, m *objects.Mirror) string {
	own := m.Version()
	best, source := own.At, ""
	for _, member := range members {
		v, ok := member.Versions[kind]
		if !ok || !member.Live() || v.Digest == own.Digest || v.At <= best {
			continue
		}
		best, source = v.At, member.Peers
	}
	return source
}

func (n *Node) pull(source string, m *objects.Mirror) {
	ctx, cancel := context.WithTimeout(n.context, pullTime)
	defer cancel()
	body, err := n.fetchMirror(ctx, source, m.Kind)
	if err != nil {
		n.log.Warn("box did not hand over its mirror", map[string]any{"from": source, "kind": m.Kind, "error": err.Error()})
		return
	}
	if m.Load(body.Items, body.At) {
		n.log.Info("caught up through another box", map[string]any{"from": source, "kind": m.Kind, "revision": body.At})
	}
	n.checkReady()
}

// PeerError says that another box did not answer as expected.
type PeerError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: status %d", e.Address, e.Status) }

func (n *Node) fetchMirror(ctx context.Context, source, kind string) (*mirrorBody, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source+pathMirror+kind, nil)
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
	items, at := m.Items()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(mirrorBody{At: at, Items: items})
}
