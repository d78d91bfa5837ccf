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

// TestWhereverARequestIsItsClientMayLeave: a server is told at once that nobody waits, and nothing is sent
// to one after that.
func TestWhereverARequestIsItsClientMayLeave(t *testing.T) {
	for _, c := range []struct {
		name                 string
		method, target, body string
		// busy are requests of other clients that take all slots first.
		busy int
		// cut: the first server ends the exchange without an answer.
		cut bool
		// runs is how many servers have begun with the request when its client leaves.
		runs int
	}{
		{name: "running, may be repeated", method: "GET", target: "/read/1", runs: 1},
		{name: "running, may run once", method: "POST", target: "/buy/1", body: "one", runs: 1},
		{name: "running, an upload", method: "POST", target: "/up/1", body: "one", runs: 1},
		{name: "queued at its server", method: "GET", target: "/read/1", busy: 4},
		{name: "repeated at a second server", method: "GET", target: "/read/1", cut: true, runs: 2},
		{name: "body on its way to the box", method: "POST", target: "/up/1", body: "half"},
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
				extra = "Transfer-Encoding: chunked\r\n" // its last chunk does not come
			}
			is.NoErr(client.Send(c.method, c.target, "leaver", c.body, extra))
			eventually(t, "it is where it should be", func() bool { return len(runsOf(f, "leaver")) == c.runs })
			time.Sleep(50 * time.Millisecond)
			client.Close()
			left := time.Now()
			time.Sleep(1500 * time.Millisecond)
			for _, r := range runsOf(f, "leaver") {
				t.Logf("told %v after its client left", r.CanceledAt.Sub(left))
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

// occupy has other clients take slots of the servers.
func occupy(t *testing.T, f *Fleet, requests int) {
	t.Helper()
	for i := range requests {
		other := &Client{Address: f.Boxes[0].Clients}
		t.Cleanup(other.Close)
		is.New(t).NoErr(other.Send("GET", "/read/0", fmt.Sprint("other-", i), "", ""))
	}
	eventually(t, "the slots are taken", func() bool { return len(f.Servers["east-a.1"].Runs()) == requests })
}

// earnRetries sends requests that pay for a repeat.
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

// cutFirst has the server that gets the next request end it without an answer, and no other.
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

// runsOf returns the runs of a request at all servers.
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

// TestClientThatLeavesAmidItsAnswer: a server whose answer is half passed on is told, and does not send the rest.
func TestClientThatLeavesAmidItsAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, "east-a.1")
	s := f.Servers["east-a.1"]
	s.ExtraBytes = 8 << 20
	c := &Client{Address: f.Boxes[0].Clients}
	is.NoErr(c.Send("GET", "/read/1", "leaver", "", ""))
	_, err := io.ReadFull(c.reader, make([]byte, 300<<10)) // more than a box holds before it passes an answer on
	is.NoErr(err)
	c.Close()
	left := time.Now()
	eventually(t, "the server is told", func() bool { return !s.Runs()[0].CanceledAt.IsZero() })
	t.Logf("told %v after its client left", s.Runs()[0].CanceledAt.Sub(left))
	is.True(s.Runs()[0].CanceledAt.Sub(left) < 500*time.Millisecond)
}

// TestClientThatLeavesWhileItsBoxConnects: nothing reaches a server that takes no connection for now, also when it
// does again.
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
	eventually(t, "it is listed", func() bool { return len(f.Boxes[0].Set.List()) == 1 })
	c := &Client{Address: f.Boxes[0].Clients}
	is.NoErr(c.Send("GET", "/read/1", "leaver", "", ""))
	time.Sleep(100 * time.Millisecond)
	c.Close()
	time.Sleep(100 * time.Millisecond)
	is.Equal(full.bytesOfNext(2*time.Second), 0)
}

// listener takes no connections until they are taken from it one by one.
type listener struct {
	address string
	fd      int
	held    []net.Conn
}

// fullListener listens on a free port with room for no further connection.
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
			return l, nil // it is full
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

// bytesOfNext takes all connections that come within the time, and returns how many bytes came over others
// than those that filled it.
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
