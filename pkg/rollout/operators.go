package rollout

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// ================================================================
// What operators see of orders, and what they may ask of them.
// ================================================================

// Path is the path of the orders at the admin address of a box. To ask something of an order,
// its service and the Request follow.
const Path = "/v1/rollouts"

// Request is what an operator asks of an order.
type Request string

// The requests.
const (
	RequestHold     Request = "hold"
	RequestResume   Request = "resume"
	RequestRollBack Request = "rollback"
	RequestFinish   Request = "finish"
)

// IsKnown reports whether the request exists.
func (r Request) IsKnown() bool {
	return r == RequestHold || r == RequestResume || r == RequestRollBack || r == RequestFinish
}

// UnknownRequestError reports a request that does not exist.
type UnknownRequestError struct{ Request Request }

// Error implements error.
func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("rollout: %q is none of hold, resume, rollback and finish", string(e.Request))
}

// NoOrderError reports that a service has no order in progress.
type NoOrderError struct{ Service string }

// Error implements error.
func (e *NoOrderError) Error() string {
	return "rollout: " + e.Service + " has no order in progress"
}

// Ask returns the status that an operator's request calls for, to be written to the store; see
// Written. The error is an *UnknownRequestError or a *NoOrderError.
func (t *Table) Ask(service string, r Request) (Change, error) {
	if !r.IsKnown() {
		return Change{}, &UnknownRequestError{Request: r}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.orders[service]
	if a == nil || a.progress.Final != "" {
		return Change{}, &NoOrderError{Service: service}
	}
	c := a.change(Running, t.Now(), t.WallMS())
	switch r {
	case RequestHold:
		c.Order.ByHand = Hold
	case RequestResume:
		c.Order.ByHand = ""
	case RequestFinish:
		c.Order.ByHand = Finish
	case RequestRollBack:
		c.State = RolledBack
	}
	return c, nil
}

// RouteEvidence is how the version did on a route, as the last comparison shows.
type RouteEvidence struct {
	Route    string  `json:"route"`
	BadShare float64 `json:"bad_share"`
	Slowdown float64 `json:"slower"`
}

// OrderView is an order as a box sees it.
type OrderView struct {
	Service    string        `json:"service"`
	Version    string        `json:"version"`
	State      string        `json:"state"`
	ByHand     string        `json:"by_hand,omitempty"`
	Share      float64       `json:"share"`
	Step       int           `json:"step"`
	RanMS      int64         `json:"ran_ms"`
	DurationMS int64         `json:"duration_ms"`
	FoundBad   bool          `json:"found_bad"`
	Waits      string        `json:"waits,omitempty"`
	IsJudge    bool          `json:"is_judge"`
	Requests   float64       `json:"requests"`
	Answers    float64       `json:"answers"`
	Evidence   RouteEvidence `json:"evidence"`
	Revision   uint64        `json:"revision"`
	Given      uint64        `json:"given"`
}

// BoxOrders are the orders that a box knows.
type BoxOrders struct {
	Box    string      `json:"box"`
	Orders []OrderView `json:"orders"`
}

// View returns the orders for operators, by service.
func (t *Table) View(isJudge bool) BoxOrders {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Now()
	b := BoxOrders{Box: t.Box, Orders: []OrderView{}}
	for _, service := range slices.Sorted(maps.Keys(t.orders)) {
		a := t.orders[service]
		count := a.evidence.total(now)
		b.Orders = append(b.Orders, OrderView{
			Service: service, Version: a.Version, State: string(a.shownState()), ByHand: string(a.ByHand), Share: a.rule().Share,
			Step: a.progress.Step, RanMS: a.ran(now).Milliseconds(), DurationMS: a.Duration.Milliseconds(), FoundBad: a.progress.Bad,
			Waits: a.wait.String(), IsJudge: isJudge, Requests: float64(count.Requests), Answers: float64(count.Answers),
			Evidence: RouteEvidence{Route: a.verdict.Route, BadShare: a.verdict.BadShare, Slowdown: a.verdict.Slowdown},
			Revision: a.Revision, Given: a.Given,
		})
	}
	return b
}

// shownState returns the final state if there is one, and otherwise the state in the store.
func (a *active) shownState() State {
	if a.progress.Final != "" {
		return a.progress.Final
	}
	return a.State
}

// Print writes the orders as a table.
func Print(w io.Writer, boxes []BoxOrders) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "SERVICE\tVERSION\tBOX\tSTATE\tSHARE\tRAN\tOF\tANSWERS\tROUTE\tBAD\tSLOWER\tWAITS"); err != nil {
		return err
	}
	for _, b := range boxes {
		for i := range b.Orders {
			if err := printOrder(t, b.Box, &b.Orders[i]); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

func printOrder(w io.Writer, box string, o *OrderView) error {
	state := o.State
	switch {
	case o.FoundBad && o.State != string(RolledBack):
		state += " (found bad)"
	case o.ByHand != "":
		state += " (" + o.ByHand + ")"
	}
	waits := o.Waits
	if !o.IsJudge {
		waits = "does not judge"
	}
	route := o.Evidence.Route
	if route == "" {
		route = "all"
	}
	_, err := fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s\t%.0f of %.0f\t%s\t%.2f\t%.2f\t%s\n",
		o.Service, o.Version, box, state, 100*o.Share,
		(time.Duration(o.RanMS) * time.Millisecond).Round(time.Second), time.Duration(o.DurationMS)*time.Millisecond,
		o.Answers, o.Requests, route, o.Evidence.BadShare, o.Evidence.Slowdown, waits)
	return err
}
