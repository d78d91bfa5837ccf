package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/httpjson"
	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/replica"
)

// ================================================================
// Transfer of the store's objects between boxes, as JSON over HTTP.
// ================================================================

// pathMirror is the path under which mirrors are served; the kind follows it.
const pathMirror = "/v1/mirrors/"

const (
	// maxHandover is the longest answer of another box in bytes, uncompressed.
	maxHandover = 64 << 20
	// maxPeerHead is the longest head of such an answer in bytes.
	maxPeerHead = 16 << 10
)

// PeerError reports that another box did not answer as expected.
type PeerError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *PeerError) Error() string { return fmt.Sprintf("peer %s: status %d", e.Address, e.Status) }

// fetchMirror asks another box for the objects that its copy has and this box's copy lacks. It
// gives up when no data has arrived for replica.PullIdleTimeout.
func (n *Node) fetchMirror(ctx context.Context, source string, m *objects.Mirror) (*replica.Handover, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(replica.PullIdleTimeout, cancel)
	defer idle.Stop()
	address := "http://" + source + pathMirror + m.Kind
	if m.Synced() {
		since := m.Version()
		address += fmt.Sprintf("?since=%d&era=%d", since.Revision, since.Era)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	answer, err := n.peerClient().Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, &PeerError{Address: source, Status: answer.StatusCode}
	}
	if err := httpjson.CheckFields(answer.Header); err != nil {
		return nil, err
	}
	body := &replica.Handover{}
	arriving := &progressReader{body: answer.Body, arrived: func() { idle.Reset(replica.PullIdleTimeout) }}
	return body, httpjson.DecodeLists(arriving, maxHandover, body, httpjson.Lists{
		"items":  func(d *json.Decoder) error { return appendNext(d, &body.Items) },
		"events": func(d *json.Decoder) error { return appendNext(d, &body.Events) },
	})
}

// appendNext decodes the next value of a list and appends it.
func appendNext[T any](d *json.Decoder, list *[]T) error {
	var value T
	err := d.Decode(&value)
	*list = append(*list, value)
	return err
}

// peerClient returns a client for one call to another box.
func (n *Node) peerClient() *http.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return n.dialPeer(ctx, address) }
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHead}}
}

// progressReader calls arrived whenever data of a body has been read.
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
	if since, ok := readPosition(r.URL.Query()); ok {
		if events, held, known := m.EventsSince(since); known && !isNearlyAll(events, m) {
			sent := &countingWriter{to: w, count: metrics.GetOrRegisterCounter("mirror.sent.changes", n.Metrics)}
			n.logUnsent(m.Kind, writeHandover(sent, &replica.Handover{Events: events, Extent: held}))
			return
		}
	}
	compressed, err := n.compressed.of(m)
	if err != nil {
		n.log.Warn("mirror could not be encoded", map[string]any{"kind": m.Kind, "error": err.Error()})
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	// The HTTP client of the receiving box decompresses it.
	w.Header().Set("Content-Encoding", "gzip")
	sent := &countingWriter{to: w, count: metrics.GetOrRegisterCounter("mirror.sent.whole", n.Metrics)}
	_, err = sent.Write(compressed)
	n.logUnsent(m.Kind, err)
}

// readPosition reads the position from which another box asks for changes. A box that knows no era
// does not tell one.
func readPosition(query url.Values) (p objects.Position, ok bool) {
	revision, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		return p, false
	}
	p.Revision = revision
	if era := query.Get("era"); era != "" {
		p.Era, err = strconv.ParseUint(era, 10, 64)
	}
	return p, err == nil
}

// logUnsent logs that a response could not be sent completely. The receiver asks again, so
// nothing else is done.
func (n *Node) logUnsent(kind string, err error) {
	if err != nil {
		n.log.Debug("response could not be sent", map[string]any{"kind": kind, "error": err.Error()})
	}
}
