package ctl

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/stoneworks/stoneworks/pkg/report"
	"github.com/stoneworks/stoneworks/pkg/trace"
)

// defaultEvery is the default length of a report's spans: short enough to show a burst of a
// few seconds, and long enough that a few minutes fit a table.
const defaultEvery = 2 * time.Second

// verbReport summarizes the requests in logs of boxes.
func verbReport(p *program, f *flag.FlagSet) func(ctx context.Context, args []string) error {
	every := f.Duration("every", defaultEvery, "the length of a span of time")
	path := f.String("html", "", "also write a page with plots to this file")
	return func(_ context.Context, args []string) error {
		if len(args) == 0 {
			return &UsageError{Problem: "needed: LOG..."}
		}
		if *every <= 0 {
			return &UsageError{Problem: "--every " + every.String() + "; allowed: more than 0"}
		}
		lines, err := readLogs(args)
		if err != nil {
			return &UsageError{Problem: err.Error()}
		}
		r, err := report.Summarize(lines, *every)
		if err != nil {
			return &UsageError{Problem: err.Error()}
		}
		if *path != "" {
			if err := writePage(*path, r); err != nil {
				return err
			}
		}
		return r.Print(p.stdout)
	}
}

// readLogs reads several logs.
func readLogs(paths []string) ([]trace.Line, error) {
	var lines []trace.Line
	for _, path := range paths {
		more, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func writePage(path string, r *report.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.WriteHTML(file); err != nil {
		_ = file.Close() // the error of the page is the one to report
		return err
	}
	return file.Close()
}
