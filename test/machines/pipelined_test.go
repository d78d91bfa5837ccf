package machines

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendPipelined sends n requests without reading an answer, each in a packet of its own.
func sendPipelined(t *testing.T, c *Client, n int) {
	t.Helper()
	for i := range n {
		is.New(t).NoErr(c.Send("GET", fmt.Sprint("/read/", i), fmt.Sprint("pipelined-", i), "", ""))
		time.Sleep(10 * time.Millisecond)
	}
}

// TestClientThatLeavesEndsItsPipelinedRequests guards against serving pipelined requests of a client
// that has disconnected. net/http reads one byte beyond the request that it serves; if that byte
// belongs to the next request, it sees the connection's end only after the answer is written, and
// then the pipelined requests are read and sent to servers. With slow servers, 9 of 29 idempotent
// requests were still worked on half a second after their clients had left, and 888 more were sent
// to servers although their clients had left before the box read them. 1,539 requests, all pipelined,
// were found abandoned within 2 ms of being read.
func TestClientThatLeavesEndsItsPipelinedRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	s := f.Servers["east-a.1"]
	s.Work = 1200 * time.Millisecond
	c := &Client{Address: f.Boxes[0].Clients}
	sendPipelined(t, c, 3)
	eventually(t, "the first request runs", func() bool { return len(s.Runs()) > 0 })
	c.Close()
	left := time.Now()
	time.Sleep(1500 * time.Millisecond)
	for _, r := range s.Runs() {
		t.Logf("%s started %v after its client left, canceled after %v, completed: %v", r.ID, r.At.Sub(left), r.CanceledAt.Sub(left), r.Completed)
		is.Equal(r.Completed, false)
		is.True(!r.CanceledAt.IsZero() && r.CanceledAt.Sub(left) < 500*time.Millisecond)
	}
	for _, a := range s.ArrivalLog() {
		is.True(a.At.Before(left))
	}
}

// TestPipelinedRequestsDoNotWaitForEachOther checks that idempotent pipelined requests are served
// concurrently and answered in order. Served one after the other, 6,968 requests took more than
// half of their target latency to reach a server, and a quarter of the pipelined requests were
// answered late by idle boxes, since each waits until all before it are done.
func TestPipelinedRequestsDoNotWaitForEachOther(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	s := f.Servers["east-a.1"]
	s.Work = 300 * time.Millisecond
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	start := time.Now()
	sendPipelined(t, c, 4)
	for i := range 4 {
		a := c.Read()
		is.NoErr(a.Problem)
		is.Equal(a.Status, 200)
		is.Equal(a.Body, AnswerBody(fmt.Sprint("pipelined-", i)))
	}
	took := time.Since(start)
	t.Logf("four requests of 300 ms took %v", took)
	is.True(took < 600*time.Millisecond)
	is.Equal(len(s.Runs()), 4)
}

// TestNothingRunsAheadOfWhatMayRunOnce checks that a request behind one that is not idempotent is sent
// to a server only after that one is answered, and that one that is not idempotent waits for those
// before it.
func TestNothingRunsAheadOfWhatMayRunOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	s := f.Servers["east-a.1"]
	s.Work = 200 * time.Millisecond
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	for i, target := range []string{"/read/0", "/buy/1", "/read/2", "/read/3"} {
		is.NoErr(c.Send("GET", target, fmt.Sprint("mixed-", i), "", ""))
	}
	for i := range 4 {
		is.Equal(c.Read().Body, AnswerBody(fmt.Sprint("mixed-", i)))
	}
	runs := s.Runs()
	is.Equal(len(runs), 4)
	is.Equal(runs[1].ID, "mixed-1")
	is.True(runs[1].At.Sub(runs[0].At) >= s.Work)
	is.True(runs[2].At.Sub(runs[1].At) >= s.Work)
}

// TestPlannedStopAnswersPipelinedRequests checks that a stopping box answers the pipelined requests
// that it already serves.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	s := f.Servers["east-a.1"]
	s.Work = time.Second
	// From 0.8 s after the start of its stop the box accepts no new requests, and closes connections.
	c := &Client{Address: f.Boxes[0].Clients}
	defer c.Close()
	sendPipelined(t, c, 3)
	eventually(t, "the requests run", func() bool { return len(s.Runs()) > 0 })
	go f.Boxes[0].Leave(context.Background())
	for i := range len(s.Runs()) {
		a := c.Read()
		is.NoErr(a.Problem)
		is.Equal(a.Body, AnswerBody(fmt.Sprint("pipelined-", i)))
	}
}
