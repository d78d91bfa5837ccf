package prove

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/platform"
	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/standin"
)

const (
	// maxRefusalTime is the longest time that a refusal may take. Boxes do not delay refusals to
	// slow callers down; a queue holds a request for at most 100 ms.
	maxRefusalTime = 500 * time.Millisecond
	// serviceMS is how long each request of this proof takes, in milliseconds.
	serviceMS = 20
)

// TestPromise7 checks that no routing decision overloads a region: no backend server works on
// more requests than it has slots, goodput at twice the capacity is at least 90% of the capacity,
// and refusals take at most maxRefusalTime and name a time to retry after.
func TestPromise7(t *testing.T) {
	prove(t, 7, "own-view", func(p *proof) {
		l := p.start("small")
		base := p.runOpenLoad(1, 4*time.Second)
		over := p.runOpenLoad(2, 6*time.Second)
		p.addFigure("goodput_at_2x=%.0f%%", 100*over.rate()/capacityPerSecond(p))
		if over.rate() < 0.9*capacityPerSecond(p) {
			p.violated("goodput at twice the load is %.0f of %.0f a second", over.rate(), capacityPerSecond(p))
		}
		p.addFigure("answered_at_1x=%.0f/s", base.rate())
		flood := p.startOpenLoad(2)
		p.boxesChange()
		p.degradeServers(l)
		p.regionFails()
		f := flood.end()
		p.checkPeaks()
		p.addFigure("slowest_refusal=%dms without_retry_after=%d", f.slowestRefusal.Milliseconds(), f.noRetryAfter)
		if f.slowestRefusal > maxRefusalTime || f.noRetryAfter > 0 {
			p.violated("a refusal took %s (%s); %d named no time to come back", f.slowestRefusal, f.slowest, f.noRetryAfter)
		}
	})
}

// TestPromise7CutOff checks that no backend server works on more requests than it has slots when a
// box is cut off from the other boxes and from the platform, whose list drops it, while its callers
// still reach it: the other boxes take over its share of the slots, and it continues to use them.
func TestPromise7CutOff(t *testing.T) {
	prove(t, 7, "own-view", func(p *proof) {
		l := p.start("small")
		flood := p.startOpenLoad(2)
		p.boxIsCutOff(l)
		flood.end()
		p.checkPeaks()
	})
}

func capacityPerSecond(p *proof) float64 {
	s := p.d.Shape
	return float64(s.Services[0].Servers*s.Slots) * 1000 / serviceMS
}

// openLoad is an open-loop load: requests start at fixed times, whether earlier ones have ended
// or not.
type openLoad struct {
	p    *proof
	stop chan struct{}
	wg   *conc.WaitGroup

	mu             sync.Mutex
	began          time.Time
	took           time.Duration
	answered       int
	slowestRefusal time.Duration
	slowest        string
	noRetryAfter   int
}

func (f *openLoad) rate() float64 { return float64(f.answered) / f.took.Seconds() }

// runOpenLoad offers the given multiple of the capacity for a given time.
func (p *proof) runOpenLoad(times float64, length time.Duration) *openLoad {
	f := p.startOpenLoad(times)
	time.Sleep(length)
	return f.end()
}

func (p *proof) startOpenLoad(times float64) *openLoad {
	f := &openLoad{p: p, stop: make(chan struct{}), wg: conc.NewWaitGroup(), began: time.Now()}
	zones := p.d.Shape.Zones()
	pause := time.Duration(float64(time.Second) * float64(p.d.Shape.Boxes) / (times * capacityPerSecond(p)))
	for i := range p.d.Shape.Boxes {
		f.wg.Go(func() { f.offer(i, zones[i%len(zones)], pause) })
	}
	return f
}

// offer starts a request through box i at each interval of length pause.
func (f *openLoad) offer(i int, zone string, pause time.Duration) {
	c := caller.New(f.p.d.Shape.ClientOf(zone, i), f.p.d.Callers(i))
	defer c.Close()
	ticks := time.NewTicker(pause)
	defer ticks.Stop()
	inFlight := conc.NewWaitGroup()
	defer inFlight.Wait()
	for n := 0; ; n++ {
		select {
		case <-f.stop:
			return
		case <-ticks.C:
			inFlight.Go(func() { f.sendOne(c, i, n) })
		}
	}
}

func (f *openLoad) sendOne(c *caller.Client, i, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r := caller.Request{Service: service, Method: "GET", Path: fmt.Sprintf("/item?ms=%d", serviceMS)}
	began := time.Now()
	result := c.Submit(ctx, f.p.d.Callers(i), caller.Submission{Request: r, ID: fmt.Sprintf("f%d-%d-%d", f.began.UnixNano(), i, n)})
	took := time.Since(began)
	f.p.countRequests(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case result.Outcome == outcome.Answered:
		f.answered++
	case f.p.isFrozen(i):
		// A frozen box cannot refuse promptly.
	case result.Status != 0 && result.Outcome == outcome.NotRun:
		if took > f.slowestRefusal {
			f.slowestRefusal, f.slowest = took, fmt.Sprintf("box %d, %s: %s", i, time.Now().Format(time.TimeOnly), result.Body)
		}
		if result.RetryAfter == 0 {
			f.noRetryAfter++
		}
	}
}

func (f *openLoad) end() *openLoad {
	close(f.stop)
	f.took = time.Since(f.began)
	f.wg.Wait()
	return f
}

// boxesChange kills, starts, freezes and stops boxes, and removes them from and adds them to the
// platform's list, so that slots move between boxes.
func (p *proof) boxesChange() {
	all := p.d.BoxList()
	without := func(gone int) []platform.Box { return boxesWithout(all, gone) }
	for _, i := range []int{0, 3} {
		p.countFault()
		p.d.Kill(i)
		p.must(p.d.SetBoxList(without(i)))
		// Long enough for the other boxes to take over its share.
		time.Sleep(8 * time.Second)
		p.must(p.d.SetBoxList(all))
		p.must(p.d.StartBox(i))
		time.Sleep(2 * time.Second)
	}
	p.countFault()
	p.setFrozen(1)
	p.d.Freeze(1)
	p.must(p.d.SetBoxList(without(1)))
	time.Sleep(9 * time.Second)
	p.d.Thaw(1)
	// Requests that it received while frozen end within their callers' timeout of 2 s.
	time.Sleep(2500 * time.Millisecond)
	p.setFrozen(-1)
	p.must(p.d.SetBoxList(all))
	p.countFault()
	p.d.Terminate(2)
	p.must(p.d.StartBox(2))
	time.Sleep(2 * time.Second)
}

func boxesWithout(all []platform.Box, gone int) []platform.Box {
	var list []platform.Box
	for i, b := range all {
		if i != gone {
			list = append(list, b)
		}
	}
	return list
}

// boxIsCutOff cuts off a box from the other boxes and the platform, which drops it from its list,
// while its callers still reach it.
func (p *proof) boxIsCutOff(l *links) {
	all := p.d.BoxList()
	p.countFault()
	l.cutBox(p.d, 0)
	p.must(p.d.SetBoxList(boxesWithout(all, 0)))
	time.Sleep(9 * time.Second)
	l.heal()
	p.must(p.d.SetBoxList(all))
	time.Sleep(2 * time.Second)
}

// setFrozen records which box is frozen; -1 for none.
func (p *proof) setFrozen(i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = i + 1
}

func (p *proof) isFrozen(i int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen == i+1
}

// degradeServers has, for a while, one backend server fail its health checks, one answer slowly, and
// one lose its connections.
func (p *proof) degradeServers(l *links) {
	p.countFault()
	p.must(p.d.Control(p.serverName(0), standin.BackendControl{MisleadingHealth: true, ServiceMS: serviceMS}))
	l.servers[1].SetAll(faultproxy.Fault{Delay: 40 * time.Millisecond})
	l.servers[2].SetAll(faultproxy.Fault{Reset: true})
	time.Sleep(3 * time.Second)
	l.heal()
	p.must(p.d.Control(p.serverName(0), standin.BackendControl{ServiceMS: serviceMS}))
}

// regionFails kills the boxes of the south, which must not overload the north's servers.
func (p *proof) regionFails() {
	p.countFault()
	p.must(p.d.Signal(2, syscall.SIGKILL))
	p.d.Kill(2)
	p.d.Kill(3)
	time.Sleep(8 * time.Second)
	for _, i := range []int{2, 3} {
		p.must(p.d.StartBox(i))
		p.must(p.d.WaitReady(i))
	}
	time.Sleep(2 * time.Second)
}
