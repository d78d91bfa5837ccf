package backend

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// playCold has a fleet of boxes, two zones of each of three regions, send all that they may to one cold server
// for three seconds, and returns the most requests in a second, and all. Of each zone one box in so many
// gets clients.
func playCold(t *testing.T, boxes, oneIn int) (most, all int) {
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

// TestServiceThatIsColdServesWhatItBears. The story: all servers of a service were cold, as after a loss of power,
// and each request was refused for want of room for as long as that took, though a cold server bears some requests
// a second. What the choice calls better than nothing was never chosen.
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
		is.Equal(l.ID, warm[0].ID) // one that is warm goes first
		l.Done(Answered, nil)
		c.advance(50 * time.Millisecond)
	}
}

// TestColdServerIsWarmedByFleetsOfAnySize. The story: each box has an even part of what a cold server bears from
// all boxes together, 21 requests a second here, rounded down: from 22 boxes on nobody sent it anything while it was
// cold, however long that took, and all that its keys ask for came at once when it was not.
func TestColdServerIsWarmedByFleetsOfAnySize(t *testing.T) {
	for _, boxes := range []int{1, 6, 12, 21, 22, 74, 300, 1000} {
		is := is.New(t)
		most, all := playCold(t, boxes, 1)
		t.Logf("%d boxes: at most %d requests in a second, %d in three", boxes, most, all)
		is.True(most <= 21)
		is.True(all >= 3*21/4) // a quarter of what it bears, at least
	}
}

// TestColdServerIsWarmedByBoxesThatServe. The story: of a fleet of 985 boxes the directory names the ten largest of
// each zone to clients. A cold server was to get one request a second from each of some boxes of its region, drawn
// among all of these, nine tenths of which never have a request: it got one a second, or none.
func TestColdServerIsWarmedByBoxesThatServe(t *testing.T) {
	for _, boxes := range []int{74, 300, 1000, 3000} {
		is := is.New(t)
		most, all := playCold(t, boxes, 10)
		t.Logf("%d boxes: at most %d requests in a second, %d in three", boxes, most, all)
		is.True(most <= 21)
		is.True(all >= min(3*21/4, 3*boxes/10/2))
	}
}

// BenchmarkColdPlace is what each cold server costs a box each coldPlaceEvery, among 300 boxes.
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

// TestColdServerIsSparedWhereBoxesDisagree: while the boxes that clients are told of vanish and come back, each box
// believes of each zone either that these live or that others have taken their place, whatever the others believe.
// A cold server is sent no more than it bears.
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
		terms := Bounds{ColdOverage: 1.5, ColdSlack: 8, MaxShift: 0.15, ShiftWindow: 2 * time.Second}
		bound := int(perSecond*terms.ColdOverage + terms.ColdSlack)
		c := &clock{at: time.Unix(1000, 0)}
		sent := 0
		for i := range peers {
			// The server's zone may have changed hands for this box; the large ones may still run.
			changed := rapid.Bool().Draw(t, "changed")
			view := slices.Clone(peers)
			for j := range view {
				if view[j].Zone == "west-a" && changed {
					view[j].Advertised = !view[j].Advertised
				}
			}
			s := NewSet(terms, peers[i].Zone, regionOf, func() int { return len(peers) }, c.now)
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
