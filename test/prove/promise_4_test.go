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

// drainBound is how long after a drain was accepted the backend server may still get new
// requests.
const drainBound = 3 * time.Second

// TestPromise4 checks that a draining backend server gets no new requests after drainBound, and
// that its requests in flight complete.
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

// awaitNewRequest waits until server n gets a new request. Without one, getting none after the
// drain would prove nothing.
func (p *proof) awaitNewRequest(n int) {
	began := time.Now()
	err := harness.WaitFor(5*time.Second, func() bool {
		records, err := p.d.Records()
		return err == nil && records[p.serverName(n)].LastRequestMs > began.UnixMilli()
	})
	if err != nil {
		p.t.Errorf("%s got no new request within 5 s, so a drain of it cannot be checked", p.serverName(n))
	}
}

// undrain ends the draining of every server and waits until each gets new requests again.
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

// checkNoNewRequests checks that server n got no new request later than drainBound after since.
// It looks 1.5 s after the bound.
func (p *proof) checkNoNewRequests(what string, n int, since time.Time) {
	time.Sleep(time.Until(since.Add(drainBound + 1500*time.Millisecond)))
	records, err := p.d.Records()
	p.must(err)
	last := time.UnixMilli(records[p.serverName(n)].LastRequestMs).Sub(since)
	p.addFigure("%q=%dms", what, max(last.Milliseconds(), 0))
	if last > drainBound {
		p.violated("%s: %s got new work %s after it", what, p.serverName(n), last)
	}
}

// drain drains server n by an operator's call to box i.
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

// startLongRequests starts eight requests of 2.5 s and returns a function that waits for them.
// An unknown outcome is a violation: a request in flight was cut off.
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

// drainAcceptedThenOutage cuts off the platform as soon as it has accepted the drain. A drain
// during the outage has to fail.
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

// signalInOutage runs while the platform is unreachable: drainAcceptedThenOutage leaves it so.
func (p *proof) signalInOutage() {
	p.drainedBySignal(3, "in an outage")
}

// drainWhileBoxFrozen freezes a box of the server's zone during the drain, and resumes it with
// the old configuration.
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

// signalInCutZone has a server signal that it is leaving in a zone that is cut off from all other
// zones and from the platform.
func (p *proof) signalInCutZone(l *links) {
	p.undrain()
	l.cutBox(p.d, 2)
	l.cutPlatform(p.d, 2)
	p.countFault()
	inside := p.startTrafficFrom([]string{"south-a"}, []string{p.d.Callers(2)}, 3, 10)
	defer inside.end()
	time.Sleep(3 * time.Second)
	p.drainedBySignal(6, "in a cut zone")
	// A box outside the cut zone accepts a drain of that zone's other server. The drain takes
	// effect there within the bound after the links are restored.
	p.must(p.drain(0, 2))
	p.awaitNewRequest(2)
	l.heal()
	p.checkNoNewRequests("rejoined", 2, time.Now())
}
