// Package trace finds one request in the logs of several boxes: the lines that carry its ID,
// and the lines shortly before them that show what the boxes that handled it knew about the
// servers that it was sent to, the store and the configuration.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// maxLine bounds the length of a log line, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// Source is the name of the log that contains the line.
	Source string
	Time   time.Time
	Text   string
	Fields map[string]any
	raw    string
}

// MalformedError reports that a log has no line that can be parsed.
type MalformedError struct{ Source string }

// Error implements error.
func (e *MalformedError) Error() string {
	return e.Source + ": no JSON log line; stoneworksd writes them with log_format json"
}

// NotFoundError reports that no log has a line of the request.
type NotFoundError struct{ ID string }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line for request %q: answered requests are sampled; the box may also have been killed first", e.ID)
}

// Read reads a log. It skips text before the first brace of a line, and lines that do not
// parse. The error is a *MalformedError if no line parses.
func Read(source string, r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	var lines []Line
	for scanner.Scan() {
		if l, ok := parse(source, scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, &MalformedError{Source: source}
	}
	return lines, nil
}

func parse(source, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Source: source, Fields: map[string]any{}, raw: text[start:]}
	if json.Unmarshal([]byte(l.raw), &l.Fields) != nil {
		return Line{}, false
	}
	stamp, _ := l.Fields["time"].(string)
	at, err := time.Parse(time.RFC3339, stamp)
	if err != nil {
		return Line{}, false
	}
	l.Time = at
	l.Text, _ = l.Fields["text"].(string)
	return l, true
}

// Find returns the request's lines and, from the same logs, the lines up to the time before
// them that may explain how it was handled. The error is a *NotFoundError.
func Find(lines []Line, id string, before time.Duration) ([]Line, error) {
	var found []Line
	for _, l := range lines {
		if l.Fields["request"] == id {
			found = append(found, l)
		}
	}
	if len(found) == 0 {
		return nil, &NotFoundError{ID: id}
	}
	var all []Line
	for _, l := range lines {
		if l.Fields["request"] == id || mayExplain(l, found, before) {
			all = append(all, l)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	return all, nil
}

// mayExplain reports whether a line may explain one of the request's lines: it is in the same
// log and not older than the time before. A line about a server counts if the request was sent
// to the server or, for a request that was sent to none, if the server belongs to its service.
// Lines about other boxes do not count.
func mayExplain(l Line, found []Line, before time.Duration) bool {
	if l.Fields["request"] != nil {
		return false
	}
	for _, f := range found {
		if f.Source != l.Source || l.Time.After(f.Time) || f.Time.Sub(l.Time) > before {
			continue
		}
		server, _ := l.Fields["server"].(string)
		if server == "" && !strings.HasPrefix(l.Text, "members: ") {
			return true
		}
		if server != "" && (tried(f, server) || f.Fields["try1"] == nil && l.Fields["service"] == f.Fields["service"]) {
			return true
		}
	}
	return false
}

// tried reports whether the request was sent to the server.
func tried(l Line, server string) bool {
	for i := 1; ; i++ {
		text, ok := l.Fields[fmt.Sprint("try", i)].(string)
		if !ok {
			return false
		}
		if strings.HasPrefix(text, server+" ") {
			return true
		}
	}
}

// Print writes lines in a readable form.
func Print(w io.Writer, lines []Line) {
	for _, l := range lines {
		fmt.Fprintf(w, "%s  %s  %s\n", l.Time.Format("15:04:05.000"), l.Source, l.Text)
		names := make([]string, 0, len(l.Fields))
		for n := range l.Fields {
			if n != "time" && n != "text" && n != "level" {
				names = append(names, n)
			}
		}
		sort.Strings(names)
		for _, n := range names {
			fmt.Fprintf(w, "    %s=%v\n", n, l.Fields[n])
		}
	}
}
