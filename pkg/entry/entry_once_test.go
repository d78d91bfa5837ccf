package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/admission"
	"github.com/stoneworks/stoneworks/pkg/decide"
	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/idempotency"
	"github.com/stoneworks/stoneworks/pkg/logging"
	"github.com/stoneworks/stoneworks/pkg/membership"
	"github.com/stoneworks/stoneworks/pkg/model"
	"github.com/stoneworks/stoneworks/pkg/outcome"
	"github.com/stoneworks/stoneworks/pkg/topology"
)

// newOwner returns the handler of a box that owns all keys and has one backend server, and that
// server's route.
func newOwner(t *testing.T, serve http.HandlerFunc) (*Handler, *decide.Snapshot) {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	gate := admission.NewGate(time.Now, 0)
	gate.Update([]admission.ServerConfig{{Name: "a", Address: address, Share: 1}})
	pool := exchange.NewPool(address, 1, func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	})
	table := idempotency.NewTable(10, time.Minute, func() time.Duration { return time.Second })
	snapshot := decide.NewSnapshot(decide.Input{
		Self: "box", Zone: "dakar-a", Topology: topology.New([]topology.Zone{{Zone: "dakar-a", Region: "dakar"}}, nil),
		Members: []membership.Member{{State: membership.Live, Record: membership.Record{Box: "box", Zone: "dakar-a", Ready: true,
			Load: []membership.ServiceLoad{{Service: "s", Share: 1}}}}},
		Services: []decide.ServiceInput{{Spec: &model.Service{Name: "s", BackendServers: []model.BackendServer{
			{Name: "a", Address: address, Zone: "dakar-a", Slots: 1}}}, Revision: 1}},
	})
	return &Handler{
		Self: "box", Now: time.Now, BufferedBody: 1 << 10,
		Log:        logging.For(logging.New(logging.NewAsyncJSONHandler(io.Discard), logging.ParseLevel("error")), "test"),
		Gate:       func(string) *admission.Gate { return gate },
		ServerPool: func(string, int) *exchange.Pool { return pool },
		MaySend:    func() bool { return true }, Budget: NewBudget(), Classify: Classify, Begin: table.Begin,
		CountBucket: func(string, string, int) {},
	}, snapshot
}

// TestStreamedBodiesUnderOneKeyAreCompared checks that a request whose body is streamed gets the
// answer of an earlier request with its key only if the bodies are equal, and not merely as long.
func TestStreamedBodiesUnderOneKeyAreCompared(t *testing.T) {
	is := is.New(t)
	e, snapshot := newOwner(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			c, _, err := http.NewResponseController(w).Hijack()
			is.NoErr(err)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write([]byte("took " + string(body[:1])))
	})
	send := func(key, path, body string, length int) (*Answer, *outcome.Failure) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		var reader io.Reader = strings.NewReader(body)
		abort := func() {}
		if path == "/early" {
			// The server answers before the body has been read.
			unread, rest := io.Pipe()
			reader, abort = io.MultiReader(strings.NewReader(body), unread), func() { _ = rest.Close() }
		}
		r := &Request{
			ctx: ctx, ID: "id", Service: "s", Method: "POST", Path: path, Key: key, Deadline: time.Now().Add(2 * time.Second),
			view: snapshot.Services["s"], snapshot: snapshot, raw: rawHeaders{header: &fasthttp.RequestHeader{}},
			body: &requestBody{stream: reader, length: length, abort: abort},
		}
		return e.runOwned(r, idempotency.Ticket{})
	}
	one, other := strings.Repeat("a", 4<<10), strings.Repeat("b", 4<<10)
	for key, length := range map[string]int{"sized": len(one), "chunked": -1} {
		for range 2 {
			a, failure := send(key, "/", one, length)
			is.True(failure == nil)
			is.True(bytes.Equal(a.Body, []byte("took a")))
		}
		_, failure := send(key, "/", other, length)
		is.True(failure != nil)
		is.Equal(failure.Reason, outcome.ReasonBadRequest)
		is.Equal(failure.Outcome, outcome.Unknown)
	}
	_, failure := send("early", "/early", strings.Repeat("a", 64<<10), 128<<10)
	is.True(failure == nil)
	_, failure = send("early", "/early", strings.Repeat("b", 64<<10), 128<<10)
	is.True(failure != nil)
	is.Equal(failure.Reason, outcome.ReasonAnswerNotKept)
}
