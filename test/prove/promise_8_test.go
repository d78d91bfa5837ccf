package prove

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/harness"
	"github.com/stoneworks/stoneworks/test/standin"
)

// activationBound is how long after it was accepted a configuration may take to become active in
// every reachable zone.
const activationBound = 2 * time.Second

// TestPromise8 checks that an accepted configuration is active in every reachable zone within
// activationBound, and that no box reverts to an older revision.
func TestPromise8(t *testing.T) {
	prove(t, 8, "any-revision", func(p *proof) {
		l := p.start("small")
		w := p.watchRevisions()
		p.plainChanges()
		if len(p.violations) > 0 {
			// Without the mechanism of this promise, the later steps cannot run.
			w.end()
			return
		}
		p.acceptedThenOutage(l)
		p.lostWriteAnswers()
		p.staleReads()
		p.restartInOutage()
		p.storeRestored()
		p.storeRestoredThenBoxesReplaced()
		p.operatorsRace()
		p.platformCutPeersReachable(l)
		p.zoneRejoins(l)
		w.end()
	})
}

// changeDeadline changes the default deadline of the service through box i and returns the
// accepted revision.
func (p *proof) changeDeadline(i int) (uint64, error) {
	client := p.operatorClient(i)
	current, err := client.GetService(p.ctx(5*time.Second), &pb.GetServiceRequest{Name: service})
	if err != nil {
		return 0, err
	}
	current.Spec.DefaultDeadlineMs = int64(10_000 + current.Revision)
	p.countRequests(1)
	reply, err := client.UpdateService(p.ctx(10*time.Second), &pb.UpdateServiceRequest{Spec: current.Spec, ExpectedRevision: current.Revision})
	return reply.GetRevision(), err
}

// checkRevisionActive waits until the boxes have the revision or a later one, and checks that they
// do within activationBound after since.
func (p *proof) checkRevisionActive(what string, revision uint64, since time.Time, boxes ...int) {
	err := harness.WaitFor(20*time.Second, func() bool {
		for _, i := range boxes {
			if p.revisionOf(i) < revision {
				return false
			}
		}
		return true
	})
	took := time.Since(since)
	if err != nil || took > activationBound {
		p.violated("%s: revision %d took %s", what, revision, took)
	}
	p.addFigure("%q=%dms", what, took.Milliseconds())
}

func (p *proof) revisionOf(i int) uint64 {
	reply, err := p.operatorClient(i).GetService(p.ctx(time.Second), &pb.GetServiceRequest{Name: service})
	if err != nil {
		return 0
	}
	return reply.Revision
}

var everyBox = []int{0, 1, 2, 3, 4, 5}

func (p *proof) plainChanges() {
	p.countFault()
	for i := range 6 {
		revision, err := p.changeDeadline(i)
		if err != nil {
			p.violated("through box %d: %v", i, err)
			continue
		}
		p.checkRevisionActive(fmt.Sprintf("through box %d", i), revision, time.Now(), everyBox...)
	}
}

// acceptedThenOutage cuts off the platform right after it has accepted a change. A change during
// the outage has to fail.
func (p *proof) acceptedThenOutage(l *links) {
	revision, err := p.changeDeadline(0)
	p.must(err)
	l.platform.SetAll(faultproxy.Fault{Reset: true})
	p.countFault()
	p.checkRevisionActive("accepted, then outage", revision, time.Now(), everyBox...)
	_, err = p.changeDeadline(1)
	if c := status.Code(err); c != codes.Unavailable && c != codes.Unknown {
		p.violated("a change during an outage was answered %v", err)
	}
	l.platform.Clear()
	time.Sleep(time.Second)
}

// lostWriteAnswers has the platform apply writes and drop the answers. Accepted changes must
// become active, and a change whose result is not known must be reported as Unknown or Aborted.
func (p *proof) lostWriteAnswers() {
	p.must(p.d.SetPlatformFault(standin.PlatformFault{LoseAnswers: true}))
	p.countFault()
	for i := range 4 {
		revision, err := p.changeDeadline(i)
		if err != nil {
			if c := status.Code(err); c != codes.Unknown && c != codes.Aborted {
				p.violated("a lost answer was told as %v", err)
			}
			continue
		}
		p.checkRevisionActive("answers lost", revision, time.Now(), everyBox...)
	}
	p.must(p.d.SetPlatformFault(standin.PlatformFault{}))
}

// staleReads has the platform answer reads with an older state.
func (p *proof) staleReads() {
	revision, err := p.changeDeadline(2)
	p.must(err)
	p.must(p.d.SetPlatformFault(standin.PlatformFault{StaleBy: 3}))
	p.countFault()
	p.checkRevisionActive("stale reads", revision, time.Now(), everyBox...)
	// A box that starts now reads the old state and must replace it by the newer one.
	p.d.Kill(4)
	p.must(p.d.StartBox(4))
	p.must(p.d.WaitReady(4))
	p.checkRevisionActive("box started on stale reads", revision, time.Now(), 4)
	p.must(p.d.SetPlatformFault(standin.PlatformFault{}))
	p.awaitAllLive()
}

// restartInOutage restarts a box while the platform is down and only the box's peers have the
// configuration.
func (p *proof) restartInOutage() {
	revision, err := p.changeDeadline(3)
	p.must(err)
	p.checkRevisionActive("before an outage", revision, time.Now(), everyBox...)
	p.must(p.d.SetPlatformFault(standin.PlatformFault{Down: true}))
	p.countFault()
	p.d.Kill(2)
	p.must(p.d.StartBox(2))
	p.must(p.d.WaitReady(2))
	p.checkRevisionActive("box started in an outage", revision, time.Now(), 2)
	p.must(p.d.SetPlatformFault(standin.PlatformFault{}))
	p.awaitAllLive()
}

// storeRestored restores the platform's store to an older state. The accepted configuration stays
// active, also at a box that starts from that store.
func (p *proof) storeRestored() {
	revision, err := p.changeDeadline(0)
	p.must(err)
	p.checkRevisionActive("before the store was put back", revision, time.Now(), everyBox...)
	p.must(p.d.RestorePlatform(3))
	p.countFault()
	p.d.Kill(5)
	p.must(p.d.StartBox(5))
	p.must(p.d.WaitReady(5))
	p.checkRevisionActive("store put back", revision, time.Now(), everyBox...)
	next, err := p.changeDeadline(5)
	if err != nil || next <= revision {
		p.violated("a change after the store was put back: revision %d after %d, %v", next, revision, err)
	}
	p.checkRevisionActive("changed after it was put back", next, time.Now(), everyBox...)
	p.awaitAllLive()
}

// storeRestoredThenBoxesReplaced restores the store to an older state, waits until the boxes have
// written the newer revision to it, and restarts all boxes, so that only the store has it.
func (p *proof) storeRestoredThenBoxesReplaced() {
	revision, err := p.changeDeadline(0)
	p.must(err)
	p.checkRevisionActive("before the store was put back again", revision, time.Now(), everyBox...)
	p.must(p.d.RestorePlatform(1))
	p.countFault()
	err = harness.WaitFor(10*time.Second, func() bool {
		stored, err := p.d.StoredService(service)
		return err == nil && stored.Revision >= revision
	})
	if err != nil {
		p.violated("the store was put back and never told the newer revision")
	}
	for _, i := range everyBox {
		p.d.Kill(i)
	}
	for _, i := range everyBox {
		p.must(p.d.StartBox(i))
	}
	for _, i := range everyBox {
		p.must(p.d.WaitReady(i))
	}
	p.checkRevisionActive("store put back, then every box replaced", revision, time.Now(), everyBox...)
	p.awaitAllLive()
}

// operatorsRace has four operators change the same revision concurrently. Exactly one of them
// must succeed.
func (p *proof) operatorsRace() {
	for range 10 {
		p.countFault()
		current, err := p.operatorClient(0).GetService(p.ctx(5*time.Second), &pb.GetServiceRequest{Name: service})
		p.must(err)
		var wins, conflicts counter
		wg := conc.NewWaitGroup()
		for i := range 4 {
			wg.Go(func() {
				p.countRequests(1)
				_, err := p.operatorClient(i).UpdateService(p.ctx(10*time.Second), &pb.UpdateServiceRequest{Spec: current.Spec, ExpectedRevision: current.Revision})
				switch status.Code(err) {
				case codes.OK:
					wins.add()
				case codes.Aborted:
					conflicts.add()
				default:
					p.violated("operators race: %v", err)
				}
			})
		}
		wg.Wait()
		if wins.n != 1 {
			p.violated("operators race: %d won, %d lost", wins.n, conflicts.n)
		}
	}
}

// platformCutPeersReachable cuts off the south from the platform, but not from the other boxes.
func (p *proof) platformCutPeersReachable(l *links) {
	l.cutPlatform(p.d, 2, 3)
	p.countFault()
	revision, err := p.changeDeadline(0)
	p.must(err)
	p.checkRevisionActive("zones cut from the platform", revision, time.Now(), everyBox...)
	l.platform.Clear()
}

// zoneRejoins cuts off a zone from the other zones and the platform, and reconnects it.
func (p *proof) zoneRejoins(l *links) {
	l.cutBox(p.d, 3)
	l.cutPlatform(p.d, 3)
	p.countFault()
	time.Sleep(8 * time.Second)
	revision, err := p.changeDeadline(0)
	p.must(err)
	p.checkRevisionActive("the others of a cut zone", revision, time.Now(), 0, 1, 2, 4, 5)
	if got := p.revisionOf(3); got >= revision {
		p.t.Errorf("box 3 is cut off but has the new revision %d", got)
	}
	l.heal()
	p.checkRevisionActive("zone rejoined", revision, time.Now(), 3)
}

// counter is a counter that several goroutines may increment.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// revisionWatch checks every 20 ms whether a box has gone back to an older revision.
type revisionWatch struct {
	stop chan struct{}
	wg   *conc.WaitGroup
}

func (p *proof) watchRevisions() *revisionWatch {
	w := &revisionWatch{stop: make(chan struct{}), wg: conc.NewWaitGroup()}
	for i := range p.d.Shape.Boxes {
		client := p.operatorClient(i)
		w.wg.Go(func() { p.watchBox(i, client, w.stop) })
	}
	return w
}

func (p *proof) watchBox(i int, client pb.OperatorsClient, stop chan struct{}) {
	highest := uint64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply, err := client.GetService(ctx, &pb.GetServiceRequest{Name: service})
		cancel()
		p.countRequests(1)
		switch {
		case err != nil:
		case reply.Revision < highest:
			p.violated("box %d went back from revision %d to %d", i, highest, reply.Revision)
		default:
			highest = reply.Revision
		}
	}
}

func (w *revisionWatch) end() {
	close(w.stop)
	w.wg.Wait()
}
