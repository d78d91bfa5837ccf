package machines

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBoxThatStartsTellsWhenToComeBack guards against a starting box that sends the short Retry-After
// of busy servers while it has no list of servers yet. After a restart of all boxes this lasted three
// seconds, in which clients were told to retry after some tenths of a second, were refused again, and
// mostly gave up. The duration of a start depends on the fleet and the list, so the expected rest of
// it grows with the time that it has taken.
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
		is.True(a.Took < 500*time.Millisecond) // it is refused at once
		seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		return time.Duration(seconds * float64(time.Second))
	}
	for _, pause := range []time.Duration{100 * time.Millisecond, 2 * time.Second} {
		time.Sleep(pause)
		least := time.Since(started) - 10*time.Millisecond
		told := ask()
		most := max(300*time.Millisecond, time.Since(before)+10*time.Millisecond)
		t.Logf("after %v the box answers Retry-After: %v", least, told)
		is.True(told >= least && told <= most)
	}
	f.Store.SetMode(nil)
	eventually(t, "ready", func() bool { return status(t, "http://"+b.Ready+"/-/ready") == 200 })
	c := &Client{Address: b.Clients}
	defer c.Close()
	is.Equal(c.Do("GET", "/read/1", "id", "", "").Status, 200)
}
