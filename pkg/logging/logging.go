// Package logging writes the log. Lines go through a bounded queue, so that a slow terminal
// never delays a request; lines that do not fit are dropped and counted.
package logging

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// QueueLength is how many lines the queue holds, and QueueBytes how long they may be together. A line
// can be as long as a request's ID, which its client chooses.
const (
	QueueLength = 8192
	QueueBytes  = 4 << 20
)

// AsyncHandler is an apex/log handler that writes in the background.
type AsyncHandler struct {
	out io.Writer
	// Format formats an entry as one line.
	Format func(*log.Entry) string
	lines  chan string
	// queued is the length of the lines in the queue.
	queued  atomic.Int64
	dropped atomic.Int64
	// reported is how many of the dropped lines the log has reported.
	reported int64
}

// NewAsyncHandler returns a handler that writes plain text; its method Run does the writing.
func NewAsyncHandler(out io.Writer) *AsyncHandler {
	return &AsyncHandler{out: out, Format: FormatText, lines: make(chan string, QueueLength)}
}

// NewAsyncJSONHandler returns a handler that writes one JSON object per line.
func NewAsyncJSONHandler(out io.Writer) *AsyncHandler {
	h := NewAsyncHandler(out)
	h.Format = FormatJSON
	return h
}

// HandleLog implements log.Handler. It never blocks.
func (h *AsyncHandler) HandleLog(e *log.Entry) error {
	if !h.enqueue(h.Format(e)) {
		h.dropped.Add(1)
	}
	return nil
}

// enqueue queues a line, and reports whether there was room for it.
func (h *AsyncHandler) enqueue(line string) bool {
	length := int64(len(line))
	if h.queued.Add(length) <= QueueBytes {
		select {
		case h.lines <- line:
			return true
		default:
		}
	}
	h.queued.Add(-length)
	return false
}

// Dropped returns how many lines were dropped because the queue was full.
func (h *AsyncHandler) Dropped() int64 { return h.dropped.Load() }

// Run writes lines until the context ends, and then the lines that are still queued.
func (h *AsyncHandler) Run(ctx context.Context) {
	for {
		select {
		case line := <-h.lines:
			h.write(line)
		case <-ctx.Done():
			h.write("")
			return
		}
	}
}

// maxWrite bounds the bytes of lines that are joined into one write.
const maxWrite = 64 << 10

// write writes the line, which was queued, and all lines that are queued. It joins them into writes of up to
// maxWrite bytes, since each write has a cost of its own.
func (h *AsyncHandler) write(line string) {
	var b strings.Builder
	b.WriteString(line)
	h.queued.Add(-int64(len(line)))
	for {
		select {
		case next := <-h.lines:
			h.queued.Add(-int64(len(next)))
			if b.Len()+len(next) > maxWrite {
				_, _ = io.WriteString(h.out, b.String())
				b.Reset()
			}
			b.WriteString(next)
			continue
		default:
		}
		break
	}
	if dropped := h.dropped.Load(); dropped > h.reported {
		b.WriteString(h.Format(&log.Entry{
			Timestamp: time.Now(), Level: log.WarnLevel, Message: "log: lines dropped",
			Fields: log.Fields{"lines": dropped - h.reported},
		}))
		h.reported = dropped
	}
	_, _ = io.WriteString(h.out, b.String())
}

// New returns a logger that writes entries of the level and above.
func New(h log.Handler, level log.Level) *log.Logger {
	return &log.Logger{Handler: h, Level: level}
}

// Logger is a logger whose lines have the fixed prefix of one component of the program.
type Logger struct {
	logger *log.Logger
	prefix string
}

// For returns the logger of a component; its lines start with "name: ".
func For(l *log.Logger, name string) *Logger {
	return &Logger{logger: l, prefix: name + ": "}
}

// Discard returns a logger that writes nothing, for tests.
func Discard() *Logger {
	return For(New(log.HandlerFunc(func(*log.Entry) error { return nil }), log.FatalLevel), "discard")
}

// Info writes a line of level info.
func (p *Logger) Info(text string, fields log.Fields) {
	p.logger.WithFields(fields).Info(p.prefix + text)
}

// Warn writes a line that an operator should see.
func (p *Logger) Warn(text string, fields log.Fields) {
	p.logger.WithFields(fields).Warn(p.prefix + text)
}

// Debug writes a line that is usually not needed.
func (p *Logger) Debug(text string, fields log.Fields) {
	p.logger.WithFields(fields).Debug(p.prefix + text)
}

// ParseLevel returns the named level, or info if the name is unknown.
func ParseLevel(name string) log.Level {
	level, err := log.ParseLevel(name)
	if err != nil {
		return log.InfoLevel
	}
	return level
}

// FormatJSON formats an entry as a JSON object: the request's ID first if there is one, then
// time, level and text, then the other fields sorted by name.
func FormatJSON(e *log.Entry) string {
	var b strings.Builder
	b.WriteByte('{')
	if id, ok := e.Fields["request"]; ok {
		writeJSON(&b, "request", id)
		b.WriteByte(',')
	}
	writeJSON(&b, "time", e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"))
	b.WriteByte(',')
	writeJSON(&b, "level", e.Level.String())
	b.WriteByte(',')
	writeJSON(&b, "text", e.Message)
	for _, n := range fieldNames(e) {
		if n != "request" {
			b.WriteByte(',')
			writeJSON(&b, n, e.Fields[n])
		}
	}
	b.WriteString("}\n")
	return b.String()
}

func writeJSON(b *strings.Builder, name string, value any) {
	b.WriteString(strconv.Quote(name))
	b.WriteByte(':')
	text, err := json.Marshal(value)
	if err != nil {
		text = []byte(strconv.Quote(fmt.Sprint(value)))
	}
	b.Write(text)
}

func fieldNames(e *log.Entry) []string {
	names := make([]string, 0, len(e.Fields))
	for n := range e.Fields {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// FormatText formats an entry as plain text.
func FormatText(e *log.Entry) string {
	var b strings.Builder
	b.WriteString(e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z "))
	b.WriteString(e.Level.String())
	b.WriteByte(' ')
	b.WriteString(e.Message)
	for _, n := range fieldNames(e) {
		fmt.Fprintf(&b, " %s=%v", n, e.Fields[n])
	}
	b.WriteByte('\n')
	return b.String()
}
