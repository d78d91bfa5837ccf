package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/quota"
	"github.com/stoneworks/stoneworks/pkg/settings"
)

const (
	// clockEvery is how often a box that nobody asks or tells anything looks whether its
	// machine was suspended.
	clockEvery = 50 * time.Millisecond
	// dropPoolsEvery is how often connections to servers that are gone close.
	dropPoolsEvery = 5 * time.Second
	// announceEvery is how soon changes in the store are told to the zone.
	announceEvery = 100 * time.Millisecond
	// closeShare is at which part of the grace a stopping box takes nothing
	// new: by then clients have left it, and what it holds can still end.
	closeShare = 0.4
	// endMargin is how long before the end of the grace the box stops waiting
	// for requests, and stopTime how long it then waits for its own work.
	endMargin = 500 * time.Millisecond
	stopTime  = 200 * time.Millisecond
	// drainPoll is how often a stopping box looks whether it is done.
	drainPoll = 20 * time.Millisecond
)

// Start opens the ports and starts all work. The error is a *settings.ListenError.
func (n *Node) Start() error {
	if err := n.listen(); err != nil {
		return err
	}
	n.Timers.Every(clockEvery, n.Clock.Sync)
	n.Timers.Every(gossip.Interval, n.heartbeat)
	n.Timers.Every(announceEvery, n.announce)
	n.Timers.Every(quota.ReportEvery, n.tickQuota)
	n.Timers.Every(findingsEvery, n.broadcastFindings)
	n.Timers.Every(quarantineEvery, n.broadcastCrashes)
	n.Timers.Every(spreadEvery, n.spreadHolds)
	n.Timers.Every(statusesEvery, n.broadcastStatuses)
	n.Timers.Every(spreadEvery, n.spreadStatuses)
	if n.Settings.Platform.Rollouts {
		n.Timers.Every(rolloutsEvery, n.tickRollouts)
	}
	n.Timers.Every(dropPoolsEvery, n.dropPools)
	n.background.Go(func() { n.Timers.Run(n.context) })
	n.background.Go(n.receiveDatagrams)
	n.background.Go(func() { n.ports.serveClients(n.clients()) })
	n.Replica.Run()
	n.heartbeat()
	n.background.Go(n.meet)
	n.background.Go(n.readHolds)
	n.log.Info("started", map[string]any{"box": n.Settings.Box, "zone": n.Settings.Zone, "life": n.started.UnixNano()})
	return nil
}

const (
	// meetEvery is how often a box that has just started asks the seeds for others, and
	// meetTime for how long: seeds that start at the same time as it do not hear its
	// first heartbeat. Until a zone whose boxes all lost power knows itself, it holds no part of limits.
	meetEvery = 20 * time.Millisecond
	meetTime  = 400 * time.Millisecond
)

// meet makes a box that starts known to others, and its zone to it.
func (n *Node) meet() {
	for n.uptime() < meetTime && n.context.Err() == nil {
		sleep(n.context, meetEvery)
		if n.Members.Alone() {
			n.sendHeartbeats()
		}
		n.tickQuota()
	}
}

// Reload takes over what may change while the box runs: the seeds and the
// figures of policy.
func (n *Node) Reload(s *settings.Settings) {
	n.seeds.Store(&s.Seeds)
	n.setPolicy(s.Policy)
	n.log.Info("settings reloaded", map[string]any{"seeds": len(s.Seeds)})
}

// Leave stops the box as planned: it is no longer ready nor named, asks its
// clients to close, takes nothing new after a while, and ends when it has
// answered all that it holds.
func (n *Node) Leave(ctx context.Context) {
	grace := n.Settings.Bounds.Grace
	start := n.Clock.Now()
	n.leaving.Store(true)
	n.heartbeat()
	n.send(n.Members.Announce())
	n.log.Info("leaving", map[string]any{"in_flight": n.inFlight.Load(), "grace": grace.String()})
	sleep(ctx, time.Duration(closeShare*float64(grace)))
	n.closed.Store(true)
	left := grace - endMargin - n.Clock.Since(start)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	n.ports.shutdown(ctx)
	for n.inFlight.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
	n.log.Info("left", map[string]any{"in_flight": n.inFlight.Load(), "took_ms": n.Clock.Since(start).Milliseconds()})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Stop ends all work at once. It waits for the box's own goroutines, but not
// for longer than a stopping box has.
func (n *Node) Stop() {
	n.stop()
	n.ports.close()
	n.mu.Lock()
	for _, p := range n.pools {
		p.Close()
	}
	n.mu.Unlock()
	done := make(chan struct{})
	var waiting conc.WaitGroup
	waiting.Go(func() {
		n.background.Wait()
		close(done)
	})
	timer := time.NewTimer(stopTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
