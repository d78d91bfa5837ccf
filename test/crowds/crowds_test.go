// Package crowds tests that a crowd of clients that send requests of legal size and unusual form
// neither ends a box nor makes it exceed its machine. The tests run apart from other load.
package crowds

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/test/addresses"
	"github.com/stoneworks/stoneworks/test/machines"
	"github.com/stoneworks/stoneworks/test/processes"
)

// crowdsEnv is the environment variable that enables the tests of this package.
const crowdsEnv = "STONEWORKS_CROWDS"

// The machine of the box, the crowd, and the limit of a head.
const (
	memoryMB    = 64
	descriptors = 400
	crowdSize   = 300
	headBytes   = 16 << 10
	largeAnswer = 240 << 10
)

// The time that the crowd keeps its connections, and the time in which an ordinary request must be
// answered. A client that is refused returns within it.
const (
	holdTime    = 3 * time.Second
	answerTime  = 20 * time.Second
	returnPause = 100 * time.Millisecond
	startTime   = 15 * time.Second
	sendTime    = 5 * time.Second
)

var binDir string

func TestMain(m *testing.M) {
	if os.Getenv(crowdsEnv) == "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "stoneworks-bin-")
	if err != nil {
		panic(err)
	}
	if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "stoneworksd"), "../../cmd/stoneworksd").CombinedOutput(); err != nil {
		panic(string(out))
	}
	binDir = dir
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// stage is one box as a process, and the stand-ins of its platform.
type stage struct {
	t       *testing.T
	fleet   *machines.Fleet
	network string
	box     *processes.Box
	process int
	// peak is the highest number of descriptors that was seen open.
	peak int
}

// newStage starts a box whose routes lead to servers that are free (/calm/, /post/), work on one
// request for longer than the test runs (/busy/), do so on many (/slow/), or send large answers
// (/large/).
func newStage(t *testing.T) *stage {
	t.Helper()
	if os.Getenv(crowdsEnv) == "" {
		t.Skip("runs by itself; see make crowds")
	}
	is := is.New(t)
	network, err := addresses.Reserve("127.92")
	is.NoErr(err)
	t.Cleanup(network.Release)
	fleet, err := machines.NewFleet(network.Prefix, io.Discard)
	is.NoErr(err)
	t.Cleanup(fleet.Close)
	zone := machines.Zones[0].Zone
	_, err = fleet.AddServer("calm-1", "calm", zone, 8, time.Millisecond)
	is.NoErr(err)
	_, err = fleet.AddServer("busy-1", "busy", zone, 1, time.Minute)
	is.NoErr(err)
	_, err = fleet.AddServer("slow-1", "slow", zone, crowdSize, time.Minute)
	is.NoErr(err)
	large, err := fleet.AddServer("large-1", "large", zone, crowdSize, time.Millisecond)
	is.NoErr(err)
	large.ExtraBytes = largeAnswer
	fleet.MaxHeader = headBytes
	fleet.Configure(1, routes...)
	return startBox(t, fleet, network.Prefix, 1)
}

// routes are the routes of the first configuration.
var routes = []machines.Route{
	{Prefix: "/calm/", Kind: "safe", Service: "calm", TimeoutMS: 5000},
	{Prefix: "/busy/", Kind: "safe", Service: "busy", TimeoutMS: 5000},
	{Prefix: "/slow/", Kind: "safe", Service: "slow", TimeoutMS: 5000},
	{Prefix: "/large/", Kind: "safe", Service: "large", TimeoutMS: 5000},
	{Prefix: "/post/", Kind: "unsafe", Service: "calm", TimeoutMS: 5000},
}

// startBox starts a box of a fleet.
func startBox(t *testing.T, fleet *machines.Fleet, network string, number int) *stage {
	t.Helper()
	is := is.New(t)
	box, err := processes.NewBox(processes.Options{
		Bin: binDir, Dir: t.TempDir(), Network: network, Store: fleet.Store.Address,
		Drain: 3 * time.Second, Contact: 1500 * time.Millisecond, Grace: 2 * time.Second,
		MemoryMB: memoryMB, Descriptors: descriptors,
	}, machines.Zones[0].Zone, number)
	is.NoErr(err)
	is.NoErr(box.Start())
	t.Cleanup(box.Kill)
	is.NoErr(box.WaitReady(startTime))
	s := &stage{t: t, fleet: fleet, network: network, box: box, process: box.Process()}
	s.answered()
	return s
}

// port returns the address of one of the box's ports.
func (s *stage) port(number int) string { return fmt.Sprintf("%s:%d", s.box.IP, number) }

// answered checks that an ordinary request is answered. Its client returns when it is refused.
func (s *stage) answered() {
	s.t.Helper()
	client := &machines.Client{Address: s.box.Clients()}
	defer client.Close()
	var last *machines.Answer
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(returnPause) {
		last = client.Do(http.MethodGet, "/calm/ordinary", fmt.Sprint("o", time.Now().UnixNano()), "", "")
		if last.Status == http.StatusOK && last.Problem == nil {
			return
		}
		client.Close()
	}
	s.t.Errorf("an ordinary request was not answered, at last: %+v", last)
}

// holds lets a crowd of clients send a text to an address and keep their connections, and checks
// what must hold during that time and afterwards.
func (s *stage) holds(address, text string, size int) {
	s.t.Helper()
	s.leaves(s.send(address, text, size))
}

// leaves lets a crowd leave after a while, and checks what must hold until then and afterwards.
func (s *stage) leaves(connections []net.Conn) {
	s.t.Helper()
	for end := time.Now().Add(holdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.peak = max(s.peak, s.openDescriptors())
	}
	s.check()
	for _, c := range connections {
		_ = c.Close()
	}
	s.answered()
	s.check()
	s.t.Logf("peak memory %d MB, peak descriptors %d", s.peakMemoryMB(), s.peak)
}

// send opens connections side by side and writes the text on each of them as far as the box reads it.
func (s *stage) send(address, text string, size int) []net.Conn {
	opened := make([]net.Conn, size)
	var clients conc.WaitGroup
	for i := range opened {
		clients.Go(func() {
			c, err := net.DialTimeout("tcp4", address, sendTime)
			if err != nil {
				return // the box may refuse the client
			}
			opened[i] = c
			_ = c.SetWriteDeadline(time.Now().Add(sendTime))
			_, _ = io.WriteString(c, text)
		})
	}
	clients.Wait()
	var connections []net.Conn
	for _, c := range opened {
		if c != nil {
			connections = append(connections, c)
		}
	}
	return connections
}

// check checks that the box lives within its machine.
func (s *stage) check() {
	s.t.Helper()
	select {
	case <-s.box.Exited():
		s.t.Fatal("the box has ended")
	default:
	}
	if used := s.peakMemoryMB(); used > memoryMB {
		s.t.Errorf("peak memory is %d MB, the machine has %d MB", used, memoryMB)
	}
	if s.peak > descriptors {
		s.t.Errorf("%d descriptors were open, the machine has %d", s.peak, descriptors)
	}
}

// peakMemoryMB returns the largest resident memory that the process has had, in MB.
func (s *stage) peakMemoryMB() int {
	s.t.Helper()
	used, err := s.box.PeakMemoryMB()
	is.New(s.t).NoErr(err)
	return used
}

// openDescriptors returns how many descriptors the process has open.
func (s *stage) openDescriptors() int {
	s.t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.process))
	is.New(s.t).NoErr(err)
	return len(list)
}
