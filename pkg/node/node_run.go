package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/ingress"
	"github.com/stoneworks/stoneworks/pkg/quota"
	"github.com/stoneworks/stoneworks/pkg/settings"
)

const (
	// clockEvery is how often a box checks whether its machine was suspended while no requests
	// or messages arrive.
	clockEvery = 50 * time.Millisecond
	// dropPoolsEvery is how often connections to servers that are no longer listed are closed.
	dropPoolsEvery = 5 * time.Second
	// announceEvery is how often a box checks for changes in the store that it has to announce
	// to its zone.
	announceEvery = 100 * time.Millisecond
	// closeShare is the fraction of the grace period after which a stopping box accepts no new
	// requests: by then clients have left it, and the requests in progress can still finish.
	closeShare = 0.4
	// endMargin is how long before the end of the grace period the box stops waiting for
	// requests; callsTimeout is how long it then waits for calls of other boxes, and
	// stopTimeout for its own goroutines.
	endMargin    = 500 * time.Millisecond
	callsTimeout = 200 * time.Millisecond
	stopTimeout  = 200 * time.Millisecond
	// lastAnswers is how long before that the last request must have its answer, or have reached its
	// deadline, so that the answer is written.
	lastAnswers = 100 * time.Millisecond
	// drainPoll is how often a stopping box checks whether all requests have finished.
	drainPoll = 20 * time.Millisecond
)

// Start opens the ports and starts all background work. The error is a *settings.ListenError.
func (n *Node) Start() error {
	if err := n.listen(); err != nil {
		return err
	}
	n.Timers.Every(clockEvery, n.Clock.Sync)
	n.Timers.Every(gossip.Interval, n.heartbeat)
	n.Timers.Every(announceEvery, n.announce)
	n.Timers.Every(quota.ReportEvery, n.tickQuota)
	n.Timers.Every(failureReportsEvery, n.broadcastFailureReports)
	n.Timers.Every(quarantineEvery, n.broadcastCrashes)
	n.Timers.Every(spreadEvery, n.spreadHolds)
	n.Timers.Every(statusesEvery, n.broadcastStatuses)
	n.Timers.Every(spreadEvery, n.spreadStatuses)
	if n.Settings.Platform.Rollouts {
		n.Timers.Every(rolloutsEvery, n.tickRollouts)
	}
	n.Timers.Every(dropPoolsEvery, n.dropPools)
	n.Timers.Every(relayEvery, n.tickRelay)
	n.background.Go(func() { n.Timers.Run(n.context) })
	n.background.Go(n.receiveDatagrams)
	n.background.Go(func() { n.ports.serveClients(n.clientHandler()) })
	n.Replica.Run()
	n.heartbeat()
	n.background.Go(n.discover)
	n.background.Go(n.readHolds)
	n.log.Info("started", map[string]any{"box": n.Settings.Box, "zone": n.Settings.Zone, "life": n.started.UnixNano()})
	return nil
}

const (
	// discoverEvery is how often a box that has just started asks the seeds for other boxes, and
	// discoverTime for how long: seeds that start at the same time miss its first heartbeat. If
	// all boxes of a zone have lost power, the zone holds no share of limits until its boxes
	// know each other.
	discoverEvery = 20 * time.Millisecond
	discoverTime  = 400 * time.Millisecond
)

// discover makes a starting box and its zone known to each other.
func (n *Node) discover() {
	for n.uptime() < discoverTime && n.context.Err() == nil {
		sleep(n.context, discoverEvery)
		if n.Members.Alone() {
			n.sendHeartbeats()
		}
		n.tickQuota()
	}
}

// Reload applies the settings that may change while the box runs: the seeds and the parameters
// of the policy.
func (n *Node) Reload(s *settings.Settings) {
	n.seeds.Store(&s.Seeds)
	n.setPolicy(s.Policy)
	n.log.Info("settings reloaded", map[string]any{"seeds": len(s.Seeds)})
}

// Leave stops the box as planned: it is no longer ready or named to clients, asks its clients to
// close their connections, accepts nothing new after a while, and ends when it has answered all
// requests in progress.
func (n *Node) Leave(ctx context.Context) {
	grace := n.Settings.Bounds.Grace
	start := n.Clock.Now()
	n.stopping.Store(&ingress.Stop{Began: start, Ends: start.Add(grace - endMargin - lastAnswers)})
	n.leaving.Store(true)
	n.tunnels.Retire("")
	n.heartbeat()
	n.send(n.Members.Announce())
	n.log.Info("leaving", map[string]any{"in_flight": n.inFlight.Load(), "grace": grace.String()})
	sleep(ctx, time.Duration(closeShare*float64(grace)))
	n.closed.Store(true)
	n.finishRequests(ctx, grace-endMargin-n.Clock.Since(start))
	n.finishCalls(ctx)
	n.log.Info("left", map[string]any{"in_flight": n.inFlight.Load(), "took_ms": n.Clock.Since(start).Milliseconds()})
}

// plannedStop returns the planned stop of the box.
func (n *Node) plannedStop() ingress.Stop {
	if s := n.stopping.Load(); s != nil {
		return *s
	}
	return ingress.Stop{}
}

// finishRequests waits for at most that long until all clients have their answers and no other
// box uses a connection through this one.
func (n *Node) finishRequests(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := n.ports.closeClients(ctx); err != nil {
		n.log.Warn("the listener for clients was not closed in order", map[string]any{"error": err.Error()})
	}
	for n.inFlight.Load()+int64(n.tunnels.Open()) > 0 && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
}

// finishCalls answers the last calls of other boxes and questions to the directory.
func (n *Node) finishCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callsTimeout)
	defer cancel()
	if err := n.ports.closeOthers(ctx); err != nil {
		n.log.Warn("a listener was not closed in order", map[string]any{"error": err.Error()})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Stop ends all work at once. It waits for the box's own goroutines, for at most stopTimeout.
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
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
