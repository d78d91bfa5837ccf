package machines

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// counter returns a counter of a box.
func counter(b *Box, name string) int64 {
	return metrics.GetOrRegisterCounter(name, b.Metrics).Count()
}

// inZone returns whether an address is that of a server whose id begins with the zone.
func inZone(f *Fleet, zone string) func(address string) bool {
	addresses := map[string]bool{}
	for id, s := range f.Servers {
		if strings.HasPrefix(id, zone) {
			addresses[s.Address] = true
		}
	}
	return func(address string) bool { return addresses[address] }
}

// TestBeliefsOfACutBoxDoNotSpread checks that a box that is cut off from all servers by resets, or
// whose connections hang, reports no server as failed and holds no request as one that crashes servers.
func TestBeliefsOfACutBoxDoNotSpread(t *testing.T) {
	for name, cut := range map[string]Cut{"hanging": Hanging, "reset": ResetAll} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := cutFleet(t)
			tries, stop := startTries(f)
			time.Sleep(time.Second)
			tries.countFrom(time.Now())
			f.Boxes[0].CutFromServers(cut, nil)
			time.Sleep(2 * time.Second)
			stop()
			is.True(cut == ResetAll || counter(f.Boxes[0], "backend.path_lost") > 0)
			for i, b := range f.Boxes {
				is.Equal(counter(b, "findings.sent"), int64(0))
				is.True(b.Quarantine.Empty())
				if i > 0 {
					is.Equal(tries.failed[i], 0)
				}
			}
		})
	}
}

// TestLinksAreUsedAgainOnceTheyWork checks that a box goes back to its own links within two seconds,
// and that no request is lost on the way back.
func TestLinksAreUsedAgainOnceTheyWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := cutFleet(t)
	tries, stop := startTries(f)
	time.Sleep(500 * time.Millisecond)
	f.Boxes[0].CutFromServers(Hanging, nil)
	time.Sleep(contactTime)
	tries.countFrom(time.Now())
	is.True(counter(f.Boxes[0], "relay.asked") > 0)
	f.Boxes[0].CutFromServers(NotCut, nil)
	time.Sleep(2 * time.Second)
	is.Equal(f.Boxes[0].Relay.Paths.CountBroken(), 0)
	before := counter(f.Boxes[0], "relay.asked")
	time.Sleep(time.Second)
	stop()
	is.Equal(counter(f.Boxes[0], "relay.asked"), before)
	for i := range f.Boxes {
		is.Equal(tries.failed[i], 0)
	}
}

// TestCutFromTheServersOfOneZone checks that only these are reached through other boxes.
func TestCutFromTheServersOfOneZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := cutFleet(t)
	tries, stop := startTries(f)
	time.Sleep(500 * time.Millisecond)
	f.Boxes[0].CutFromServers(Hanging, inZone(f, "east-b"))
	time.Sleep(contactTime)
	tries.countFrom(time.Now())
	time.Sleep(time.Second)
	is.True(f.Boxes[0].Relay.Paths.CountBroken() <= 2)
	is.True(!f.Boxes[0].Relay.Paths.CutOff())
	stop()
	for i := range f.Boxes {
		is.Equal(tries.failed[i], 0)
	}
}

// TestHelpingBoxThatLeavesCutsNoRequest checks that requests which a box passes on for another one
// are finished before it ends, and that the other one serves on through a third.
func TestHelpingBoxThatLeavesCutsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, "east-a.1", "east-b.1", "west-a.1")
	tries, stop := startTries(f)
	time.Sleep(500 * time.Millisecond)
	f.Boxes[0].CutFromServers(Hanging, nil)
	time.Sleep(contactTime)
	tries.countFrom(time.Now())
	helper := f.Boxes[1] // of the same region
	is.True(counter(helper, "relay.served") > 0)
	done := make(chan struct{})
	go func() {
		helper.Leave(t.Context())
		close(done)
	}()
	<-done
	time.Sleep(time.Second)
	stop()
	is.Equal(tries.failed[0], 0)
	is.True(tries.served[0] > 0)
}

// TestLostHelpingBoxIsNotBlamedOnServers checks that the loss of the helping box ejects no server,
// that nothing runs twice, and that requests go through another box.
func TestLostHelpingBoxIsNotBlamedOnServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, "east-a.1", "east-b.1", "west-a.1")
	tries, stop := startTries(f)
	time.Sleep(500 * time.Millisecond)
	f.Boxes[0].CutFromServers(ResetAll, nil)
	time.Sleep(contactTime)
	is.True(counter(f.Boxes[1], "relay.served") > 0)
	f.Boxes[1].Stop()
	time.Sleep(1500 * time.Millisecond)
	tries.countFrom(time.Now())
	time.Sleep(time.Second)
	stop()
	is.Equal(tries.failed[0], 0)
	is.True(tries.served[0] > 0)
	ran := map[string]int{}
	for _, r := range f.runs() {
		if strings.HasPrefix(r.Target, "/buy/") {
			ran[r.ID]++
		}
	}
	for id, times := range ran {
		if times > 1 {
			t.Errorf("%s ran %s times", id, fmt.Sprint(times))
		}
	}
}

// TestBackoffIsKeptByTheBoxThatPassesOn checks that a server that asks for a backoff in an answer to a
// request that one box has passed on for another gets no requests of either, nor of others through it.
func TestBackoffIsKeptByTheBoxThatPassesOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitFleet(t, 6)
	clients := newTraffic(f, 12)
	time.Sleep(500 * time.Millisecond)
	for _, i := range []int{0, 3} {
		f.Boxes[i].CutFromServers(Hanging, nil)
	}
	time.Sleep(contactTime)
	s := busiest(f)
	s.RejectWithRetryAfter("3")
	time.Sleep(5 * time.Second)
	most := maxDuringRetryAfter(s, 3*time.Second)
	clients.stopAndCount()
	is.True(len(s.SentHeaders(RetryAfterHeader)) > 0)
	is.True(most <= maxRequestsInRetryAfter)
}
