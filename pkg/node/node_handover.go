package node

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/replica"
)

// ================================================================
// The form in which mirrors are handed to other boxes.
// ================================================================

// longChanges is the length of changes in bytes from which the whole mirror is handed over if it is
// less than twice as long: it is compressed, and once for all boxes that ask.
const longChanges = 64 << 10

// isNearlyAll reports whether changes are long and are half of the mirror or more.
func isNearlyAll(events []objects.Event, m *objects.Mirror) bool {
	length := 0
	for i := range events {
		length += events[i].Object.Size()
	}
	return length >= longChanges && length >= m.Usage().ObjectBytes/2
}

// writeHandover writes a handover as JSON, object by object: the whole text of a long one would be
// held once for each box that asks.
func writeHandover(w io.Writer, h *replica.Handover) error {
	head, err := json.Marshal(replica.Handover{Extent: h.Extent, Whole: h.Whole})
	if err != nil {
		return err
	}
	if _, err := w.Write(head[:len(head)-1]); err != nil {
		return err
	}
	if err := writeList(w, "items", h.Items); err != nil {
		return err
	}
	if err := writeList(w, "events", h.Events); err != nil {
		return err
	}
	_, err = io.WriteString(w, "}")
	return err
}

// writeList writes a field with a list, and nothing for an empty one.
func writeList[T any](w io.Writer, name string, list []T) error {
	encoder := json.NewEncoder(w)
	separator, end := fmt.Sprintf(",%q:[", name), ""
	for i := range list {
		if _, err := io.WriteString(w, separator); err != nil {
			return err
		}
		if err := encoder.Encode(&list[i]); err != nil {
			return err
		}
		separator, end = ",", "]"
	}
	_, err := io.WriteString(w, end)
	return err
}

// countingWriter counts the bytes that are written.
type countingWriter struct {
	to    io.Writer
	count metrics.Counter
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.count.Inc(int64(n))
	return n, err
}

// compressedMirrors caches whole mirrors in the form in which they are sent.
type compressedMirrors struct {
	mu   sync.Mutex
	last map[string]compressedMirror
}

// compressedMirror is a compressed mirror of one version.
type compressedMirror struct {
	version objects.Version
	body    []byte
}

// of returns the mirror in the form in which it is sent. Entries are very similar, so
// compression leaves a tenth of the bytes. Each version is compressed only once, because the
// boxes of a zone that start together all request it.
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
	if err := writeHandover(w, &replica.Handover{Whole: true, Items: items, Extent: held}); err != nil {
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
