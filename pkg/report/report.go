// Package report summarizes the logs of boxes: how many requests of each service and each span
// of time were answered in time, late, refused or lost, and from which cause. It reads lines
// of package trace; only WriteHTML and Print do output.
package report

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/trace"
)

// Outcome is the result of a request for its client.
type Outcome int

// The outcomes.
const (
	// InTime: answered within the route's target, or on a route without a target.
	InTime Outcome = iota
	// Late: answered after the target.
	Late
	// Refused: the box reported that the request was not run.
	Refused
	// Lost: no answer from a server, and unknown whether the request was run.
	Lost
	outcomeCount
)

// outcomeNames holds the outcomes' names in tables, indexed by outcome.
var outcomeNames = [outcomeCount]string{"in time", "late", "refused", "lost"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Cause is the first of the causes below that applies to a request that was not answered in
// time.
type Cause string

// The causes, in the order in which they are checked.
const (
	// CauseOverLimit: the request's customer was over its limit.
	CauseOverLimit Cause = "over limit"
	// CauseQuarantined: servers crashed during earlier attempts at the request.
	CauseQuarantined Cause = "crashes servers"
	// CauseNotTried: the request was refused without being sent to any server.
	CauseNotTried Cause = "not tried"
	// CauseRetried: the first server failed or refused the request.
	CauseRetried Cause = "tried again"
	// CauseServerFailed: the only server that was tried failed or refused the request.
	CauseServerFailed Cause = "server failed"
	// CauseFirstUse: the server was not known to have the affinity key.
	CauseFirstUse Cause = "first use of the key"
	// CauseQueued: all slots of the server were in use.
	CauseQueued Cause = "queued"
	// CauseRemote: the server is in another region.
	CauseRemote Cause = "remote"
	// CauseSlow: none of the other causes; the server was slow.
	CauseSlow Cause = "server slow"
)

// Causes lists all causes in the order in which they are checked.
var Causes = []Cause{
	CauseOverLimit, CauseQuarantined, CauseNotTried, CauseRetried, CauseServerFailed, CauseFirstUse, CauseQueued, CauseRemote, CauseSlow,
}

// Tally counts requests.
type Tally struct {
	Outcomes [outcomeCount]int
	// Causes counts those that were not answered in time.
	Causes map[Cause]int
}

// Requests returns the sum over all outcomes.
func (t *Tally) Requests() int {
	sum := 0
	for _, n := range t.Outcomes {
		sum += n
	}
	return sum
}

// notInTime counts the requests that were not answered in time.
func (t *Tally) notInTime() int { return t.Requests() - t.Outcomes[InTime] }

func (t *Tally) add(o Outcome, c Cause, requests int) {
	t.Outcomes[o] += requests
	if o == InTime {
		return
	}
	if t.Causes == nil {
		t.Causes = map[Cause]int{}
	}
	t.Causes[c] += requests
}

// Span counts the requests that began in one span of time.
type Span struct {
	Start time.Time
	Tally
}

// Group counts the requests of one service, of one customer, or of one group by where requests
// may run.
type Group struct {
	Name string
	Tally
}

// Names of the groups by where requests may run.
const (
	anyRegion   = "any region"
	someRegions = "some regions"
)

// maxCustomers bounds the customers of a report, which lists those with the most requests that
// were not answered in time.
const maxCustomers = 20

// Report is the summary of logs.
type Report struct {
	// Every is the length of a span.
	Every    time.Duration
	All      Tally
	Services []Group
	// Regions groups the requests by where they may run, Customers by customer. Both are empty
	// if the logs name no customer.
	Regions   []Group
	Customers []Group
	Spans     []Span
	// Sampled is how many of the requests are represented by lines that stand for several
	// requests; the counts of these are estimates.
	Sampled int
}

// EmptyError reports that the logs have no line about a request.
type EmptyError struct{}

// Error implements error.
func (*EmptyError) Error() string { return "no line about a request" }

// Summarize counts the requests that the lines are about. The error is an *EmptyError.
func Summarize(lines []trace.Line, every time.Duration) (*Report, error) {
	r := &Report{Every: every}
	services, regions, customers := map[string]*Group{}, map[string]*Group{}, map[string]*Group{}
	spans := map[time.Time]*Span{}
	for i := range lines {
		q, ok := readRequest(&lines[i])
		if !ok {
			continue
		}
		outcome := q.outcome()
		cause := q.cause()
		r.All.add(outcome, cause, q.requests)
		if q.requests > 1 {
			r.Sampled += q.requests
		}
		getGroup(services, q.service).add(outcome, cause, q.requests)
		if customer := q.text("customer"); customer != "" {
			getGroup(customers, customer).add(outcome, cause, q.requests)
			getGroup(regions, q.regions()).add(outcome, cause, q.requests)
		}
		start := q.start.Truncate(every)
		getOrAdd(spans, start, func() *Span { return &Span{Start: start} }).add(outcome, cause, q.requests)
	}
	if r.All.Requests() == 0 {
		return nil, &EmptyError{}
	}
	r.Services, r.Regions, r.Customers = sorted(services), sorted(regions), sorted(customers)
	slices.SortStableFunc(r.Customers, func(a, b Group) int { return b.notInTime() - a.notInTime() })
	r.Customers = r.Customers[:min(len(r.Customers), maxCustomers)]
	for _, s := range spans {
		r.Spans = append(r.Spans, *s)
	}
	slices.SortFunc(r.Spans, func(a, b Span) int { return a.Start.Compare(b.Start) })
	return r, nil
}

// sorted returns the groups, sorted by name.
func sorted(groups map[string]*Group) []Group {
	var list []Group
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		list = append(list, *groups[name])
	}
	return list
}

func getGroup(groups map[string]*Group, name string) *Group {
	return getOrAdd(groups, name, func() *Group { return &Group{Name: name} })
}

// getOrAdd returns the entry of a key and adds one if there is none.
func getOrAdd[K comparable, V any](m map[K]*V, key K, empty func() *V) *V {
	if m[key] == nil {
		m[key] = empty()
	}
	return m[key]
}

// request is what a log line contains about a request.
type request struct {
	service string
	start   time.Time
	status  int
	took    float64
	target  float64
	// requests is how many requests the line stands for.
	requests int
	tries    int
	// lastTry is the name of the last try's field, and the prefix of its other fields.
	lastTry string
	fields  map[string]any
}

// linePrefix is the prefix of lines about requests.
const linePrefix = "request: "

func readRequest(l *trace.Line) (*request, bool) {
	if !strings.HasPrefix(l.Text, linePrefix) {
		return nil, false
	}
	q := &request{fields: l.Fields, requests: 1}
	q.service, _ = l.Fields["service"].(string)
	if q.service == "" {
		q.service = "(none)"
	}
	q.status = int(q.number("status"))
	q.took = q.number("took_ms")
	q.target = q.number("target_ms")
	q.start = l.Time.Add(-time.Duration(q.took * float64(time.Millisecond)))
	if n := int(q.number("requests")); n > 1 {
		q.requests = n
	}
	for q.fields[fmt.Sprint("try", q.tries+1)] != nil {
		q.tries++
		q.lastTry = fmt.Sprint("try", q.tries)
	}
	return q, true
}

// number returns the value of a numeric field, 0 if it is absent: the log omits fields without
// a meaningful value.
func (q *request) number(name string) float64 {
	v, _ := q.fields[name].(float64)
	return v
}

// Statuses of answers that a box makes itself.
const (
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

func (q *request) outcome() Outcome {
	answered := strings.HasSuffix(q.text("text"), "request: answered")
	switch {
	case answered && (q.target <= 0 || q.took <= q.target):
		return InTime
	case answered:
		return Late
	case q.status == statusBadGateway || q.status == statusGatewayTimeout:
		return Lost
	}
	return Refused
}

// regions returns the name of the request's group by where it may run.
func (q *request) regions() string {
	if q.fields["bound"] != nil {
		return someRegions
	}
	return anyRegion
}

func (q *request) text(name string) string {
	v, _ := q.fields[name].(string)
	return v
}

func (q *request) cause() Cause {
	switch reason := outcome.Reason(q.text("reason")); {
	case reason == outcome.ReasonOverLimit:
		return CauseOverLimit
	case reason == outcome.ReasonCrashesServers:
		return CauseQuarantined
	case q.tries == 0:
		return CauseNotTried
	case q.tries > 1:
		return CauseRetried
	case !strings.HasSuffix(q.text(q.lastTry), " answered"):
		return CauseServerFailed
	case q.fields[q.lastTry+"_known"] == nil:
		return CauseFirstUse
	case q.number(q.lastTry+"_busy") >= max(1, q.number(q.lastTry+"_slots")):
		return CauseQueued
	case q.fields[q.lastTry+"_remote"] != nil:
		return CauseRemote
	}
	return CauseSlow
}
