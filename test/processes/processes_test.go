package processes

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/addresses"
	"github.com/stoneworks/stoneworks/test/machines"
)

// TestTakenAddressIsToldAtTheStart checks that Start reports an address that is in use, rather
// than that the box fails later because it does not become ready.
func TestTakenAddressIsToldAtTheStart(t *testing.T) {
	is := is.New(t)
	network, err := addresses.Reserve("127.98")
	is.NoErr(err)
	defer network.Release()
	l, err := net.Listen("tcp4", network.Prefix+".1:8104")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	b, err := NewBox(Options{Bin: t.TempDir(), Dir: t.TempDir(), Network: network.Prefix}, machines.Zones[0].Zone, 1)
	is.NoErr(err)
	var inUse *addresses.InUseError
	is.True(errors.As(b.Start(), &inUse))
	is.Equal(inUse.Address, network.Prefix+".1:8104")
}

// parentOfChild is the environment variable that makes this test program start a child, print
// its process id and wait.
const parentOfChild = "STONEWORKS_TEST_PARENT"

// TestProcessesEndWithTheOneThatStartedThem checks that a child process is killed when its
// parent is killed. Otherwise an interrupted run leaves boxes at its addresses and the next run
// fails.
func TestProcessesEndWithTheOneThatStartedThem(t *testing.T) {
	is := is.New(t)
	if os.Getenv(parentOfChild) != "" {
		child := exec.Command("sleep", "60")
		is.NoErr(startWithDeathSignal(child))
		_, _ = os.Stdout.WriteString(strconv.Itoa(child.Process.Pid) + "\n")
		time.Sleep(time.Minute)
	}
	parent := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	parent.Env = append(os.Environ(), parentOfChild+"=1")
	out, err := parent.StdoutPipe()
	is.NoErr(err)
	is.NoErr(parent.Start())
	buffer := make([]byte, 32)
	n, err := out.Read(buffer)
	is.NoErr(err)
	child, err := strconv.Atoi(strings.TrimSpace(string(buffer[:n])))
	is.NoErr(err)
	is.NoErr(syscall.Kill(child, 0)) // the child runs
	is.NoErr(parent.Process.Kill())
	_ = parent.Wait()
	for end := time.Now().Add(5 * time.Second); !ended(child); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}

// ended reports whether a process has exited: it is gone, or a zombie that its new parent has
// not reaped yet.
func ended(process int) bool {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(process) + "/stat")
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(rest, "Z") || strings.HasPrefix(rest, "X")
}
