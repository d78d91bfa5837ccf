package machines

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/settings"
)

// TestReturnsGetTheRestOfTheRetryBudget guards against a retry budget that first attempts use up
// while every server sheds requests although it has free slots: clients return at no cost to the
// budget, but those that had returned got no further server and ended refused. Requests on a
// connection that is in use are first attempts here, those that open a connection are returns.
func TestReturnsGetTheRestOfTheRetryBudget(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, "east-a.1", "east-a.2")
	f.ChangeSettings = func(s *settings.Settings) { s.Policy.RetryReserve = 0.7 }
	b, err := f.AddBox("east-a")
	is.NoErr(err)
	eventually(t, "the box is ready", b.Node.Ready)
	eventually(t, "the box knows that it has the whole budget", func() bool { return f.Boxes[0].Node.Budget.Boxes() == 1 })
	first := &Client{Address: f.Boxes[0].Clients}
	defer first.Close()
	earnRetries(t, f, first)
	for _, s := range f.Servers {
		s.SetFault(func(*Run) Fault { return Refuse })
	}
	arrivals := func(id string) (n int) {
		for _, s := range f.Servers {
			for _, a := range s.ArrivalLog() {
				if a.ID == id {
					n++
				}
			}
		}
		return n
	}
	for round := range 10 {
		for i := range 6 {
			id := fmt.Sprintf("first-%d-%d", round, i)
			a := first.Do("GET", "/read/1", id, "", "")
			is.Equal(a.Status, 503)
			is.Equal(a.Header.Get("Retry-After"), "0.010")
			is.True(a.Took < 200*time.Millisecond) // it is refused at once
			is.Equal(arrivals(id), 1)
		}
		id := fmt.Sprint("again-", round)
		again := &Client{Address: f.Boxes[0].Clients}
		is.Equal(again.Do("GET", "/read/1", id, "", "").Status, 503)
		again.Close()
		is.Equal(arrivals(id), 2) // the box sends it to the other server
	}
	is.Equal(metrics.GetOrRegisterCounter("retry.left_to_client", f.Boxes[0].Node.Metrics).Count(), int64(60))
}
