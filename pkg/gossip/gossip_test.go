package gossip

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet is some boxes whose datagrams a test carries.
type fleet struct {
	now    time.Time
	random *rand.Rand
	boxes  map[string]*Table
	// zoneOf returns a box's zone.
	zoneOf func(name string) string
	// cut reports whether a datagram is lost.
	cut func(from, to string) bool
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), random: rand.New(rand.NewSource(1)), boxes: map[string]*Table{}}
	f.cut = func(string, string) bool { return false }
	f.zoneOf = func(string) string { return "east-a" }
	return f.grow(n)
}

func newZonedFleet(n int, zoneOf func(name string) string) *fleet {
	f := newFleet(0)
	f.zoneOf = zoneOf
	return f.grow(n)
}

func (f *fleet) grow(n int) *fleet {
	for i := range n {
		f.start(fmt.Sprintf("box-%d", i))
	}
	return f
}

func (f *fleet) start(name string) {
	self := Record{Box: name, Zone: f.zoneOf(name), Peers: name, Clients: name, Started: f.now.UnixNano(), Ready: true}
	t := NewTable(self, func() time.Time { return f.now }, f.random.Intn)
	t.Seeds = func() []string { return []string{"box-0", "box-1", "box-2"} }
	f.boxes[name] = t
}

func (f *fleet) beat(rounds int) {
	for range rounds {
		for name, t := range f.boxes {
			for _, e := range t.Beat() {
				f.carry(name, t, e)
			}
			t.Expire()
		}
		f.now = f.now.Add(Interval)
	}
}

func (f *fleet) carry(name string, t *Table, e Envelope) {
	for _, address := range e.To {
		other := f.boxes[address]
		if other == nil || f.cut(name, address) {
			continue
		}
		if other.Receive(&e.Message) && !f.cut(address, name) {
			for _, m := range other.Introduce() {
				t.Receive(&m)
			}
		}
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
	f := newZonedFleet(5, func(name string) string {
		if name == "box-3" {
			return "west-a"
		}
		return "east-a"
	})
	f.cut = func(from, to string) bool {
		return from == "box-3" && to == "box-4" || from == "box-4" && to == "box-3"
	}
	f.beat(30)
	is.Equal(f.live("box-3"), 4)
	is.Equal(f.live("box-4"), 4)
}

func TestHeartbeatStaysSmall(t *testing.T) {
	is := is.New(t)
	f := newZonedFleet(100, func(name string) string { return "zone-" + name[len(name)-1:] })
	f.beat(20)
	for _, table := range f.boxes {
		for _, e := range table.Beat() {
			is.True(len(e.Message.Others) <= relayed)
			is.True(len(e.To) <= max(zoneFanOut, 2*farFanOut))
		}
	}
}

// TestManyBoxesStayLive: where boxes are too many to hear each of them from
// itself, none that is well is taken for silent. (On a deployment of 85 boxes
// each had taken about a hundred for silent in a day, all of them wrongly.)
func TestManyBoxesStayLive(t *testing.T) {
	is := is.New(t)
	f := newZonedFleet(90, func(name string) string { return "zone-" + name[len(name)-1:] })
	f.cut = func(string, string) bool { return f.random.Intn(100) < 2 }
	f.beat(30)
	silent := 0
	for _, table := range f.boxes {
		table.Changed = func(_ Record, what string) {
			if what == "silent" {
				silent++
			}
		}
	}
	f.beat(100)
	for name := range f.boxes {
		is.True(f.live(name) >= 88)
	}
	t.Log(silent, "taken for silent")
	is.True(silent <= 90*89*100/2000) // fewer than one in 2,000 of box, other box and heartbeat
}

// TestClockSetBackBetweenLives: a box that starts again with an earlier time of
// day than its last life is known all the same.
func TestClockSetBackBetweenLives(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	f.beat(12)
	f.start("box-4")
	f.boxes["box-4"].Update(func(self *Record) { self.Started -= int64(time.Hour) })
	f.beat(int(SuspectAfter/Interval) + 2)
	for name := range f.boxes {
		is.Equal(f.live(name), 5)
	}
}
