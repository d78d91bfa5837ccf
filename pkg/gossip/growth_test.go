package gossip

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newCrowd returns a table that knows so many boxes, evenly in some zones, and a heartbeat of one of them with
// as many sightings as fit.
func newCrowd(boxes, zones int) (*Table, *Message) {
	now := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	record := func(i int) Record {
		return Record{
			Box: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%zones), Clients: fmt.Sprint("10.0.0.", i, ":1"), Peers: fmt.Sprint("10.0.0.", i, ":2"),
			Started: int64(i + 1), Sequence: 1, Capacity: 320,
		}
	}
	t := NewTable(record(0), func() time.Time { return now }, random.IntN)
	m := &Message{From: record(zones)}
	for i := 1; i < boxes; i++ {
		r := record(i)
		t.Receive(&Message{From: r})
		if i > zones && len(m.Liveness) < maxLivenessRecords {
			m.Liveness = append(m.Liveness, r.livenessRecord())
			m.Liveness[len(m.Liveness)-1].ID = r.id()
		}
	}
	for range 20 {
		t.Beat()
	}
	return t, m
}

// bytesABeat is what heartbeats allocate each.
func bytesABeat(boxes, zones int) float64 {
	t, _ := newCrowd(boxes, zones)
	const beats = 2000
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range beats {
		t.Expire()
		t.Beat()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / beats
}

// TestHeartbeatsCostNoMoreInLargeFleets. The story: an idle box of a fleet of 1,000 spent ten times what one of
// 100 did on its own heartbeats, and nine boxes in ten of such a fleet do nothing else. The cause: each heartbeat
// listed all boxes of the fleet, in two maps by address, to send to four of them.
func TestHeartbeatsCostNoMoreInLargeFleets(t *testing.T) {
	is := is.New(t)
	// With zones of one size: what is sent to the own zone may grow with it.
	small, large := bytesABeat(300, 9), bytesABeat(3000, 90)
	t.Logf("%.0f bytes a heartbeat of 300 boxes, %.0f of 3,000", small, large)
	is.True(large < 2*small)
}

// BenchmarkBeat is what a heartbeat costs its sender, twice a second.
func BenchmarkBeat(b *testing.B) {
	for _, boxes := range []int{100, 1000, 3000} {
		t, _ := newCrowd(boxes, 9)
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			for range b.N {
				t.Expire()
				t.Beat()
			}
		})
	}
}

// BenchmarkReceive is what a heartbeat costs those that it goes to.
func BenchmarkReceive(b *testing.B) {
	for _, boxes := range []int{100, 1000, 3000} {
		t, m := newCrowd(boxes, 9)
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			for range b.N {
				m.From.Sequence++
				for i := range m.Liveness {
					m.Liveness[i].Sequence++
				}
				t.Receive(m)
			}
		})
	}
}

// BenchmarkLook is what a box looks at ten times a second: its zone, and all live boxes.
func BenchmarkLook(b *testing.B) {
	for _, boxes := range []int{100, 1000, 3000} {
		t, _ := newCrowd(boxes, 9)
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			for range b.N {
				t.StoreContacts(time.Second)
				t.AnyStoreHealthy()
				t.StoreContacts(time.Second)
			}
		})
	}
}
