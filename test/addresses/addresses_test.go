package addresses

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestRunsDoNotShareANetwork(t *testing.T) {
	is := is.New(t)
	a, err := Reserve("127.89")
	is.NoErr(err)
	b, err := Reserve("127.89")
	is.NoErr(err)
	is.True(a.Prefix != b.Prefix)
	first := a.Prefix
	a.Release()
	c, err := Reserve("127.89")
	is.NoErr(err)
	is.Equal(c.Prefix, first)
	b.Release()
	c.Release()
}

// TestHolderOfAnAddressIsTold checks that the process at an address that is in use is reported.
// Otherwise a run that meets a box left by an earlier run only reports that its own box does not
// become ready.
func TestHolderOfAnAddressIsTold(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	var inUse *InUseError
	is.True(errors.As(CheckFree(address), &inUse))
	is.Equal(inUse.Address, address)
	is.True(inUse.Holder != "")
	var process int
	_, err = fmt.Sscanf(inUse.Holder, "process %d", &process)
	is.NoErr(err)
	is.Equal(process, os.Getpid())
	is.NoErr(l.Close())
	is.NoErr(CheckFree(address))
}
