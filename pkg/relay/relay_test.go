package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// world simulates what a dialer reaches.
type world struct {
	mu sync.Mutex
	// direct and through are the errors of attempts, by server and by box; nil connects, and
	// errHangs hangs.
	direct, through map[string]error
	asked           []string
	dialed          []string
}

var errHangs = errors.New("hangs")

var (
	refused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	target  = Target{Address: "s1", Region: "east"}
	boxes   = []Box{{Name: "near", Region: "east"}, {Name: "far", Region: "west"}}
)

func (w *world) connect(ctx context.Context, err error) (net.Conn, error) {
	if errors.Is(err, errHangs) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	c, _ := net.Pipe()
	return c, nil
}

func (w *world) dialer() *Dialer {
	d := NewDialer("east", time.Now, func() float64 { return 0 })
	d.Timeout = 600 * time.Millisecond
	d.Direct = func(ctx context.Context, address string) (net.Conn, error) {
		w.mu.Lock()
		w.dialed = append(w.dialed, address)
		err := w.direct[address]
		w.mu.Unlock()
		return w.connect(ctx, err)
	}
	d.Through = func(ctx context.Context, box Box, _ Target) (net.Conn, error) {
		w.mu.Lock()
		w.asked = append(w.asked, box.Name)
		err := w.through[box.Name]
		w.mu.Unlock()
		return w.connect(ctx, err)
	}
	d.Boxes = func() []Box { return boxes }
	d.Others = func(string, int) []string { return []string{"s2"} }
	d.Go = func(work func()) { go work() }
	return d
}

func unavailable(box string) error { return &HelperError{Box: box, Reason: Unavailable} }

// eventually waits until the link has the state.
func eventually(t *testing.T, d *Dialer, state State) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if d.Paths.State(target.Address) == state {
			return
		}
	}
	t.Fatalf("the link's state is %v, not %v", d.Paths.State(target.Address), state)
}

// TestServerIsReachedWhileTheOwnLinkFails checks that a link that hangs or refuses delays a
// connection once at most, and that it is used again as soon as it works.
func TestServerIsReachedWhileTheOwnLinkFails(t *testing.T) {
	for name, failure := range map[string]error{"hangs": errHangs, "refuses": refused} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &world{direct: map[string]error{"s1": failure, "s2": failure}}
			d := w.dialer()
			_, err := d.Dial(t.Context(), target)
			is.NoErr(err)
			eventually(t, d, Broken)
			start := time.Now()
			_, err = d.Dial(t.Context(), target)
			is.NoErr(err)
			is.True(time.Since(start) < headStart)
			w.mu.Lock()
			w.direct = nil
			w.mu.Unlock()
			d.ProbeBroken(t.Context(), 1)
			eventually(t, d, Working)
			asked := len(w.asked)
			_, err = d.Dial(t.Context(), target)
			is.NoErr(err)
			is.Equal(len(w.asked), asked)
		})
	}
}

// TestServerThatIsDownIsBlamed checks that a refusal counts against the server only if another box
// that has links says the same, or this box reaches another server.
func TestServerThatIsDownIsBlamed(t *testing.T) {
	is := is.New(t)
	down := &HelperError{Box: "near", Reason: ServerRefused}
	for _, c := range []struct {
		near, far, s2 error
		blamed        bool
	}{
		{near: down, s2: refused, blamed: true},
		{near: unavailable("near"), far: unavailable("far"), blamed: true},
		{near: unavailable("near"), far: unavailable("far"), s2: refused, blamed: false},
		{near: nil, s2: nil, blamed: true}, // no box is asked
	} {
		w := &world{direct: map[string]error{"s1": refused, "s2": c.s2}, through: map[string]error{"near": c.near, "far": c.far}}
		d := w.dialer()
		_, err := d.Dial(t.Context(), target)
		is.Equal(errors.Is(err, syscall.ECONNREFUSED), c.blamed)
		is.Equal(IsNoPath(err), !c.blamed)
		is.True(d.Paths.State("s1") != Broken)
	}
}

// TestBoundRequestsStayInTheServersRegion checks which boxes are asked, and in which order.
func TestBoundRequestsStayInTheServersRegion(t *testing.T) {
	is := is.New(t)
	w := &world{direct: map[string]error{"s1": refused, "s2": refused}, through: map[string]error{"near": unavailable("near"), "far": unavailable("far")}}
	d := w.dialer()
	_, err := d.Dial(t.Context(), Target{Address: "s1", Region: "west", Bound: true})
	is.True(IsNoPath(err))
	is.Equal(w.asked, []string{"far"})
	w.asked = nil
	d = w.dialer()
	_, err = d.Dial(t.Context(), Target{Address: "s1", Region: "north"})
	is.True(IsNoPath(err))
	is.Equal(w.asked, []string{"near", "far"})
	_, err = d.Dial(t.Context(), target)
	is.True(err != nil)
	is.Equal(len(w.asked), 2) // boxes that were unavailable are left alone for a while
}

// TestCutOffBoxSuspectsAllLinks checks that failures of a few links, without a sign of any server,
// make a box ask others at once for servers that it has not tried, and not help others.
func TestCutOffBoxSuspectsAllLinks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := NewPaths(func() time.Time { return now })
	for _, address := range []string{"s1", "s2", "s3"} {
		p.ObserveConnected(address)
	}
	p.ObserveFailed("s1")
	p.ObserveFailed("s2")
	now = now.Add(cutOffSilence)
	is.Equal(p.State("s4"), Working)
	p.ObserveFailed("s3")
	is.Equal(p.State("s4"), Suspect)
	is.True(!p.MayReuse("s4"))
	p.ObserveAnswer("s5")
	is.Equal(p.State("s4"), Working)
	is.Equal(p.State("s1"), Suspect)
	now = now.Add(suspectTime)
	is.Equal(p.State("s1"), Working)
}

// TestOpenConnectionsThatAnswerAreKept checks that connections which live on while new ones are
// refused are used.
func TestOpenConnectionsThatAnswerAreKept(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p := NewPaths(func() time.Time { return now })
	p.ObserveRelayed("s1", true)
	is.True(!p.MayReuse("s1"))
	now = now.Add(time.Millisecond)
	p.ObserveAnswer("s1")
	is.True(p.MayReuse("s1"))
	is.Equal(p.State("s1"), Broken)
}

// TestBoundRequestBlamesNoServerWithoutAVerdict guards against a server that counts as down for a request
// which the boxes that might reach it may not pass on.
func TestBoundRequestBlamesNoServerWithoutAVerdict(t *testing.T) {
	for name, failure := range map[string]error{"hangs": errHangs, "refuses": refused} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &world{direct: map[string]error{"s1": failure, "s2": failure}, through: map[string]error{"far": errHangs}}
			_, err := w.dialer().Dial(t.Context(), Target{Address: "s1", Region: "west", Bound: true})
			is.True(IsNoPath(err))
			is.Equal(w.asked, []string{"far"})
		})
	}
}
