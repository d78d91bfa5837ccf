package prove

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/harness"
)

// TestPromise2 checks that a request that is reported to its caller as not run did not run, for
// faults of servers, links and boxes, deadlines and overload.
func TestPromise2(t *testing.T) {
	prove(t, 2, "careless-not-run", func(p *proof) {
		l := p.start("small")
		w := &outcomeChecker{p: p, outcomes: map[string]int{}}
		w.serverFaults()
		w.linkFaults(l)
		w.deadlines()
		w.closedWhileIdle()
		w.unknownThenFull()
		w.overload()
		w.forwardToCutBox(l)
		w.boxStopping()
		w.boxKilled()
		w.check()
	})
}

// outcomeChecker records the outcomes that callers received, to compare them with what ran.
type outcomeChecker struct {
	p        *proof
	reported []reportedOutcome
	outcomes map[string]int
}

type reportedOutcome struct {
	what, name string
	outcome    outcome.Outcome
	reason     outcome.Reason
}

func (w *outcomeChecker) record(what, name string, r *caller.Result) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.reported = append(w.reported, reportedOutcome{what, name, r.Outcome, r.Reason})
	w.outcomes[string(r.Outcome)]++
}

// send submits a request that may be retried and one that runs at most once.
func (w *outcomeChecker) send(what string, box int, path, fault string, body []byte, within time.Duration) {
	p := w.p
	p.countFault()
	var header [][2]string
	if fault != "" {
		header = [][2]string{{"X-Fault", fault}}
	}
	id := harness.NewID()
	r := caller.Request{Service: service, Method: "GET", Path: path, Header: header, MayRepeat: true}
	if body != nil {
		r.Method, r.Body = "PUT", body
	}
	w.record(what, id, p.submit(box, r, "", id, within))
	key, id := p.keyOf(box)
	r.Method, r.Body, r.AtMostOnce = "POST", []byte("x"), true
	if body != nil {
		r.Body = body
	}
	w.record(what, key, p.submit(box, r, key, id, within))
}

// check compares the outcomes with the backend servers' records. It waits for a second first, so
// that requests still in flight arrive.
func (w *outcomeChecker) check() {
	time.Sleep(time.Second)
	records, err := w.p.d.Records()
	w.p.must(err)
	for _, x := range w.reported {
		if x.outcome == outcome.NotRun && harness.RunsWithKey(records, x.name) > 0 {
			w.p.violated("%s: told %s (%s), but %s ran", x.what, x.outcome, x.reason, x.name)
		}
	}
	for _, o := range []string{"answered", "not-run", "unknown"} {
		w.p.addFigure("%s=%d", o, w.outcomes[o])
		if w.outcomes[o] == 0 {
			w.p.t.Errorf("no request had the outcome %s", o)
		}
	}
}

func (w *outcomeChecker) serverFaults() {
	for _, fault := range []string{"", "shed", "reset-before", "reset-after", "truncate", "close", "hang"} {
		for i := range 6 {
			w.send("server "+fault, i, "/item?ms=2", fault, nil, 250*time.Millisecond)
		}
	}
}

// linkFaults resets, truncates and stalls the connections to the backend servers.
func (w *outcomeChecker) linkFaults(l *links) {
	large := []byte(strings.Repeat("a receipt ", 30_000))
	for name, f := range map[string]faultproxy.Fault{
		"reset at once":        {Reset: true},
		"request cut at 100 B": {TruncateRequests: 100},
		"request cut at 50 KB": {TruncateRequests: 50_000},
		"answer cut at 60 B":   {TruncateAnswers: 60},
		"requests held":        {HoldRequests: true},
		"answers held":         {HoldAnswers: true},
	} {
		for _, x := range l.servers {
			x.SetAll(f)
		}
		for i := range 4 {
			w.send("link: "+name, i, "/item?ms=2", "", nil, 250*time.Millisecond)
			w.send("link, upload: "+name, i, "/item?ms=2", "", large, 250*time.Millisecond)
		}
		l.heal()
	}
	// The last case is an address at which nothing listens.
	w.p.must(w.connectionRefused())
}

// connectionRefused sends requests to a service whose backend servers' ports are closed.
func (w *outcomeChecker) connectionRefused() error {
	s := w.p.d.Service(0)
	s.Name = "closed"
	for i := range s.BackendServers {
		s.BackendServers[i].Address = w.p.d.Addr(100+i, 9)
	}
	if err := w.p.createService(s); err != nil {
		return err
	}
	for i := range 6 {
		w.p.countFault()
		id := harness.NewID()
		r := w.p.submit(i, caller.Request{Service: s.Name, Method: "GET", Path: "/"}, "", id, time.Second)
		w.record("refused", id, r)
		if r.Outcome != outcome.NotRun {
			w.p.violated("refused: told %s (%s), though nothing can have run", r.Outcome, r.Reason)
		}
	}
	return nil
}

func (w *outcomeChecker) deadlines() {
	for ms := range 12 {
		w.send("deadline", ms%6, "/item?ms=4", "", nil, time.Duration(ms+1)*time.Millisecond)
	}
}

// closedWhileIdle reuses connections that the backend server may be closing at that moment.
func (w *outcomeChecker) closedWhileIdle() {
	for i := range 40 {
		w.send("closed while idle", 0, "/item?ms=0", []string{"close", ""}[i%2], nil, time.Second)
	}
}

// unknownThenFull has a request run and lose its answer in its own zone, and then find the
// servers elsewhere full. The last refusal must not hide that an earlier attempt may have run.
func (w *outcomeChecker) unknownThenFull() {
	for range 4 {
		wg := conc.NewWaitGroup()
		for _, box := range []int{1, 1, 1, 1, 5, 5, 5, 5} {
			wg.Go(func() {
				id := harness.NewID()
				w.p.submit(box, caller.Request{Service: service, Method: "GET", Path: "/slow?ms=600"}, "", id, 2*time.Second)
			})
		}
		time.Sleep(150 * time.Millisecond)
		w.send("unknown, then full", 0, "/item?ms=0", "reset-after", nil, time.Second)
		wg.Wait()
	}
}

// overload sends many more concurrent requests than there are slots.
func (w *outcomeChecker) overload() {
	wg := conc.NewWaitGroup()
	for i := range 120 {
		wg.Go(func() {
			id := harness.NewID()
			r := w.p.submit(i%6, caller.Request{Service: service, Method: "GET", Path: "/slow?ms=200"}, "", id, 3*time.Second)
			w.record("overload", id, r)
		})
	}
	wg.Wait()
	w.p.countFault()
}

// forwardToCutBox cuts off a box to which other boxes forward requests.
func (w *outcomeChecker) forwardToCutBox(l *links) {
	l.cutBox(w.p.d, 2)
	for i := range 8 {
		w.sendFrom("hand-off cut", "south-a", i%2, "/item?ms=5")
	}
	l.heal()
	w.p.awaitRevisionEverywhere(1)
}

// sendFrom sends a request as a client of one zone through a box of another zone, so that the box
// forwards it.
func (w *outcomeChecker) sendFrom(what, zone string, box int, path string) {
	p := w.p
	p.countRequests(1)
	id := harness.NewID()
	c := caller.New(p.d.Shape.ClientOf(zone, 1), p.d.Callers(box))
	defer c.Close()
	r := c.Submit(p.ctx(400*time.Millisecond), p.d.Callers(box), caller.Submission{
		Request: caller.Request{Service: service, Method: "GET", Path: path}, ID: id,
	})
	w.record(what, id, r)
}

// load sends requests through the box until stop is closed.
func (w *outcomeChecker) load(what string, box int, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		id := harness.NewID()
		w.record(what, id, w.p.submit(box, caller.Request{Service: service, Method: "GET", Path: fmt.Sprintf("/item?ms=%d", n%30)}, "", id, time.Second))
	}
}

// loadDuring runs a load through the box while f injects a fault.
func (w *outcomeChecker) loadDuring(what string, box int, f func()) {
	stop := make(chan struct{})
	wg := conc.NewWaitGroup()
	for range 6 {
		wg.Go(func() { w.load(what, box, stop) })
	}
	time.Sleep(200 * time.Millisecond)
	w.p.countFault()
	f()
	time.Sleep(100 * time.Millisecond)
	close(stop)
	wg.Wait()
}

func (w *outcomeChecker) boxStopping() {
	w.loadDuring("box stopping", 4, func() {
		if code := w.p.d.Terminate(4); code != 0 {
			w.p.violated("box stopping: exit code %d", code)
		}
	})
}

func (w *outcomeChecker) boxKilled() {
	w.loadDuring("box killed", 3, func() { w.p.d.Kill(3) })
}
