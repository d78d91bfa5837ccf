package backend

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// simulateCold runs a fleet of boxes, in two zones of each of three regions, that send as many
// requests as they may to one cold server for three seconds. It returns the most requests in any
// second, and the total. In each zone one of every oneIn boxes gets clients.
func simulateCold(t *testing.T, boxes, oneIn int) (most, all int) {
	t.Helper()
	zones := []string{"east-a", "east-b", "west-a", "west-b", "north-a", "north-b"}
	c := &clock{at: time.Unix(1000, 0)}
	var names []string
	var peers []Peer
	for i := range boxes {
		zone := zones[i%len(zones)]
		names = append(names, fmt.Sprintf("%s.%d", zone, i))
		peers = append(peers, Peer{Zone: zone, Region: regionOf(zone), Hash: Hash(names[i]), Advertised: i/len(zones)%oneIn == 0})
	}
	var sets []*Set
	for i := range boxes {
		zone := zones[i%len(zones)]
		s := NewSet(Bounds{ColdOverage: 1.5, ColdSlack: 5, MaxShift: 0.15, ShiftWindow: 2 * time.Second}, zone, regionOf, func() int { return boxes }, c.now)
		s.SetServices(map[string]ColdStartConfig{"shop": {ColdStart: 3 * time.Second, ColdPerSecond: 11}})
		others := slices.Delete(slices.Clone(peers), i, i+1)
		s.Peers = func() (Peer, []Peer) { return peers[i], others }
		list := servers("west-a", 1, 4)
		list[0].ColdFor = time.Minute
		s.Replace(list, true)
		if i/len(zones)%oneIn == 0 {
			sets = append(sets, s)
		}
	}
	var sent []time.Time
	for range 15 {
		c.advance(200 * time.Millisecond)
		for _, s := range sets {
			if l, err := choose(s, 1); err == nil {
				sent = append(sent, c.at)
				l.Done(Answered, nil)
			}
		}
	}
	for i := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(sent[i]) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most, len(sent)
}

// TestServiceThatIsColdServesWhatItBears guards against refusing every request while all servers
// of a service are cold, as after a power loss. A cold server accepts some requests per second,
// but the choice never picked one as the last resort.
func TestServiceThatIsColdServesWhatItBears(t *testing.T) {
	is := is.New(t)
	s, c := newTestSet(1)
	list := servers("east-a", 3, 4)
	for i := range list {
		list[i].ColdFor = 3 * time.Second
	}
	s.Replace(list, true)
	got := map[string]int{}
	for key := range 100 {
		if l, err := choose(s, mix(uint64(key))); err == nil {
			got[l.ID]++
			is.True(l.Cold)
			l.Done(Answered, nil)
		}
		c.advance(10 * time.Millisecond)
	}
	t.Log(got, "of 100 requests in a second")
	for _, v := range list {
		is.True(got[v.ID] >= 21/4 && got[v.ID] <= 21)
	}
	warm := servers("east-b", 1, 4)
	s.Replace(append(list, warm...), true)
	for key := range 20 {
		l, err := choose(s, mix(uint64(key)))
		is.NoErr(err)
		is.Equal(l.ID, warm[0].ID) // a warm server goes first
		l.Done(Answered, nil)
		c.advance(50 * time.Millisecond)
	}
}

// TestColdServerIsWarmedByFleetsOfAnySize guards against a share that rounds down to zero. A cold
// server here accepts 21 requests per second from all boxes together. With equal shares rounded
// down, fleets of 22 boxes or more sent it nothing while it was cold, and all requests for its
// keys came at once afterwards.
func TestColdServerIsWarmedByFleetsOfAnySize(t *testing.T) {
	for _, boxes := range []int{1, 6, 12, 21, 22, 74, 300, 1000} {
		is := is.New(t)
		most, all := simulateCold(t, boxes, 1)
		t.Logf("%d boxes: at most %d requests in a second, %d in three", boxes, most, all)
		is.True(most <= 21)
		is.True(all >= 3*21/4) // at least a quarter of what the server accepts
	}
}

// TestColdServerIsWarmedByBoxesThatServe guards against shares for boxes without clients. In a
// fleet of 985 boxes only the ten largest of each zone are advertised to clients. If some boxes
// of the server's region were drawn to send it one request per second each, nine tenths of them
// never had a request, and the server got one per second or none.
func TestColdServerIsWarmedByBoxesThatServe(t *testing.T) {
	for _, boxes := range []int{74, 300, 1000, 3000} {
		is := is.New(t)
		most, all := simulateCold(t, boxes, 10)
		t.Logf("%d boxes: at most %d requests in a second, %d in three", boxes, most, all)
		is.True(most <= 21)
		is.True(all >= min(3*21/4, 3*boxes/10/2))
	}
}

// BenchmarkColdPlace measures what each cold server costs a box every coldPlaceEvery, among 300
// boxes.
func BenchmarkColdPlace(b *testing.B) {
	s, _ := newTestSet(300)
	s.Replace(servers("east-a", 1, 4), true)
	peers := make([]Peer, 300)
	for i := range peers {
		peers[i] = Peer{Region: []string{"east", "west", "north"}[i%3], Hash: Hash(fmt.Sprint(i))}
	}
	s.Peers = func() (Peer, []Peer) { return peers[0], peers[1:] }
	for b.Loop() {
		s.coldPlaceOf(s.servers["east-a-0"], 300)
	}
}

// TestColdServerIsSparedWhereBoxesDisagree covers the time in which advertised boxes vanish and
// come back. Each box believes, independently of the others, that the advertised boxes of a zone
// are alive or that others have replaced them. A cold server must not get more than it accepts.
func TestColdServerIsSparedWhereBoxesDisagree(t *testing.T) {
	zones := []string{"east-a", "east-b", "west-a", "west-b"}
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		large, small := rapid.IntRange(1, 12).Draw(t, "large"), rapid.IntRange(1, 40).Draw(t, "small")
		perSecond := rapid.Float64Range(1, 20).Draw(t, "per second")
		var peers []Peer
		for _, zone := range zones {
			for i := range large + small {
				peers = append(peers, Peer{Zone: zone, Region: regionOf(zone), Hash: Hash(zone, fmt.Sprint(i)), Advertised: i < large})
			}
		}
		bounds := Bounds{ColdOverage: 1.5, ColdSlack: 8, MaxShift: 0.15, ShiftWindow: 2 * time.Second}
		bound := int(perSecond*bounds.ColdOverage + bounds.ColdSlack)
		c := &clock{at: time.Unix(1000, 0)}
		sent := 0
		for i := range peers {
			// In the view of this box, other boxes of the server's zone may have become the
			// advertised ones, while the large ones may still run.
			changed := rapid.Bool().Draw(t, "changed")
			view := slices.Clone(peers)
			for j := range view {
				if view[j].Zone == "west-a" && changed {
					view[j].Advertised = !view[j].Advertised
				}
			}
			s := NewSet(bounds, peers[i].Zone, regionOf, func() int { return len(peers) }, c.now)
			s.SetServices(map[string]ColdStartConfig{"shop": {ColdStart: 3 * time.Second, ColdPerSecond: perSecond}})
			self, others := view[i], slices.Delete(slices.Clone(view), i, i+1)
			s.Peers = func() (Peer, []Peer) { return self, others }
			list := servers("west-a", 1, 4)
			list[0].ColdFor = time.Minute
			s.Replace(list, true)
			for range 3 {
				if _, err := choose(s, 1); err == nil {
					sent++
				}
			}
		}
		is.True(sent <= bound)
	})
}
