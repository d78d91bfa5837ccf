// Package daemon is the program stoneworksd: it reads the settings, runs one box, and shuts it
// down gracefully on a signal.
package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/sourcegraph/conc"
	"go.yaml.in/yaml/v3"

	"github.com/stoneworks/stoneworks/pkg/box"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/node"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/platform"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// maxLeaveTime bounds a graceful shutdown.
const maxLeaveTime = 10 * time.Minute

const usage = `stoneworksd runs one box of stoneworks.

  stoneworksd --config box.yaml           run until SIGTERM
  stoneworksd --config box.yaml --check   check the settings, print the parameters of the policy and exit
  stoneworksd --config box.yaml --print   print the settings in force and exit
  stoneworksd --metrics                   print the table of metrics and exit
  stoneworksd --version                   print the version and exit

SIGTERM or SIGINT: shut down gracefully, without cutting off requests. A second one stops at once.
Exit codes: 0 stopped or settings valid, 1 failed, 2 invalid settings or usage.
`

// Customize may change a box before it starts; tests use it. Nil fields change nothing.
type Customize struct {
	Box func(*box.Box)
	// Node changes a box on a platform that is a store of objects.
	Node func(*node.Node)
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer, customize ...Customize) int {
	flags := flag.NewFlagSet("stoneworksd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { fmt.Fprint(stderr, usage) }
	path := flags.String("config", "", "the settings file; by default the one that the platform names in the environment")
	metricTable := flags.Bool("metrics", false, "print the table of metrics and exit")
	effective := flags.Bool("print", false, "print the settings in force, defaults included, and exit")
	version := flags.Bool("version", false, "print the version and exit")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("STONEWORKSD")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if *metricTable {
		node.WriteMetricTable(stdout)
		return ExitOK
	}
	if *version {
		fmt.Fprintln(stdout, "stoneworksd "+buildVersion())
		return ExitOK
	}
	if *path == "" {
		*path = os.Getenv(platform.SettingsVariable)
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if *effective {
		return printSettings(s, stdout, stderr)
	}
	if *check {
		fmt.Fprintln(stdout, "settings: ok")
		for _, f := range s.Policy.Parameters() {
			fmt.Fprintf(stdout, "policy.%s: %s (%s)\n", f.Name, f.Value, f.Unit)
		}
		return ExitOK
	}
	if s.Platform.Protocol == settings.ProtocolObjects {
		return runNode(s, *path, stdout, stderr, customize)
	}
	return run(s, stdout, stderr, customize)
}

// printSettings prints the settings with their defaults. They contain no secrets.
func printSettings(s *settings.Settings, stdout, stderr io.Writer) int {
	text, err := yaml.Marshal(s)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	_, _ = stdout.Write(text)
	return ExitOK
}

// buildVersion returns the source revision that the program was built from.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}

func run(s *settings.Settings, stdout, stderr io.Writer, customize []Customize) int {
	handler := logging.NewAsyncHandler(stdout)
	ctx, cancel := context.WithCancel(context.Background())
	writers := conc.NewWaitGroup()
	writers.Go(func() { handler.Run(ctx) })
	defer writers.Wait()
	defer cancel()
	b := box.New(s, handler)
	for _, c := range customize {
		if c.Box != nil {
			c.Box(b)
		}
	}
	if err := b.Start(); err != nil {
		fmt.Fprintln(stderr, err)
		b.Stop()
		return ExitFailed
	}
	waitAndLeave(b)
	b.Stop()
	return ExitOK
}

func waitAndLeave(b *box.Box) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), maxLeaveTime)
	defer cancel()
	watcher := conc.NewWaitGroup()
	watcher.Go(func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	})
	b.Leave(ctx)
	cancel()
	watcher.Wait()
}
