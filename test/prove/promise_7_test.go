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
	// maxRefusalTime is within what a refusal has to come: no request is held to
	// keep its caller quiet. A queue may hold it for 100 ms at most.
	maxRefusalTime = 500 * time.Millisecond
	// serviceMS is how long each request of this proof takes.
	serviceMS = 20
)

// TestPromise7 proves that no decision overloads a region: no backend server
// ever works on more than its slots, overload does not eat what capacity
// there is, and refusals come at once with when to come back.
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

// TestPromise7CutOff is the same for a box that is cut off from the others and from the platform,
// whose list drops it, while its callers still reach it: the others take its part of the slots over,
// and it goes on using it.
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

// openLoad is an open load: requests start at fixed times, whatever becomes
// of the ones before.
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

// runOpenLoad offers so many times the capacity for a while.
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

// offer starts a request through box i at every tick.
func (f *openLoad) offer(i int, zone string, pause time.Duration) {
	c := caller.New(f.p.d.Shape.ClientOf(zone, i), f.p.d.Callers(i))
	defer c.Close()
	ticks := time.NewTicker(pause)
	defer ticks.Stop()
	flying := conc.NewWaitGroup()
	defer flying.Wait()
	for n := 0; ; n++ {
		select {
		case <-f.stop:
			return
		case <-ticks.C:
			flying.Go(func() { f.sendOne(c, i, n) })
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
		// A box that stands still cannot refuse at once.
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

// boxesChange kills, starts, freezes and stops boxes, and has the
// platform's list drop and name them, so that slots change hands all the time.
func (p *proof) boxesChange() {
	all := p.d.BoxList()
	without := func(gone int) []platform.Box { return boxesWithout(all, gone) }
	for _, i := range []int{0, 3} {
		p.countFault()
		p.d.Kill(i)
		p.must(p.d.SetBoxList(without(i)))
		// Long enough for the others to take its part over.
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
	// What it got while it stood still ends within its caller's two seconds.
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

// boxIsCutOff cuts a box off from the others and the platform, which names it no more, while its
// callers still reach it.
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

// setFrozen notes which box stands still; -1 for none.
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

// degradeServers has backend servers mislead, slow down, and lose connections.
func (p *proof) degradeServers(l *links) {
	p.countFault()
	p.must(p.d.Control(p.serverName(0), standin.BackendControl{MisleadingHealth: true, ServiceMS: serviceMS}))
	l.servers[1].SetAll(faultproxy.Fault{Delay: 40 * time.Millisecond})
	l.servers[2].SetAll(faultproxy.Fault{Reset: true})
	time.Sleep(3 * time.Second)
	l.heal()
}

// regionFails kills the boxes of the south; the north must not be overrun.
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
