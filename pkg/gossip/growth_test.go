package gossip

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newLargeTable returns a table that knows the given number of boxes, spread evenly over
// zones, and a heartbeat of one of them with as many liveness records as fit.
func newLargeTable(boxes, zones int) (*Table, *Message) {
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

// bytesPerHeartbeat returns how many bytes are allocated for each heartbeat.
func bytesPerHeartbeat(boxes, zones int) float64 {
	t, _ := newLargeTable(boxes, zones)
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

// TestHeartbeatsCostNoMoreInLargeFleets checks that the cost of a heartbeat does not grow with
// the fleet. When each heartbeat listed all boxes of the fleet in two maps by address to send
// to four of them, an idle box of a fleet of 1,000 spent ten times what one of 100 did on its
// own heartbeats, and nine boxes in ten of such a fleet do nothing else.
func TestHeartbeatsCostNoMoreInLargeFleets(t *testing.T) {
	is := is.New(t)
	// Zones have one size, since what is sent to the own zone may grow with it.
	small, large := bytesPerHeartbeat(300, 9), bytesPerHeartbeat(3000, 90)
	t.Logf("%.0f bytes per heartbeat with 300 boxes, %.0f with 3,000", small, large)
	is.True(large < 2*small)
}

// BenchmarkBeat measures the cost of a heartbeat for its sender, twice a second.
func BenchmarkBeat(b *testing.B) {
	for _, boxes := range []int{100, 1000, 3000} {
		t, _ := newLargeTable(boxes, 9)
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			for range b.N {
				t.Expire()
				t.Beat()
			}
		})
	}
}

// BenchmarkReceive measures the cost of a heartbeat for each receiver.
func BenchmarkReceive(b *testing.B) {
	for _, boxes := range []int{100, 1000, 3000} {
		t, m := newLargeTable(boxes, 9)
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

// BenchmarkLook measures the queries that a box makes ten times a second, on its zone and on
// all live boxes.
func BenchmarkLook(b *testing.B) {
	for _, boxes := range []int{100, 1000, 3000} {
		t, _ := newLargeTable(boxes, 9)
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			for range b.N {
				t.StoreContacts(time.Second)
				t.AnyStoreHealthy()
				t.StoreContacts(time.Second)
			}
		})
	}
}
