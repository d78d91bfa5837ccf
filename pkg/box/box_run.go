package box

import (
	"context"
	"net"
	"time"

	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/linger"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/peer"
	"github.com/stoneworks/stoneworks/pkg/settings"
)

// Intervals of the box's own work.
const (
	rebuildEvery = 250 * time.Millisecond
	probeEvery   = time.Second
	planEvery    = 250 * time.Millisecond
	expireEvery  = 10 * time.Second
	// suspensionThreshold is how long the timers may have been silent before the box
	// distrusts its own part of the slots.
	suspensionThreshold = 1500 * time.Millisecond
	// drainPoll is how often a leaving box looks whether it is done.
	drainPoll = 20 * time.Millisecond
	// forwardGrace is within what a box that heard of another's leaving has a
	// snapshot that knows it, and its last hand-off has arrived.
	forwardGrace = 4 * rebuildEvery
	// finalHeartbeatTimeout bounds the last heartbeats.
	finalHeartbeatTimeout = 2 * time.Second
)

// Start opens the ports and starts all work. The error is a *settings.ListenError.
func (b *Box) Start() error {
	listeners, err := b.listen()
	if err != nil {
		return err
	}
	b.subscribe()
	b.serve(listeners)
	b.background.Go(func() { b.Timers.Run(b.context) })
	b.background.Go(b.bootstrap)
	b.background.Go(b.watchPlatform)
	b.background.Go(b.watchBoxes)
	b.background.Go(b.rebuildOnChange)
	b.log.Info("started", map[string]any{"box": b.Settings.Box, "zone": b.Settings.Zone, "incarnation": b.Incarnation})
	return nil
}

func (b *Box) listen() (map[string]net.Listener, error) {
	a := b.Settings.Listen
	listeners := map[string]net.Listener{}
	for port, address := range map[string]string{
		portCallers: a.Callers, portPeers: a.Peers, portOperators: a.Operators, portAdmin: a.Admin,
	} {
		l, err := linger.Listen(address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, &settings.ListenError{Port: port, Address: address, Cause: err}
		}
		listeners[port] = l
	}
	return listeners, nil
}

func (b *Box) subscribe() {
	b.Store.Changed = b.configChanged
	b.Exchanger.Failed = func(address string, err error) {
		b.log.Debug("peer did not answer", map[string]any{"address": address, "error": err})
	}
	b.Timers.OnPause(b.afterSuspension)
	b.Timers.Every(peer.Beat, b.beat)
	b.Timers.Every(rebuildEvery, b.rebuild)
	b.Timers.Every(planEvery, b.plan)
	b.Timers.Every(probeEvery, b.probeServers)
	b.Timers.Every(expireEvery, b.Table.Expire)
}

// bootstrap asks some boxes for what they have in force before this box is
// ready: what the platform answered first may be stale.
func (b *Box) bootstrap() {
	b.refreshSelf()
	b.Exchanger.CallSeeds(b.context)
	b.seedsAsked.Store(true)
	b.rebuild()
}

func (b *Box) beat() {
	b.refreshSelf()
	b.Exchanger.DoBeat(b.context)
}

func (b *Box) refreshSelf() {
	// One at a time: a record with a higher version must never tell older
	// views, or an older excess, than the one before.
	b.selfRecordMu.Lock()
	defer b.selfRecordMu.Unlock()
	s := b.Settings
	// The views come first: an excess that is told must not be older than
	// the view that it belongs to.
	b.mu.Lock()
	views, seen := b.ownViews, b.seenViews
	b.mu.Unlock()
	loads, excess := b.load()
	b.Table.SetSelf(membership.Record{
		Box: s.Box, Zone: s.Zone, Incarnation: b.Incarnation,
		Started: b.started.UnixMilli(), Version: b.version.Add(1), AgeMS: b.age().Milliseconds(),
		Leaving: b.leaving.Load(), Gone: b.slotsReleased.Load(), Ready: b.Ready() && !b.closed.Load(),
		Callers: s.Advertise.Callers, Peers: s.Advertise.Peers, Operators: s.Advertise.Operators,
		ConfigDigest: b.Store.Digest(), Load: loads, Views: views, Seen: seen, Excess: excess,
	})
}

// configChanged puts a new revision in force on this box and passes it on.
func (b *Box) configChanged(o *config.Object) {
	b.log.Info("configuration in force", map[string]any{"service": o.Name, "revision": o.Revision, "deleted": o.Deleted})
	b.rebuild()
	b.operators.Changed()
	b.background.Go(func() { b.Exchanger.Push(b.context, []*config.Object{o}) })
}

// requestRebuild asks for a new snapshot soon.
func (b *Box) requestRebuild() {
	select {
	case b.rebuildRequested <- struct{}{}:
	default:
	}
}

func (b *Box) rebuildOnChange() {
	for {
		select {
		case <-b.context.Done():
			return
		case <-b.rebuildRequested:
			b.rebuild()
		}
	}
}

// ----------------------------------------------------------------
// Standing still
// ----------------------------------------------------------------

// afterSuspension is called by the timers after the process was not running.
func (b *Box) afterSuspension(gap time.Duration) {
	b.log.Warn("stood still", map[string]any{"for": gap})
	b.confirmed.Store(false)
	b.Table.ForgiveSilence()
	b.background.Go(b.confirmShares)
}

// confirmShares asks every box of the zone for its view before this box uses its
// part of the slots again.
func (b *Box) confirmShares() {
	// A box that does not answer may have taken this one's part meanwhile;
	// only when it has been silent for so long that it is dead does its old
	// word no longer count.
	for end := b.age() + membership.DeadAfter; b.age() < end && b.context.Err() == nil; {
		b.refreshSelf()
		if b.Exchanger.CallAll(b.context) == 0 {
			break
		}
		b.sleep(b.context, rebuildEvery)
	}
	b.rebuild()
	b.confirmed.Store(true)
	b.log.Info("part of the slots confirmed", nil)
}

// maySend reports whether this box's part of the slots is certainly its own.
func (b *Box) maySend() bool {
	return b.Timers.Silence() < suspensionThreshold && b.confirmed.Load()
}

// ----------------------------------------------------------------
// Stopping
// ----------------------------------------------------------------

// LeaveStep is one step of a planned stop.
type LeaveStep struct {
	Name string
	Do   func(ctx context.Context)
}

// leaveSteps lists the steps of a planned stop in their order: look-ups stop
// naming the box; it goes on serving until no caller can still hold an answer
// that names it; it takes nothing new and gives up all slots but those of
// requests in flight; it refuses what boxes still hand to it; it finishes what
// it holds; its last answers go out.
func (b *Box) leaveSteps() []LeaveStep {
	return []LeaveStep{
		{"announce", b.announceLeaving},
		{"outlive look-ups", func(ctx context.Context) {
			// Another box may name this one until it hears that it leaves, and
			// its callers keep that answer for a whole time to live.
			b.sleep(ctx, b.Settings.LookupTTL+membership.SuspectAfter)
		}},
		{"give up slots", b.releaseSlots},
		{"outlive hand-offs", func(ctx context.Context) {
			// Boxes that have just heard it may have a request on its way; it
			// must meet a refusal here and not a closed connection.
			b.sleep(ctx, forwardGrace)
		}},
		{"finish", b.finishRequests},
		{"close connections", func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, finalHeartbeatTimeout)
			defer cancel()
			b.shutdownApps(ctx)
		}},
	}
}

// Leave takes the box out of service as planned.
func (b *Box) Leave(ctx context.Context) {
	for _, step := range b.LeaveSteps {
		b.log.Info("leaving", map[string]any{"step": step.Name, "in_flight": b.inFlight.Load()})
		step.Do(ctx)
	}
	b.log.Info("left", map[string]any{"in_flight": b.inFlight.Load()})
}

func (b *Box) announceLeaving(ctx context.Context) {
	b.leaving.Store(true)
	b.refreshSelf()
	b.rebuild()
	b.Exchanger.CallAll(ctx)
}

// releaseSlots refuses what still comes, since it comes from callers that
// ignore look-ups and could keep the box from ever being done.
func (b *Box) releaseSlots(ctx context.Context) {
	b.closed.Store(true)
	b.slotsReleased.Store(true)
	b.sendFinalHeartbeats(ctx)
}

// finishRequests waits for the last request, telling the others as the slots
// become free.
func (b *Box) finishRequests(ctx context.Context) {
	for b.inFlight.Load() > 0 && ctx.Err() == nil {
		b.sleep(ctx, drainPoll)
	}
	b.sendFinalHeartbeats(ctx)
}

func (b *Box) sendFinalHeartbeats(ctx context.Context) {
	b.rebuild()
	ctx, cancel := context.WithTimeout(ctx, finalHeartbeatTimeout)
	defer cancel()
	b.Exchanger.CallAll(ctx)
}

func (b *Box) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Stop ends all work at once.
func (b *Box) Stop() {
	b.stop()
	b.closePools()
	b.background.Wait()
}
