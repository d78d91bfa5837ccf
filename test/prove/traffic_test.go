package prove

import (
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/harness"
)

// traffic is a steady load that runs while a proof injects faults.
type traffic struct {
	p    *proof
	stop chan struct{}
	wg   *conc.WaitGroup

	mu      sync.Mutex
	counts  map[outcome.Outcome]int
	reasons map[string]int
}

// startTraffic starts n callers in each zone. They choose boxes by look-ups and send requests
// that take less than ms milliseconds; every fifth one takes 5 ms and runs at most once.
func (p *proof) startTraffic(n, ms int) *traffic {
	return p.startTrafficFrom(p.d.Shape.Zones(), p.d.AllCallers(), n, ms)
}

// startTrafficFrom is startTraffic for callers of the given zones that look up at the given boxes.
func (p *proof) startTrafficFrom(zones, boxes []string, n, ms int) *traffic {
	t := &traffic{p: p, stop: make(chan struct{}), wg: conc.NewWaitGroup(), counts: map[outcome.Outcome]int{}, reasons: map[string]int{}}
	for _, zone := range zones {
		for i := range n {
			t.wg.Go(func() { t.caller(zone, boxes, i, ms) })
		}
	}
	return t
}

func (t *traffic) caller(zone string, boxes []string, n, ms int) {
	c := caller.New(t.p.d.Shape.ClientOf(zone, n), boxes...)
	defer c.Close()
	for i := 0; ; i++ {
		select {
		case <-t.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r := caller.Request{Service: service, Method: "GET", Path: fmt.Sprintf("/item?ms=%d", (i*7+n)%ms), MayRepeat: true, ID: harness.NewID()}
		if i%5 == 4 {
			r = caller.Request{Service: service, Method: "POST", Path: "/buy?ms=5", Body: []byte("pass"), AtMostOnce: true, ID: r.ID}
		}
		ctx := t.p.ctx(5 * time.Second)
		result, err := c.Do(ctx, r)
		t.p.countRequests(1)
		if err != nil {
			result = &caller.Result{Outcome: outcome.NotRun, Reason: "no_lookup"}
		}
		if wrong := harness.CheckAnswer(r, result); wrong != "" {
			t.p.violated("%s", wrong)
		}
		t.mu.Lock()
		t.counts[result.Outcome]++
		if result.Outcome != outcome.Answered {
			t.reasons[fmt.Sprintf("%s.%s", result.Outcome, result.Reason)]++
		}
		t.mu.Unlock()
	}
}

// end stops the load and returns the number of requests with each outcome, and the number for
// each reason why a request was not answered.
func (t *traffic) end() (answered, notRun, unknown int, reasons map[string]int) {
	close(t.stop)
	t.wg.Wait()
	return t.counts[outcome.Answered], t.counts[outcome.NotRun], t.counts[outcome.Unknown], t.reasons
}
