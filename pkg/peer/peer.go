// Package peer is the exchange between boxes: heartbeats, and configuration.
//
// Each box calls a fixed number of others at each beat, whatever the size of
// the fleet, and tells them what it heard since it last called them. Boxes
// whose configurations differ hand each other what is newer. A change that has
// just come into force is also passed on at once to a few boxes, each of which
// does the same, so that it does not wait for beats.
package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/config"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/membership"
)

// Tuning of the exchange.
const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// CallTimeout bounds one call to another box.
	CallTimeout = time.Second
	// PushFanout is how many boxes of its own zone a box passes a change on
	// to; PushFanoutOutside how many of other zones.
	PushFanout        = 3
	PushFanoutOutside = 2
	// seedsCalled is how many boxes a starting box asks.
	seedsCalled = 5
)

// Paths of the exchange on the peers' port.
const (
	PathExchange = "/v1/peer/exchange"
	PathSync     = "/v1/peer/sync"
)

// Heartbeat is a heartbeat and its answer.
type Heartbeat struct {
	From    string              `json:"from"`
	Records []membership.Record `json:"records"`
	Digest  string              `json:"digest"`
	Synced  bool                `json:"synced"`
	// Stamps is set in an answer if the digests differ.
	Stamps map[string]config.Stamp `json:"stamps,omitempty"`
}

// Sync hands over configuration, and may ask for what is newer.
type Sync struct {
	From    string           `json:"from"`
	Objects []*config.Object `json:"objects,omitempty"`
	// WantsNewer wants an answer with all that is newer than Stamps. It is a field
	// of its own, since a box that has nothing yet sends no stamps at all.
	WantsNewer bool                    `json:"ask,omitempty"`
	Stamps     map[string]config.Stamp `json:"stamps,omitempty"`
	// Complete is set in an answer if, with its objects, the asking box has all
	// that a box with a whole configuration has.
	Complete bool `json:"whole,omitempty"`
}

// Exchanger calls other boxes and answers them.
type Exchanger struct {
	Self  string
	Zone  string
	Seeds []string
	Table *membership.Table
	Store *config.Store
	Log   *logging.Logger
	// Call sends a message to a box's peers' address; a seam.
	Call func(ctx context.Context, address, path string, in, out any) error
	// SameRegion reports whether a zone is in this box's region.
	SameRegion func(zone string) bool
	// OnMerge is called after records of others were taken in, before this
	// box says anything itself.
	OnMerge func()
	// OnFailure is told of each address that did not answer.
	OnFailure func(address string, err error)

	mu        sync.Mutex
	lastSent  map[string]time.Time
	rotations [3]int
}

// NewExchanger makes an exchanger.
func NewExchanger(self, zone string, seeds []string, table *membership.Table, store *config.Store, log *logging.Logger) *Exchanger {
	return &Exchanger{
		Self: self, Zone: zone, Seeds: seeds, Table: table, Store: store, Log: log,
		SameRegion: func(other string) bool { return other == zone },
		OnMerge:    func() {},
		OnFailure:  func(string, error) {},
		lastSent:   map[string]time.Time{},
	}
}

// ================================================================
// Calling
// ================================================================

// SendHeartbeats calls one box of this zone, one of another, and one that is silent.
func (x *Exchanger) SendHeartbeats(ctx context.Context) {
	wg := conc.NewWaitGroup()
	for _, address := range x.targets() {
		wg.Go(func() { x.callOne(ctx, address) })
	}
	wg.Wait()
}

// CallAll calls every box of this region that is known, and some of the others,
// and returns when all of them have answered or failed, with the number of those
// of the region that failed though they may be alive.
func (x *Exchanger) CallAll(ctx context.Context) (failed int) {
	var inside, outside []string
	alive := map[string]bool{}
	for _, m := range x.Table.Members() {
		switch {
		case m.Box == x.Self || m.Peers == "":
		case x.SameRegion(m.Zone):
			inside = append(inside, m.Peers)
			alive[m.Peers] = m.State != membership.Dead
		case m.State != membership.Dead:
			outside = append(outside, m.Peers)
		}
	}
	var missed atomic.Int64
	wg := conc.NewWaitGroup()
	for _, address := range append(inside, sample(outside, PushFanoutOutside)...) {
		wg.Go(func() {
			if !x.callOne(ctx, address) && alive[address] {
				missed.Add(1)
			}
		})
	}
	wg.Wait()
	return int(missed.Load())
}

// CallSeeds calls some of the boxes that the settings name, for a box that
// knows no other yet.
func (x *Exchanger) CallSeeds(ctx context.Context) {
	wg := conc.NewWaitGroup()
	for _, address := range sample(append([]string(nil), x.Seeds...), seedsCalled) {
		wg.Go(func() { x.callOne(ctx, address) })
	}
	wg.Wait()
}

func (x *Exchanger) targets() []string {
	var groups [3][]string
	known := map[string]bool{}
	for _, m := range x.Table.Members() {
		known[m.Peers] = true
		switch {
		case m.Box == x.Self || m.Peers == "":
		case m.State == membership.Dead || m.State == membership.Listed:
			groups[2] = append(groups[2], m.Peers)
		case m.Zone == x.Zone:
			groups[0] = append(groups[0], m.Peers)
		default:
			groups[1] = append(groups[1], m.Peers)
		}
	}
	for _, s := range x.Seeds {
		if !known[s] {
			groups[2] = append(groups[2], s)
		}
	}
	return x.rotate(groups)
}

// rotate picks the next address of each group in turn.
func (x *Exchanger) rotate(groups [3][]string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var picked []string
	for i, g := range groups {
		if len(g) == 0 {
			continue
		}
		x.rotations[i] = (x.rotations[i] + 1) % len(g)
		picked = append(picked, g[x.rotations[i]])
	}
	return picked
}

// callOne sends a heartbeat, and reports whether it was answered.
func (x *Exchanger) callOne(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	called := x.Table.Now()
	message := x.newHeartbeat(address)
	var reply Heartbeat
	if err := x.Call(ctx, address, PathExchange, message, &reply); err != nil {
		x.OnFailure(address, err)
		return false
	}
	x.markSent(address, called)
	x.Table.Merge(reply.Records)
	x.OnMerge()
	if reply.Digest != x.Store.Digest() || (reply.Synced && !x.Store.Synced()) {
		x.syncWith(ctx, address, reply)
	}
	return true
}

// newHeartbeat makes the heartbeat for a box, of which the address or the name is
// known. What is only of use within a region is left out for other regions.
func (x *Exchanger) newHeartbeat(to string) Heartbeat {
	x.mu.Lock()
	since := x.lastSent[to]
	x.mu.Unlock()
	records := x.Table.UpdatedSince(since)
	if !x.isNear(to) {
		for i := range records {
			records[i].Views, records[i].Seen, records[i].Excess = nil, nil, nil
			records[i].Partial = true
		}
	}
	return Heartbeat{From: x.Self, Records: records, Digest: x.Store.Digest(), Synced: x.Store.Synced()}
}

// isNear reports whether a box is in this box's region; one that is not known
// may be.
func (x *Exchanger) isNear(to string) bool {
	for _, m := range x.Table.Members() {
		if m.Peers == to || answerKey(m.Box) == to {
			return x.SameRegion(m.Zone)
		}
	}
	return true
}

// answerKey is under which it is noted what a box was last answered.
func answerKey(box string) string { return "answer\x00" + box }

func (x *Exchanger) markSent(to string, when time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastSent[to] = when
}

func (x *Exchanger) syncWith(ctx context.Context, address string, theirs Heartbeat) {
	message := Sync{
		From: x.Self, Objects: x.Store.NewerThan(theirs.Stamps),
		WantsNewer: true, Stamps: x.Store.Stamps(),
	}
	var reply Sync
	if err := x.Call(ctx, address, PathSync, message, &reply); err != nil {
		x.OnFailure(address, err)
		return
	}
	x.merge(reply)
}

// Push passes objects that have just come into force on to a few boxes.
func (x *Exchanger) Push(ctx context.Context, objects []*config.Object) {
	message := Sync{From: x.Self, Objects: objects}
	wg := conc.NewWaitGroup()
	for _, address := range x.pushTargets() {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, CallTimeout)
			defer cancel()
			var reply Sync
			if err := x.Call(ctx, address, PathSync, message, &reply); err != nil {
				x.OnFailure(address, err)
			}
		})
	}
	wg.Wait()
}

func (x *Exchanger) pushTargets() []string {
	var inside, outside []string
	for _, m := range x.Table.Members() {
		switch {
		case m.Box == x.Self || m.Peers == "" || m.State == membership.Dead:
		case m.Zone == x.Zone:
			inside = append(inside, m.Peers)
		default:
			outside = append(outside, m.Peers)
		}
	}
	return append(sample(inside, PushFanout), sample(outside, PushFanoutOutside)...)
}

func sample(list []string, n int) []string {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// ================================================================
// Answering
// ================================================================

// HandleHeartbeat takes in a heartbeat.
func (x *Exchanger) HandleHeartbeat(b Heartbeat) Heartbeat {
	key := answerKey(b.From)
	now := x.Table.Now()
	x.Table.Merge(b.Records)
	x.OnMerge()
	reply := x.newHeartbeat(key)
	x.markSent(key, now)
	if b.Digest != reply.Digest {
		reply.Stamps = x.Store.Stamps()
	}
	return reply
}

// HandleSync takes in configuration and returns what is newer here.
func (x *Exchanger) HandleSync(s Sync) Sync {
	x.merge(s)
	reply := Sync{From: x.Self}
	if s.WantsNewer {
		reply.Complete = x.Store.Synced()
		reply.Objects = x.Store.NewerThan(s.Stamps)
	}
	return reply
}

func (x *Exchanger) merge(s Sync) {
	for _, o := range x.Store.Merge(s.Objects...) {
		x.Log.Info("took configuration from a peer", map[string]any{"from": s.From, "service": o.Name, "revision": o.Revision})
	}
	if s.Complete && !x.Store.Synced() {
		x.Store.MarkSynced()
	}
}
