package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/replica"
)

// longMirror returns a mirror of objects of the given length.
func longMirror(count, length int) *objects.Mirror {
	m := objects.NewMirror("config")
	var items []objects.Object
	for i := range count {
		spec := json.RawMessage(`"` + strings.Repeat("a", length) + `"`)
		items = append(items, objects.Object{Name: fmt.Sprint("o-", i), Revision: uint64(i + 1), Spec: spec})
	}
	m.Load(items, objects.Exactly(uint64(count)))
	return m
}

// largestWrite is a writer that keeps all text, and the length of the longest write.
type largestWrite struct {
	bytes.Buffer
	length int
}

// Write implements io.Writer.
func (w *largestWrite) Write(p []byte) (int, error) {
	w.length = max(w.length, len(p))
	return w.Buffer.Write(p)
}

// TestHandoversAreNotHeldWhole guards against a box that holds, once for each box that asks, the
// whole text of what it hands over. The text must be what package encoding/json writes.
func TestHandoversAreNotHeldWhole(t *testing.T) {
	items, held := longMirror(50, 20<<10).Items()
	gone := objects.Event{Object: objects.Object{Name: "gone", Revision: 7}, Deleted: true}
	for name, h := range map[string]replica.Handover{
		"a list":     {Whole: true, Items: items, Extent: held},
		"changes":    {Events: []objects.Event{gone, {Object: items[3]}, {Object: items[4]}}, Extent: held},
		"an era":     {Whole: true, Extent: objects.At(objects.Position{Era: 3, Revision: 9})},
		"no changes": {Extent: held},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var w largestWrite
			is.NoErr(writeHandover(&w, &h))
			is.True(w.length < 25<<10)
			want, err := json.Marshal(h)
			is.NoErr(err)
			var got bytes.Buffer
			is.NoErr(json.Compact(&got, w.Bytes()))
			is.Equal(got.String(), string(want))
		})
	}
}

// TestLongChangesAreHandedOverAsAList checks which changes are sent as they are.
func TestLongChangesAreHandedOverAsAList(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		objects, length, changed int
		isWhole                  bool
	}{
		{1, 900 << 10, 1, true}, {1, 10 << 10, 1, false}, {40, 100 << 10, 5, false}, {40, 100 << 10, 30, true}, {1000, 300, 900, true}, {1000, 300, 100, false},
	} {
		m := longMirror(c.objects, c.length)
		items, _ := m.Items()
		for i, o := range items[:c.changed] {
			o.Revision = uint64(c.objects + i + 1)
			m.Apply([]objects.Event{{Object: o}}, objects.Exactly(o.Revision))
		}
		events, _, ok := m.EventsSince(objects.Position{Revision: uint64(c.objects)})
		is.True(ok)
		is.Equal(len(events), c.changed)
		is.Equal(isNearlyAll(events, m), c.isWhole)
	}
}
