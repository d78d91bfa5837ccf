package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/stoneworks/stoneworks/pkg/objects"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
)

// ================================================================
// Quarantined requests in the platform's store: if all boxes lose power, no other box is left
// from which starting boxes could learn of them.
// ================================================================

const (
	// holdCallTime bounds a call. holdPause is the delay after a failed call; it doubles up to
	// longestHoldPause.
	holdCallTime     = 1200 * time.Millisecond
	holdPause        = 500 * time.Millisecond
	longestHoldPause = 8 * time.Second
	// holdTries is how often a write is attempted: for about 40 s. A store that is down for
	// longer is a second failure in addition to the loss of all boxes.
	holdTries = 8
)

// retryCall calls the store until a call succeeds or the given number of calls has failed.
func (n *Node) retryCall(times int, what string, call func(ctx context.Context) error) {
	pause := holdPause
	for try := 1; ; try++ {
		ctx, cancel := context.WithTimeout(n.context, holdCallTime)
		err := call(ctx)
		cancel()
		if err == nil || n.context.Err() != nil {
			return
		}
		n.log.Info(what+" failed", map[string]any{"try": try, "error": err.Error()})
		if try >= times {
			return
		}
		sleep(n.context, pause)
		pause = min(2*pause, longestHoldPause)
	}
}

// storeHold writes a request to the store that this box has begun to hold.
func (n *Node) storeHold(r *quarantine.Record) {
	n.retryCall(holdTries, "writing a hold to the store", func(ctx context.Context) error {
		if len(r.Crashed) > n.policy.Load().QuarantineAfter {
			// The object of an earlier hold that has ended.
			if err := n.store.Remove(ctx, n.adapter.HoldsKind, r.Request.String()); err != nil {
				return err
			}
		}
		return n.store.Create(ctx, n.adapter.HoldsKind, r.Request.String(), quarantine.NewStoredHold(r, time.Now()))
	})
}

// storeHoldsAgain writes the held requests to the store, which has lost those that were written
// after the copy from which it came back. Boxes that do not poll the store leave that to others.
func (n *Node) storeHoldsAgain() {
	if !n.Replica.IsPoller() {
		return
	}
	for _, r := range n.Quarantine.Holds() {
		n.background.Go(func() { n.storeHold(&r) })
	}
}

// removeHold removes a request from the store that is no longer held.
func (n *Node) removeHold(f quarantine.Fingerprint) {
	n.background.Go(func() {
		n.retryCall(holdTries, "removing a hold from the store", func(ctx context.Context) error {
			return n.store.Remove(ctx, n.adapter.HoldsKind, f.String())
		})
	})
}

// holdReadTries bounds the attempts of a box that starts. If they fail, it still learns of the
// holds from other live boxes.
const holdReadTries = 1000

// readHolds loads the held requests from the store.
func (n *Node) readHolds() {
	n.retryCall(holdReadTries, "reading holds from the store", n.readHoldsOnce)
}

func (n *Node) readHoldsOnce(ctx context.Context) error {
	after, more := "", true
	for more {
		page, err := n.store.List(ctx, n.adapter.HoldsKind, after, true)
		if err != nil {
			return err
		}
		for _, o := range page.Items {
			n.loadHold(o)
			after = o.Name
		}
		more = page.More
	}
	return nil
}

// loadHold loads one object. It removes an object whose hold has ended.
func (n *Node) loadHold(o objects.Object) {
	f, err := quarantine.ParseFingerprint(o.Name)
	var stored quarantine.StoredHold
	if err == nil {
		err = json.Unmarshal(o.Spec, &stored)
	}
	if err != nil {
		n.noteUnreadObject(n.log, err)
		return
	}
	r, ok := stored.Record(f, time.Now())
	if !ok {
		n.removeHold(f)
		return
	}
	n.Quarantine.Merge(r)
	n.log.Info("hold read from the store", map[string]any{"fingerprint": f.String(), "crashed": r.Crashed, "left_ms": r.Remaining.Milliseconds()})
}
