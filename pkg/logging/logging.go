// Package logging writes the log. Lines go through a bounded queue, so that a
// slow terminal never holds up a request; lines that do not fit are counted.
package logging

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/apex/log"
)

// QueueLength is how many lines may wait to be written.
const QueueLength = 8192

// AsyncHandler is an apex/log handler that writes in the background.
type AsyncHandler struct {
	out     io.Writer
	lines   chan string
	dropped atomic.Int64
}

// NewAsyncHandler makes a handler; call Run to have it write.
func NewAsyncHandler(out io.Writer) *AsyncHandler {
	return &AsyncHandler{out: out, lines: make(chan string, QueueLength)}
}

// HandleLog implements log.Handler. It never blocks.
func (h *AsyncHandler) HandleLog(e *log.Entry) error {
	select {
	case h.lines <- format(e):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Dropped returns how many lines did not fit the queue.
func (h *AsyncHandler) Dropped() int64 { return h.dropped.Load() }

// Run writes lines until the context ends, then what is still queued.
func (h *AsyncHandler) Run(ctx context.Context) {
	for {
		select {
		case line := <-h.lines:
			_, _ = io.WriteString(h.out, line)
		case <-ctx.Done():
			h.flush()
			return
		}
	}
}

func (h *AsyncHandler) flush() {
	for {
		select {
		case line := <-h.lines:
			_, _ = io.WriteString(h.out, line)
		default:
			return
		}
	}
}

// New returns a logger that writes at the level and above.
func New(h log.Handler, level log.Level) *log.Logger {
	return &log.Logger{Handler: h, Level: level}
}

// Part is a logger with the fixed prefix of one part of the program.
type Part struct {
	logger *log.Logger
	prefix string
}

// For returns the logger of a part; its lines start with "name: ".
func For(l *log.Logger, name string) *Part {
	return &Part{logger: l, prefix: name + ": "}
}

// Discard returns a part that writes nothing, for tests.
func Discard() *Part {
	return For(New(log.HandlerFunc(func(*log.Entry) error { return nil }), log.FatalLevel), "discard")
}

// Info writes a line.
func (p *Part) Info(text string, fields log.Fields) {
	p.logger.WithFields(fields).Info(p.prefix + text)
}

// Warn writes a line about something an operator should know.
func (p *Part) Warn(text string, fields log.Fields) {
	p.logger.WithFields(fields).Warn(p.prefix + text)
}

// Debug writes a line that is usually not wanted.
func (p *Part) Debug(text string, fields log.Fields) {
	p.logger.WithFields(fields).Debug(p.prefix + text)
}

func format(e *log.Entry) string {
	var b strings.Builder
	b.WriteString(e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z "))
	b.WriteString(e.Level.String())
	b.WriteByte(' ')
	b.WriteString(e.Message)
	names := make([]string, 0, len(e.Fields))
	for n := range e.Fields {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%v", n, e.Fields[n])
	}
	b.WriteByte('\n')
	return b.String()
}
