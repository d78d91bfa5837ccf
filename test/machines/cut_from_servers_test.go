package machines

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// contactTime is how long after a cut began a box has to serve its clients again.
const contactTime = 4 * time.Second

// firstTries counts clients' requests by the box that they were sent to, each sent once.
type firstTries struct {
	mu     sync.Mutex
	from   time.Time
	served map[int]int
	failed map[int]int
	// problems counts the failed ones by how they failed.
	problems map[string]int
}

// add counts a request that was sent to a box at a time.
func (f *firstTries) add(box int, sent time.Time, a *Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.from.IsZero() || sent.Before(f.from) {
		return
	}
	if a.Status == 200 {
		f.served[box]++
		return
	}
	f.failed[box]++
	f.problems[fmt.Sprint(a.Status, " ", firstLine(a.Body), a.Problem)]++
}

// countFrom makes the requests count that are sent from now on.
func (f *firstTries) countFrom(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from = at
}

// cutFleet is six boxes, two in each zone, with six servers in all zones.
func cutFleet(t *testing.T) *Fleet {
	return newFleet(t, 6, "east-a.1", "east-a.2", "east-b.1", "east-b.2", "west-a.1", "west-a.2")
}

// startTries sends requests to all boxes, each once, until stop is called.
func startTries(f *Fleet) (tries *firstTries, stop func()) {
	tries = &firstTries{served: map[int]int{}, failed: map[int]int{}, problems: map[string]int{}}
	tr := newTrafficOf(f, 2*len(f.Boxes), 20*time.Millisecond, func(c *Client, i, n int) *Answer {
		sent := time.Now()
		method, target, body := "GET", fmt.Sprintf("/read/%d", n), ""
		if n%3 == 0 {
			method, target, body = "POST", fmt.Sprintf("/buy/%d", n), "body"
		}
		a := c.Do(method, target, fmt.Sprintf("try-%d-%d", i, n), body, fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", n%40))
		tries.add(i%len(f.Boxes), sent, a)
		return a
	})
	return tries, func() { tr.stopAndCount() }
}

// TestBoxesCutFromAllServersServe guards against boxes that serve nobody while they cannot reach the
// backend servers themselves, although other boxes can.
func TestBoxesCutFromAllServersServe(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  Cut
		// boxes are cut; box i stands in zone i%3.
		boxes []int
	}{
		{"hanging, one box", Hanging, []int{0}},
		{"hanging, a zone and half of the others", Hanging, []int{0, 3, 1, 2}},
		{"hanging, a region", Hanging, []int{0, 3, 1, 4}},
		{"reset, five boxes", ResetAll, []int{0, 1, 2, 3, 4}},
		{"new ones refused, a zone", RefusesNew, []int{0, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := cutFleet(t)
			tries, stop := startTries(f)
			time.Sleep(time.Second)
			for _, i := range c.boxes {
				f.Boxes[i].CutFromServers(c.cut, nil)
			}
			time.Sleep(contactTime)
			tries.countFrom(time.Now())
			time.Sleep(3 * time.Second)
			stop()
			served, failed, elsewhere := 0, 0, 0
			for i := range f.Boxes {
				elsewhere += tries.failed[i]
			}
			for _, i := range c.boxes {
				served, failed = served+tries.served[i], failed+tries.failed[i]
			}
			t.Logf("cut boxes served %d of %d first tries; %d failed in all: %v", served, served+failed, elsewhere, tries.problems)
			is.True(served+failed > 0)
			is.True(failed <= 10+(served+failed)/50)
			is.True(elsewhere <= 10+(served+failed)/50)
		})
	}
}
