package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/harness"
)

// Length of each load, number of pairs of loads, and service time of the backend servers.
const (
	loadTime    = 4 * time.Second
	pairs       = 3
	serviceTime = 5 * time.Millisecond
)

// latency compares requests through a box with the same requests sent directly to the backend
// servers, in pairs of loads. The load is open-loop: each request is due at a fixed time, and its
// latency counts from that time.
func (b *bench) latency() error {
	shape := harness.Shapes["small"]
	return b.withDeployment(shape, func(d *harness.Deployment) error {
		time.Sleep(2 * time.Second)
		slots := 2 * shape.Slots // two backend servers in the zone
		for _, use := range []int{50, 90} {
			rate := float64(slots) * float64(use) / 100 / serviceTime.Seconds()
			for pair := range pairs {
				direct := b.load(rate, func(i int) bool { return directCall(d, i) })
				through := b.load(rate, func(i int) bool { return boxCall(d, 0, "north-a", i) })
				b.report(fmt.Sprintf("direct.%d.%d", use, pair), direct)
				b.report(fmt.Sprintf("same_zone.%d.%d", use, pair), through)
				b.measure(fmt.Sprintf("same_zone.%d.%d.p99_ratio", use, pair), ratio(through, direct, 99), "x")
			}
		}
		rate := float64(slots) / 2 / serviceTime.Seconds()
		handoff := b.load(rate, func(i int) bool { return boxCall(d, 0, "south-b", i) })
		b.report("other_region_no_link_delay.50", handoff)
		return nil
	})
}

// ratio returns the ratio of a percentile of a to that of b.
func ratio(a, b *result, percentile float64) float64 {
	return float64(a.times.ValueAtPercentile(percentile)) / float64(b.times.ValueAtPercentile(percentile))
}

// result is the result of a load. Its times are latencies in microseconds.
type result struct {
	times   *hdrhistogram.Histogram
	refused int
}

// report prints the percentiles of a result in milliseconds, and the number of refused requests.
func (b *bench) report(name string, r *result) {
	for _, p := range []float64{50, 99, 99.9} {
		b.measure(fmt.Sprintf("%s.p%g", name, p), float64(r.times.ValueAtPercentile(p))/1000, "ms")
	}
	b.measure(name+".refused", float64(r.refused), "requests")
}

// load sends requests at a rate per second for loadTime, and waits for their answers.
func (b *bench) load(rate float64, send func(i int) bool) *result {
	r := &result{times: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	wg := conc.NewWaitGroup()
	began := time.Now()
	for i := range int(rate * loadTime.Seconds()) {
		due := began.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			ok := send(i)
			took := time.Since(due).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				r.refused++
				return
			}
			_ = r.times.RecordValue(took)
		})
	}
	wg.Wait()
	return r
}

var directClients, boxClients sync.Map

// clientTo returns the caller for an address and client, which keeps its connections open.
func clientTo(clients *sync.Map, address, client string) *caller.Client {
	c, _ := clients.LoadOrStore(address+client, caller.New(client, address))
	return c.(*caller.Client)
}

// directCall sends a request directly to one of the two backend servers of the first zone. It
// reports whether the status is 200.
func directCall(d *harness.Deployment, i int) bool {
	servers := d.Service(0).BackendServers
	address := servers[i%2*len(d.Shape.Zones())].Address
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r := caller.Request{Service: "shop", Method: "GET", Path: "/item"}
	result := clientTo(&directClients, address, "").Submit(ctx, address, caller.Submission{Request: r, ID: harness.NewID()})
	return result.Status == 200
}

// boxCall sends a request of a client of the zone to a box. It reports whether the outcome is
// answered.
func boxCall(d *harness.Deployment, box int, zone string, _ int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r := caller.Request{Service: "shop", Method: "GET", Path: "/item"}
	c := clientTo(&boxClients, d.Callers(box), d.Shape.ClientOf(zone, 1))
	return c.Submit(ctx, d.Callers(box), caller.Submission{Request: r, ID: harness.NewID()}).Outcome == outcome.Answered
}
