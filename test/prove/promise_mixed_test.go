package prove

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/harness"
	"github.com/stoneworks/stoneworks/test/standin"
)

// The number that stands for the mixed run among the promises, its seed unless STONEWORKS_SEED
// sets another, and its number of faults.
const (
	mixedNumber = 0
	mixedSeed   = 20261202
	mixedFaults = 16
)

// TestPromiseMixed injects faults at random times, which may overlap and repeat, and checks the
// promises that can be checked under any faults: requests run at most once, requests reported as
// not run did not run, answers are correct, no server exceeds its slots, and no revision goes
// back. The seed determines the schedule.
func TestPromiseMixed(t *testing.T) {
	prove(t, mixedNumber, "no-once", func(p *proof) {
		seed := uint64(mixedSeed)
		if s, err := strconv.ParseUint(os.Getenv("STONEWORKS_SEED"), 10, 64); err == nil {
			seed = s
		}
		l := p.start("small")
		revisions := p.watchRevisions()
		load := p.startMixedLoad(24)
		p.simultaneousRepeats()
		m := &faultInjector{p: p, l: l, rng: rand.New(rand.NewPCG(seed, 0)), down: map[int]string{}}
		for range mixedFaults {
			m.step()
		}
		m.recover()
		load.end()
		revisions.end()
		p.checkPeaks()
		p.addFigure("seed=%d schedule=%v", seed, m.schedule)
	})
}

// simultaneousRepeats has callers retry while their first attempts run, before the first fault and
// alongside the load. Without it, only the faults decide whether a box receives a key twice: with
// the record of keys switched off, 3 of 3 runs then reported no violation.
func (p *proof) simultaneousRepeats() {
	for box := range p.d.Shape.Boxes {
		key, id := p.keyOf(0)
		p.submitTwice(box, box, buyRequest(50, ""), key, id)
		p.countFault()
		p.checkAtMostOnce("mixed: twice at once", key)
	}
}

// faultInjector injects faults that it draws from the seed.
type faultInjector struct {
	p        *proof
	l        *links
	rng      *rand.Rand
	down     map[int]string
	schedule []string
}

// step injects one fault, or removes all faults, and waits for 0.3 to 1.8 s.
func (m *faultInjector) step() {
	p, box := m.p, m.rng.IntN(m.p.d.Shape.Boxes)
	what := []string{"kill", "freeze", "cut", "one-way cut", "outage", "slow platform", "lost answers", "two operators", "heal"}[m.rng.IntN(9)]
	pause := time.Duration(300+m.rng.IntN(1500)) * time.Millisecond
	m.schedule = append(m.schedule, fmt.Sprintf("%s:%d", what, box))
	p.countFault()
	switch what {
	case "kill":
		m.restore(box)
		p.d.Kill(box)
		m.down[box] = what
	case "freeze":
		m.restore(box)
		p.d.Freeze(box)
		m.down[box] = what
	case "cut":
		m.l.cutBox(p.d, box)
	case "one-way cut":
		m.l.peers[box].SetAll(faultproxy.Fault{HoldAnswers: true})
	case "outage":
		p.must(p.d.SetPlatformFault(standin.PlatformFault{Down: true}))
	case "slow platform":
		p.must(p.d.SetPlatformFault(standin.PlatformFault{DelayMS: 400}))
	case "lost answers":
		p.must(p.d.SetPlatformFault(standin.PlatformFault{LoseAnswers: true}))
	case "two operators":
		wg := conc.NewWaitGroup()
		for i := range 2 {
			wg.Go(func() { _, _ = p.changeDeadline((box + i) % p.d.Shape.Boxes) })
		}
		wg.Wait()
	case "heal":
		m.recover()
	}
	time.Sleep(pause)
}

// restore starts or resumes a box that was killed or frozen.
func (m *faultInjector) restore(box int) {
	switch m.down[box] {
	case "kill":
		m.p.must(m.p.d.StartBox(box))
	case "freeze":
		m.p.d.Thaw(box)
	}
	delete(m.down, box)
}

func (m *faultInjector) recover() {
	m.l.heal()
	m.p.must(m.p.d.SetPlatformFault(standin.PlatformFault{}))
	for box := range m.p.d.Shape.Boxes {
		m.restore(box)
		m.p.must(m.p.d.WaitReady(box))
	}
	m.p.awaitAllLive()
}

// mixedLoad is a load that compares the outcome of every request with the servers' records.
type mixedLoad struct {
	p    *proof
	stop chan struct{}
	wg   *conc.WaitGroup
	mu   sync.Mutex
	all  []harness.Sample
}

func (p *proof) startMixedLoad(callers int) *mixedLoad {
	l := &mixedLoad{p: p, stop: make(chan struct{}), wg: conc.NewWaitGroup()}
	zones := p.d.Shape.Zones()
	for n := range callers {
		l.wg.Go(func() { l.caller(zones[n%len(zones)], n) })
	}
	return l
}

func (l *mixedLoad) caller(zone string, n int) {
	p := l.p
	c := caller.New(p.d.Shape.ClientOf(zone, n), p.d.AllCallers()...)
	defer c.Close()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(15 * time.Millisecond):
		}
		r := harness.MixedRequests(service, i)
		r.ID = harness.NewID()
		result, err := c.Do(p.ctx(2*time.Second), r)
		p.countRequests(1)
		s := harness.Sample{Service: service, ID: r.ID, AtMostOnce: r.AtMostOnce, Result: result, Err: err}
		if result != nil {
			s.Key = result.Key
			s.Problem = harness.CheckAnswer(r, result)
		}
		l.mu.Lock()
		l.all = append(l.all, s)
		l.mu.Unlock()
	}
}

func (l *mixedLoad) end() {
	close(l.stop)
	l.wg.Wait()
	time.Sleep(time.Second)
	records, err := l.p.d.Records()
	l.p.must(err)
	for _, wrong := range harness.CheckRuns(l.all, records) {
		l.p.violated("%s", wrong)
	}
	counts := map[outcome.Outcome]int{}
	for _, s := range l.all {
		if s.Result != nil {
			counts[s.Result.Outcome]++
		}
	}
	l.p.addFigure("answered=%d not-run=%d unknown=%d", counts[outcome.Answered], counts[outcome.NotRun], counts[outcome.Unknown])
}
