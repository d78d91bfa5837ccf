package prove

import (
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/harness"
	"github.com/stoneworks/stoneworks/test/standin"
)

// TestPromise1 checks that an at-most-once request runs at most once, however its caller retries
// it and whatever fails meanwhile.
func TestPromise1(t *testing.T) {
	prove(t, 1, "no-once", func(p *proof) {
		l := p.start("small")
		p.sameBoxAtOnce()
		p.twoBoxesAtOnce()
		p.answerLost()
		p.backendFaults()
		p.viewsDiffer(l)
		p.platformDown(l)
		p.claimsRace(l)
		p.ownerFrozen()
		p.ownerKilled()
		p.ownerRestarted()
	})
}

// repeatInterval is the pause between retries, so that callers do not retry in a busy loop.
const repeatInterval = 50 * time.Millisecond

// checkAtMostOnce checks against the backend servers' records that the key ran at most once.
func (p *proof) checkAtMostOnce(what, key string) {
	if n := p.runsWithKey(key); n > 1 {
		p.violated("%s: the key ran %d times", what, n)
	}
}

// submitTwice submits one key concurrently through two boxes, which may be the same box.
func (p *proof) submitTwice(first, second int, r caller.Request, key, id string) (a, b *caller.Result) {
	wg := conc.NewWaitGroup()
	wg.Go(func() { a = p.submit(first, r, key, id, 5*time.Second) })
	wg.Go(func() { b = p.submit(second, r, key, id, 5*time.Second) })
	wg.Wait()
	return a, b
}

func (p *proof) sameBoxAtOnce() {
	for range 10 {
		key, id := p.keyOf(0)
		a, b := p.submitTwice(0, 0, buyRequest(50, ""), key, id)
		p.countFault()
		p.checkAtMostOnce("twice at once on one box", key)
		if a.Outcome != outcome.Answered || b.Outcome != outcome.Answered {
			p.violated("twice at once on one box: %s %s, %s %s", a.Outcome, a.Reason, b.Outcome, b.Reason)
		}
	}
}

func (p *proof) twoBoxesAtOnce() {
	for i := range 10 {
		key, id := p.keyOf(0)
		p.submitTwice(1+i%4, 2+i%3, buyRequest(50, ""), key, id)
		p.countFault()
		p.checkAtMostOnce("through two boxes at once", key)
	}
}

// answerLost closes the connection while the request runs, then retries it through each box
// in turn.
func (p *proof) answerLost() {
	for i := range 6 {
		key, id := p.keyOf(0)
		p.submit(0, buyRequest(200, ""), key, id, 50*time.Millisecond)
		p.countFault()
		p.submit(i%6, buyRequest(200, ""), key, id, 5*time.Second)
		p.checkAtMostOnce("answer lost", key)
	}
}

// backendFaults has backend servers fail after they have received the request.
func (p *proof) backendFaults() {
	for _, fault := range []string{"reset-before", "reset-after", "truncate", "close", "hang"} {
		for i := range 4 {
			key, id := p.keyOf(0)
			p.submit(0, buyRequest(5, fault), key, id, 300*time.Millisecond)
			p.countFault()
			p.submit(i, buyRequest(5, fault), key, id, 300*time.Millisecond)
			p.checkAtMostOnce("backend server: "+fault, key)
		}
	}
}

// viewsDiffer cuts the owner off from the other boxes and retries through both sides of the
// partition, while the boxes' views of each other diverge.
func (p *proof) viewsDiffer(l *links) {
	keys := map[string]string{}
	for range 3 {
		key, id := p.keyOf(0)
		keys[key] = id
		p.submit(0, buyRequest(5, ""), key, id, 2*time.Second)
	}
	fresh, freshID := p.keyOf(0)
	l.cutBox(p.d, 0)
	p.countFault()
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(repeatInterval) {
		for key, id := range keys {
			p.submit(3, buyRequest(5, ""), key, id, 300*time.Millisecond)
		}
		// The box that is cut off continues to serve the keys that it owns.
		if r := p.submit(0, buyRequest(5, ""), fresh, freshID, 2*time.Second); r.Outcome != outcome.Answered {
			p.violated("views differ: the owner's own zone got %s %s", r.Outcome, r.Reason)
		}
		p.submit(5, buyRequest(5, ""), fresh, freshID, 300*time.Millisecond)
	}
	l.heal()
	for key, id := range keys {
		p.submit(3, buyRequest(5, ""), key, id, 2*time.Second)
		p.checkAtMostOnce("views differ", key)
	}
	p.submit(2, buyRequest(5, ""), fresh, freshID, 2*time.Second)
	p.checkAtMostOnce("views differ", fresh)
	p.awaitRevisionEverywhere(1)
}

// platformDown retries keys with tickets, which do not need the platform, and keys without,
// which must not run while the platform is down.
func (p *proof) platformDown(l *links) {
	p.must(p.d.SetPlatformFault(standin.PlatformFault{Down: true}))
	p.countFault()
	for i := range 4 {
		key, id := p.keyOf(0)
		p.submit(0, buyRequest(5, ""), key, id, 2*time.Second)
		if r := p.submit(i, buyRequest(5, ""), key, id, 2*time.Second); r.Outcome != outcome.Answered {
			p.violated("platform down: a key with a ticket got %s %s", r.Outcome, r.Reason)
		}
		p.checkAtMostOnce("platform down", key)
		bare := "bare-" + id
		r := p.submit(i, buyRequest(5, ""), bare, id, 3*time.Second)
		if r.Outcome == outcome.Answered || r.Outcome == outcome.NotRun {
			p.violated("platform down: a key without a ticket got %s %s", r.Outcome, r.Reason)
		}
		if p.runsWithKey(bare) > 0 {
			p.violated("platform down: a key without a ticket ran")
		}
	}
	p.must(p.d.SetPlatformFault(standin.PlatformFault{}))
}

// claimsRace sends keys without a ticket through several boxes concurrently, in one round while
// the platform's answers are lost.
func (p *proof) claimsRace(*links) {
	for round := range 3 {
		lose := round == 1
		p.must(p.d.SetPlatformFault(standin.PlatformFault{LoseAnswers: lose}))
		for range 4 {
			id := harness.NewID()
			key := "bare-" + id
			wg := conc.NewWaitGroup()
			for i := range 4 {
				wg.Go(func() { p.submit(i, buyRequest(20, ""), key, id, 5*time.Second) })
			}
			wg.Wait()
			p.countFault()
			p.submit(5, buyRequest(20, ""), key, id, 5*time.Second)
			p.checkAtMostOnce("claims race", key)
			if !lose && p.runsWithKey(key) != 1 {
				p.violated("claims race: the key ran %d times", p.runsWithKey(key))
			}
		}
	}
	p.must(p.d.SetPlatformFault(standin.PlatformFault{}))
}

// ownerFrozen freezes the owner with requests in flight, retries them through other boxes for
// longer than these see the owner as live, and then resumes the owner.
func (p *proof) ownerFrozen() {
	var keys, ids []string
	wg := conc.NewWaitGroup()
	for range 4 {
		key, id := p.keyOf(1)
		keys, ids = append(keys, key), append(ids, id)
		wg.Go(func() { p.submit(1, buyRequest(300, ""), key, id, 2*time.Second) })
	}
	p.awaitRun(keys[0])
	p.d.Freeze(1)
	p.countFault()
	late, lateID := p.keyOf(1 + 4) // box 5 is in the zone of box 1
	_ = late
	for until := time.Now().Add(7 * time.Second); time.Now().Before(until); time.Sleep(repeatInterval) {
		for n, key := range keys {
			p.submit(n%4+2, buyRequest(300, ""), key, ids[n], 300*time.Millisecond)
		}
		p.submit(2, buyRequest(5, ""), late, lateID, 500*time.Millisecond)
	}
	p.d.Thaw(1)
	wg.Wait()
	for n, key := range keys {
		p.submit(n%4+2, buyRequest(300, ""), key, ids[n], 2*time.Second)
		p.checkAtMostOnce("owner frozen", key)
	}
	p.checkAtMostOnce("owner frozen", late)
	p.awaitRevisionEverywhere(1)
}

// ownerKilled kills the owner with requests in flight and retries them through the other boxes.
func (p *proof) ownerKilled() {
	var keys, ids []string
	wg := conc.NewWaitGroup()
	for range 4 {
		key, id := p.keyOf(2)
		keys, ids = append(keys, key), append(ids, id)
		wg.Go(func() { p.submit(2, buyRequest(300, ""), key, id, 2*time.Second) })
	}
	p.awaitRun(keys[3])
	p.d.Kill(2)
	p.countFault()
	wg.Wait()
	for until := time.Now().Add(7 * time.Second); time.Now().Before(until); time.Sleep(repeatInterval) {
		for n, key := range keys {
			r := p.submit([]int{0, 1, 3, 4, 5}[n], buyRequest(300, ""), key, ids[n], 300*time.Millisecond)
			if r.Outcome == outcome.NotRun && p.runsWithKey(key) > 0 {
				p.violated("owner killed: told not run, but it ran")
			}
		}
	}
	for _, key := range keys {
		p.checkAtMostOnce("owner killed", key)
	}
}

// ownerRestarted kills and restarts an owner: the new incarnation has no record of the keys of
// the old one and must not run them.
func (p *proof) ownerRestarted() {
	key, id := p.keyOf(3)
	p.submit(3, buyRequest(5, ""), key, id, 2*time.Second)
	p.must(p.d.Signal(3, syscall.SIGKILL))
	p.d.Kill(3)
	p.countFault()
	p.must(p.d.StartBox(2))
	p.must(p.d.StartBox(3))
	p.must(p.d.WaitReady(2))
	p.must(p.d.WaitReady(3))
	p.awaitRevisionEverywhere(1)
	for i := range 6 {
		r := p.submit(i, buyRequest(5, ""), key, id, time.Second)
		if r.Outcome != outcome.Unknown {
			p.violated("owner restarted: got %s %s", r.Outcome, r.Reason)
		}
	}
	p.checkAtMostOnce("owner restarted", key)
}
