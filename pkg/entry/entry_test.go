package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// TestClassify checks that the outcome is "not run" only if no byte was handed to the
// network.
func TestClassify(t *testing.T) {
	is := is.New(t)
	lost := errors.New("lost")
	for _, c := range []struct {
		err     error
		outcome outcome.Outcome
		reason  outcome.Reason
	}{
		{&exchange.Error{Stage: exchange.StageConnect, Cause: lost}, outcome.NotRun, outcome.ReasonConnect},
		{&exchange.Error{Stage: exchange.StageSend, Cause: context.DeadlineExceeded}, outcome.NotRun, outcome.ReasonDeadline},
		{&exchange.Error{Stage: exchange.StageSend, Sent: true, Cause: lost}, outcome.Unknown, outcome.ReasonConnectionLost},
		{&exchange.Error{Stage: exchange.StageHeader, Sent: true, Cause: context.DeadlineExceeded}, outcome.Unknown, outcome.ReasonTimeout},
		{&exchange.Error{Stage: exchange.StageHeader, Sent: true, Cause: &exchange.FramingError{}}, outcome.Unknown, outcome.ReasonMalformed},
		{&exchange.Error{Stage: exchange.StageBody, Sent: true, Cause: lost}, outcome.Unknown, outcome.ReasonTruncated},
		{lost, outcome.Unknown, outcome.ReasonTruncated},
	} {
		f := Classify(c.err)
		is.Equal(f.Outcome, c.outcome)
		is.Equal(f.Reason, c.reason)
	}
}

// TestUnknownOutcomeSurvivesRefusal guards against a refusal by the second box that hides
// that the first one may have run the request.
func TestUnknownOutcomeSurvivesRefusal(t *testing.T) {
	is := is.New(t)
	unknown := outcome.NewUnknown(outcome.ReasonConnectionLost, "")
	refused := outcome.NewNotRun(outcome.ReasonNoCapacity, "")
	is.Equal(combineFailures(unknown, refused), unknown)
	is.Equal(combineFailures(refused, unknown), unknown)
	is.Equal(combineFailures(nil, refused), refused)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget()
	for range retryReserve {
		is.True(b.Take("s"))
	}
	is.True(!b.Take("s"))
	for range 5 {
		b.Success("s")
	}
	is.True(b.Take("s"))
	is.True(!b.Take("s"))
	is.True(b.Take("other"))
}

func FuzzParseTarget(f *testing.F) {
	f.Add("/s/preview/track/1?x=2")
	f.Add("/s/preview?x")
	f.Fuzz(func(t *testing.T, uri string) {
		r := &Request{}
		if failure := r.parseTarget(uri); failure == nil && (r.Service == "" || r.Path[0] != '/') {
			t.Fatalf("%q: %q %q", uri, r.Service, r.Path)
		}
	})
}

// TestPanicReleasesSlot checks that a panic after admission releases the slot.
func TestPanicReleasesSlot(t *testing.T) {
	is := is.New(t)
	gate := admission.NewGate(time.Now, 0)
	gate.Update([]admission.ServerConfig{{Name: "a", Share: 1}})
	permit, failure := gate.Acquire(context.Background(), admission.Request{})
	is.True(failure == nil)
	e := &Entry{MaySend: func() bool { panic("fault") }}
	func() {
		defer func() { is.True(recover() != nil) }()
		_, _ = e.send(&Request{}, permit)
	}()
	is.True(gate.HasFree())
}

// brokenReader fails as the body of a request with invalid framing does.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("invalid framing") }

// TestBrokenUploadDoesNotEjectServer guards against interrupted uploads that
// count as failures of the backend server and eject it.
func TestBrokenUploadDoesNotEjectServer(t *testing.T) {
	is := is.New(t)
	gate := admission.NewGate(time.Now, 0)
	gate.Update([]admission.ServerConfig{{Name: "a", Share: 1}, {Name: "b", Share: 1}})
	gate.After = func(_ time.Duration, do func()) { do() }
	e := &Entry{Classify: Classify}
	for range 10 {
		permit, failure := gate.Acquire(context.Background(), admission.Request{})
		is.True(failure == nil)
		body := &requestBody{stream: brokenReader{}, length: -1, abort: func() {}}
		_, err := body.Read(nil)
		is.True(err != nil)
		f := e.exchangeFailure(&Request{body: body}, permit, &exchange.Error{Stage: exchange.StageHeader, Sent: true, Cause: err})
		is.Equal(f.Outcome, outcome.Unknown)
		is.Equal(f.Reason, outcome.ReasonBadRequest)
	}
	for _, s := range gate.Status() {
		is.True(!s.Ejected)
	}
	aborted := &requestBody{stream: brokenReader{}, abort: func() {}}
	aborted.interrupt()
	_, _ = aborted.Read(nil)
	is.True(!aborted.broken.Load())
}

// TestServerIsNotOverusedAfterTimeouts checks that a server with one slot, which
// detects a closed connection only after a delay, never runs two requests.
func TestServerIsNotOverusedAfterTimeouts(t *testing.T) {
	is := is.New(t)
	server := &slowDisconnectServer{detectDelay: 10 * time.Millisecond}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go server.serve(l)
	gate := admission.NewGate(time.Now, 0)
	gate.Update([]admission.ServerConfig{{Name: "a", Address: l.Addr().String(), Share: 1}})
	pool := exchange.NewPool(l.Addr().String(), 1, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	})
	e := &Entry{
		Now: time.Now, Log: logging.For(logging.New(logging.NewAsyncJSONHandler(io.Discard), logging.ParseLevel("error")), "test"),
		Gate:       func(string) *admission.Gate { return gate },
		ServerPool: func(string, int) *exchange.Pool { return pool },
		MaySend:    func() bool { return true }, Budget: NewBudget(), Classify: Classify,
	}
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		r := &Request{ctx: ctx, ID: "id", Service: "s", Method: "GET", Path: "/", Deadline: time.Now().Add(10 * time.Millisecond), view: &decide.ServiceView{}, body: &requestBody{}, raw: rawHeaders{header: &fasthttp.RequestHeader{}}}
		_, failure := e.serveLocally(r, "")
		is.True(failure != nil)
		cancel()
	}
	is.True(server.total.Load() > 1)
	is.Equal(server.peak.Load(), int64(1))
}

// slowDisconnectServer is a server that runs a request until its client closes the
// connection, and then for detectDelay longer.
type slowDisconnectServer struct {
	detectDelay       time.Duration
	busy, peak, total atomic.Int64
}

func (s *slowDisconnectServer) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			buffer := make([]byte, 4096)
			if n, _ := c.Read(buffer); n == 0 {
				return
			}
			s.total.Add(1)
			busy := s.busy.Add(1)
			defer s.busy.Add(-1)
			for old := s.peak.Load(); busy > old && !s.peak.CompareAndSwap(old, busy); old = s.peak.Load() {
			}
			_, _ = c.Read(buffer)
			time.Sleep(s.detectDelay)
		}()
	}
}
