package ctl

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/pkg/trace"
)

// defaultBefore is the default time before the request's lines from which other lines are
// shown.
const defaultBefore = 5 * time.Second

// verbTrace prints the lines about one request from logs of boxes.
func verbTrace(p *program, f *flag.FlagSet) func(ctx context.Context, args []string) error {
	before := f.Duration("before", defaultBefore, "show related lines up to this long before the request's lines")
	return func(_ context.Context, args []string) error {
		if len(args) < 2 {
			return &UsageError{Problem: "needed: ID LOG..."}
		}
		lines, err := readLogs(args[1:])
		if err != nil {
			return &UsageError{Problem: err.Error()}
		}
		found, err := trace.Find(lines, args[0], *before)
		if err != nil {
			return &UsageError{Problem: err.Error()}
		}
		trace.Print(p.stdout, found)
		return nil
	}
}

// readLog reads a log; the file's name without its extension is the name of the box.
func readLog(path string) ([]trace.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	name := filepath.Base(path)
	return trace.Read(strings.TrimSuffix(name, filepath.Ext(name)), file)
}
