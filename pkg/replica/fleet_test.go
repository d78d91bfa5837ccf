package replica

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

const (
	// nearDelay and farDelay are how long a datagram takes, one way, within a region and
	// between two; one datagram in lostOneIn is lost.
	nearDelay = time.Millisecond
	farDelay  = 35 * time.Millisecond
	lostOneIn = 40
	// dialTimeout is how long a box tries to connect to a box that cannot be reached.
	dialTimeout = 600 * time.Millisecond
	// fleetTime is how long a fleet runs; no fault starts in the last quietTime of it.
	fleetTime = 24 * time.Second
	quietTime = 8 * time.Second
	// checkEvery is how often all boxes are checked.
	checkEvery = 100 * time.Millisecond
)

// fleetZones are the zones of a fleet, with their regions.
var fleetZones = map[string]string{"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}

// fleetBox is one box of a fleet.
type fleetBox struct {
	name, zone string
	table      *gossip.Table
	replica    *Replica
	stop       context.CancelFunc
	group      sync.WaitGroup
	announced  [2]bool
}

// fleet is a set of boxes in one process, without sockets and on the test's own clock.
type fleet struct {
	t      *testing.T
	store  *modelStore
	random *rand.Rand
	mu     sync.Mutex
	boxes  map[string]*fleetBox
	// lastFault is when a box or its connection to the store last had a fault; faults is how
	// many faults a box has now. Both are by name, since faults outlast an incarnation of the
	// box.
	lastFault map[string]time.Time
	faults    map[string]int
	// cuts are pairs of boxes or zones that cannot reach each other.
	cuts map[[2]string]int
	// accepted is when the store accepted a change, by kind and revision.
	accepted map[string]map[uint64]time.Time
	// removed is the revision that deleted an object, by kind and name.
	removed map[string]uint64
	// storeLastFault is when the store as a whole last had a fault that affects all boxes.
	storeLastFault time.Time
	storeFaults    int
	background     sync.WaitGroup
	ended          context.Context
	// faultLog lists the faults that were played, to be printed if the fleet fails.
	faultLog []string
}

func (f *fleet) chance(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Intn(n)
}

// reaches reports whether two boxes can reach each other.
func (f *fleet) reaches(a, b *fleetBox) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, pair := range [][2]string{{a.name, b.name}, {b.name, a.name}, {a.zone, b.zone}, {b.zone, a.zone}, {a.name, "*"}, {b.name, "*"}} {
		if f.cuts[pair] > 0 && a != b {
			return false
		}
	}
	return true
}

func (f *fleet) box(name string) *fleetBox {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[name]
}

// names returns the names of the running boxes, sorted.
func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for name := range f.boxes {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func (f *fleet) logFault(parts ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultLog = append(f.faultLog, time.Now().Format("05.000 ")+fmt.Sprintln(parts...))
}

func delayBetween(a, b *fleetBox) time.Duration {
	if fleetZones[a.zone] == fleetZones[b.zone] {
		return nearDelay
	}
	return farDelay
}

// start starts a box, or a new incarnation of one.
func (f *fleet) start(name, zone string) {
	b := &fleetBox{name: name, zone: zone}
	ctx, stop := context.WithCancel(f.ended)
	b.stop = stop
	b.table = gossip.NewTable(gossip.Record{Box: name, Zone: zone, Peers: name, Started: time.Now().UnixNano()}, time.Now, f.chance)
	b.table.Seeds = func() []string { return []string{"east-a-0", "west-a-0", "west-b-1"} }
	log := logging.For(logging.New(logging.NewAsyncJSONHandler(io.Discard), logging.ParseLevel("error")), "test")
	b.replica = New(Options{
		Now:   time.Now,
		Kinds: storeKinds, Zone: zone, ContactWindow: contactTime, DrainTime: drainTime,
		Client: f.store.client(name), Members: b.table,
		Fetch: func(ctx context.Context, source string, m *objects.Mirror) (*Handover, error) {
			return f.fetch(ctx, b, source, m)
		},
		WatchersPerZone: func() int { return 1 }, OnAnswer: func() {}, OnEra: func() {},
		Go: func(work func()) { b.group.Go(work) }, Context: ctx,
		Metrics: metrics.NewRegistry(), BoxLog: log, StoreLog: log,
	})
	f.mu.Lock()
	f.boxes[name] = b
	f.lastFault[name] = time.Now()
	f.mu.Unlock()
	b.replica.Run()
	b.group.Go(func() { f.tick(ctx, b) })
}

// tick runs the periodic work of a box.
func (f *fleet) tick(ctx context.Context, b *fleetBox) {
	time.Sleep(time.Duration(f.chance(100)) * time.Millisecond)
	for turn := 0; ctx.Err() == nil; turn++ {
		if turn%5 == 0 || b.table.Count() == 1 {
			b.table.Expire()
			b.table.Update(b.replica.CopyState().FillRecord)
			for _, e := range b.table.Beat() {
				f.carry(b, e)
			}
			b.replica.PullOverdue()
		}
		b.replica.Tick()
		news := b.replica.TakeUnannounced()
		b.table.Update(b.replica.CopyState().FillRecord)
		self := b.table.Self()
		if now := [2]bool{self.StoreHealthy, self.StoreUnanswered}; news || now != b.announced {
			b.announced = now
			f.carry(b, b.table.Announce())
		}
		time.Sleep(tickEvery)
	}
}

// carry delivers a message to its receivers.
func (f *fleet) carry(from *fleetBox, e gossip.Envelope) {
	for _, name := range e.To {
		if f.chance(lostOneIn) == 0 {
			continue
		}
		f.background.Go(func() {
			to := f.box(name)
			if to == nil || !f.reaches(from, to) {
				return
			}
			time.Sleep(delayBetween(from, to))
			if f.box(name) != to || f.ended.Err() != nil {
				return
			}
			answers, greetings := to.table.Receive(&e.Message)
			for _, a := range answers {
				f.carry(to, gossip.Envelope{Message: a, To: []string{from.name}})
			}
			for _, g := range greetings {
				f.carry(to, g)
			}
			to.replica.HandleRecord(&e.Message.From)
		})
	}
}

// fleetSeeds is how many fleets are played.
var fleetSeeds = flag.Int("fleets", 60, "how many fleets are played")

var errNotReached = errors.New("not reached")

// fetch asks a box for its copy.
func (f *fleet) fetch(ctx context.Context, b *fleetBox, source string, m *objects.Mirror) (*Handover, error) {
	from := f.box(source)
	if from == nil || !f.reaches(b, from) {
		select {
		case <-time.After(dialTimeout):
		case <-ctx.Done():
		}
		return nil, errNotReached
	}
	time.Sleep(2 * delayBetween(b, from))
	theirs := from.replica.Mirror(m.Kind)
	if m.Synced() {
		if events, held, ok := theirs.EventsSince(m.Version().Position()); ok {
			time.Sleep(delayBetween(b, from))
			return &Handover{Events: events, Extent: held}, nil
		}
	}
	if !theirs.Synced() {
		return nil, errNotReached
	}
	items, held := theirs.Items()
	time.Sleep(delayBetween(b, from))
	return &Handover{Whole: true, Items: items, Extent: held}, nil
}

// ----------------------------------------------------------------
// Faults
// ----------------------------------------------------------------

// markFault marks boxes as having a fault until the returned function is called.
func (f *fleet) markFault(names ...string) (end func()) {
	mark := func(change int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, name := range names {
			f.faults[name] += change
			f.lastFault[name] = time.Now()
		}
	}
	mark(1)
	return func() { mark(-1) }
}

// some returns some of the running boxes, at least one if any is running.
func (f *fleet) some() []string {
	names := f.names()
	if len(names) == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:1+f.random.Intn(len(names))]
}

// playFault plays one fault and returns when it is over.
func (f *fleet) playFault() {
	time.Sleep(time.Duration(f.chance(int((fleetTime-quietTime-2*time.Second)/time.Millisecond))) * time.Millisecond)
	lasts := time.Duration(200+f.chance(5000)) * time.Millisecond
	switch f.chance(7) {
	case 0, 1:
		f.failStoreFor(f.some(), treatment(1+f.chance(2)), lasts)
	case 2:
		f.storeDown(treatment(1+f.chance(2)), lasts)
	case 3:
		f.compact()
	case 4:
		if names := f.some(); len(names) > 0 {
			f.cut([2]string{names[0], "*"}, lasts)
		}
	case 5:
		f.cut([2]string{"east-a", "west-a"}, lasts)
	case 6:
		f.restart(f.some())
	}
}

func (f *fleet) failStoreFor(names []string, m treatment, lasts time.Duration) {
	f.logFault("store fails for", names, m, lasts)
	end := f.markFault(names...)
	defer end()
	f.store.treat(m, names...)
	time.Sleep(lasts)
	f.store.treat(serving, names...)
}

func (f *fleet) markStore(change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFaults += change
	f.storeLastFault = time.Now()
}

func (f *fleet) storeDown(m treatment, lasts time.Duration) {
	f.logFault("store down", m, lasts)
	f.markStore(1)
	defer f.markStore(-1)
	names := f.names()
	f.store.treat(m, names...)
	time.Sleep(lasts)
	f.store.treat(serving, names...)
}

func (f *fleet) compact() {
	f.logFault("history discarded")
	f.markStore(1)
	f.store.compact()
	f.markStore(-1)
}

// cut separates two boxes or zones from each other, or a box from all others; they still reach
// the store.
func (f *fleet) cut(pair [2]string, lasts time.Duration) {
	add := func(n int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cuts[pair] += n
	}
	f.logFault("cut", pair, lasts)
	add(1)
	time.Sleep(lasts)
	add(-1)
}

// restart stops boxes and starts them again without any state.
func (f *fleet) restart(names []string) {
	f.logFault("restarted", names)
	for _, name := range names {
		b := f.box(name)
		if b == nil {
			continue
		}
		f.mu.Lock()
		delete(f.boxes, name)
		f.mu.Unlock()
		b.stop()
		b.group.Wait()
		f.background.Go(func() {
			time.Sleep(500 * time.Millisecond)
			if f.ended.Err() == nil {
				f.start(name, b.zone)
			}
		})
	}
}

// ----------------------------------------------------------------
// Changes and checks
// ----------------------------------------------------------------

// bounds are the times within which a change must be known to each box that is in touch with
// the store, by kind.
var bounds = map[string]time.Duration{
	storeKinds.Servers: drainTime, storeKinds.Configuration: 2500 * time.Millisecond, storeKinds.Evacuations: 5 * time.Second,
}

// note records when the store accepted its newest change of a kind while it had no fault.
func (f *fleet) note(kind string) {
	f.store.mu.Lock()
	at := f.store.at
	f.store.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.accepted[kind] == nil {
		f.accepted[kind] = map[uint64]time.Time{}
	}
	f.accepted[kind][at] = time.Now()
}

// noteRemoval is note for a change that deleted an object.
func (f *fleet) noteRemoval(kind, name string) {
	f.note(kind)
	f.store.mu.Lock()
	at := f.store.at
	f.store.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removed[kind+"/"+name] = at
}

// change changes objects at random times.
func (f *fleet) change(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(100+f.chance(900)) * time.Millisecond)
		f.mu.Lock()
		down := f.storeFaults > 0
		f.mu.Unlock()
		if down {
			continue
		}
		name := fmt.Sprint("server-", f.chance(9))
		switch f.chance(6) {
		case 0:
			f.store.put(storeKinds.Configuration, "main", i)
			f.note(storeKinds.Configuration)
		case 1:
			f.store.put(storeKinds.Evacuations, fmt.Sprint("zone-", f.chance(3)), i)
			f.note(storeKinds.Evacuations)
		case 2:
			f.store.remove(storeKinds.Servers, name)
			f.noteRemoval(storeKinds.Servers, name)
		default:
			f.store.put(storeKinds.Servers, name, i)
			f.note(storeKinds.Servers)
		}
	}
}

// inTouch reports whether the bounds apply to a box: neither the box nor the store had a fault
// within the contact window.
func (f *fleet) inTouch(b *fleetBox) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return f.faults[b.name] == 0 && now.Sub(f.lastFault[b.name]) > contactTime && f.storeFaults == 0 && now.Sub(f.storeLastFault) > contactTime
}

// check describes a change that a box in touch does not know although it must, or an error in
// its age of the configuration. It returns "" if there is neither.
func (f *fleet) check(b *fleetBox) string {
	bound := f.inTouch(b)
	for kind, within := range bounds {
		m := b.replica.Mirror(kind)
		items, _ := m.Items()
		held := map[string]objects.Object{}
		for _, o := range items {
			held[o.Name] = o
		}
		f.store.mu.Lock()
		current := f.store.objects[kind]
		lacks := func(age time.Duration) string {
			f.mu.Lock()
			defer f.mu.Unlock()
			for name, o := range current {
				if at, ok := f.accepted[kind][o.Revision]; ok && time.Since(at) > age && held[name].Revision < o.Revision {
					return fmt.Sprintf("%s: %s/%s at revision %d, accepted %s ago, is not known (held: %d)", b.name, kind, name, o.Revision, time.Since(at), held[name].Revision)
				}
			}
			for name, o := range held {
				if _, ok := current[name]; ok {
					continue
				}
				for revision, at := range f.accepted[kind] {
					if revision > o.Revision && time.Since(at) > age && f.isRemoval(kind, name, revision) {
						return fmt.Sprintf("%s: %s/%s was deleted at revision %d, %s ago, but is held at revision %d", b.name, kind, name, revision, time.Since(at), o.Revision)
					}
				}
			}
			return ""
		}
		problem := ""
		if bound && m.Synced() {
			problem = lacks(within)
		}
		if age, ok := b.replica.ConfigurationAge(); problem == "" && kind == storeKinds.Configuration && ok {
			if wrong := lacks(age + 2*storeDelay); wrong != "" {
				problem = fmt.Sprintf("reports its configuration to be %s old: %s", age, wrong)
			}
		}
		f.store.mu.Unlock()
		if problem != "" {
			return problem
		}
	}
	return ""
}

// isRemoval reports whether a revision deleted the object.
func (f *fleet) isRemoval(kind, name string, revision uint64) bool {
	return f.removed[kind+"/"+name] == revision
}

func playFleet(t *testing.T, seed int64) {
	synctest.Test(t, func(t *testing.T) {
		ended, end := context.WithCancel(t.Context())
		f := &fleet{
			t: t, store: newModelStore(), random: rand.New(rand.NewSource(seed)), boxes: map[string]*fleetBox{},
			lastFault: map[string]time.Time{}, faults: map[string]int{}, cuts: map[[2]string]int{}, accepted: map[string]map[uint64]time.Time{}, removed: map[string]uint64{}, ended: ended,
		}
		f.store.byKind = seed%4 == 3
		f.store.put(storeKinds.Configuration, "main", -1)
		f.store.put(storeKinds.Evacuations, "zone-0", -1)
		for i := range 9 {
			f.store.put(storeKinds.Servers, fmt.Sprint("server-", i), -1)
		}
		zones := []string{"east-a", "east-b", "west-a", "west-b"}
		for i := range 8 + f.chance(5) {
			f.start(fmt.Sprintf("%s-%d", zones[i%4], i/4), zones[i%4])
		}
		for range 1 + f.chance(4) {
			f.background.Go(f.playFault)
		}
		changing, stopChanging := context.WithCancel(ended)
		f.background.Go(func() { f.change(changing) })
		problem := ""
		for start := time.Now(); time.Since(start) < fleetTime && problem == ""; time.Sleep(checkEvery) {
			for _, name := range f.names() {
				if b := f.box(name); b != nil && problem == "" {
					problem = f.check(b)
				}
			}
		}
		stopChanging()
		end()
		for _, name := range f.names() {
			b := f.box(name)
			b.stop()
			b.group.Wait()
		}
		f.background.Wait()
		if problem != "" {
			t.Fatalf("seed %d, at %s: %s\n%s", seed, time.Now().Format("05.000"), problem, f.faultLog)
		}
	})
}

// TestBoxesInTouchKnowWhatTheStoreTook: whatever happens to others, a box that had no fault,
// and for which the store had none, throughout the contact window knows each change within its
// bound: leaving servers, configurations, evacuations. And no box ever takes its configuration
// to be newer than it is, on which the time for which keys are valid rests. One store in four
// counts the changes of each kind separately.
func TestBoxesInTouchKnowWhatTheStoreTook(t *testing.T) {
	for seed := range int64(*fleetSeeds) {
		playFleet(t, seed)
	}
}
