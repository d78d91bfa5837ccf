package machines

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// Times of a planned stop with the fleet's grace period of 2 s: the box stops accepting requests
// closesAfter its start.
const closesAfter = 800 * time.Millisecond

// stopping starts the planned stop of the fleet's first box, and returns when it began.
func stopping(t *testing.T, f *Fleet) time.Time {
	t.Helper()
	var stop conc.WaitGroup
	stop.Go(func() { f.Boxes[0].Leave(context.Background()) })
	t.Cleanup(stop.Wait)
	return time.Now()
}

// TestPlannedStopAnswersFirstRequestsOfOpenConnections guards against closing a connection without
// an answer whose first request arrives just after the stopping box has closed its listener.
func TestPlannedStopAnswersFirstRequestsOfOpenConnections(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	start := stopping(t, f)
	var group conc.WaitGroup
	for i := range 20 {
		c := &Client{Address: f.Boxes[0].Clients}
		defer c.Close()
		time.Sleep(time.Until(start.Add(closesAfter - 100*time.Millisecond)))
		is.NoErr(c.Open())
		group.Go(func() {
			time.Sleep(time.Until(start.Add(closesAfter + time.Duration(10*i)*time.Millisecond)))
			a := c.Do("POST", "/buy/1", fmt.Sprint("first-", i), "body", "")
			is.NoErr(a.Problem)
			is.True(a.Status == 200 || a.Status == 503)
		})
	}
	group.Wait()
}

// TestPlannedStopAnswersRequestsThatCrossItsClose guards against closing an idle connection in a way
// that leaves a request without an answer that its client sends at the same moment.
func TestPlannedStopAnswersRequestsThatCrossItsClose(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	var clients []*Client
	for i := range 10 {
		c := &Client{Address: f.Boxes[0].Clients}
		defer c.Close()
		is.Equal(c.Do("GET", "/read/1", fmt.Sprint("before-", i), "", "").Status, 200)
		clients = append(clients, c)
	}
	start := stopping(t, f)
	time.Sleep(time.Until(start.Add(closesAfter + 50*time.Millisecond)))
	for i, c := range clients {
		a := c.Do("POST", "/buy/1", fmt.Sprint("crossing-", i), "body", "")
		is.NoErr(a.Problem)
		is.Equal(a.Status, 408)
		is.True(a.CloseAnnounced)
	}
	is.Equal(len(f.Servers["east-a.1"].Runs()), len(clients))
}

// TestPlannedStopDropsNoRequestOfBusyClients guards against requests without an answer while
// clients open connections and send requests on them throughout a planned stop.
func TestPlannedStopDropsNoRequestOfBusyClients(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1", "east-a.2", "east-a.3")
	start := stopping(t, f)
	var mu sync.Mutex
	results := map[string]int{}
	var group conc.WaitGroup
	for i := range 24 {
		group.Go(func() {
			c := &Client{Address: f.Boxes[0].Clients}
			defer c.Close()
			for n := 0; time.Since(start) < 2*time.Second; n++ {
				if c.Send("GET", "/read/1", fmt.Sprintf("busy-%d-%d", i, n), "", "") != nil {
					return // refused or reset before the request was sent
				}
				a := c.Read()
				mu.Lock()
				results[fmt.Sprint(a.Status, " ", a.Problem)]++
				mu.Unlock()
				is.NoErr(a.Problem)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	t.Logf("statuses and errors: %v", results)
	is.True(results["200 <nil>"] > 100)
}

// TestPlannedStopAnswersConnectionsOfFormerLimits guards against forgetting, at a planned stop, the
// connections that were accepted under limits that have changed since.
func TestPlannedStopAnswersConnectionsOfFormerLimits(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	is.Equal(c.Do("GET", "/read/1", "former", "", "").Status, 200)
	f.MaxHeader = 4096
	f.Configure(2, read, buy, upload)
	eventually(t, "the limits are in force", func() bool {
		newer := &Client{Address: f.Boxes[0].Clients}
		defer newer.Close()
		return newer.Do("GET", "/read/1", "newer", "", "X: "+strings.Repeat("x", 10_000)+"\r\n").Status == 431
	})
	start := stopping(t, f)
	time.Sleep(time.Until(start.Add(closesAfter + 50*time.Millisecond)))
	a := c.Do("POST", "/buy/1", "crossing", "body", "")
	is.NoErr(a.Problem)
	is.Equal(a.Status, 408)
}

// TestPlannedStopFinishesUploads guards against dropping an upload whose header has arrived before the
// box accepts no more requests and whose body ends after that.
func TestPlannedStopFinishesUploads(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	start := stopping(t, f)
	time.Sleep(time.Until(start.Add(closesAfter - 100*time.Millisecond)))
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	conn, err := c.Begin("POST", "/buy/1", "upload", "Content-Length: 4\r\n")
	is.NoErr(err)
	time.Sleep(time.Until(start.Add(closesAfter + 100*time.Millisecond)))
	_, err = io.WriteString(conn, "body")
	is.NoErr(err)
	a := c.Read()
	is.NoErr(a.Problem)
	is.Equal(a.Body, AnswerBody("upload"))
}

// TestPlannedStopAnswersDirectoryToItsEnd guards against closing the directory's connections with
// questions on them.
func TestPlannedStopAnswersDirectoryToItsEnd(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	slow := f.Servers["east-a.1"]
	slow.Work = 1200 * time.Millisecond // keeps the box from ending before
	working := &Client{Address: f.Boxes[0].Clients}
	defer working.Close()
	is.NoErr(working.Send("GET", "/read/1", "working", "", ""))
	start := stopping(t, f)
	var asking conc.WaitGroup
	for range 4 {
		asking.Go(func() {
			c := &Client{Address: f.Boxes[0].Directory}
			defer c.Close()
			for answered := 0; time.Since(start) < 3*time.Second; answered++ {
				if c.Send("GET", "/-/resolve?name=shop.example&region=east&zone=east-a", "directory", "", "") != nil {
					is.True(answered > 10)
					return
				}
				is.NoErr(c.Read().Problem)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	is.Equal(working.Read().Status, 200)
}
