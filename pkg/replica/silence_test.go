package replica

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/backend"
	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

// The failure that these tests guard against: servers were being replaced when the platform's
// store did not respond for a second. From then on no box learned of any change for up to
// 26 s: requests went to servers that had announced that they were leaving, and to zones that
// had been evacuated.
//
//  1. A server leaves; the watch of the servers returns with that change.
//  2. The store stops responding: calls made from now on are never answered.
//  3. The box watches the servers again.
//  4. The store responds again, and answers the watches from before.
//  5. The watch of the configuration is one of these, so the box believes that the store
//     has answered all along. The watch of the servers is never answered and waits for 25 s.
//
// The cause: only one of three watches was short enough to notice a store that does not
// respond, and the other two relied on it, although its answers say nothing about them. At
// every box at once, the watch of the servers from within the silence was the last one for
// 26 s, while that of the configuration was answered every 2.4 s. Boxes of other zones could
// not help, since the same silence had affected them.

// modelBox is a box's copies of the objects in a test's store, and the state that it derives
// from them, without sockets.
type modelBox struct {
	*Replica
	set *backend.Set
	// version is the version of the configuration in force.
	version atomic.Uint64
	group   sync.WaitGroup
	stop    context.CancelFunc
}

const (
	contactTime = 4 * time.Second
	drainTime   = 2500 * time.Millisecond
	// tickEvery is how often a box calls Tick.
	tickEvery = 100 * time.Millisecond
)

func newModelBox(t *testing.T, s *modelStore) *modelBox {
	t.Helper()
	b := &modelBox{}
	ctx, stop := context.WithCancel(t.Context())
	b.stop = stop
	log := logging.For(logging.New(logging.NewAsyncJSONHandler(io.Discard), logging.ParseLevel("info")), "test")
	region := func(string) string { return "east" }
	b.set = backend.NewSet(backend.Bounds{ShiftWindow: 2 * time.Second, MissingTTL: 1500 * time.Millisecond}, "east-a", region, func() int { return 1 }, time.Now)
	b.Replica = New(Options{
		Now:   time.Now,
		Kinds: storeKinds, Zone: "east-a", ContactWindow: contactTime, DrainTime: drainTime,
		Client:          s.client("box"),
		Members:         gossip.NewTable(gossip.Record{Box: "box", Zone: "east-a"}, time.Now, rand.IntN),
		WatchersPerZone: func() int { return 1 },
		OnAnswer:        func() {},
		OnEra:           func() {},
		Go:              func(work func()) { b.group.Go(work) }, Context: ctx,
		Metrics: metrics.NewRegistry(), BoxLog: log, StoreLog: log,
	})
	b.OnChange(storeKinds.Servers, func(o objects.Object, gone bool) {
		if gone {
			b.set.Remove(o.Name, b.TrustsList())
			return
		}
		var v backend.Server
		if err := json.Unmarshal(o.Spec, &v); err != nil {
			t.Error(err)
		}
		b.set.Put(v)
	})
	b.OnChange(storeKinds.Configuration, func(o objects.Object, _ bool) {
		var version uint64
		if err := json.Unmarshal(o.Spec, &version); err != nil {
			t.Error(err)
		}
		b.version.Store(version)
	})
	return b
}

// ownVersions returns the versions of the box's copies.
func (b *modelBox) ownVersions() map[string]objects.Version {
	return b.CopyState().Versions
}

// run runs the box until it is stopped.
func (b *modelBox) run() {
	b.Run()
	b.Go(func() {
		for b.Context.Err() == nil {
			b.Tick()
			time.Sleep(tickEvery)
		}
	})
}

// replaceServers changes one of five servers each 0.6 s until the context ends.
func replaceServers(ctx context.Context, s *modelStore) {
	for i := 0; ctx.Err() == nil; i++ {
		s.mu.Lock()
		m := s.treatments["box"]
		s.mu.Unlock()
		if m == serving {
			s.put(storeKinds.Servers, fmt.Sprint("replaced-", i%5), backend.Server{ID: fmt.Sprint("replaced-", i%5), Service: "shop", ColdFor: time.Duration(i)})
		}
		time.Sleep(600 * time.Millisecond)
	}
}

// knownWithin is how long after the store accepted it a change must be known to a box that
// polls the store: a pending watch is answered at once; a change that follows another one
// waits for the batch pause of 0.6 s, plus the ways to the store and back.
const knownWithin = time.Second

// TestSilentStoreLeavesNoWatchDeaf: however long the store does not respond, and whenever that
// starts, changes that it accepts after a contact window without faults are known in time:
// leaving servers, evacuations, configurations.
func TestSilentStoreLeavesNoWatchDeaf(t *testing.T) {
	forEachSilence(t, func(is *is.I, s *modelStore, b *modelBox) {
		s.put(storeKinds.Servers, "leaver", backend.Server{ID: "leaver", Service: "shop", Draining: true})
		s.put(storeKinds.Evacuations, "east", struct{}{})
		s.put(storeKinds.Configuration, "main", 2)
		time.Sleep(knownWithin)
		for _, v := range b.set.List() {
			if v.ID == "leaver" {
				is.True(v.Draining) // the server that left is known to leave
			}
		}
		items, _ := b.Mirror(storeKinds.Evacuations).Items()
		is.Equal(len(items), 3)               // the evacuations are known
		is.Equal(b.version.Load(), uint64(2)) // the configuration is in force
	})
}

// TestVanishedServerIsLeftAtOnceWhenTheStoreIsWell: if the entry of a server vanishes after
// the store had no fault throughout the contact window, the server has left. It must not be
// kept like one whose entry may have been lost during an outage of the store: kept for up to
// 2.25 s after a change that may take 0.9 s to arrive, it would get requests for longer than
// the 2.5 s that are allowed.
func TestVanishedServerIsLeftAtOnceWhenTheStoreIsWell(t *testing.T) {
	forEachSilence(t, func(is *is.I, s *modelStore, b *modelBox) {
		anywhere := func(string) bool { return true }
		_, err := b.set.Choose(&backend.Request{Service: "lone", RegionAllowed: anywhere})
		is.NoErr(err)
		s.remove(storeKinds.Servers, "lone")
		time.Sleep(knownWithin)
		_, err = b.set.Choose(&backend.Request{Service: "lone", RegionAllowed: anywhere})
		var choice *backend.ChoiceError
		is.True(errors.As(err, &choice))
		is.Equal(choice.Reason, backend.NoServer)
	})
}

// forEachSilence has the store stop responding at many moments for various times, while
// servers are replaced, and calls play once it has responded for the contact window.
func forEachSilence(t *testing.T, play func(is *is.I, s *modelStore, b *modelBox)) {
	for _, silence := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		for begin := time.Duration(0); begin < 3*time.Second; begin += 300 * time.Millisecond {
			t.Run(fmt.Sprintf("%s from %s on", silence, begin), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playSilence(t, begin, silence, play) })
			})
		}
	}
}

func playSilence(t *testing.T, begin, silence time.Duration, play func(is *is.I, s *modelStore, b *modelBox)) {
	s := newModelStore()
	s.put(storeKinds.Configuration, "main", 1)
	s.put(storeKinds.Servers, "leaver", backend.Server{ID: "leaver", Service: "shop"})
	s.put(storeKinds.Servers, "lone", backend.Server{ID: "lone", Service: "lone", Slots: 4})
	s.put(storeKinds.Evacuations, "west", struct{}{})
	b := newModelBox(t, s)
	replacing, stopReplacing := context.WithCancel(t.Context())
	var replacer sync.WaitGroup
	replacer.Go(func() { replaceServers(replacing, s) })
	b.run()
	defer replacer.Wait()
	defer b.group.Wait()
	defer b.stop()
	defer stopReplacing()
	time.Sleep(4*time.Second + begin)
	s.put(storeKinds.Evacuations, "south", struct{}{})
	s.treat(silent, "box")
	time.Sleep(silence)
	s.treat(serving, "box")
	stopReplacing()
	time.Sleep(contactTime)
	play(is.New(t), s, b)
}
