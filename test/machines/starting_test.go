package machines

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoxThatStartsTellsWhenToComeBack. The story: for three seconds after all boxes had started again they had no
// list of servers, and asked clients back after some tenths of a second, to be refused again, mostly for good. The
// cause: a box that has no servers yet answered as one whose servers are busy. How long a start takes follows the
// fleet and the list: the longer it has lasted, the longer it is expected to.
func TestBoxThatStartsTellsWhenToComeBack(t *testing.T) {
	is := is.New(t)
	f, err := NewFleet(networkOf(t), io.Discard)
	is.NoErr(err)
	t.Cleanup(f.Close)
	f.Configure(1, read)
	_, err = f.AddServer("east-a.1", "shop", "east-a", 4, time.Millisecond)
	is.NoErr(err)
	f.Store.SetMode(func(_, path string) Mode {
		if strings.HasSuffix(path, "/servers") {
			return Busy
		}
		return Serving
	})
	before := time.Now()
	b, err := f.AddBox("east-a")
	is.NoErr(err)
	started := time.Now()
	ask := func() time.Duration {
		c := &Client{Address: b.Clients}
		defer c.Close()
		a := c.Do("GET", "/read/1", "id", "", "")
		is.Equal(a.Status, 503)
		is.True(a.Took < 500*time.Millisecond) // it is not held back
		seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		return time.Duration(seconds * float64(time.Second))
	}
	for _, pause := range []time.Duration{100 * time.Millisecond, 2 * time.Second} {
		time.Sleep(pause)
		least := time.Since(started) - 10*time.Millisecond
		told := ask()
		most := max(300*time.Millisecond, time.Since(before)+10*time.Millisecond)
		t.Logf("after %v it is told to come back in %v", least, told)
		is.True(told >= least && told <= most)
	}
	f.Store.SetMode(nil)
	eventually(t, "ready", func() bool { return status(t, "http://"+b.Ready+"/-/ready") == 200 })
	c := &Client{Address: b.Clients}
	defer c.Close()
	is.Equal(c.Do("GET", "/read/1", "id", "", "").Status, 200)
}
