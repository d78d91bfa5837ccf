package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/replica"
)

// ================================================================
// What boxes hand over to each other of the store's objects, by HTTP with JSON.
// ================================================================

// pathMirror serves a mirror: pathMirror + kind.
const pathMirror = "/v1/mirrors/"

// PeerError says that another box did not answer as expected.
type PeerError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: status %d", e.Address, e.Status) }

// fetchMirror asks another box for what its copy has and this one lacks. It gives up when nothing has come
// for a while.
func (n *Node) fetchMirror(ctx context.Context, source string, m *objects.Mirror) (*replica.Handover, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(replica.PullIdleTimeout, cancel)
	defer idle.Stop()
	address := "http://" + source + pathMirror + m.Kind
	if m.Synced() {
		address += "?since=" + strconv.FormatUint(m.Version().Revision, 10)
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
	body := &replica.Handover{}
	arriving := &progressReader{body: answer.Body, arrived: func() { idle.Reset(replica.PullIdleTimeout) }}
	return body, json.NewDecoder(arriving).Decode(body)
}

// progressReader tells whenever a part of a body has arrived.
type progressReader struct {
	body    io.Reader
	arrived func()
}

// Read implements io.Reader.
func (b *progressReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.arrived()
	}
	return n, err
}

func (n *Node) serveMirror(w http.ResponseWriter, r *http.Request) {
	m := n.Replica.Mirror(r.PathValue("kind"))
	if m == nil || !m.Synced() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err == nil {
		if events, held, known := m.EventsSince(since); known {
			n.logUnsent(m.Kind, json.NewEncoder(w).Encode(replica.Handover{Events: events, Extent: held}))
			return
		}
	}
	packed, err := n.compressed.of(m)
	if err != nil {
		n.log.Warn("mirror not packed", map[string]any{"kind": m.Kind, "error": err.Error()})
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The other side's library unpacks them.
	w.Header().Set("Content-Encoding", "gzip")
	_, err = w.Write(packed)
	n.logUnsent(m.Kind, err)
}

// logUnsent notes that a box did not get a mirror that it asked for. It asks
// again, so nothing else follows.
func (n *Node) logUnsent(kind string, err error) {
	if err != nil {
		n.log.Debug("mirror not sent", map[string]any{"kind": kind, "error": err.Error()})
	}
}

// compressedMirrors are whole mirrors as they were last handed over: the boxes of a
// zone that start together ask for the same one.
type compressedMirrors struct {
	mu   sync.Mutex
	last map[string]compressedMirror
}

// compressedMirror is a mirror as it is sent, of one version.
type compressedMirror struct {
	version objects.Version
	body    []byte
}

// of returns the mirror as it is sent. Entries are much alike: packed, a tenth of
// the bytes is left. A version is packed once, since the boxes of a zone that start
// together all ask for it.
func (p *compressedMirrors) of(m *objects.Mirror) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := m.Version()
	if known, ok := p.last[m.Kind]; ok && known.version == version {
		return known.body, nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	items, held := m.Items()
	if err := json.NewEncoder(w).Encode(replica.Handover{Whole: true, Items: items, Extent: held}); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if p.last == nil {
		p.last = map[string]compressedMirror{}
	}
	p.last[m.Kind] = compressedMirror{version, b.Bytes()}
	return b.Bytes(), nil
}
