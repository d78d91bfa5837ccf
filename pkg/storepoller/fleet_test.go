package storepoller

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/gossip"
	"github.com/stoneworks/stoneworks/pkg/objects"
)

const (
	// tick is how often a box decides on its role, and step by how much the model's time
	// advances; the ticks of boxes do not coincide.
	tick = 100 * time.Millisecond
	step = 20 * time.Millisecond
	// pages is the length of the list in pages, and pagesWithoutRole how many of them each box reads
	// without having the role.
	pages            = 33
	pagesWithoutRole = 2
	// silence is how long a polling box may be silent.
	silence = 3 * gossip.Interval
)

// modelBox is a box of a model fleet, with its table of other boxes, its role, and a list that
// it reads or receives from another box.
type modelBox struct {
	name, zone  string
	far         bool
	table       *gossip.Table
	role        *Role
	polls       bool
	synced      bool
	announced   [2]bool
	pages       int
	nextTick    time.Time
	nextBeat    time.Time
	nextPage    time.Time
	heardOfList time.Time
	calls       int
	readLong    bool
}

// modelFleet is many boxes in one process, without sockets. The store is in the region of the
// first zones; boxes of other zones need 75 ms for a page.
type modelFleet struct {
	now    time.Time
	random *rand.Rand
	boxes  []*modelBox
	byName map[string]*modelBox
	// refused reports whether the store answers a box with an error.
	refused func(b *modelBox) bool
	// changes counts how often boxes began or stopped polling.
	changes int
}

func newModelFleet(zones, perZone int, seed int64) *modelFleet {
	f := &modelFleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewSource(seed)), byName: map[string]*modelBox{},
		refused: func(*modelBox) bool { return false },
	}
	for z := range zones {
		for i := range perZone {
			f.start(fmt.Sprintf("box-%d-%d", z, i), fmt.Sprintf("zone-%d", z), z >= (zones+2)/3)
		}
	}
	return f
}

func (f *modelFleet) start(name, zone string, far bool) *modelBox {
	self := gossip.Record{Box: name, Zone: zone, Peers: name, Started: f.now.UnixNano()}
	b := &modelBox{name: name, zone: zone, far: far}
	b.table = gossip.NewTable(self, func() time.Time { return f.now }, f.random.Intn)
	b.table.Seeds = func() []string { return []string{"box-0-0", "box-1-0", "box-2-0"} }
	after := time.Duration(f.random.Int63n(int64(300 * time.Millisecond)))
	b.role = New(func() int { return 1 }, contact, f.now.Add(after), f.random.Float64())
	b.nextTick, b.nextBeat, b.nextPage = f.now.Add(after), f.now.Add(after), f.now.Add(after)
	if f.byName[name] == nil {
		f.boxes = append(f.boxes, b)
	} else {
		for i := range f.boxes {
			if f.boxes[i].name == name {
				f.boxes[i] = b
			}
		}
	}
	f.byName[name] = b
	return b
}

func (f *modelFleet) stop(name string) {
	delete(f.byName, name)
	for i := range f.boxes {
		if f.boxes[i].name == name {
			f.boxes = append(f.boxes[:i:i], f.boxes[i+1:]...)
			return
		}
	}
}

// run advances the time. One datagram in 40 is lost.
func (f *modelFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, b := range f.boxes {
			f.advance(b)
		}
	}
}

func (f *modelFleet) advance(b *modelBox) {
	if !f.now.Before(b.nextPage) && !b.synced {
		f.read(b)
	}
	if !f.now.Before(b.nextTick) {
		b.nextTick = b.nextTick.Add(tick)
		if b.table.Count() == 1 {
			f.beat(b)
		}
		f.decide(b)
	}
	if !f.now.Before(b.nextBeat) {
		b.nextBeat = b.nextBeat.Add(gossip.Interval)
		b.table.Expire()
		f.beat(b)
	}
}

func (f *modelFleet) beat(b *modelBox) {
	for _, e := range b.table.Beat() {
		f.send(b, e)
	}
}

// read requests a page of the store if the box may.
func (f *modelFleet) read(b *modelBox) {
	if b.pages >= pagesWithoutRole && !b.role.ReadsAllPages(f.now) {
		return
	}
	b.calls++
	if f.refused(b) {
		b.nextPage = f.now.Add(time.Second)
		return
	}
	b.pages++
	b.readLong = b.pages > pagesWithoutRole
	b.synced = b.pages == pages
	b.nextPage = f.now.Add(5 * time.Millisecond)
	if b.far {
		b.nextPage = f.now.Add(75 * time.Millisecond)
	}
}

func (f *modelFleet) decide(b *modelBox) {
	z := b.table.StoreContacts(silence)
	answered := b.polls && b.synced && !f.refused(b)
	answers := answered
	b.table.EachLive(func(r *gossip.Record) { answers = answers || r.StoreHealthy })
	polls := b.role.ShouldPoll(View{
		HealthyBefore: z.HealthyBefore, UnansweredBefore: z.UnansweredBefore, IdleBefore: z.IdleBefore, ZoneHealthy: z.Healthy,
		Synced: b.synced, Answered: answered, StoreAnswers: answers,
	}, f.now)
	if polls != b.polls {
		f.changes++
	}
	b.polls = polls
	now := [2]bool{polls && b.synced && !f.refused(b), polls}
	b.table.Update(func(self *gossip.Record) {
		if b.synced {
			self.Versions = map[string]objects.Version{"servers": {Revision: 1}}
		}
		self.StoreHealthy, self.StoreUnanswered = now[0], now[1] && !now[0]
	})
	if now != b.announced {
		b.announced = now
		f.send(b, b.table.Announce())
	}
}

func (f *modelFleet) send(from *modelBox, e gossip.Envelope) {
	for _, name := range e.To {
		to := f.byName[name]
		if to == nil || f.random.Intn(40) == 0 {
			continue
		}
		answers, greetings := to.table.Receive(&e.Message)
		if len(e.Message.From.Versions) > 0 {
			f.copyList(to, e.Message.From.Zone)
		}
		for _, a := range answers {
			f.send(to, gossip.Envelope{Message: a, To: []string{from.name}})
		}
		for _, g := range greetings {
			f.send(to, g)
		}
	}
}

// copyList makes a box copy the list of a box that has it: at once if that box is of its own zone
// or if it is to poll the store, and otherwise two heartbeats after it first heard of the
// list.
func (f *modelFleet) copyList(b *modelBox, zone string) {
	if b.heardOfList.IsZero() {
		b.heardOfList = f.now
	}
	if zone == b.zone || b.polls || f.now.Sub(b.heardOfList) >= 2*gossip.Interval {
		b.synced = true
	}
}

func (f *modelFleet) count(what func(b *modelBox) bool) int {
	n := 0
	for _, b := range f.boxes {
		if what(b) {
			n++
		}
	}
	return n
}

func synced(b *modelBox) bool   { return b.synced }
func polls(b *modelBox) bool    { return b.polls }
func readLong(b *modelBox) bool { return b.readLong }

// TestStartOfAFleetReadsFewLists checks that, however many boxes start at once, at most three
// for each zone read a long list, all have it within three seconds, and one of each zone polls
// the store from then on.
func TestStartOfAFleetReadsFewLists(t *testing.T) {
	for _, perZone := range []int{3, 10, 33} {
		for seed := range int64(3) {
			is := is.New(t)
			f := newModelFleet(9, perZone, seed)
			f.run(3 * time.Second)
			long := f.count(readLong)
			t.Logf("%d boxes: %d read a long list", len(f.boxes), long)
			is.True(long <= 3*9)
			is.Equal(f.count(synced), len(f.boxes))
			f.run(5 * time.Second)
			is.Equal(f.count(polls), 9)
		}
	}
}

// TestRolesAreStable checks that no box begins or stops polling in a fleet without faults.
// With the receivers of heartbeats drawn at random, 295 boxes did so 973 times in 21 s.
func TestRolesAreStable(t *testing.T) {
	is := is.New(t)
	f := newModelFleet(9, 33, 1)
	f.run(8 * time.Second)
	before := f.changes
	f.run(30 * time.Second)
	is.Equal(f.changes, before)
}

// TestStartWithoutTheFirstBoxes checks that other boxes read the list if the store refuses the
// first boxes of each zone, or if these end while they read.
func TestStartWithoutTheFirstBoxes(t *testing.T) {
	for _, c := range []struct {
		name        string
		injectFault func(f *modelFleet)
	}{
		{"refused", func(f *modelFleet) {
			f.refused = func(b *modelBox) bool { return b.name[len(b.name)-2:] == "-0" || b.name[len(b.name)-2:] == "-1" }
		}},
		{"ended", func(f *modelFleet) {
			f.run(600 * time.Millisecond)
			for z := range 9 {
				f.stop(fmt.Sprintf("box-%d-0", z))
				f.stop(fmt.Sprintf("box-%d-1", z))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newModelFleet(9, 33, 2)
			c.injectFault(f)
			f.run(contact + 4*time.Second)
			is.Equal(f.count(synced), len(f.boxes))
			t.Logf("%d of %d boxes read a long list", f.count(readLong), len(f.boxes))
			is.True(f.count(readLong) <= 5*9)
		})
	}
}

// TestWatcherThatEndsIsFollowed checks that when a box that polls ends, exactly one other box
// of the zone polls within two and a half seconds, and that a box that starts does not take
// over before it has the list.
func TestWatcherThatEndsIsFollowed(t *testing.T) {
	for seed := range int64(5) {
		is := is.New(t)
		f := newModelFleet(3, 33, seed)
		f.run(8 * time.Second)
		for _, b := range f.boxes {
			if b.polls && b.zone == "zone-1" {
				f.stop(b.name)
				break
			}
		}
		f.run(2500 * time.Millisecond)
		is.Equal(f.count(func(b *modelBox) bool { return b.polls && b.zone == "zone-1" }), 1)
		b := f.start("box-1-0", "zone-1", true)
		f.run(time.Second)
		is.True(b.synced)
		is.True(!b.readLong)
		f.run(3 * time.Second)
		is.Equal(f.count(polls), 3)
	}
}
