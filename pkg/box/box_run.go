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

// Intervals and time limits of a box.
const (
	rebuildEvery = 250 * time.Millisecond
	probeEvery   = time.Second
	planEvery    = 250 * time.Millisecond
	expireEvery  = 10 * time.Second
	// suspensionThreshold is the time without a step of the timers after which the
	// box no longer uses its share of the slots until it is confirmed.
	suspensionThreshold = 1500 * time.Millisecond
	// drainPoll is the interval at which a leaving box checks whether requests are
	// in flight.
	drainPoll = 20 * time.Millisecond
	// forwardGrace is the time within which a box that has heard that this one
	// leaves uses a snapshot with that state, and its last forwarded request has
	// arrived here.
	forwardGrace = 4 * rebuildEvery
	// finalHeartbeatTimeout limits the final heartbeats, and the closing of connections.
	finalHeartbeatTimeout = 2 * time.Second
)

// Start opens the ports and starts the box's work. The error is a
// *settings.ListenError.
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
	b.Store.OnChange = b.configChanged
	b.Exchanger.OnFailure = func(address string, err error) {
		b.log.Debug("peer did not answer", map[string]any{"address": address, "error": err})
	}
	b.Timers.OnPause(b.afterSuspension)
	b.Timers.Every(peer.HeartbeatInterval, b.sendHeartbeat)
	b.Timers.Every(rebuildEvery, b.rebuild)
	b.Timers.Every(planEvery, b.plan)
	b.Timers.Every(probeEvery, b.probeServers)
	b.Timers.Every(expireEvery, b.Table.Expire)
}

// bootstrap asks some boxes for their configuration before this box becomes ready,
// since the platform's first answer may be stale.
func (b *Box) bootstrap() {
	b.refreshSelf()
	b.Exchanger.CallSeeds(b.context)
	b.seedsAsked.Store(true)
	b.rebuild()
}

func (b *Box) sendHeartbeat() {
	b.refreshSelf()
	b.Exchanger.SendHeartbeats(b.context)
}

func (b *Box) refreshSelf() {
	// Serialized: a record with a higher version must not contain older views, or
	// an older excess, than the one before.
	b.selfRecordMu.Lock()
	defer b.selfRecordMu.Unlock()
	s := b.Settings
	// The views are read first: the excess in a record must not be older than the
	// view that it belongs to.
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

// configChanged applies a new revision on this box and pushes it to other boxes.
func (b *Box) configChanged(o *config.Object) {
	b.log.Info("configuration in force", map[string]any{"service": o.Name, "revision": o.Revision, "deleted": o.Deleted})
	b.rebuild()
	b.operators.NotifyWatchers()
	b.background.Go(func() { b.Exchanger.Push(b.context, []*config.Object{o}) })
}

// requestRebuild requests a new snapshot and does not wait for it.
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
// Suspension
// ----------------------------------------------------------------

// afterSuspension is called by the timers after a suspension of the process of length gap.
func (b *Box) afterSuspension(gap time.Duration) {
	b.log.Warn("resumed after a suspension", map[string]any{"for": gap})
	b.confirmed.Store(false)
	b.Table.ResetSilence()
	b.forgetPlansSeen()
	b.background.Go(b.confirmShares)
}

// confirmShares gets the views of all boxes of the region before this box uses its
// share of the slots again.
func (b *Box) confirmShares() {
	// A box that does not answer may have taken this one's share over. Its earlier
	// views stop counting only when it has been silent for DeadAfter.
	for end := b.age() + membership.DeadAfter; b.age() < end && b.context.Err() == nil; {
		b.refreshSelf()
		if b.Exchanger.CallAll(b.context) == 0 {
			break
		}
		b.sleep(b.context, rebuildEvery)
	}
	b.rebuild()
	b.confirmed.Store(true)
	b.log.Info("share of the slots confirmed", nil)
}

// maySend reports whether this box may use its share of the slots: it has not been
// suspended, or has confirmed the share since.
func (b *Box) maySend() bool {
	return b.Timers.SinceLastStep() < suspensionThreshold && b.confirmed.Load()
}

// ----------------------------------------------------------------
// Stopping
// ----------------------------------------------------------------

// LeaveStep is one step of a planned stop.
type LeaveStep struct {
	Name string
	Do   func(ctx context.Context)
}

// leaveSteps returns the steps of a planned stop in order: look-ups stop returning the
// box; it serves until no caller can still have a look-up that names it; it refuses new
// requests and releases all slots but those of requests in flight; it refuses requests
// that boxes still forward to it; it finishes the requests in flight; it sends the last
// answers and closes its connections.
func (b *Box) leaveSteps() []LeaveStep {
	return []LeaveStep{
		{"announce", b.announceLeaving},
		{"wait for look-ups to expire", func(ctx context.Context) {
			// Another box may return this one in look-ups until it hears that it
			// leaves, and callers use such an answer for its whole TTL.
			b.sleep(ctx, b.Settings.LookupTTL+membership.SuspectAfter)
		}},
		{"release slots", b.releaseSlots},
		{"wait for forwarded requests", func(ctx context.Context) {
			// A box that has just heard that this one leaves may have a request
			// on its way. It must get a refusal and not a closed connection.
			b.sleep(ctx, forwardGrace)
		}},
		{"finish requests", b.finishRequests},
		{"close connections", func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, finalHeartbeatTimeout)
			defer cancel()
			b.shutdownApps(ctx)
		}},
	}
}

// Leave runs the steps of a planned stop.
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

// releaseSlots refuses new requests and releases the slots. Requests that still
// arrive come from callers that ignore look-ups, and could otherwise keep the box from
// ever finishing.
func (b *Box) releaseSlots(ctx context.Context) {
	b.closed.Store(true)
	b.slotsReleased.Store(true)
	b.sendFinalHeartbeats(ctx)
}

// finishRequests waits until no request is in flight, then tells the other boxes that
// the slots are free.
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

// Stop ends all work without waiting for requests.
func (b *Box) Stop() {
	b.stop()
	b.closePools()
	b.background.Wait()
}
