package logging

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/heap"
)

// blockedWriter blocks until it is opened.
type blockedWriter struct {
	open chan struct{}
	to   io.Writer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	return w.to.Write(p)
}

// TestWaitingLinesAreBoundedInBytes guards against a queue that is bounded by the number of its lines:
// while nothing reads the log, lines with long IDs of requests took 128 MB.
func TestWaitingLinesAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := &blockedWriter{open: make(chan struct{}), to: &out}
	h := NewAsyncJSONHandler(w)
	log := For(New(h, ParseLevel("info")), "request")
	before := heap.Live()
	for range QueueLength {
		log.Info("answered", map[string]any{"request": strings.Repeat("7", 15<<10)})
	}
	grown := heap.Live() - before
	t.Logf("the queue takes %d kB, %d lines are dropped", grown>>10, h.Dropped())
	is.True(grown < 6<<20)
	is.True(h.Dropped() > 0)
	close(w.open)
	ended, end := context.WithCancel(context.Background())
	end()
	h.Run(ended)
	is.Equal(int64(strings.Count(out.String(), "answered")), QueueLength-h.Dropped())
	is.True(strings.Contains(out.String(), "lines dropped"))

	// There is room again.
	kept := h.Dropped()
	for range QueueLength {
		log.Info("answered", map[string]any{"request": strings.Repeat("7", 200)})
	}
	is.Equal(h.Dropped(), kept)
}
