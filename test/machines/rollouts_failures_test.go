package machines

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/rollout"
)

// faultless is the fault of servers that have none.
func faultless(*Run) Fault { return NoFault }

// startRollout starts a fleet, clients, servers of version v2 and an order to move to it.
func startRollout(t *testing.T, fault func(r *Run) Fault) (f *Fleet, clients *traffic, ordered time.Time) {
	t.Helper()
	f = newRolloutFleet(t)
	clients = newShoppers(f, 12)
	addVersion(t, f, fault, 1)
	order(f, "v2")
	return f, clients, time.Now()
}

// shareAt returns the share that a box gives version v2.
func shareAt(b *Box) float64 { return b.Rollouts.Rules()["shop"].Share }

// waitForState waits until the status in the store has the state, and fails at the time.
func waitForState(t *testing.T, f *Fleet, state string, until time.Time) {
	t.Helper()
	for stateOf(f) != state {
		if time.Now().After(until) {
			t.Fatalf("the order is not %s in time: %s", state, f.Store.StatusOf("rollouts", "shop"))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRolloutSurvivesTheLossOfAllBoxes guards against an order whose time begins anew when all boxes
// have lost power: it is complete by its deadline, and its share does not fall.
func TestRolloutSurvivesTheLossOfAllBoxes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, clients, ordered := startRollout(t, faultless)
	time.Sleep(time.Until(ordered.Add(6300 * time.Millisecond)))
	before := shareAt(f.Boxes[0])
	for _, b := range f.Boxes {
		b.Stop()
	}
	f.Boxes = nil
	startBoxes(t, f)
	is.True(shareAt(f.Boxes[1]) >= before)
	waitForState(t, f, "complete", ordered.Add(rolloutTime))
	clients.stopAndCount()
}

// TestRolloutGoesOnWhileTheStoreIsSilent guards against an order that stands still while the store
// does not answer: all boxes take the steps, and the order is complete soon after it answers again.
func TestRolloutGoesOnWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, clients, ordered := startRollout(t, faultless)
	time.Sleep(time.Until(ordered.Add(rolloutTime / 4)))
	f.Store.SetMode(func(string, string) Mode { return Silent })
	time.Sleep(time.Until(ordered.Add(rolloutTime + time.Second)))
	is.Equal(stateOf(f), "running")
	for _, b := range f.Boxes {
		is.True(shareAt(b) >= 0.7)
	}
	f.Store.SetMode(nil)
	waitForState(t, f, "complete", time.Now().Add(5*time.Second))
	clients.stopAndCount()
}

// TestBadVersionIsLeftWhileTheStoreIsSilent guards against a verdict that no other box hears of until
// the store has taken it.
func TestBadVersionIsLeftWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bad, began := &badAnswers{}, time.Now()
	f, clients, ordered := startRollout(t, func(*Run) Fault {
		isBad := time.Since(began) > 5*time.Second
		if isBad {
			bad.note(time.Now())
		}
		return failIf(isBad)
	})
	time.Sleep(time.Until(ordered.Add(3 * time.Second)))
	f.Store.SetMode(func(string, string) Mode { return Silent })
	eventually(t, "all boxes leave the version", func() bool {
		for _, b := range f.Boxes {
			if !b.Rollouts.Rules()["shop"].Excluded {
				return false
			}
		}
		return true
	})
	if at, ok := bad.nth(maxBadAnswers); ok {
		is.True(time.Since(at) <= rollbackTime)
	}
	is.Equal(stateOf(f), "running")
	f.Store.SetMode(nil)
	waitForState(t, f, "rolled_back", time.Now().Add(5*time.Second))
	clients.stopAndCount()
}

// TestRolloutWaitsForServers guards against an order that becomes complete although no server of its
// version has started, upon which the platform stops all others.
func TestRolloutWaitsForServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRolloutFleet(t)
	clients := newShoppers(f, 12)
	order(f, "v2")
	time.Sleep(rolloutTime + time.Second)
	is.Equal(stateOf(f), "running")
	addVersion(t, f, faultless, 1)
	waitForState(t, f, "complete", time.Now().Add(rolloutTime))
	is.Equal(clients.stopAndCount()["503 no_server"], 0)
}

// TestOperatorsHoldAndRollBack checks what operators ask for at the admin address of a box.
func TestOperatorsHoldAndRollBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRolloutFleet(t)
	addVersion(t, f, faultless, 1)
	order(f, "v2")
	waitForState(t, f, "running", time.Now().Add(3*time.Second))
	ask := func(request string, want int) {
		eventually(t, request+" is answered as expected", func() bool {
			answer, err := http.Post("http://"+f.Boxes[0].Settings.Listen.Admin+rollout.Path+"/shop/"+request, "", nil)
			if err != nil {
				return false
			}
			_ = answer.Body.Close()
			return answer.StatusCode == want
		})
	}
	ask("hold", http.StatusNoContent)
	is.True(strings.Contains(f.Store.StatusOf("rollouts", "shop"), `"by-hand":"hold"`))
	ask("stop", http.StatusBadRequest)
	ask("rollback", http.StatusNoContent)
	is.Equal(stateOf(f), "rolled_back")
	ask("resume", http.StatusNotFound)
}

// TestMalformedOrderChangesNothing checks that an order that cannot be read leaves the one before in
// force, which goes on once it can be read again.
func TestMalformedOrderChangesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRolloutFleet(t)
	addVersion(t, f, faultless, 1)
	order(f, "v2")
	waitForState(t, f, "running", time.Now().Add(3*time.Second))
	before := f.Store.StatusOf("rollouts", "shop")
	f.Store.Put("rollouts", "shop", map[string]any{"service": "shop", "target-version": 2})
	time.Sleep(1500 * time.Millisecond)
	for _, b := range f.Boxes {
		is.Equal(b.Rollouts.Rules()["shop"], rollout.Rule{Version: "v2", Share: 0.05})
	}
	order(f, "v2")
	time.Sleep(time.Second)
	is.Equal(f.Store.StatusOf("rollouts", "shop"), before)
	is.True(!f.Boxes[2].Rollouts.Rules()["shop"].Excluded)
}
