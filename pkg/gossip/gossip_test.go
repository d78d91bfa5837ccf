package gossip

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/objects"
)

// fleet is some boxes whose datagrams a test carries.
type fleet struct {
	now    time.Time
	random *rand.Rand
	boxes  map[string]*Table
	// cut reports whether a datagram is lost.
	cut func(from, to string) bool
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewSource(1)), boxes: map[string]*Table{}}
	f.cut = func(string, string) bool { return false }
	for i := range n {
		f.start(fmt.Sprintf("box-%d", i))
	}
	return f
}

func (f *fleet) start(name string) {
	self := Record{Box: name, Zone: "east-a", Peers: name, Clients: name, Started: f.now.UnixNano(), Ready: true}
	t := NewTable(self, func() time.Time { return f.now }, f.random.Intn)
	t.Seeds = func() []string { return []string{"box-0", "box-1", "box-2"} }
	f.boxes[name] = t
}

func (f *fleet) beat(rounds int) {
	for range rounds {
		for name, t := range f.boxes {
			m, to := t.Beat()
			for _, address := range to {
				other := f.boxes[address]
				if other == nil || f.cut(name, address) {
					continue
				}
				if other.Receive(&m) && !f.cut(address, name) {
					t.Receive(&Message{From: other.Self()})
				}
			}
			t.Expire()
		}
		f.now = f.now.Add(Interval)
	}
}

func (f *fleet) live(name string) int {
	n := 0
	for _, m := range f.boxes[name].Members() {
		if m.Live() {
			n++
		}
	}
	return n
}

func TestBoxesFindEachOtherThroughSeeds(t *testing.T) {
	is := is.New(t)
	f := newFleet(12)
	f.beat(12)
	for name, table := range f.boxes {
		is.Equal(f.live(name), 11)
		is.Equal(table.Count(), 12)
	}
}

// TestDeadBoxIsNotNamed: a box that fell silent is not live soon after, and
// no box that passes its old records on brings it back.
func TestDeadBoxIsNotNamed(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	f.beat(12)
	delete(f.boxes, "box-3")
	f.beat(int(SuspectAfter/Interval) + 3)
	for name := range f.boxes {
		is.Equal(f.live(name), 4)
		is.Equal(f.boxes[name].Count(), 6) // it may still be sending
	}
	f.beat(200)
	for name := range f.boxes {
		is.Equal(f.boxes[name].Count(), 5)
	}
}

// TestRestartedBoxIsKnownAtOnce: a new life counts though its heartbeats
// begin anew, and though the seeds are gone.
func TestRestartedBoxIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(8)
	f.beat(20)
	for _, seed := range []string{"box-0", "box-1", "box-2"} {
		delete(f.boxes, seed)
	}
	f.start("box-5")
	f.beat(2 * deadEvery)
	is.Equal(f.live("box-5"), 4)
	is.Equal(f.live("box-4"), 4)
}

// TestHeartbeatsArePassedOn: two boxes that cannot hear each other know of
// each other through the others.
func TestHeartbeatsArePassedOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	f.cut = func(from, to string) bool {
		return from == "box-3" && to == "box-4" || from == "box-4" && to == "box-3"
	}
	f.beat(30)
	is.Equal(f.live("box-3"), 4)
	is.Equal(f.live("box-4"), 4)
}

func TestHeartbeatStaysSmall(t *testing.T) {
	is := is.New(t)
	f := newFleet(100)
	f.beat(20)
	for _, table := range f.boxes {
		table.Update(func(self *Record) {
			self.Versions = map[string]objects.Version{"a": {}, "b": {}, "c": {}}
		})
		m, to := table.Beat()
		is.True(len(m.Others) <= relayed)
		is.True(len(to) <= 2*fanOut)
	}
}
