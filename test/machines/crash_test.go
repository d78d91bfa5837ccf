package machines

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/ctl"
	"github.com/stoneworks/stoneworks/pkg/quarantine"
)

// These tests guard against a request that crashes each server that executes it. Such a request
// crashed 30 servers of a service with 24 places within ten seconds, each with up to 20 other requests
// in flight, and half of the service was down for as long as its client kept retrying. No box
// remembered a request after its own attempt or reported it to other boxes, so each attempt
// crashed as many servers as the route allows tries. Nearly all of these attempts were first
// ones; only an eighth of the retry budget was used.

// crashingService is a service whose servers crash on some requests. The platform replaces each
// crashed server, under a new id or the same one.
type crashingService struct {
	fleet *Fleet
	// deadly reports whether a request crashes servers.
	deadly func(target string) bool

	// sameID makes a replacement start under the id of the crashed server.
	sameID bool

	mu      sync.Mutex
	started int
	servers []*Server
	// spared is a target that no longer crashes servers.
	sparedMu sync.Mutex
	spared   string
	pending  sync.WaitGroup
	done     chan struct{}
}

// crashZones are the zones in which a crashingService starts its servers.
var crashZones = []string{"east-a", "east-b", "west-a"}

const (
	// restartTime is the time from a crash until the replacement starts, and lapseTime the time
	// until the store removes the entry of the crashed server.
	restartTime = 600 * time.Millisecond
	lapseTime   = 900 * time.Millisecond
)

func newCrashingService(t *testing.T, f *Fleet, servers int, deadly func(target string) bool) *crashingService {
	t.Helper()
	c := &crashingService{fleet: f, deadly: deadly, done: make(chan struct{})}
	for i := range servers {
		c.start(t, crashZones[i%len(crashZones)], "")
	}
	t.Cleanup(func() {
		close(c.done)
		c.pending.Wait()
	})
	return c
}

// start starts a server in the zone under the id, or under a new id if that is "".
func (c *crashingService) start(t *testing.T, zone, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started++
	if id == "" {
		id = fmt.Sprintf("%s.%d", zone, c.started)
	}
	s, err := c.fleet.AddServer(id, "shop", zone, 4, 20*time.Millisecond)
	if err != nil {
		t.Error(err)
		return
	}
	c.servers = append(c.servers, s)
	s.SetCrashOn(c.isDeadly, func() { c.replace(t, id, zone) })
}

// isDeadly reports whether the target crashes the server that executes it. It does not lock mu,
// which is held while a server starts.
func (c *crashingService) isDeadly(target string) bool {
	c.sparedMu.Lock()
	defer c.sparedMu.Unlock()
	return target != c.spared && c.deadly(target)
}

// spare makes the target harmless from now on.
func (c *crashingService) spare(target string) {
	c.sparedMu.Lock()
	defer c.sparedMu.Unlock()
	c.spared = target
}

// replace starts a replacement of a crashed server, and removes the entry of a server whose id is
// not reused.
func (c *crashingService) replace(t *testing.T, id, zone string) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		if !c.wait(restartTime) {
			return
		}
		if c.sameID {
			c.start(t, zone, id)
			return
		}
		c.start(t, zone, "")
		if c.wait(lapseTime - restartTime) {
			c.fleet.Store.Delete("servers", id)
		}
	}()
}

// wait waits for d, and returns false if the test ends before.
func (c *crashingService) wait(d time.Duration) bool {
	select {
	case <-c.done:
		return false
	case <-time.After(d):
		return true
	}
}

// runs returns the sorted times at which servers started to execute the target.
func (c *crashingService) runs(target string) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var at []time.Time
	for _, s := range c.servers {
		for _, r := range s.Runs() {
			if r.Target == target {
				at = append(at, r.At)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// lateRuns counts the runs that started later than the contact time after the third run.
func lateRuns(at []time.Time, contact time.Duration) int {
	late := 0
	for i, when := range at {
		if i >= 3 && when.After(at[2].Add(contact)) {
			late++
		}
	}
	return late
}

// ordinaryPause is how long an ordinary client waits between two requests.
const ordinaryPause = 5 * time.Millisecond

// traffic sends requests to all boxes until it is stopped, and counts the answers by kind.
type traffic struct {
	stop    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	answers map[string]int
}

// newTraffic starts clients that send ordinary requests. A third of the requests have one common
// target, the others a target each. Some share the affinity key of the requests that crash servers.
func newTraffic(f *Fleet, clients int) *traffic {
	return newTrafficOf(f, clients, ordinaryPause, func(c *Client, i, n int) *Answer {
		id := fmt.Sprintf("ordinary-%d-%d", i, n)
		target := fmt.Sprintf("/read/%d/%d", i, n)
		if n%3 == 0 {
			target = "/read/hot"
		}
		return c.Do("GET", target, id, "", fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", n%7))
	})
}

// newTrafficOf starts clients that alternate between the pause and a request; request gets the
// client's number and the request's.
func newTrafficOf(f *Fleet, clients int, pause time.Duration, request func(c *Client, i, n int) *Answer) *traffic {
	tr := &traffic{stop: make(chan struct{}), answers: map[string]int{}}
	for i := range clients {
		tr.running.Add(1)
		go func() {
			defer tr.running.Done()
			c := &Client{Address: f.Boxes[i%len(f.Boxes)].Clients}
			defer c.Close()
			for n := 0; ; n++ {
				select {
				case <-tr.stop:
					return
				default:
				}
				time.Sleep(pause)
				tr.count(request(c, i, n))
			}
		}()
	}
	return tr
}

func (tr *traffic) count(a *Answer) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.answers[fmt.Sprint(a.Status, " ", strings.TrimSpace(firstLine(a.Body)))]++
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	if strings.HasPrefix(line, "the answer") {
		return "answer"
	}
	return line
}

// stopAndCount stops the clients and returns the number of answers of each kind.
func (tr *traffic) stopAndCount() map[string]int {
	close(tr.stop)
	tr.running.Wait()
	return tr.answers
}

// sendRepeatedly sends the request to each box in turn, as clients do that retry after a failure,
// and counts the answers by status.
func sendRepeatedly(f *Fleet, method, target, body, extra string, every, total time.Duration) (answers map[int]int) {
	answers = map[int]int{}
	for i, end := 0, time.Now().Add(total); time.Now().Before(end); i++ {
		c := &Client{Address: f.Boxes[i%len(f.Boxes)].Clients}
		a := c.Do(method, target, fmt.Sprintf("deadly-%s-%d", strings.Trim(target, "/"), i), body, extra)
		c.Close()
		answers[a.Status]++
		time.Sleep(every)
	}
	return answers
}

// TestRequestThatCrashesServersIsKeptFromThem checks that a request that has crashed three servers
// reaches no more than three others once the contact time has passed, in which boxes inform each
// other, whatever box gets it and however often; other requests are still served.
func TestRequestThatCrashesServersIsKeptFromThem(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		t.Run(fmt.Sprint("same id ", sameID), func(t *testing.T) { keepsFromServers(t, sameID) })
	}
}

func keepsFromServers(t *testing.T, sameID bool) {
	is := is.New(t)
	f, c := newCrashFleet(t, func(target string) bool { return target == "/read/deadly" })
	c.sameID = sameID
	ordinary := newTraffic(f, 9)
	time.Sleep(300 * time.Millisecond)
	got := sendRepeatedly(f, "GET", "/read/deadly", "", "X-Stoneworks-Affinity-Key: 3\r\n", 50*time.Millisecond, 4*time.Second)
	counts := ordinary.stopAndCount()
	at := c.runs("/read/deadly")
	t.Log("the deadly request's answers", got, "runs", len(at), "ordinary requests' answers", counts)
	is.True(len(at) >= 3)                              // three crashes identify it
	is.True(lateRuns(at, 1500*time.Millisecond) <= 3)  // then it is kept from servers
	is.True(len(at) <= 6)                              // and soon
	is.Equal(counts["503 crashes_backend_servers"], 0) // no other request is quarantined
	total := 0
	for _, n := range counts {
		total += n
	}
	is.True(counts["200 answer"] >= total*98/100)
}

// newCrashFleet starts a box in each zone and nine servers that crash on some requests.
func newCrashFleet(t *testing.T, deadly func(target string) bool) (*Fleet, *crashingService) {
	t.Helper()
	f := newFleet(t, 0)
	c := newCrashingService(t, f, 9, deadly)
	for i := range 3 {
		if _, err := f.AddBox(Zones[i].Zone); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all boxes are ready and know each other", allKnown(f))
	return f, c
}

func allKnown(f *Fleet) func() bool {
	return func() bool {
		for _, b := range f.Boxes {
			if !b.Node.Ready() || b.Members.Count() != len(f.Boxes) {
				return false
			}
		}
		return true
	}
}

// TestUnsafeRequestThatCrashesServersIsHeld checks that a request that boxes never retry, but its
// client does, crashes no more than three servers, also if only its body distinguishes it.
func TestUnsafeRequestThatCrashesServersIsHeld(t *testing.T) {
	is := is.New(t)
	f, c := newCrashFleet(t, func(target string) bool { return target == "/buy/deadly" })
	got := sendRepeatedly(f, "POST", "/buy/deadly", "the same body", "", 100*time.Millisecond, 2*time.Second)
	is.Equal(len(c.runs("/buy/deadly")), 3)
	is.Equal(got[502], 3)
	client := &Client{Address: f.Boxes[0].Clients}
	defer client.Close()
	a := client.Do("POST", "/buy/deadly", "again", "the same body", "")
	is.Equal(a.Status, 503)
	is.Equal(strings.TrimSpace(a.Body), "crashes_backend_servers")
	retry, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retry > 500) // in seconds; the hold lasts long
	// The same target with another body is another request.
	c.spare("/buy/deadly")
	is.Equal(client.Do("POST", "/buy/deadly", "other", "another body", "").Status, 200)
	releaseHeldRequest(t, f)
	is.Equal(client.Do("POST", "/buy/deadly", "repaired", "the same body", "").Status, 200)
}

// releaseHeldRequest releases the one held request at one box with stoneworksctl, and waits until
// no box holds it.
func releaseHeldRequest(t *testing.T, f *Fleet) {
	t.Helper()
	is := is.New(t)
	admin := f.Boxes[1].Settings.Listen.Admin
	var out, problems strings.Builder
	is.Equal(ctl.Main([]string{"quarantine", "--output", "json", admin}, nil, &out, &problems), 0)
	var boxes []quarantine.BoxHolds
	is.NoErr(json.Unmarshal([]byte(out.String()), &boxes))
	is.Equal(len(boxes[0].Held), 1)
	is.Equal(ctl.Main([]string{"release", "7", admin}, nil, &out, &problems), 2)
	is.True(ctl.Main([]string{"release", "0000000000000007", admin}, nil, &out, &problems) != 0) // no such request is held
	is.Equal(ctl.Main([]string{"release", boxes[0].Held[0].Fingerprint, admin}, nil, &out, &problems), 0)
	eventually(t, "no box holds the request", func() bool {
		for _, b := range f.Boxes {
			if len(b.Quarantine.Holds()) > 0 {
				return false
			}
		}
		return true
	})
}

// TestBoxThatStartsLaterKnowsHeldRequests checks that a new box learns the held requests from
// other boxes before one of them crashes a server.
func TestBoxThatStartsLaterKnowsHeldRequests(t *testing.T) {
	is := is.New(t)
	f, c := newCrashFleet(t, func(target string) bool { return target == "/read/deadly" })
	sendRepeatedly(f, "GET", "/read/deadly", "", "", 50*time.Millisecond, time.Second)
	before := len(c.runs("/read/deadly"))
	b, err := f.AddBox("west-a")
	is.NoErr(err)
	eventually(t, "the new box is ready", b.Node.Ready)
	eventually(t, "the new box knows what is held", func() bool { return len(b.Quarantine.Holds()) == 1 })
	client := &Client{Address: b.Clients}
	defer client.Close()
	is.Equal(client.Do("GET", "/read/deadly", "late", "", "").Status, 503)
	is.Equal(len(c.runs("/read/deadly")), before)
}

// TestLostAnswersAreNoCrashes checks that a server that closes the connection without an answer
// and stays up does not count as crashed, however often this happens.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, "east-a.1", "east-a.2", "east-b.1", "west-a.1")
	for _, s := range f.Servers {
		s.SetFault(func(r *Run) Fault {
			if r.Target == "/read/lost" {
				return CutAnswer
			}
			return NoFault
		})
	}
	for range 2 {
		for status := range sendRepeatedly(f, "GET", "/read/lost", "", "", 10*time.Millisecond, 300*time.Millisecond) {
			is.Equal(status, 502)
		}
		sendRepeatedly(f, "POST", "/buy/lost", "", "", 10*time.Millisecond, 300*time.Millisecond)
	}
	for _, b := range f.Boxes {
		is.True(b.Quarantine.Empty())
	}
}

// TestSeveralRequestsCrashServersAtOnce checks that several requests that crash servers are
// distinguished from each other and from the requests in flight beside them, also if each comes
// from several clients at once and all have one affinity key, and so the same next servers.
func TestSeveralRequestsCrashServersAtOnce(t *testing.T) {
	is := is.New(t)
	targets := []string{"/read/deadly-1", "/read/deadly-2", "/read/deadly-3"}
	f, c := newCrashFleet(t, func(target string) bool { return slices.Contains(targets, target) })
	ordinary := newTraffic(f, 9)
	time.Sleep(300 * time.Millisecond)
	var clients sync.WaitGroup
	for _, target := range targets {
		for range 3 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				sendRepeatedly(f, "GET", target, "", "X-Stoneworks-Affinity-Key: 3\r\n", 50*time.Millisecond, 4*time.Second)
			}()
		}
	}
	clients.Wait()
	counts := ordinary.stopAndCount()
	for _, target := range targets {
		at := c.runs(target)
		t.Log(target, "runs", len(at))
		is.True(len(at) >= 3)
		is.True(lateRuns(at, 1500*time.Millisecond) <= 3)
	}
	t.Log("ordinary requests' answers", counts)
	is.Equal(counts["503 crashes_backend_servers"], 0)
	for _, b := range f.Boxes {
		is.Equal(len(b.Quarantine.Holds()), len(targets))
	}
}

// TestHeldRequestsOutlastTheLossOfAllBoxes checks that boxes that start after all others have
// stopped learn the held requests from the store, also if the store refused all calls when the
// requests were first held.
func TestHeldRequestsOutlastTheLossOfAllBoxes(t *testing.T) {
	is := is.New(t)
	f, c := newCrashFleet(t, func(target string) bool { return target == "/buy/deadly" })
	f.Store.SetMode(func(string, string) Mode { return Busy })
	sendRepeatedly(f, "POST", "/buy/deadly", "", "", 100*time.Millisecond, 700*time.Millisecond)
	is.Equal(len(c.runs("/buy/deadly")), 3)
	f.Store.SetMode(nil)
	time.Sleep(2 * time.Second)
	for _, b := range f.Boxes {
		b.Stop()
	}
	f.Boxes = nil
	for i := range 3 {
		_, err := f.AddBox(Zones[i].Zone)
		is.NoErr(err)
	}
	eventually(t, "all boxes are ready and know each other", allKnown(f))
	sendRepeatedly(f, "POST", "/buy/deadly", "", "", 100*time.Millisecond, 700*time.Millisecond)
	is.Equal(len(c.runs("/buy/deadly")), 3)
}
