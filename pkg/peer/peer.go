// Package peer implements the protocol between boxes: heartbeats, and synchronisation of
// the configuration.
//
// At each heartbeat a box calls a fixed number of others, independent of the size of the
// fleet, and sends them the records that have changed since it last called them. Boxes
// whose configurations differ send each other the newer objects. A change that has just
// become active is also pushed at once to a few boxes, each of which does the same, so
// that it does not wait for heartbeats.
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

// Parameters of the protocol.
const (
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// CallTimeout is the timeout of a call to another box.
	CallTimeout = time.Second
	// PushFanout is the number of boxes of its own zone to which a box pushes a
	// change, and PushFanoutOutside the number of boxes of other zones.
	PushFanout        = 3
	PushFanoutOutside = 2
	// seedsCalled is the number of seeds that a starting box calls.
	seedsCalled = 5
)

// Paths of the protocol on the peers' port.
const (
	PathExchange = "/v1/peer/exchange"
	PathSync     = "/v1/peer/sync"
)

// Heartbeat is a heartbeat or the reply to one.
type Heartbeat struct {
	From    string              `json:"from"`
	Records []membership.Record `json:"records"`
	Digest  string              `json:"digest"`
	Synced  bool                `json:"synced"`
	// Stamps is set in a reply if the digests differ.
	Stamps map[string]config.Stamp `json:"stamps,omitempty"`
}

// Sync carries configuration objects, and may ask for newer ones.
type Sync struct {
	From    string           `json:"from"`
	Objects []*config.Object `json:"objects,omitempty"`
	// WantsNewer asks for a reply with all objects newer than Stamps. It is a separate
	// field because a box without objects sends no stamps.
	WantsNewer bool                    `json:"ask,omitempty"`
	Stamps     map[string]config.Stamp `json:"stamps,omitempty"`
	// Complete is set in a reply if its sender has a complete configuration, so that
	// the receiver has one too after merging the objects.
	Complete bool `json:"whole,omitempty"`
}

// Exchanger calls other boxes and handles their calls.
type Exchanger struct {
	Self  string
	Zone  string
	Seeds []string
	Table *membership.Table
	Store *config.Store
	Log   *logging.Logger
	// Call sends a message to the peer address of a box and decodes the reply into
	// out. Tests may replace it.
	Call func(ctx context.Context, address, path string, in, out any) error
	// SameRegion reports whether a zone is in this box's region.
	SameRegion func(zone string) bool
	// OnMerge is called after records of other boxes were merged and before this box
	// sends or replies anything.
	OnMerge func()
	// OnFailure is called with each address that did not answer.
	OnFailure func(address string, err error)

	mu        sync.Mutex
	lastSent  map[string]time.Time
	rotations [3]int
}

// NewExchanger makes an exchanger. Call has to be set before use.
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

// SendHeartbeats calls one box of this zone, one of another zone, and one that is dead,
// or of which only the address is known.
func (x *Exchanger) SendHeartbeats(ctx context.Context) {
	wg := conc.NewWaitGroup()
	for _, address := range x.targets() {
		wg.Go(func() { x.callOne(ctx, address) })
	}
	wg.Wait()
}

// CallAll calls all known boxes of this region and some boxes of other regions, and
// returns when all of them have answered or failed. failed is the number of boxes of this
// region that failed and are not considered dead.
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
	var failures atomic.Int64
	wg := conc.NewWaitGroup()
	for _, address := range append(inside, sample(outside, PushFanoutOutside)...) {
		wg.Go(func() {
			if !x.callOne(ctx, address) && alive[address] {
				failures.Add(1)
			}
		})
	}
	wg.Wait()
	return int(failures.Load())
}

// CallSeeds calls some of the seeds from the settings. It is for a box that does not know
// any other box yet.
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

// rotate returns the next address of each group, round robin.
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

// callOne sends a heartbeat, merges the reply, and synchronises the configuration if it
// differs. It reports whether the heartbeat was answered.
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

// newHeartbeat makes the heartbeat for a box, given by its address or its answerKey. It
// omits the fields of records that are useful only within a region if the box is in
// another one.
func (x *Exchanger) newHeartbeat(to string) Heartbeat {
	x.mu.Lock()
	since := x.lastSent[to]
	x.mu.Unlock()
	records := x.Table.UpdatedSince(since)
	if !x.isInRegion(to) {
		for i := range records {
			records[i].Views, records[i].Seen, records[i].Excess = nil, nil, nil
			records[i].Partial = true
		}
	}
	return Heartbeat{From: x.Self, Records: records, Digest: x.Store.Digest(), Synced: x.Store.Synced()}
}

// isInRegion reports whether a box, given by its address or its answerKey, is in this box's
// region. An unknown box may be.
func (x *Exchanger) isInRegion(to string) bool {
	for _, m := range x.Table.Members() {
		if m.Peers == to || answerKey(m.Box) == to {
			return x.SameRegion(m.Zone)
		}
	}
	return true
}

// answerKey returns the key in lastSent for replies to the box.
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

// Push sends objects that have just become active to a few boxes.
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

// HandleHeartbeat merges the records of a heartbeat and returns the reply.
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

// HandleSync merges configuration objects and, if asked, returns the newer ones that this
// box has.
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
		x.Log.Info("received newer configuration from a peer", map[string]any{"from": s.From, "service": o.Name, "revision": o.Revision})
	}
	if s.Complete && !x.Store.Synced() {
		x.Store.MarkSynced()
	}
}
