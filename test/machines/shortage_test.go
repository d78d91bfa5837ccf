package machines

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/stoneworks/stoneworks/pkg/settings"
)

// TestClientsReturnLateInAShortage guards against clients that are asked back after a few tenths of
// the time of one request, while requests wait at all servers: half of them found the same queue
// and were refused again, and clients do not return a third time.
func TestClientsReturnLateInAShortage(t *testing.T) {
	is := is.New(t)
	const clients, duration = 40, 3 * time.Second
	f := newFleet(t, 0, "east-a.1", "east-a.2")
	f.ChangeSettings = func(s *settings.Settings) { s.Policy.ShortageFill = 1.2 }
	b, err := f.AddBox("east-a")
	is.NoErr(err)
	eventually(t, "the box is ready", b.Node.Ready)
	for _, s := range f.Servers {
		s.Work = 50 * time.Millisecond
	}
	shortage := metrics.GetOrRegisterCounter("refused.shortage", f.Boxes[0].Node.Metrics)
	var mu sync.Mutex
	var told []time.Duration
	var group sync.WaitGroup
	start := time.Now()
	for i := range clients {
		group.Go(func() {
			c := &Client{Address: f.Boxes[0].Clients}
			defer c.Close()
			for n := 0; time.Since(start) < duration; n++ {
				a := c.Do("GET", "/read/1", fmt.Sprint("r-", i, "-", n), "", fmt.Sprintf("X-Stoneworks-Affinity-Key: %d\r\n", i))
				if a.Status != 503 {
					continue
				}
				seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
				if err == nil && time.Since(start) > duration/2 {
					mu.Lock()
					told = append(told, time.Duration(seconds*float64(time.Second)))
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond) // a client that does not wait gains nothing
			}
		})
	}
	group.Wait()
	t.Logf("%d refusals, %d of them in a shortage", len(told), shortage.Count())
	is.True(len(told) > 0)
	is.True(shortage.Count() > 0)
	late := 0
	for _, d := range told {
		is.True(d <= 500*time.Millisecond) // a third of the route's time
		if d >= 190*time.Millisecond {
			late++
		}
	}
	is.True(float64(late) >= 0.9*float64(len(told)))
}
