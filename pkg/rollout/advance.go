package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stoneworks/stoneworks/pkg/canary"
)

// ================================================================
// The boxes that judge take an order's steps.
// ================================================================

const (
	// slotsShare is the fraction of the slots of a region's other servers that the version needs
	// there to take all their requests.
	slotsShare = 0.9
	// loadMargin is how many slots the version needs for each request that is at the region's
	// servers now, if that is less.
	loadMargin = 2.0
	// reportsTime is how long a box has been a judge by the time that all boxes report to it.
	reportsTime = 1500 * time.Millisecond
	// tellTime is how long a box that has just learned of an order waits for other boxes to tell
	// for how long that has been running, before it derives this from the time of day.
	tellTime = time.Second
)

// RegionRoom holds the slots of a service's servers in a region that may get requests and are
// neither cold nor ejected: those of the version and all others.
type RegionRoom struct {
	Region  string
	Version float64
	Others  float64
	// HasOthers is true if other servers may get requests, whatever their condition.
	HasOthers bool
	// Load is the number of requests at all these servers: those of this box, and once the reports
	// of other boxes are added those of all. KnowsLoad is true if there are enough of them to go by.
	Load      float64
	KnowsLoad bool
}

// needed returns the slots that the version needs to take a share of the region's requests.
func (r *RegionRoom) needed(share float64) float64 {
	slots := slotsShare * r.Others
	if r.KnowsLoad {
		slots = min(slots, loadMargin*r.Load)
	}
	return share * slots
}

// WaitReason is why a step is not taken.
type WaitReason string

// The reasons.
const (
	// WaitTime: it is not time for the step yet.
	WaitTime WaitReason = "time"
	// WaitHeld: an operator holds the order.
	WaitHeld WaitReason = "held"
	// WaitContact: this box sees too few zones to decide without the store.
	WaitContact WaitReason = "contact"
	// WaitServers: the version has no server that is ready and warm.
	WaitServers WaitReason = "servers"
	// WaitSlots: the version's servers have too few slots.
	WaitSlots WaitReason = "slots"
	// WaitAnswers: too few answers of the version have been seen.
	WaitAnswers WaitReason = "answers"
	// WaitEvidence: the version is not shown to be good yet.
	WaitEvidence WaitReason = "evidence"
)

// Wait is why a step is not taken. Have and Need are in slots or answers.
type Wait struct {
	Reason WaitReason
	Region string
	Have   float64
	Need   float64
}

// String describes the wait for logs and operators.
func (w Wait) String() string {
	switch w.Reason {
	case WaitServers:
		if w.Region == "" {
			return "no warm server of the version"
		}
		return "no warm server of the version in " + w.Region
	case WaitSlots:
		return fmt.Sprintf("the version has %.0f of %.0f slots needed in %s", w.Have, w.Need, w.Region)
	case WaitAnswers:
		return fmt.Sprintf("%.0f of %.0f answers of the version needed", w.Have, w.Need)
	case WaitHeld:
		return "held by an operator"
	case WaitContact:
		return "no box in contact with the store, and too few zones seen"
	case WaitTime:
		return "not yet time"
	case WaitEvidence:
		return "the version is not yet shown to be good"
	}
	return ""
}

// roomFor returns why the version cannot carry a share of the requests, if so.
func roomFor(regions []RegionRoom, share float64) Wait {
	version := 0.0
	for i := range regions {
		r := &regions[i]
		version += r.Version
		if !r.HasOthers {
			continue
		}
		if r.Version == 0 {
			return Wait{Reason: WaitServers, Region: r.Region}
		}
		if need := r.needed(share); r.Version < need {
			return Wait{Reason: WaitSlots, Region: r.Region, Have: r.Version, Need: need}
		}
	}
	if version == 0 {
		return Wait{Reason: WaitServers}
	}
	return Wait{}
}

// isInForce reports whether all servers are of the version already. The list of servers has to be
// known for a while, since a box that starts reads it one by one.
func (a *active) isInForce(regions []RegionRoom, now time.Time) bool {
	hasOthers := slices.ContainsFunc(regions, func(r RegionRoom) bool { return r.HasOthers })
	return !hasOthers && len(regions) > 0 && now.Sub(a.firstSeen) >= tellTime
}

// View is what a box knows about the fleet and the servers when it advances orders.
type View struct {
	// IsJudge is true if this box judges versions, and MaySteps if it takes steps as well.
	IsJudge bool
	MayStep bool
	// Room returns the slots of a service's servers by region.
	Room func(service, version string) []RegionRoom
}

// What has happened to an order.
const (
	EventStep = "step"
	EventBad  = "bad"
	EventWait = "wait"
)

// Event is something that has happened to an order at this box, for the log. Wait is set for
// EventWait.
type Event struct {
	What    string
	Order   Order
	Share   float64
	Ran     time.Duration
	Wait    Wait
	Verdict canary.Verdict
}

// Tick judges the versions and takes the steps that are due. It has to be called regularly.
func (t *Table) Tick(v View) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	var events []Event
	for _, service := range slices.Sorted(maps.Keys(t.orders)) {
		a := t.orders[service]
		if a.progress.Final != "" {
			continue
		}
		a.useWallClock(t.WallMS, now)
		a.isDue = false
		if !v.IsJudge || a.progress.Bad {
			a.wait, a.judgesSince = Wait{}, time.Time{}
			continue
		}
		if a.judgesSince.IsZero() {
			a.judgesSince = now
		}
		if what := a.advance(&v, now); what != "" {
			events = append(events, Event{
				What: what, Order: a.Order, Share: a.rule().Share, Ran: a.ran(now), Wait: a.wait, Verdict: a.verdict,
			})
		}
	}
	return events
}

// advance judges the version and takes the next step if nothing stands against it. It returns
// what has happened, or "".
func (a *active) advance(v *View, now time.Time) string {
	a.verdict = a.judge.Verdict(now)
	if a.verdict.Bad {
		a.join(Progress{Bad: true}, now)
		a.wait = Wait{}
		return EventBad
	}
	if a.verdict.Good {
		a.join(Progress{Proven: true}, now)
	}
	a.wait = a.obstacle(v, now)
	switch {
	case a.wait.Reason == WaitTime || a.logged[a.wait.Reason]:
		return ""
	case a.wait.Reason != "":
		if a.logged == nil {
			a.logged = map[WaitReason]bool{}
		}
		a.logged[a.wait.Reason] = true
		return EventWait
	case a.progress.Step == lastStep || a.ByHand == Finish || a.isInForce(v.Room(a.Service, a.Version), now):
		a.isDue = true
		return ""
	}
	a.logged = nil
	a.join(Progress{Step: a.progress.Step + 1}, now)
	return EventStep
}

// obstacle returns why the next step is not taken, if so.
func (a *active) obstacle(v *View, now time.Time) Wait {
	if a.ByHand == Hold {
		return Wait{Reason: WaitHeld}
	}
	room := v.Room(a.Service, a.Version)
	if now.Sub(a.judgesSince) >= reportsTime {
		a.evidence.addLoad(room, now)
	}
	isUnpaced := a.ByHand == Finish || a.isInForce(room, now)
	if !isUnpaced && !a.isPaced(now) {
		return Wait{Reason: WaitTime}
	}
	if !v.MayStep {
		return Wait{Reason: WaitContact}
	}
	share := shareAfter(a.progress.Step)
	if isUnpaced {
		share = 1
	}
	if w := roomFor(room, share); w.Reason != "" || isUnpaced {
		return w
	}
	if w := a.answersFor(now); w.Reason != "" {
		return w
	}
	if !a.isProven(now) {
		return Wait{Reason: WaitEvidence}
	}
	return Wait{}
}

// answersFor returns whether too few answers of the version have been seen for the next step.
func (a *active) answersFor(now time.Time) Wait {
	count := a.evidence.total(now)
	// The counts reach back to the step before.
	need := count.needed(steps[max(0, a.progress.Step-1)].share)
	if a.progress.Step == lastStep && !a.evidence.answered {
		need = max(need, 1)
	}
	if float64(count.Answers) < need {
		return Wait{Reason: WaitAnswers, Have: float64(count.Answers), Need: need}
	}
	return Wait{}
}

// useWallClock derives from the time of day for how long the order has been running, if it was
// begun before this box learned of it and no box is left that knows.
func (a *active) useWallClock(wallMS func() int64, now time.Time) {
	if a.Begun == 0 || a.knowsTime || now.Sub(a.firstSeen) < tellTime {
		return
	}
	a.knowsTime = true
	since := time.Duration(wallMS()-a.Begun) * time.Millisecond
	a.join(Progress{Ran: max(0, min(since, a.Duration))}, now)
}
