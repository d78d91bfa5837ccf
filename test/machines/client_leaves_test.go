package machines

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestWhereverARequestIsItsClientMayLeave checks that, in whatever state a request is when its
// client disconnects, the server's connection is closed at once and no server gets it afterwards.
func TestWhereverARequestIsItsClientMayLeave(t *testing.T) {
	for _, c := range []struct {
		name                 string
		method, target, body string
		// busy is the number of other clients' requests that occupy the slots first.
		busy int
		// cut makes the first server reset the connection without an answer.
		cut bool
		// runs is how many servers have started the request when its client disconnects.
		runs int
	}{
		{name: "running, may be retried", method: "GET", target: "/read/1", runs: 1},
		{name: "running, must not be retried", method: "POST", target: "/buy/1", body: "one", runs: 1},
		{name: "running, an upload", method: "POST", target: "/up/1", body: "one", runs: 1},
		{name: "queued at its server", method: "GET", target: "/read/1", busy: 4},
		{name: "retried at a second server", method: "GET", target: "/read/1", cut: true, runs: 2},
		{name: "body partly received by the box", method: "POST", target: "/up/1", body: "half"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			names := []string{"east-a.1"}
			if c.cut {
				names = append(names, "east-a.2")
			}
			f := newFleet(t, 1, names...)
			for _, s := range f.Servers {
				s.Work = time.Second
			}
			occupy(t, f, c.busy)
			client := &Client{Address: f.Boxes[0].Clients}
			if c.cut {
				earnRetries(t, f, client)
				cutFirst(f)
			}
			extra := ""
			if c.body == "half" {
				extra = "Transfer-Encoding: chunked\r\n" // the last chunk is never sent
			}
			is.NoErr(client.Send(c.method, c.target, "leaver", c.body, extra))
			eventually(t, "the request has reached its servers", func() bool { return len(runsOf(f, "leaver")) == c.runs })
			time.Sleep(50 * time.Millisecond)
			client.Close()
			left := time.Now()
			time.Sleep(1500 * time.Millisecond)
			for _, r := range runsOf(f, "leaver") {
				t.Logf("server's connection closed %v after the client left", r.CanceledAt.Sub(left))
				is.Equal(r.Completed && r.At.After(left), false)
				if !r.Completed {
					is.True(r.CanceledAt.Sub(left) < 500*time.Millisecond || c.busy > 0)
				}
			}
			for _, s := range f.Servers {
				for _, a := range s.ArrivalLog() {
					is.True(a.ID != "leaver" || a.At.Before(left))
				}
			}
		})
	}
}

// occupy sends requests of other clients, which occupy slots of the servers.
func occupy(t *testing.T, f *Fleet, requests int) {
	t.Helper()
	for i := range requests {
		other := &Client{Address: f.Boxes[0].Clients}
		t.Cleanup(other.Close)
		is.New(t).NoErr(other.Send("GET", "/read/0", fmt.Sprint("other-", i), "", ""))
	}
	eventually(t, "the slots are occupied", func() bool { return len(f.Servers["east-a.1"].Runs()) == requests })
}

// earnRetries sends requests that earn the budget for a retry.
func earnRetries(t *testing.T, f *Fleet, c *Client) {
	t.Helper()
	for _, s := range f.Servers {
		s.Work = time.Millisecond
	}
	for i := range 10 {
		is.New(t).Equal(c.Do("GET", "/read/0", fmt.Sprint("earner-", i), "", "").Status, 200)
	}
	for _, s := range f.Servers {
		s.Work = 300 * time.Millisecond
	}
}

// cutFirst makes whichever server gets the next request reset the connection without an answer,
// for that request only.
func cutFirst(f *Fleet) {
	var cut atomic.Bool
	for _, s := range f.Servers {
		s.SetFault(func(*Run) Fault {
			if cut.Swap(true) {
				return NoFault
			}
			return CutAnswer
		})
	}
}

// runsOf returns a request's runs at all servers.
func runsOf(f *Fleet, id string) []Run {
	var runs []Run
	for _, s := range f.Servers {
		for _, r := range s.Runs() {
			if r.ID == id {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// TestClientThatLeavesAmidItsAnswer checks that the server's connection is closed when the client
// disconnects while its answer is being forwarded, so that the rest is not sent.
func TestClientThatLeavesAmidItsAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	s := f.Servers["east-a.1"]
	s.ExtraBytes = 8 << 20
	c := &Client{Address: f.Boxes[0].Clients}
	is.NoErr(c.Send("GET", "/read/1", "leaver", "", ""))
	_, err := io.ReadFull(c.reader, make([]byte, 300<<10)) // more than a box buffers before it forwards an answer
	is.NoErr(err)
	c.Close()
	left := time.Now()
	eventually(t, "the server's connection is closed", func() bool { return !s.Runs()[0].CanceledAt.IsZero() })
	t.Logf("server's connection closed %v after the client left", s.Runs()[0].CanceledAt.Sub(left))
	is.True(s.Runs()[0].CanceledAt.Sub(left) < 500*time.Millisecond)
}

// TestClientThatLeavesWhileItsBoxConnects checks that no byte of a request reaches a server that
// accepts connections only after the client has disconnected.
func TestClientThatLeavesWhileItsBoxConnects(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1)
	full, err := fullListener(f.network + ".160")
	is.NoErr(err)
	defer full.close()
	s, err := NewServer(f.network+".100", "east-a.1", 4, time.Millisecond)
	is.NoErr(err)
	s.Advertised = full.address
	f.Servers[s.ID] = s
	f.PutServer(s, "shop", "east-a", "ready", 0)
	eventually(t, "the server is listed", func() bool { return len(f.Boxes[0].Set.List()) == 1 })
	c := &Client{Address: f.Boxes[0].Clients}
	is.NoErr(c.Send("GET", "/read/1", "leaver", "", ""))
	time.Sleep(100 * time.Millisecond)
	c.Close()
	time.Sleep(100 * time.Millisecond)
	is.Equal(full.bytesOfNext(2*time.Second), 0)
}

// listener listens on a port whose backlog is full, and accepts connections only in bytesOfNext.
type listener struct {
	address string
	fd      int
	held    []net.Conn
}

// fullListener listens on a free port and fills the backlog.
func fullListener(ip string) (*listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil, err
	}
	address := &syscall.SockaddrInet4{}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, address); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	l := &listener{fd: fd, address: fmt.Sprintf("%s:%d", ip, bound.(*syscall.SockaddrInet4).Port)}
	for {
		c, err := net.DialTimeout("tcp4", l.address, 300*time.Millisecond)
		if err != nil {
			return l, nil // the backlog is full
		}
		l.held = append(l.held, c)
	}
}

func (l *listener) close() {
	for _, c := range l.held {
		_ = c.Close()
	}
	_ = syscall.Close(l.fd)
}

// bytesOfNext accepts all connections for the time within, and returns how many bytes arrive over
// them. The connections that filled the backlog send none.
func (l *listener) bytesOfNext(within time.Duration) int {
	_ = syscall.SetNonblock(l.fd, true)
	total := 0
	buffer := make([]byte, 4<<10)
	var taken []int
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if fd, _, err := syscall.Accept(l.fd); err == nil {
			_ = syscall.SetNonblock(fd, true)
			taken = append(taken, fd)
		}
		for _, fd := range taken {
			if n, err := syscall.Read(fd, buffer); err == nil {
				total += n
			}
		}
	}
	for _, fd := range taken {
		_ = syscall.Close(fd)
	}
	return total
}
