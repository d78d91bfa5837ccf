// Package graceful closes HTTP servers without dropping requests.
//
// net/http's Shutdown closes a connection as soon as no request is being served on it. A request
// that has arrived and has not been read gets no answer then, and neither does one whose
// connection was accepted just before. Connections closes a connection only after the answer to
// a request that has arrived, or with an answer that tells the client that no request has been
// read.
package graceful

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoneworks/stoneworks/pkg/heads"
)

const (
	// firstRequestTime is how long Close waits for the first request of a connection.
	firstRequestTime = time.Second
	// lingerTime is how long a connection is read after its last answer, so that bytes that are
	// under way do not make the kernel reset it, which could discard the answer.
	lingerTime = 500 * time.Millisecond
	// closePoll is how often Close checks whether all connections are closed.
	closePoll = 5 * time.Millisecond
)

// Connections holds the open connections of HTTP servers. Each server is passed to Attach before it
// starts, and each connection to Wrap before its server gets it.
type Connections struct {
	// ObserveFirstByte is called with the time from a connection's start to its first byte.
	ObserveFirstByte func(d time.Duration)
	// OnUnanswered is called when this side closes a connection on which a part of a request,
	// or all of it, has been read and no byte has been written since.
	OnUnanswered func(u Unanswered)
	// Heads counts what the heads of requests take of memory. A request for whose head there is none
	// is refused, and its connection closed.
	Heads *heads.Account

	mu   sync.Mutex
	open map[*Conn]struct{}
	// closing is set once Close was called.
	closing bool
	// lingering are the connections that are read on after their last answer.
	lingering conc.WaitGroup
}

// Unanswered describes a connection that was closed with a request on it that got no answer.
type Unanswered struct {
	// Age is the time since the connection was accepted, FirstByte the time from then to its
	// first byte, and LastByte the time since its last byte.
	Age, FirstByte, LastByte time.Duration
	// Bytes is how many bytes of the request were read.
	Bytes int
}

// New returns an empty set of connections that reports nothing.
func New() *Connections {
	return &Connections{
		ObserveFirstByte: func(time.Duration) {}, OnUnanswered: func(Unanswered) {}, Heads: &heads.Account{}, open: map[*Conn]struct{}{},
	}
}

// Attach makes a server report what happens on its connections, all of which come from Wrap.
// The server's own ConnContext is called with the connection that Wrap was called with.
func (g *Connections) Attach(s *http.Server) {
	next, inner := s.Handler, s.ConnContext
	s.ConnState = g.follow
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		own, ok := c.(*Conn)
		if !ok {
			return ctx
		}
		if inner != nil {
			ctx = inner(ctx, own.Conn)
		}
		return context.WithValue(ctx, connKey{}, own)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if own, ok := r.Context().Value(connKey{}).(*Conn); ok && !own.beginServing() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// Wrap adds a connection that has been accepted.
func (g *Connections) Wrap(c net.Conn) *Conn {
	own := &Conn{Conn: c, group: g, accepted: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[own] = struct{}{}
	return own
}

// follow follows the state of a connection.
func (g *Connections) follow(c net.Conn, state http.ConnState) {
	own, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		own.becomeIdle()
		if g.isClosing() {
			own.interrupt(false)
		}
	case http.StateHijacked:
		own.becomeHijacked()
		g.remove(own)
	}
}

// Len returns how many connections are open.
func (g *Connections) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.open)
}

func (g *Connections) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, c)
}

func (g *Connections) isClosing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closing
}

func (g *Connections) list() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*Conn, 0, len(g.open))
	for c := range g.open {
		list = append(list, c)
	}
	return list
}

// Close closes connections as soon as no request is on them, and returns when all are closed or
// the context ends, whose deadline it needs. Requests that still arrive are served; their
// handler decides how. A connection on which no request has begun is kept for a while, since a
// client usually opens one to send a request.
func (g *Connections) Close(ctx context.Context) {
	g.mu.Lock()
	g.closing = true
	g.mu.Unlock()
	started := time.Now()
	until := started.Add(firstRequestTime)
	if deadline, ok := ctx.Deadline(); ok && deadline.Add(-lingerTime).Before(until) {
		until = deadline.Add(-lingerTime)
	}
	g.interrupt(false)
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	for isLate := false; g.Len() > 0; {
		if !isLate && !time.Now().Before(until) {
			isLate = true
			g.interrupt(true)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// interrupt closes the connections that are idle now. Those that become idle later are closed by
// follow.
func (g *Connections) interrupt(withNew bool) {
	for _, c := range g.list() {
		c.interrupt(withNew)
	}
}
