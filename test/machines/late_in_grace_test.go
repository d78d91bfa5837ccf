package machines

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/settings"
)

// long is a route whose requests may take longer than a planned stop.
var long = Route{Prefix: "/long/", Kind: "unsafe", Service: "shop", TimeoutMS: 15_000}

// newStoppingFleet starts a fleet of two boxes with that grace period and a server with that service
// time.
func newStoppingFleet(t *testing.T, grace, work time.Duration) *Fleet {
	t.Helper()
	f, err := NewFleet(networkOf(t), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	f.ChangeSettings = func(s *settings.Settings) { s.Bounds.Grace = grace }
	f.Configure(1, read, buy, long)
	if _, err := f.AddServer("east-a.1", "shop", "east-a", 40, work); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := f.AddBox("east-a"); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all boxes are ready", func() bool { return f.Boxes[0].Node.Ready() && f.Boxes[1].Node.Ready() })
	return f
}

// endingProcess starts the planned stop of the fleet's first box, whose connections end with it, and
// returns when it began.
func endingProcess(t *testing.T, f *Fleet) time.Time {
	t.Helper()
	var stop conc.WaitGroup
	stop.Go(func() {
		f.Boxes[0].Leave(context.Background())
		f.Boxes[0].Stop()
	})
	t.Cleanup(stop.Wait)
	return time.Now()
}

// TestRequestsLateInTheGraceAreNotCut checks that a box that is stopping does not take requests, three
// seconds after the start of its stop and later, that it may have to cut off at its end. It checks that
// others are still served then.
func TestRequestsLateInTheGraceAreNotCut(t *testing.T) {
	const grace = 10 * time.Second
	for _, c := range []struct {
		name, target string
		work         time.Duration
		status       int
	}{
		{"may outlast the stop", long.Prefix, 8 * time.Second, 503},
		{"ends before", buy.Prefix, 100 * time.Millisecond, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newStoppingFleet(t, grace, c.work)
			start := endingProcess(t, f)
			var group conc.WaitGroup
			for i := range 10 {
				group.Go(func() {
					client := &Client{Address: f.Boxes[0].Clients}
					defer client.Close()
					time.Sleep(time.Until(start.Add(3*time.Second + time.Duration(i)*90*time.Millisecond)))
					a := client.Do("POST", c.target+"1", fmt.Sprint("late-", i), "body", "")
					t.Logf("request %d: status %d, error %v after %v", i, a.Status, a.Problem, a.Took)
					is.NoErr(a.Problem)
					is.Equal(a.Status, c.status)
					is.True(a.CloseAnnounced)
					if a.Status == 503 {
						is.True(a.Took < 200*time.Millisecond)
					}
				})
			}
			group.Wait()
			runs := 0
			if c.status == 200 {
				runs = 10
			}
			is.Equal(len(f.Servers["east-a.1"].Runs()), runs)
		})
	}
}

// TestStoppingBoxRefusesWhatItCannotFinish checks that a box that is stopping refuses a request at once
// whose server usually takes longer than the box has left, so that another box can serve it.
func TestStoppingBoxRefusesWhatItCannotFinish(t *testing.T) {
	is := is.New(t)
	f := newStoppingFleet(t, 2*time.Second, 1700*time.Millisecond)
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	is.Equal(c.Do("POST", long.Prefix+"1", "before", "body", "").Status, 200)
	start := stopping(t, f)
	time.Sleep(time.Until(start.Add(200 * time.Millisecond)))
	a := c.Do("POST", long.Prefix+"1", "during", "body", "")
	t.Logf("status %d, error %v after %v", a.Status, a.Problem, a.Took)
	is.NoErr(a.Problem)
	is.Equal(a.Status, 503)
	is.True(a.Took < 200*time.Millisecond)
	other := &Client{Address: f.Boxes[1].Clients}
	defer other.Close()
	is.Equal(other.Do("POST", long.Prefix+"1", "again", "body", "").Status, 200)
}

// TestStoppingBoxServesWhatItCanFinish checks that a box that is stopping serves a request that may
// take longer than the box has left, but usually does not.
func TestStoppingBoxServesWhatItCanFinish(t *testing.T) {
	is := is.New(t)
	f := newStoppingFleet(t, 2*time.Second, 50*time.Millisecond)
	start := stopping(t, f)
	time.Sleep(time.Until(start.Add(200 * time.Millisecond)))
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	is.Equal(c.Do("POST", long.Prefix+"1", "short", "body", "").Status, 200)
}
