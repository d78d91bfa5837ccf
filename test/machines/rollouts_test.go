package machines

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/settings"
)

// rolloutTime is the duration of the rollouts in these tests.
const rolloutTime = 10 * time.Second

// A bad version may get the share maxExposure of the requests plus exposureSlack requests until its
// rollout's deadline, and none later than rollbackTime after maxBadAnswers bad answers.
const (
	maxExposure   = 0.1
	exposureSlack = 20
	maxBadAnswers = 50
	rollbackTime  = 5 * time.Second
)

// runRollout moves a service of ten servers to a version whose servers fail according to fault and
// need slower times the service time, while clients send requests. It returns the fleet, the start
// of the rollout, and the rollout's state at each second.
func runRollout(t *testing.T, fault func(r *Run, since time.Duration) Fault, slower float64) (f *Fleet, ordered time.Time, states []string) {
	t.Helper()
	f = newRolloutFleet(t)
	clients := newShoppers(f, 12)
	time.Sleep(2 * time.Second)
	ordered = time.Now()
	addVersion(t, f, func(r *Run) Fault { return fault(r, time.Since(ordered)) }, slower)
	order(f, "v2")
	for time.Since(ordered) < rolloutTime+time.Second {
		time.Sleep(time.Second)
		states = append(states, stateOf(f))
	}
	counts := clients.stopAndCount()
	t.Logf("states %v, answers %v", states, counts)
	return f, ordered, states
}

// newRolloutFleet returns a fleet of three boxes and a service of ten servers.
func newRolloutFleet(t *testing.T) *Fleet {
	t.Helper()
	f, err := NewFleet(networkOf(t), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.ChangeSettings = func(s *settings.Settings) { s.Platform.Rollouts = true }
	f.Configure(1, read, buy, upload)
	for i := range 10 {
		if _, err := f.AddServer(fmt.Sprint("east-a.old-", i), "shop", "east-a", 8, 10*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	startBoxes(t, f)
	return f
}

// startBoxes starts a box in each zone and waits until all are ready and know each other.
func startBoxes(t *testing.T, f *Fleet) {
	t.Helper()
	for i := range 3 {
		if _, err := f.AddBox(Zones[i].Zone); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all boxes are ready and know each other", func() bool {
		for _, b := range f.Boxes {
			if !b.Node.Ready() || b.Members.Count() != len(f.Boxes) {
				return false
			}
		}
		return true
	})
}

// addVersion starts ten servers of version v2.
func addVersion(t *testing.T, f *Fleet, fault func(r *Run) Fault, slower float64) {
	t.Helper()
	for i := range 10 {
		s, err := NewServer(f.network+".100", fmt.Sprint("east-a.new-", i), 8, time.Duration(slower*float64(10*time.Millisecond)))
		if err != nil {
			t.Fatal(err)
		}
		s.Version = "v2"
		s.SetFault(fault)
		f.Servers[s.ID] = s
		f.PutServer(s, "shop", "east-a", "ready", 0)
	}
}

// order orders the service to move to a version.
func order(f *Fleet, version string) {
	f.Store.Put("rollouts", "shop", map[string]any{"service": "shop", "target-version": version, "duration-s": rolloutTime.Seconds()})
}

// stateOf returns the state of the rollout, or its whole status if there is no known state for v2.
func stateOf(f *Fleet) string {
	status := f.Store.StatusOf("rollouts", "shop")
	for _, state := range []string{"running", "complete", "rolled_back"} {
		if strings.Contains(status, `"state":"`+state+`"`) && strings.Contains(status, `"target-version":"v2"`) {
			return state
		}
	}
	return status
}

// runsByVersion returns the runs at the old and at the new servers that started at a time or later.
func runsByVersion(f *Fleet, from time.Time) (old, fresh []Run) {
	for id, s := range f.Servers {
		for _, r := range s.Runs() {
			switch {
			case r.At.Before(from):
			case strings.Contains(id, "new"):
				fresh = append(fresh, r)
			default:
				old = append(old, r)
			}
		}
	}
	return old, fresh
}

// TestGoodVersionTakesOver checks that the service moves gradually to a good version, that the rollout
// completes within its duration, and that the old servers get no requests afterwards.
func TestGoodVersionTakesOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ordered, states := runRollout(t, func(*Run, time.Duration) Fault { return NoFault }, 1)
	is.Equal(states[1], "running")
	is.Equal(states[len(states)-2], "complete")
	old, fresh := runsByVersion(f, ordered.Add(rolloutTime))
	is.Equal(len(old), 0)
	is.True(len(fresh) > 50)
	old, fresh = runsByVersion(f, ordered)
	is.True(len(fresh) > len(old)/10)
}

// TestBadVersionIsRolledBack checks that a bad version, however it fails and whenever that begins, gets
// at most a tenth of the requests, and none later than rollbackTime after it has failed.
func TestBadVersionIsRolledBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  func(r *Run, since time.Duration) Fault
		slower float64
	}{
		{"half of its answers from the beginning", func(r *Run, _ time.Duration) Fault { return failIf(len(r.ID)%2 == 0 || strings.HasSuffix(r.ID, "1")) }, 1},
		{"all answers after half of its time", func(_ *Run, since time.Duration) Fault { return failIf(since > rolloutTime/2) }, 1},
		{"on one route", func(r *Run, _ time.Duration) Fault { return failIf(strings.HasPrefix(r.Target, "/buy/")) }, 1},
		{"by being four times slower", func(*Run, time.Duration) Fault { return NoFault }, 4},
		{"under load", underLoad(80), 1},
		{"by breaking connections", func(*Run, time.Duration) Fault { return CutAnswer }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			bad := &badAnswers{}
			f, ordered, states := runRollout(t, func(r *Run, since time.Duration) Fault {
				fault := c.fault(r, since)
				if fault != NoFault || c.slower > 1 {
					bad.note(time.Now())
				}
				return fault
			}, c.slower)
			is.Equal(states[len(states)-2], "rolled_back")
			old, fresh := runsByVersion(f, ordered)
			t.Logf("%d requests at the new version, %d at the old one", len(fresh), len(old))
			is.True(len(fresh) > 0)
			is.True(float64(len(fresh)) <= maxExposure*float64(len(old)+len(fresh))+exposureSlack)
			if at, ok := bad.nth(maxBadAnswers); ok {
				_, late := runsByVersion(f, at.Add(rollbackTime))
				is.Equal(len(late), 0)
			}
			_, late := runsByVersion(f, ordered.Add(rolloutTime-time.Second))
			is.Equal(len(late), 0)
		})
	}
}

// underLoad returns a fault function that fails requests while the version has got more than most
// requests within the last second.
func underLoad(most int) func(r *Run, since time.Duration) Fault {
	var mu sync.Mutex
	var recent []time.Duration
	return func(_ *Run, since time.Duration) Fault {
		mu.Lock()
		defer mu.Unlock()
		recent = append(recent, since)
		for since-recent[0] > time.Second {
			recent = recent[1:]
		}
		return failIf(len(recent) > most)
	}
}

func failIf(fails bool) Fault {
	if fails {
		return Fail
	}
	return NoFault
}

// badAnswers records the times of a version's bad answers.
type badAnswers struct {
	mu sync.Mutex
	at []time.Time
}

func (b *badAnswers) note(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at = append(b.at, at)
}

// nth returns the time of the nth bad answer, and false if there were fewer.
func (b *badAnswers) nth(n int) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.at) < n {
		return time.Time{}, false
	}
	return b.at[n-1], true
}

// newShoppers starts clients that read, and buy with every third request, under many affinity keys.
func newShoppers(f *Fleet, clients int) *traffic {
	return newTrafficOf(f, clients, 5*time.Millisecond, func(c *Client, i, n int) *Answer {
		id, key := fmt.Sprintf("shopper-%d-%d", i, n), fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", (i+n)%150)
		if n%3 == 0 {
			return c.Do("POST", "/buy/1", id, "one", key)
		}
		return c.Do("GET", "/read/1", id, "", key)
	})
}
