package soak

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// ================================================================
// The guarantees of the system, checked against what clients and servers observed. Each check
// has a control in check_test.go: a history that violates it.
// ================================================================

// The bounds with which the boxes of a soak run.
const (
	boundContact = 2 * time.Second
	boundDrain   = 2500 * time.Millisecond
	boundConfig  = 2500 * time.Millisecond
	boundGrace   = 4 * time.Second
	// boundLate is how much later than its route's timeout an answer may come.
	boundLate = 500 * time.Millisecond
	// timingSlack is added to bounds in time, since this machine runs many processes in real
	// time instead of simulated time.
	timingSlack = 400 * time.Millisecond
	maxAttempts = 2
	retryRatio  = 0.2
	retrySlack  = 50
	retryWindow = 10 * time.Second
	// minRecovered is the share of requests that must be answered once all faults are over.
	minRecovered = 0.95
)

// Violation is a violated guarantee.
type Violation struct {
	Check  string
	Detail string
}

// Check checks one guarantee.
type Check struct {
	Name string
	// Find returns the violations, one line each.
	Find func(h *History) []string
}

// Checks are the checks of all guarantees.
var Checks = []Check{
	{"whole", whole},
	{"at-most-once", atMostOnce},
	{"refused-not-run", refusedNotRun},
	{"unaltered", unaltered},
	{"attempts", attempts},
	{"retry-budget", retryBudget},
	{"in-time", inTime},
	{"planned-stop", plannedStop},
	{"stop-drops", stopDrops},
	{"bodies", bodies},
	{"drain", drain},
	{"configuration", configuration},
	{"no-regress", noRegress},
	{"customer", customerNamed},
	{"keys-kept", keysKept},
	{"limit", customerLimit},
	{"old-keys", oldKeys},
	{"deadly-kept", crashingKept},
	{"others-sent", othersSent},
	{"server-limit", serverLimits},
	{"exposure", exposure},
	{"complete-bad", completeBad},
	{"leaving-kept", leavingKept},
	{"rest-kept", backoffKept},
	{"cut-served", cutServed},
	{"region-servers", regionServers},
	{"region-boxes", regionBoxes},
	{"own-ends", ownEnds},
	{"memory", memoryExceeded},
	{"recovery", recovery},
}

// FindViolations returns the violations that all checks find.
func FindViolations(h *History) []Violation {
	var list []Violation
	for _, c := range Checks {
		for _, detail := range c.Find(h) {
			list = append(list, Violation{Check: c.Name, Detail: detail})
		}
	}
	return list
}

// whole finds successes that are not a server's complete answer to that request.
func whole(h *History) (found []string) {
	for _, r := range h.Requests {
		if r.Status >= 200 && r.Status < 300 && (!r.BodyMatches || !r.Signed) {
			found = append(found, fmt.Sprintf("%s succeeded without the complete answer of a server", r.ID))
		}
	}
	return found
}

// runsOf returns how often servers ran each request.
func (h *History) runsOf() map[string]int {
	runs := map[string]int{}
	for _, list := range h.Runs {
		for _, r := range list {
			runs[r.ID]++
		}
	}
	return runs
}

// atMostOnce finds requests that must not be repeated and that ran more than once.
func atMostOnce(h *History) (found []string) {
	runs := h.runsOf()
	for _, r := range h.Requests {
		if r.Kind != "safe" && runs[r.ID] > 1 {
			found = append(found, fmt.Sprintf("%s (%s) ran %d times", r.ID, r.Kind, runs[r.ID]))
		}
	}
	return found
}

// refusedNotRun finds requests that ran although their status, 429, 503, 408 or 421, says that
// they did not.
func refusedNotRun(h *History) (found []string) {
	runs := h.runsOf()
	for _, r := range h.Requests {
		switch r.Status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if r.Kind != "safe" && runs[r.ID] > 0 {
				found = append(found, fmt.Sprintf("%s was refused with %d and ran", r.ID, r.Status))
			}
		}
	}
	return found
}

// unaltered finds requests at servers that no client sent, or that were altered on the way.
func unaltered(h *History) (found []string) {
	sent := map[string]*Request{}
	for _, list := range [][]Request{h.Requests, h.SideRequests} {
		for i := range list {
			sent[list[i].ID] = &list[i]
		}
	}
	for server, list := range h.Runs {
		for _, run := range list {
			r := sent[run.ID]
			if r == nil {
				found = append(found, fmt.Sprintf("%s ran %q, which no client sent", server, run.ID))
			} else if run.Method != r.Method || run.Target != r.Target || !r.isBody(run.Body) {
				found = append(found, fmt.Sprintf("%s ran %s, which was altered to %s %s", server, run.ID, run.Method, run.Target))
			}
		}
	}
	return found
}

// attempts finds requests that reached servers more than maxAttempts times.
func attempts(h *History) (found []string) {
	for id, list := range h.arrivalsByID() {
		if len(list) > maxAttempts {
			found = append(found, fmt.Sprintf("%s reached servers %d times", id, len(list)))
		}
	}
	return found
}

// arrivalsByID returns the times at which each request arrived at servers, in order.
func (h *History) arrivalsByID() map[string][]time.Time {
	byID := map[string][]time.Time{}
	for _, list := range h.Arrivals {
		for _, a := range list {
			byID[a.ID] = append(byID[a.ID], a.At)
		}
	}
	for _, list := range byID {
		sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) })
	}
	return byID
}

// retryBudget finds a window in which all boxes together retried more than their budget
// allows.
func retryBudget(h *History) (found []string) {
	var repeats, first []time.Time
	for _, list := range h.arrivalsByID() {
		repeats = append(repeats, list[1:]...)
	}
	for _, r := range h.Requests {
		first = append(first, r.Sent)
	}
	byTime := func(list []time.Time) { sort.Slice(list, func(i, j int) bool { return list[i].Before(list[j]) }) }
	byTime(repeats)
	byTime(first)
	for _, end := range repeats {
		sent, retried := within(first, end), within(repeats, end)
		if float64(retried) > retryRatio*float64(sent)+retrySlack {
			return []string{fmt.Sprintf("%d retries for %d requests in %s", retried, sent, retryWindow)}
		}
	}
	return nil
}

// within counts the times in the window that ends with end.
func within(sorted []time.Time, end time.Time) int {
	from := sort.Search(len(sorted), func(i int) bool { return sorted[i].After(end.Add(-retryWindow)) })
	to := sort.Search(len(sorted), func(i int) bool { return sorted[i].After(end) })
	return to - from
}

// inTime finds answers that came after the timeout of their route, unless the box was paused,
// killed or stopped meanwhile.
func inTime(h *History) (found []string) {
	for _, r := range h.Requests {
		took := r.Ended.Sub(r.Sent)
		if r.Status == 0 || took <= r.Timeout+boundLate+timingSlack || h.hadFault(r.Box, r.Sent, r.Ended, BoxPause, BoxKill, BoxStop) {
			continue
		}
		found = append(found, fmt.Sprintf("%s was answered with %d after %s", r.ID, r.Status, took.Round(time.Millisecond)))
	}
	return found
}

// plannedStop finds requests that reached a server and got no answer because their box was
// stopped as planned.
func plannedStop(h *History) (found []string) {
	arrivals := h.arrivalsByID()
	for _, r := range h.Requests {
		if r.Status != 0 || len(arrivals[r.ID]) == 0 || !h.hadFault(r.Box, r.Sent, r.Ended, BoxStop) {
			continue
		}
		if h.hadFault(r.Box, r.Sent.Add(-boundContact), r.Ended, BoxKill, BoxPause) || r.Ended.Sub(r.Sent) > r.Timeout {
			continue
		}
		found = append(found, fmt.Sprintf("%s reached a server, and its connection to %s closed without an answer", r.ID, r.Box))
	}
	return found
}

// storeKinds are the faults that may delay changes on their way to a box.
var storeKinds = []Kind{StoreBusy, StoreMany, StoreSilent, StoreReset, StoreForgets, StoreCut, StoreBlink, StoreMute, StoreCopy}

// isExempt reports whether the box or the store had a fault between boundContact before from
// and to, so that bounds in time do not apply to the box.
func (h *History) isExempt(box string, from, to time.Time) bool {
	from = from.Add(-boundContact)
	return h.hadFault(box, from, to, BoxStop, BoxKill, BoxPause) || h.hadFault("", from, to, storeKinds...)
}

// drain finds requests that reached a server more than boundDrain after it left.
func drain(h *History) (found []string) {
	for _, d := range h.Departures {
		for _, a := range h.Arrivals[d.Server] {
			after := a.At.Sub(d.At)
			if after <= boundDrain+timingSlack || h.isExempt(a.From, d.At, a.At) || h.hadFault("", d.At, a.At, LinkDelay, LinkSilent, LinkOneWay, LinkMute) {
				continue
			}
			found = append(found, fmt.Sprintf("%s reached %s through %s %s after it left", a.ID, d.Server, a.From, after.Round(time.Millisecond)))
		}
	}
	return found
}

// configuration finds boxes that do not follow a configuration boundConfig after the store
// accepted it.
func configuration(h *History) (found []string) {
	for i, c := range h.Configurations {
		until := time.Time{}
		if i+1 < len(h.Configurations) {
			until = h.Configurations[i+1].At
		}
		for _, p := range h.Probes {
			late := p.At.Sub(c.At) > boundConfig+timingSlack
			if p.Version != c.Version || !late || !until.IsZero() && p.At.After(until) || h.isExempt(p.Box, c.At, p.At) {
				continue
			}
			if p.Status == http.StatusNotFound {
				found = append(found, fmt.Sprintf("%s does not follow version %d after %s", p.Box, c.Version, p.At.Sub(c.At).Round(time.Millisecond)))
			}
		}
	}
	return found
}

// noRegress finds incarnations of boxes that followed an older version of the configuration
// after a newer one.
func noRegress(h *History) (found []string) {
	type incarnation struct {
		box    string
		number int
	}
	newest := map[incarnation]int{}
	probes := append([]Probe(nil), h.Probes...)
	sort.SliceStable(probes, func(i, j int) bool { return probes[i].At.Before(probes[j].At) })
	for _, p := range probes {
		if p.Status != http.StatusOK {
			continue
		}
		key := incarnation{p.Box, p.Incarnation}
		if p.Version < newest[key] {
			found = append(found, fmt.Sprintf("%s followed version %d after %d", p.Box, p.Version, newest[key]))
		}
		newest[key] = max(newest[key], p.Version)
	}
	return found
}

// maxLateArrivals is how many retries of a request that has crashed three servers may still
// reach others after boundContact, in which boxes inform each other.
const maxLateArrivals = 3

// crashingKept finds requests that still reach servers after they have crashed three.
func crashingKept(h *History) (found []string) {
	for _, target := range h.CrashingTargets {
		ids := map[string]bool{}
		for _, q := range h.SideRequests {
			if q.Target == target {
				ids[q.ID] = true
			}
		}
		var crashes []time.Time
		for _, list := range h.Runs {
			for _, r := range list {
				if r.Target == target {
					crashes = append(crashes, r.At)
				}
			}
		}
		if len(crashes) < 3 {
			continue
		}
		sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
		third, late := crashes[2], 0
		for _, list := range h.Arrivals {
			for _, a := range list {
				if ids[a.ID] && a.At.Sub(third) > boundContact+timingSlack && !h.isExempt(a.From, a.At, a.At) {
					late++
				}
			}
		}
		if late > maxLateArrivals {
			found = append(found, fmt.Sprintf("%s reached servers %d times after it had crashed three; it crashed %d in all", target, late, len(crashes)))
		}
	}
	return found
}

// othersSent finds requests that were kept from servers although they do not crash them.
func othersSent(h *History) (found []string) {
	crashing := map[string]bool{}
	for _, target := range h.CrashingTargets {
		crashing[target] = true
	}
	for _, list := range [][]Request{h.Requests, h.SideRequests} {
		for _, q := range list {
			if q.Reason == string(outcome.ReasonCrashesServers) && !crashing[q.Target] {
				found = append(found, fmt.Sprintf("%s (%s) was kept from servers, which it does not crash", q.ID, q.Target))
			}
		}
	}
	return found
}

// recovery checks that requests are answered once all faults are over.
func recovery(h *History) []string {
	r := h.Recovery
	if r.Sent == 0 || float64(r.Answered) < minRecovered*float64(r.Sent) {
		return []string{fmt.Sprintf("%d of %d requests answered after all faults were over", r.Answered, r.Sent)}
	}
	return nil
}
