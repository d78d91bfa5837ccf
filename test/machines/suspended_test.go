package machines

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSuspendedBoxKnowsHowOldItsCopiesAre checks that a box whose machine was suspended does not take
// its configuration for current, and so answers 503, not 404, for an unknown path.
func TestSuspendedBoxKnowsHowOldItsCopiesAre(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	b := f.Boxes[0]
	client := &Client{Address: b.Clients}
	defer client.Close()
	is.Equal(client.Do("GET", "/unknown/1", "before", "", "").Status, 404)
	f.Store.SetMode(func(string, string) Mode { return Silent })
	b.Suspend(10 * time.Second)
	is.Equal(client.Do("GET", "/unknown/1", "after", "", "").Status, 503)
	is.Equal(client.Do("GET", "/read/1", "served", "", "").Status, 200) // with its last list of servers
}

// TestRequestWhoseTimeASuspensionTookIsNotSentOn checks that a box does not retry a request whose
// deadline passed during a suspension, since the client no longer waits for it.
func TestRequestWhoseTimeASuspensionTookIsNotSentOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1", "east-a.2")
	b := f.Boxes[0]
	var suspended atomic.Bool
	for _, s := range f.Servers {
		s.SetFault(func(r *Run) Fault {
			if r.Target != "/read/late" {
				return NoFault
			}
			if !suspended.Swap(true) {
				b.Suspend(5 * time.Second)
			}
			return Refuse
		})
	}
	client := &Client{Address: b.Clients}
	defer client.Close()
	for i := range 30 { // these earn the budget for a retry
		is.Equal(client.Do("GET", "/read/earn", fmt.Sprint("earn-", i), "", "").Status, 200)
	}
	arrivals := func() int { return f.Servers["east-a.1"].Arrivals() + f.Servers["east-a.2"].Arrivals() }
	before := arrivals()
	a := client.Do("GET", "/read/late", "late", "", "")
	is.Equal(a.Status, 503)
	is.Equal(arrivals()-before, 1)
}

// TestSuspensionIsNoted checks that a box logs a suspension and its duration.
func TestSuspensionIsNoted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, "east-a.1")
	log := &syncBuffer{}
	f.log = log
	b, err := f.AddBox("east-a")
	is.NoErr(err)
	eventually(t, "the box is ready", b.Node.Ready)
	b.Suspend(3 * time.Second)
	eventually(t, "the suspension is logged", func() bool {
		return strings.Contains(log.String(), "the machine was suspended") && strings.Contains(log.String(), `"away_ms":`)
	})
}

// TestBoxThatWasAwayForLongIsNotAlone checks that a box whose suspension was longer than it remembers
// other boxes does not count itself as the only box, and so does not claim the shares of all.
func TestBoxThatWasAwayForLongIsNotAlone(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, "east-a.1", "east-b.1", "west-a.1")
	eventually(t, "all boxes know each other", allKnown(f))
	b := f.Boxes[1]
	eventually(t, "the box has settled", func() bool { return b.Set.Boxes() == 3 })
	b.Suspend(2 * time.Minute)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		among := b.Set.Boxes()
		is.True(among == 0 || among == 3)
	}
	eventually(t, "the box counts all again", func() bool { return b.Set.Boxes() == 3 })
}

// TestRestEndsInASuspension checks that the time of a Retry-After goes on during a suspension, and that
// a server that announced that it leaves is still known to leave after one.
func TestRestEndsInASuspension(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1", "east-a.2")
	b := f.Boxes[0]
	client := &Client{Address: b.Clients}
	defer client.Close()
	do := func(i int) *Answer {
		return client.Do("GET", "/read/1", fmt.Sprint("r-", i), "", "X-Stoneworks-Affinity-Key: 1\r\n")
	}
	is.Equal(do(0).Status, 200)
	home, other := f.Servers["east-a.1"], f.Servers["east-a.2"]
	if home.Arrivals() == 0 {
		home, other = other, home
	}
	home.RejectWithRetryAfter("30")
	for i := range 5 {
		do(1 + i)
	}
	home.RejectWithRetryAfter("")
	rested := home.Arrivals()
	is.True(rested <= 2)
	b.Suspend(20 * time.Second)
	for i := range 5 {
		is.Equal(do(10+i).Status, 200)
	}
	is.Equal(home.Arrivals(), rested)
	b.Suspend(20 * time.Second)
	for i := range 5 {
		is.Equal(do(20+i).Status, 200)
	}
	is.True(home.Arrivals() > rested)
	other.SetHeader(LeavingHeader, "1")
	home.RejectWithRetryAfter("1")
	do(30)
	left := other.Arrivals()
	b.Suspend(20 * time.Second)
	home.RejectWithRetryAfter("")
	for i := range 5 {
		is.Equal(do(40+i).Status, 200)
	}
	is.Equal(other.Arrivals(), left)
}
