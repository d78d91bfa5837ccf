package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/clock"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/node"
	"github.com/stoneworks/stoneworks/pkg/settings"
	"github.com/stoneworks/stoneworks/platform"
)

// settingsPoll is the interval at which the settings file is checked: it may change without a
// signal.
const settingsPoll = 2 * time.Second

// runNode runs a box on a platform that is a store of objects.
func runNode(s *settings.Settings, path string, stdout, stderr io.Writer, customize []Customize) int {
	handler := logging.NewAsyncHandler(stdout)
	if s.LogFormat == "json" {
		handler = logging.NewAsyncJSONHandler(stdout)
	}
	ctx, cancel := context.WithCancel(context.Background())
	writers := conc.NewWaitGroup()
	writers.Go(func() { handler.Run(ctx) })
	defer writers.Wait()
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	n := node.New(s, platform.Adapter(), handler, clock.New())
	for _, c := range customize {
		if c.Node != nil {
			c.Node(n)
		}
	}
	limitMemory(s.Machine)
	if err := n.Start(); err != nil {
		fmt.Fprintln(stderr, err)
		n.Stop()
		return ExitFailed
	}
	reloadUntilStopped(n, path, signals, logging.For(logging.New(handler, logging.ParseLevel(s.LogLevel)), "daemon"))
	leaveContext, cancelLeave := context.WithTimeout(ctx, maxLeaveTime)
	defer cancelLeave()
	n.Leave(leaveContext)
	n.Stop()
	return ExitOK
}

// collectShare is the share of the machine's memory from which the collector runs more often, so that
// garbage does not exceed the machine. The rest is for what the runtime does not count.
const collectShare = 0.7

// limitMemory makes the runtime keep garbage within the memory of the machine, if that is known.
func limitMemory(m settings.Machine) {
	if m.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(collectShare * m.MemoryMB * (1 << 20)))
	}
}

// reloadUntilStopped applies changed settings until a signal tells the box to stop.
func reloadUntilStopped(n *node.Node, path string, signals <-chan os.Signal, log *logging.Logger) {
	poll := time.NewTicker(settingsPoll)
	defer poll.Stop()
	seen := modTime(path)
	for {
		select {
		case signal := <-signals:
			if signal != syscall.SIGHUP {
				return
			}
			log.Info("reading the settings after SIGHUP", nil)
		case <-poll.C:
			if modTime(path).Equal(seen) {
				continue
			}
		}
		seen = modTime(path)
		s, err := settings.Load(path)
		if err != nil {
			log.Warn("settings are invalid; the previous ones stay in force", map[string]any{"error": err.Error()})
			continue
		}
		n.Reload(s)
	}
}

// modTime returns when the file was last changed, the zero time if that cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
