package prove

import (
	"fmt"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/faultproxy"
	"github.com/stoneworks/stoneworks/test/harness"
	"github.com/stoneworks/stoneworks/test/standin"
)

// drainBound is how long after acceptance a leaving backend server may still
// get new work.
const drainBound = 3 * time.Second

// TestPromise4 proves that a leaving backend server gets no new work after the
// bound, and that what it holds is finished.
func TestPromise4(t *testing.T) {
	prove(t, 4, "ignore-leaving", func(p *proof) {
		l := p.start("small")
		load := p.startTraffic(4, 30)
		p.drainedByOperator(0)
		p.drainedBySignal(1, "under load")
		p.drainAcceptedThenOutage(l)
		p.signalInOutage()
		p.drainWhileBoxFrozen()
		p.signalInCutZone(l)
		_, notRun, unknown, reasons := load.end()
		p.checkPeaks()
		p.addFigure("not-run=%d unknown=%d", notRun, unknown)
		p.t.Log(reasons)
	})
}

func (p *proof) serverName(n int) string { return fmt.Sprintf("%s-%d", service, n+1) }

// awaitNewRequest makes sure that the server gets work, so that its end means something.
func (p *proof) awaitNewRequest(n int) {
	began := time.Now()
	err := harness.WaitFor(5*time.Second, func() bool {
		records, err := p.d.Records()
		return err == nil && records[p.serverName(n)].LastNew > began.UnixMilli()
	})
	if err != nil {
		p.t.Errorf("%s gets no work, so it proves nothing that it gets none later", p.serverName(n))
	}
}

// undrain gives every server new work again and waits until all boxes know.
func (p *proof) undrain() {
	client := p.operatorClient(0)
	for n := range p.d.Shape.Services[0].Servers {
		p.must(p.d.Control(p.serverName(n), standin.BackendControl{ServiceMS: 5}))
	}
	current, err := client.GetService(p.ctx(5*time.Second), &pb.GetServiceRequest{Name: service})
	p.must(err)
	for _, b := range current.Spec.BackendServers {
		b.Leaving = false
	}
	reply, err := client.UpdateService(p.ctx(10*time.Second), &pb.UpdateServiceRequest{Spec: current.Spec, ExpectedRevision: current.Revision})
	p.must(err)
	p.awaitRevisionEverywhere(reply.Revision)
	for n := range p.d.Shape.Services[0].Servers {
		p.awaitNewRequest(n)
	}
}

// checkNoNewRequests checks that the server got nothing later than the bound after the
// moment, watching it for a while beyond. Zones name what the server's
// requests go through.
func (p *proof) checkNoNewRequests(what string, n int, since time.Time) {
	time.Sleep(time.Until(since.Add(drainBound + 1500*time.Millisecond)))
	records, err := p.d.Records()
	p.must(err)
	last := time.UnixMilli(records[p.serverName(n)].LastNew).Sub(since)
	p.addFigure("%q=%dms", what, max(last.Milliseconds(), 0))
	if last > drainBound {
		p.violated("%s: %s got new work %s after it", what, p.serverName(n), last)
	}
}

// drain asks an operator's call of box i to drain server n.
func (p *proof) drain(i, n int) error {
	client := p.operatorClient(i)
	current, err := client.GetService(p.ctx(5*time.Second), &pb.GetServiceRequest{Name: service})
	if err != nil {
		return err
	}
	current.Spec.BackendServers[n].Leaving = true
	_, err = client.UpdateService(p.ctx(10*time.Second), &pb.UpdateServiceRequest{Spec: current.Spec, ExpectedRevision: current.Revision})
	return err
}

// startLongRequests starts requests of some seconds on the whole service and returns a
// function that checks that all of them were answered.
func (p *proof) startLongRequests(what string) (check func()) {
	wg := conc.NewWaitGroup()
	for i := range 8 {
		wg.Go(func() {
			id := harness.NewID()
			r := p.submit(i%4, caller.Request{Service: service, Method: "GET", Path: "/long?ms=2500"}, "", id, 8*time.Second)
			if r.Outcome == outcome.Unknown {
				p.violated("%s: a request in flight was cut: %s", what, r.Reason)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	return wg.Wait
}

func (p *proof) drainedByOperator(n int) {
	p.awaitNewRequest(n)
	check := p.startLongRequests("drained by operator")
	p.must(p.drain(2, n))
	p.countFault()
	p.checkNoNewRequests("drained by operator", n, time.Now())
	check()
}

func (p *proof) drainedBySignal(n int, what string) {
	p.awaitNewRequest(n)
	check := p.startLongRequests("own signal")
	p.must(p.d.Control(p.serverName(n), standin.BackendControl{Leaving: true, ServiceMS: 5}))
	p.countFault()
	p.checkNoNewRequests("own signal "+what, n, time.Now())
	check()
}

// drainAcceptedThenOutage takes the platform away as soon as it has accepted.
func (p *proof) drainAcceptedThenOutage(l *links) {
	p.awaitNewRequest(2)
	p.must(p.drain(3, 2))
	l.platform.SetAll(faultproxy.Fault{Reset: true})
	p.countFault()
	p.checkNoNewRequests("accepted, then outage", 2, time.Now())
	err := p.drain(0, 3)
	if c := status.Code(err); c != codes.Unavailable && c != codes.Unknown {
		p.violated("a drain during an outage was answered %v", err)
	}
}

// signalInOutage is called while the platform is away.
func (p *proof) signalInOutage() {
	p.drainedBySignal(3, "in an outage")
}

// drainWhileBoxFrozen freezes a box of the server's zone over the drain, and
// lets it wake with the old configuration.
func (p *proof) drainWhileBoxFrozen() {
	p.links.platform.Clear()
	p.undrain()
	p.d.Freeze(1)
	p.countFault()
	p.must(p.drain(0, 5))
	accepted := time.Now()
	time.Sleep(4 * time.Second)
	p.d.Thaw(1)
	p.checkNoNewRequests("box frozen meanwhile", 5, accepted)
}

// signalInCutZone cuts one zone off from all others and from the platform.
func (p *proof) signalInCutZone(l *links) {
	p.undrain()
	l.cutBox(p.d, 2)
	l.cutPlatform(p.d, 2)
	p.countFault()
	inside := p.startTrafficFrom([]string{"south-a"}, []string{p.d.Callers(2)}, 3, 10)
	defer inside.end()
	time.Sleep(3 * time.Second)
	p.drainedBySignal(6, "in a cut zone")
	// The operators' side of the cut accepts a drain of the cut zone's other
	// server; it comes into force there soon after the zone joins again.
	p.must(p.drain(0, 2))
	p.awaitNewRequest(2)
	l.heal()
	p.checkNoNewRequests("rejoined", 2, time.Now())
}
