package prove

import (
	"context"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/stoneworks/stoneworks/api/stoneworks/v1"
	"github.com/stoneworks/stoneworks/pkg/caller"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/entry"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/test/harness"
	"github.com/stoneworks/stoneworks/test/standin"
)

const (
	shiftCap    = 0.1
	shiftWindow = 2 * time.Second
	// sampleInterval is the pause between the requests of each client, which limits how exactly
	// the time of its move is known.
	sampleInterval = 100 * time.Millisecond
)

// TestPromise6 checks that shifts move no more than shiftCap of the clients in any shiftWindow.
func TestPromise6(t *testing.T) {
	prove(t, 6, "no-cap", func(p *proof) {
		l := p.start("small")
		p.awaitPlan()
		w := p.watchClients([]int{0, 1, 3})
		p.plannedShift()
		p.twoOperators()
		p.plannerFails(l)
		p.lostPlanAnswers()
		p.zoneCutOff(l, w)
		p.regionLost()
		w.end()
		w.check()
	})
}

// awaitPlan waits until every box has a plan.
func (p *proof) awaitPlan() {
	for i := range p.d.Shape.Boxes {
		p.must(harness.WaitFor(10*time.Second, func() bool { return p.planOf(i).GetPlanRevision() > 0 }))
	}
}

func (p *proof) planOf(i int) *pb.ServiceStatus {
	reply, err := p.operatorClient(i).GetStatus(p.ctx(2*time.Second), &pb.GetStatusRequest{})
	if err != nil || len(reply.Services) == 0 {
		return nil
	}
	return reply.Services[0]
}

// shareOf returns the share of the clients of one region that box i assigns to the serving
// region.
func (p *proof) shareOf(i int, client, serving string) float64 {
	for _, a := range p.planOf(i).GetAssignment() {
		if a.ClientRegion == client && a.ServingRegion == serving {
			return a.Share
		}
	}
	return 0
}

// shift sets the only planned shift of the service, north to south, through a box.
func (p *proof) shift(box int, share float64) error {
	client := p.operatorClient(box)
	current, err := client.GetService(p.ctx(5*time.Second), &pb.GetServiceRequest{Name: service})
	if err != nil {
		return err
	}
	return p.shiftFrom(box, current, share)
}

func (p *proof) shiftFrom(box int, current *pb.ServiceReply, share float64) error {
	current.Spec.Shifts = []*pb.PlannedShift{{FromRegion: "north", ToRegion: "south", Share: share}}
	_, err := p.operatorClient(box).UpdateService(p.ctx(10*time.Second), &pb.UpdateServiceRequest{Spec: current.Spec, ExpectedRevision: current.Revision})
	return err
}

// awaitShare waits until the boxes assign the share of the north's clients to the south, within
// 0.006.
func (p *proof) awaitShare(share float64, boxes ...int) {
	for _, i := range boxes {
		err := harness.WaitFor(60*time.Second, func() bool { return abs(p.shareOf(i, "north", "south")-share) < 0.006 })
		if err != nil {
			p.violated("box %d has %g of the north in the south, not %g", i, p.shareOf(i, "north", "south"), share)
		}
	}
}

func abs(x float64) float64 { return max(x, -x) }

func (p *proof) plannedShift() {
	p.countFault()
	p.must(p.shift(0, 0.3))
	p.awaitShare(0.3, 0, 1, 3)
}

// twoOperators has two operators change the same revision of the service concurrently. Exactly
// one of them must succeed.
func (p *proof) twoOperators() {
	p.countFault()
	current, err := p.operatorClient(0).GetService(p.ctx(5*time.Second), &pb.GetServiceRequest{Name: service})
	p.must(err)
	var errs [2]error
	wg := conc.NewWaitGroup()
	for i, share := range []float64{0.1, 0.5} {
		wg.Go(func() { errs[i] = p.shiftFrom(i, current, share) })
	}
	wg.Wait()
	wins := 0
	for _, err := range errs {
		switch status.Code(err) {
		case codes.OK:
			wins++
		case codes.Aborted:
		default:
			p.violated("two operators: %v", err)
		}
	}
	if wins != 1 {
		p.violated("two operators: %d of them won", wins)
	}
}

// plannerBox returns the box that plans the shifts of the service: the one with the highest
// rendezvous hash.
func (p *proof) plannerBox() int {
	best, hash := 0, uint64(0)
	for i := range p.d.Shape.Boxes {
		if h := decide.Hash("planner", service, p.d.Shape.BoxName(i)); h > hash {
			best, hash = i, h
		}
	}
	return best
}

// plannerFails freezes the planner during one shift for longer than the other boxes see it as
// live, and kills it during another.
func (p *proof) plannerFails(*links) {
	planner := p.plannerBox()
	p.must(p.shift((planner+1)%6, 0.0))
	time.Sleep(3 * time.Second)
	p.d.Freeze(planner)
	p.countFault()
	time.Sleep(8 * time.Second)
	p.d.Thaw(planner)
	p.awaitShare(0, 0, 1, 3)
	p.must(p.shift((planner+1)%6, 0.2))
	time.Sleep(2500 * time.Millisecond)
	p.d.Kill(planner)
	p.countFault()
	var others []int
	for _, i := range []int{0, 1, 3} {
		if i != planner {
			others = append(others, i)
		}
	}
	p.awaitShare(0.2, others...)
	p.must(p.d.StartBox(planner))
	p.must(p.d.WaitReady(planner))
	p.awaitAllLive()
}

// lostPlanAnswers has the platform apply every write but send no answer to it, and then answer
// reads with an older state for two seconds.
func (p *proof) lostPlanAnswers() {
	p.must(p.shift(0, 0.3))
	p.must(p.d.SetPlatformFault(standin.PlatformFault{LoseAnswers: true, DelayMS: 30}))
	p.countFault()
	p.awaitShare(0.3, 0, 1, 3)
	p.must(p.d.SetPlatformFault(standin.PlatformFault{StaleBy: 2}))
	p.countFault()
	time.Sleep(2 * time.Second)
	p.must(p.d.SetPlatformFault(standin.PlatformFault{}))
}

// zoneCutOff cuts off box 1, which has clients of its own, from the other boxes and the platform
// while the others shift, and then lets it rejoin with its old plan.
func (p *proof) zoneCutOff(l *links, _ *clientWatch) {
	l.cutBox(p.d, 1)
	l.cutPlatform(p.d, 1)
	p.countFault()
	time.Sleep(3 * time.Second)
	p.must(p.shift(0, 0.7))
	p.awaitShare(0.7, 0, 3)
	if got := p.shareOf(1, "north", "south"); abs(got-0.3) > 0.006 {
		p.violated("a zone that was cut off moved to %g by itself", got)
	}
	l.heal()
	rejoined := time.Now()
	p.awaitShare(0.7, 1)
	p.addFigure("rejoin=%.1fwindows", time.Since(rejoined).Seconds()/shiftWindow.Seconds())
}

// regionLost kills every box of the south and starts them again.
func (p *proof) regionLost() {
	p.d.Kill(2)
	p.d.Kill(3)
	p.countFault()
	p.must(p.d.SetBoxList(p.d.BoxList()))
	p.awaitShare(0, 0, 1)
	p.must(p.d.StartBox(2))
	p.must(p.d.StartBox(3))
	p.must(p.d.WaitReady(2))
	p.must(p.d.WaitReady(3))
	p.awaitShare(0.7, 0, 1)
}

// ================================================================
// Clients
// ================================================================

// clientWatch runs one client in each bucket for each of some boxes. The clients send requests
// continuously, and clientWatch records when another region answers than before.
type clientWatch struct {
	p     *proof
	stop  chan struct{}
	wg    *conc.WaitGroup
	mu    sync.Mutex
	moves map[int][]clientMove
}

// clientMove records that a client was answered by another region than before. The client moved
// after it had sent its previous request, which was routed the old way or not answered, and
// before the answer arrived.
type clientMove struct {
	after  time.Time
	before time.Time
	client int
	to     string
	// through is the box that received both requests, or -1 if the client changed boxes.
	through int
}

// watchClients starts the clients of each box: one in each bucket, all from the north.
func (p *proof) watchClients(boxes []int) *clientWatch {
	w := &clientWatch{p: p, stop: make(chan struct{}), wg: conc.NewWaitGroup(), moves: map[int][]clientMove{}}
	clients := oneInEachBucket(p.d.Shape.ClientOf("north-a", 0))
	for _, box := range boxes {
		for n, address := range clients {
			w.wg.Go(func() { w.client(box, n, address) })
		}
	}
	return w
}

// oneInEachBucket returns one address for each bucket, searching upward from the given one.
func oneInEachBucket(near string) []string {
	found := make([]string, decide.Buckets)
	left := decide.Buckets
	for a := netip.MustParseAddr(near); left > 0; a = a.Next() {
		if b := decide.BucketOf(a); found[b] == "" {
			found[b] = a.String()
			left--
		}
	}
	return found
}

func (w *clientWatch) client(box, n int, address string) {
	time.Sleep(sampleInterval * time.Duration(n) / decide.Buckets)
	p := w.p
	c := caller.New(address, p.d.Callers(box))
	defer c.Close()
	// Like a real caller, the client tries another box while its own does not answer.
	boxes := []int{box, 0, 4, 5}
	at, last, lastAt := 0, "", 0
	asked := time.Now()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(sampleInterval):
		}
		p.countRequests(1)
		askedBefore := asked
		asked = time.Now()
		r := caller.Request{Service: service, Method: "GET", Path: "/item?ms=0"}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		result := c.Submit(ctx, p.d.Callers(boxes[at]), caller.Submission{Request: r, ID: harness.NewID()})
		cancel()
		switch {
		case result.Status == 0:
			at = (at + 1) % len(boxes)
			continue
		case result.Outcome != outcome.Answered:
			continue
		}
		zone := string(result.Header.Peek(entry.HeaderZone))
		region, _, _ := strings.Cut(zone, "-")
		if last != "" && region != last {
			through := boxes[at]
			if at != lastAt {
				through = -1
			}
			w.mu.Lock()
			w.moves[box] = append(w.moves[box], clientMove{askedBefore, time.Now(), n, zone, through})
			w.mu.Unlock()
		}
		last, lastAt = region, at
	}
}

func (w *clientWatch) end() {
	close(w.stop)
	w.wg.Wait()
}

// check counts the moves that are certain to lie within one window: those of all clients
// together and, as a stricter check, those of each box's own clients while they used that box.
func (w *clientWatch) check() {
	var all []clientMove
	for box, moves := range w.moves {
		all = append(all, moves...)
		var own []clientMove
		for _, m := range moves {
			if m.through == box {
				own = append(own, m)
			}
		}
		w.checkMoves(fmt.Sprintf("box %d", box), own, decide.Buckets)
	}
	w.checkMoves("all", all, decide.Buckets*len(w.moves))
	if len(all) == 0 {
		w.p.t.Error("no client moved, so the cap was not tested")
	}
}

func (w *clientWatch) checkMoves(whose string, moves []clientMove, clients int) {
	sort.Slice(moves, func(i, j int) bool { return moves[i].after.Before(moves[j].after) })
	most, when := 0, ""
	for i := range moves {
		if n := len(movesEndedBy(moves[i:], moves[i].after.Add(shiftWindow))); n > most {
			most, when = n, moves[i].after.Format(time.TimeOnly)
		}
	}
	share := float64(most) / float64(clients)
	if share > shiftCap {
		w.p.violated("%.1f%% of the clients of %s moved within one window, from %s on", 100*share, whose, when)
	}
	w.p.addFigure("%q:moves=%d,most_in_a_window=%.1f%%", whose, len(moves), 100*share)
}

// movesEndedBy returns the moves that ended before the end of a window.
func movesEndedBy(moves []clientMove, end time.Time) []clientMove {
	var inside []clientMove
	for _, m := range moves {
		if m.before.Before(end) {
			inside = append(inside, m)
		}
	}
	return inside
}
