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

// defaultBefore is how long before a request's line other lines are shown.
const defaultBefore = 5 * time.Second

// verbTrace prints one request's way through the logs of boxes.
func verbTrace(p *program, f *flag.FlagSet) func(ctx context.Context, args []string) error {
	before := f.Duration("before", defaultBefore, "how long before the request's lines others are shown")
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

// readLog reads a log; its name without the ending stands for its box.
func readLog(path string) ([]trace.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	name := filepath.Base(path)
	return trace.Read(strings.TrimSuffix(name, filepath.Ext(name)), file)
}
