package node

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/replica"
)

// newMirror makes a mirror of so many servers, with entries of their usual size.
func newMirror(servers int) *objects.Mirror {
	m := objects.NewMirror("servers")
	var items []objects.Object
	for i := range servers {
		spec := fmt.Sprintf(`{"service":"listen","address":"10.%d.%d.7:9000","zone":"east-a","version":"v1","slots":9,"state":"ready","cold-remaining-ms":0,"call-seq":%d}`,
			i/250, i%250, i)
		items = append(items, objects.Object{Name: fmt.Sprintf("i-%08x", i*7919), Revision: uint64(i + 1), Spec: json.RawMessage(spec)})
	}
	m.Load(items, objects.Exactly(uint64(servers)))
	return m
}

// TestPackedMirrorFollowsTheMirror: what is handed over is what the mirror holds
// now, packed once for each version.
func TestPackedMirrorFollowsTheMirror(t *testing.T) {
	is := is.New(t)
	m := newMirror(100)
	var p compressedMirrors
	first, err := p.of(m)
	is.NoErr(err)
	again, err := p.of(m)
	is.NoErr(err)
	is.True(&first[0] == &again[0])
	m.Apply([]objects.Event{{Object: objects.Object{Name: "i-new", Revision: 101, Spec: json.RawMessage(`{}`)}}}, objects.Exactly(101))
	later, err := p.of(m)
	is.NoErr(err)
	r, err := gzip.NewReader(bytes.NewReader(later))
	is.NoErr(err)
	var body replica.Handover
	is.NoErr(json.NewDecoder(r).Decode(&body))
	is.Equal(len(body.Items), 101)
	is.Equal(body.CompleteTo, uint64(101))
}

// BenchmarkWholeMirror: a whole list of 1,617 servers for a box that starts,
// packed anew for each and kept packed.
func BenchmarkWholeMirror(b *testing.B) {
	m := newMirror(1617)
	b.Run("anew", func(b *testing.B) {
		for range b.N {
			var p compressedMirrors
			if _, err := p.of(m); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("kept", func(b *testing.B) {
		var p compressedMirrors
		for range b.N {
			if _, err := p.of(m); err != nil {
				b.Fatal(err)
			}
		}
	})
}
