package soak

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/machines"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// cleanHistory returns a history without violations: one request of each kind.
func cleanHistory() *History {
	h := &History{Runs: map[string][]machines.Run{}, Arrivals: map[string][]machines.Arrival{}}
	for i, kind := range []string{"safe", "unsafe", "upload"} {
		id := fmt.Sprint("r", i)
		sent := after(time.Duration(i) * time.Second)
		h.Requests = append(h.Requests, Request{
			ID: id, Kind: kind, Method: "POST", Target: "/x/" + id, Body: id, Box: "b1", Incarnation: 1, Timeout: time.Second,
			Sent: sent, Ended: sent.Add(20 * time.Millisecond), Status: 200, BodyMatches: true, Signed: true,
		})
		header := http.Header{"X-Stoneworks-Tenant": {usualCustomer}}
		h.Runs["s1"] = append(h.Runs["s1"], machines.Run{ID: id, Method: "POST", Target: "/x/" + id, Body: id, At: sent, Header: header})
		h.Arrivals["s1"] = append(h.Arrivals["s1"], machines.Arrival{ID: id, From: "b1", At: sent})
	}
	h.Configurations = []AcceptedConfiguration{{Version: 1, At: start}}
	h.Probes = []Probe{{Box: "b1", Incarnation: 1, Version: 1, At: after(5 * time.Second), Status: 200}}
	h.Recovery.Sent, h.Recovery.Answered = 100, 100
	return h
}

// TestEachCheckCanFail is the control of the checks: what violates a guarantee is found by its
// check and by no other.
func TestEachCheckCanFail(t *testing.T) {
	is := is.New(t)
	is.Equal(FindViolations(cleanHistory()), nil)
	controls := map[string]func(h *History){
		"customer":  func(h *History) { h.Runs["s1"][0].Header.Set("X-Stoneworks-Tenant", "somebody-else") },
		"keys-kept": func(h *History) { h.Runs["s1"][1].Header.Set("Authorization", "Bearer "+keyOf(usualCustomer)) },
		"leaving-kept": func(h *History) {
			h.LeavingHeaders = map[string][]machines.SentHeader{"s1": {{To: "b1", ID: "r0", At: start, Value: "1"}}}
			late := h.Requests[0]
			late.ID, late.Sent, late.Ended = "late", after(3*time.Second), after(3*time.Second+time.Millisecond)
			h.Requests = append(h.Requests, late)
			h.Arrivals["s1"] = append(h.Arrivals["s1"], machines.Arrival{ID: "late", From: "b1", At: late.Sent})
		},
		"rest-kept": func(h *History) {
			h.RetryAfterHeaders = map[string][]machines.SentHeader{"s1": {{To: "b1", ID: "r0", At: start, Value: "3"}}}
			for i := range 3 {
				h.Arrivals["s1"] = append(h.Arrivals["s1"], machines.Arrival{ID: fmt.Sprint("again", i), From: "b1", At: after(2500 * time.Millisecond)})
			}
		},
		"limit": func(h *History) {
			for i := range 200 {
				id := fmt.Sprint("l", i)
				h.SideRequests = append(h.SideRequests, Request{ID: id})
				h.Runs["s1"] = append(h.Runs["s1"], machines.Run{ID: id, At: start, Header: http.Header{"X-Stoneworks-Tenant": {limitedCustomer}}})
			}
		},
		"old-keys": func(h *History) {
			h.Configurations = append(h.Configurations, AcceptedConfiguration{Version: 2, At: after(20 * time.Second)})
			h.OldKeys = []Probe{{Box: "b1", Incarnation: 1, Version: 1, At: after(24 * time.Second), Status: 200}}
		},
		"whole":        func(h *History) { h.Requests[0].BodyMatches = false },
		"at-most-once": func(h *History) { h.Runs["s2"] = h.Runs["s1"][1:2] },
		"refused-not-run": func(h *History) {
			h.Requests[2].Status = 503
		},
		"unaltered": func(h *History) { h.Runs["s1"][0].Body = "another" },
		"attempts": func(h *History) {
			for _, s := range []string{"s2", "s3"} {
				h.Arrivals[s] = h.Arrivals["s1"][:1]
			}
		},
		"retry-budget": func(h *History) {
			for i := range retrySlack + 2 {
				a := machines.Arrival{ID: fmt.Sprint("x", i), From: "b1", At: start}
				h.Arrivals["s1"] = append(h.Arrivals["s1"], a, a)
			}
		},
		"in-time": func(h *History) { h.Requests[0].Ended = h.Requests[0].Sent.Add(2 * time.Second) },
		"planned-stop": func(h *History) {
			h.Requests[0].Status = 0
			h.FaultPeriods = []FaultPeriod{{Kind: BoxStop, Target: "b1", From: start}}
		},
		"stop-drops": func(h *History) {
			h.SideRequests = []Request{{ID: "dropped", Kind: "unsafe", Box: "b1", Sent: after(time.Second), Ended: after(time.Second), Timeout: time.Second, IsDropped: true}}
			h.FaultPeriods = []FaultPeriod{{Kind: BoxStop, Target: "b1", From: start}}
		},
		"bodies": func(h *History) {
			sum := sha256.Sum256([]byte("a long body"))
			h.SideRequests = []Request{{ID: "long", Kind: "upload", Body: "a long", BodySum: &sum}}
			h.Bodies = map[string][]machines.ReceivedBody{"s1": {{ID: "long", Sum: sha256.Sum256([]byte("a body"))}}}
		},
		"drain": func(h *History) {
			h.Departures = []Departure{{Server: "s1", At: start.Add(-time.Second)}}
			h.Arrivals["s1"][2].At = after(2500 * time.Millisecond)
		},
		"configuration": func(h *History) { h.Probes[0].Status = 404 },
		"no-regress": func(h *History) {
			h.Configurations = append(h.Configurations, AcceptedConfiguration{Version: 2, At: after(time.Second)})
			h.Probes = []Probe{
				{Box: "b1", Incarnation: 1, Version: 2, At: after(2 * time.Second), Status: 200},
				{Box: "b1", Incarnation: 1, Version: 1, At: after(3 * time.Second), Status: 200},
			}
		},
		"deadly-kept": func(h *History) {
			h.CrashingTargets = []string{"/read/deadly"}
			for i := range 9 {
				id, at := fmt.Sprint("d", i), after(time.Duration(i)*time.Second)
				h.SideRequests = append(h.SideRequests, Request{ID: id, Kind: "safe", Method: "GET", Target: "/read/deadly"})
				header := http.Header{"X-Stoneworks-Tenant": {usualCustomer}}
				h.Runs["s1"] = append(h.Runs["s1"], machines.Run{ID: id, Method: "GET", Target: "/read/deadly", At: at, Header: header})
				h.Arrivals["s1"] = append(h.Arrivals["s1"], machines.Arrival{ID: id, From: "b1", At: at.Add(time.Duration(i/3) * time.Second)})
			}
		},
		"others-sent": func(h *History) {
			h.SideRequests = append(h.SideRequests, Request{ID: "o", Kind: "safe", Target: "/read/7", Status: 503, Reason: "crashes_backend_servers"})
		},
		"server-limit": func(h *History) {
			h.AnnouncedLimits = []AnnouncedLimit{{Server: "s1", PerSecond: 1, From: after(10 * time.Second), Announcements: []machines.SentHeader{{To: "b1", At: after(10 * time.Second)}}}}
			for i := range 12 {
				id, at := fmt.Sprint("n", i), after(13*time.Second+time.Duration(i)*100*time.Millisecond)
				h.Requests = append(h.Requests, Request{ID: id, BodyMatches: true, Signed: true, Timeout: time.Second, Sent: at, Ended: at})
				h.Arrivals["s1"] = append(h.Arrivals["s1"], machines.Arrival{ID: id, From: "b1", At: at})
			}
		},
		"exposure": func(h *History) {
			h.Moves = []Move{{Service: "shop", Version: "v2", Servers: []string{"s9"}, Bad: true, From: start, To: after(10 * time.Second)}}
			h.ServiceOf = map[string]string{"s9": "shop"}
			// Requests to other services do not count.
			for i := range 1000 {
				id := fmt.Sprint("d", i)
				h.Requests = append(h.Requests, Request{ID: id, BodyMatches: true, Signed: true, Timeout: time.Second, Sent: after(time.Second), Ended: after(time.Second)})
				h.Arrivals["desk"] = append(h.Arrivals["desk"], machines.Arrival{ID: id, From: "b1", At: after(time.Second)})
			}
			for i := range exposureSlack + 30 {
				id := fmt.Sprint("e", i)
				h.Requests = append(h.Requests, Request{ID: id, BodyMatches: true, Signed: true, Timeout: time.Second, Sent: after(time.Second), Ended: after(time.Second)})
				h.Arrivals["s9"] = append(h.Arrivals["s9"], machines.Arrival{ID: id, From: "b1", At: after(time.Second)})
			}
		},
		"complete-bad": func(h *History) {
			h.Moves = []Move{{Service: "shop", Version: "v2", Bad: true, Status: `{"state":"complete","target-version":"v2"}`}}
		},
		"cut-served": func(h *History) {
			from := after(time.Minute)
			h.Boxes = []string{"127.94.0.8", "127.94.0.9"}
			h.FaultPeriods = append(h.FaultPeriods, FaultPeriod{Kind: BoxCut, Target: "127.94.0.9", From: from, To: from.Add(time.Minute)})
			for i := range 2 * cutAllowed {
				sent := from.Add(2 * cutContact)
				h.Requests = append(h.Requests, Request{ID: fmt.Sprint("cut-", i), Box: "127.94.0.9", Status: 503, Sent: sent, Ended: sent})
			}
		},
		"region-servers": func(h *History) {
			h.Requests[1].Regions, h.Requests[1].Customer = []string{"west"}, usualCustomer
			h.RegionOf = map[string]string{"b1": "east", "s1": "east"}
		},
		"region-boxes": func(h *History) {
			h.Requests[1].Regions, h.Requests[1].Customer = []string{"west"}, usualCustomer
			h.RegionOf = map[string]string{"b1": "east", "b2": "north", "s1": "west"}
			h.Arrivals["s1"][1].From = "b2"
		},
		"own-ends": func(h *History) {
			h.FaultPeriods = []FaultPeriod{{Kind: BoxKill, Target: "b1", From: start, To: after(time.Second)}}
			h.Exits = []Exit{{"b1", after(time.Millisecond)}, {"b1", after(2 * time.Second)}}
		},
		"memory":   func(h *History) { h.MachineMB, h.PeakMemoryMB = 128, map[string]int{"b1": 128, "b2": 129} },
		"recovery": func(h *History) { h.Recovery.Answered = 50 },
	}
	for _, c := range Checks {
		violate := controls[c.Name]
		if violate == nil {
			t.Errorf("%s has no control", c.Name)
			continue
		}
		h := cleanHistory()
		violate(h)
		found := FindViolations(h)
		if len(found) == 0 {
			t.Errorf("%s does not find its violation", c.Name)
		}
		for _, v := range found {
			is.Equal(v.Check, c.Name)
		}
	}
}

// TestExcuses tests that bounds in time do not apply to a box that had a fault.
func TestExcuses(t *testing.T) {
	is := is.New(t)
	h := cleanHistory()
	h.Requests[0].Ended = h.Requests[0].Sent.Add(2 * time.Second)
	h.Probes[0].Status = 404
	h.FaultPeriods = []FaultPeriod{{Kind: BoxPause, Target: "b1", From: start, To: after(10 * time.Second)}}
	is.Equal(FindViolations(h), nil)
	h.FaultPeriods[0].Target = "b2"
	is.Equal(len(FindViolations(h)), 2)
}

// TestLimitsCountWhoWasTold tests which requests count against the limit of a server: not
// those of boxes that it had not told of the limit, or had told only just before, or that had
// a fault.
func TestLimitsCountWhoWasTold(t *testing.T) {
	is := is.New(t)
	h := cleanHistory()
	h.AnnouncedLimits = []AnnouncedLimit{{Server: "s1", PerSecond: 0, From: start, Announcements: []machines.SentHeader{{To: "b1", At: after(10 * time.Second)}}}}
	for i := range 30 {
		id, at := fmt.Sprint("n", i), after(10*time.Second+time.Duration(i)*10*time.Millisecond)
		h.Requests = append(h.Requests, Request{ID: id, BodyMatches: true, Signed: true, Timeout: time.Second, Sent: at, Ended: at})
		h.Arrivals["s1"] = append(h.Arrivals["s1"], machines.Arrival{ID: id, From: "b1", At: at})
	}
	is.Equal(FindViolations(h), nil)
	h.AnnouncedLimits[0].Announcements[0].At = after(9 * time.Second)
	is.Equal(len(FindViolations(h)), 1)
	h.AnnouncedLimits[0].Announcements[0].To = "b2"
	is.Equal(FindViolations(h), nil)
	h.AnnouncedLimits[0].Announcements[0].To = "b1"
	h.FaultPeriods = []FaultPeriod{{Kind: BoxPause, Target: "b1", From: after(8 * time.Second), To: after(9 * time.Second)}}
	is.Equal(FindViolations(h), nil)
	h.FaultPeriods[0].Target = "b2"
	h.AnnouncedLimits[0].To = after(10 * time.Second)
	is.Equal(FindViolations(h), nil) // it no longer announces a limit
}

// TestRestrictedRequestsMayPassAllowedRegions tests which paths of a restricted request are allowed:
// through the box that the client sent it to, and through boxes of its regions.
func TestRestrictedRequestsMayPassAllowedRegions(t *testing.T) {
	is := is.New(t)
	h := cleanHistory()
	h.Requests[1].Regions, h.Requests[1].Customer = []string{"west", "north"}, usualCustomer
	h.RegionOf = map[string]string{"b1": "east", "b2": "north", "s1": "west"}
	is.Equal(FindViolations(h), nil)
	h.Arrivals["s1"][1].From = "b2"
	is.Equal(FindViolations(h), nil)
	h.RegionOf["b2"] = "east"
	is.Equal(len(FindViolations(h)), 1)
}

// TestRestrictedCustomersAreNamed tests that a restricted request has to name its own customer.
func TestRestrictedCustomersAreNamed(t *testing.T) {
	is := is.New(t)
	h := cleanHistory()
	h.Requests[1].Customer = restrictedCustomer
	is.Equal(len(FindViolations(h)), 1)
	h.Runs["s1"][1].Header.Set("X-Stoneworks-Tenant", restrictedCustomer)
	is.Equal(FindViolations(h), nil)
}

// TestOddHeadsAreWithinTheLimit tests that clients use the room that a configuration allows for heads,
// and no more.
func TestOddHeadsAreWithinTheLimit(t *testing.T) {
	is := is.New(t)
	for _, lines := range oddLines {
		text := lines(7000)
		is.True(len(text) > 6900 && len(text) <= 7000)
		is.True(strings.HasSuffix(text, "\r\n"))
	}
}

// TestRegionCutsDiffer tests that the events cut regions in one direction, in both and all of them.
func TestRegionCutsDiffer(t *testing.T) {
	is := is.New(t)
	p := NewPlan(AllKinds, 7, 6, defaultLength)
	is.Equal(len(p.regionCuts(Event{Target: 0})), 6)
	is.Equal(p.regionCuts(Event{Target: 1}), []regionCut{{"east", "west"}})
	is.Equal(p.regionCuts(Event{Target: 6}), []regionCut{{"north", "west"}})
	is.Equal(p.regionCuts(Event{Target: 11}), []regionCut{{"north", "east"}, {"east", "north"}})
}

func TestPlansReplay(t *testing.T) {
	is := is.New(t)
	for _, kinds := range Catalogues {
		is.Equal(NewPlan(kinds, 7, 6, defaultLength), NewPlan(kinds, 7, 6, defaultLength))
		all, seen := map[Kind]bool{}, map[Kind]bool{}
		for _, kind := range kinds {
			all[kind] = true
		}
		for seed := range int64(60) {
			for _, e := range NewPlan(kinds, seed, 6, defaultLength).Events {
				is.True(e.At >= firstEvent && e.At <= defaultLength-lastEvent)
				seen[e.Kind] = true
			}
		}
		is.Equal(seen, all)
	}
}

// TestRepeatCommand checks that the printed command plays the same plan.
func TestRepeatCommand(t *testing.T) {
	is.New(t).Equal(repeatCommand(&Plan{Seed: 7, Boxes: 24, Length: 30 * time.Second}, 8), "make soak SEED=7 KINDS=8 BOXES=24 FOR=30s")
}

// TestSilentLinksExcuseOnlyTheEndOfTheGrace checks which requests a stopping box may close without an
// answer while links are silent.
func TestSilentLinksExcuseOnlyTheEndOfTheGrace(t *testing.T) {
	is := is.New(t)
	mute := FaultPeriod{Kind: LinkMute, From: after(time.Second), To: after(time.Second)}
	stop := FaultPeriod{Kind: BoxStop, Target: "b1", From: start}
	for _, c := range []struct {
		ended  time.Duration
		faults []FaultPeriod
		found  int
	}{
		{boundGrace - 100*time.Millisecond, []FaultPeriod{stop, mute}, 0},
		{boundGrace - 100*time.Millisecond, []FaultPeriod{stop}, 1},
		{boundGrace / 2, []FaultPeriod{stop, mute}, 1},
	} {
		sent := after(c.ended - 1500*time.Millisecond)
		h := &History{FaultPeriods: c.faults, Requests: []Request{{ID: "r1", Box: "b1", Sent: sent, Ended: after(c.ended), Timeout: 2 * time.Second, IsDropped: true}}}
		is.Equal(len(stopDrops(h)), c.found)
	}
}
