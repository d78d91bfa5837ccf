// Package pipeline serves pipelined requests: those that a client sends before the previous
// one has been answered.
//
// net/http serves the requests of a connection one after the other, and detects that a client
// has left by reading one byte past the request that it serves. If that byte belongs to
// another request, it reads no further. Conn continues reading in its place, so that a
// client's requests are cancelled when it leaves, whatever it has sent after them. Requests
// that may be repeated are also served concurrently, so that none waits for the servers of
// earlier ones. net/http still reads the requests, and receives their answers, in order.
package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"

	"github.com/stoneworks/stoneworks/pkg/heads"
)

// Handler serves the requests of wrapped connections. All fields are required.
type Handler struct {
	// Next serves a request.
	Next http.Handler
	// MayServeAhead reports whether a request may be served while earlier ones are still being
	// served, and later ones while it is.
	MayServeAhead func(r *http.Request) bool
	// Count counts an event.
	Count func(name string)
	// Heads counts what requests take that are read before their turn.
	Heads *heads.Account
}

// Wrap wraps a client's connection before net/http serves it.
func (h *Handler) Wrap(c net.Conn) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{Conn: c, handler: h, context: ctx, cancel: cancel}
}

type (
	connKey   struct{}
	answerKey struct{}
)

// MayClose reports whether the answer to the request of a context may close its connection: not
// if later requests of the connection are being served already, since their answers would be
// lost. If it returns true, none of them begins while the request is served.
func MayClose(ctx context.Context) bool {
	c, isWrapped := ctx.Value(connKey{}).(*Conn)
	if !isWrapped {
		return true
	}
	a, _ := ctx.Value(answerKey{}).(*answer)
	return c.mayClose(a)
}

// ConnContext adds the connection to the context of its requests. It is meant for the field of
// http.Server of that name.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

type firstKey struct{}

// IsFirst reports whether the request is the first one of its connection.
func IsFirst(r *http.Request) bool { return r.Context().Value(firstKey{}) != nil }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, isWrapped := r.Context().Value(connKey{}).(*Conn)
	if !isWrapped {
		h.Next.ServeHTTP(w, r)
		return
	}
	ctx, cancel := c.clientContext(r.Context())
	defer cancel()
	r = r.WithContext(ctx)
	if !c.begun {
		// net/http serves the requests of a connection one after the other.
		c.begun = true
		r = r.WithContext(context.WithValue(r.Context(), firstKey{}, true))
	}
	a := c.takeAhead(r)
	if a != nil || isPlain(r) && h.MayServeAhead(r) {
		c.allowAhead()
		defer c.forbidAhead()
	}
	if a != nil {
		defer a.endUse()
		a.deliver(w)
		return
	}
	h.Next.ServeHTTP(w, r)
}

// isPlain reports whether a request has no body and does not change its connection.
func isPlain(r *http.Request) bool {
	return r.Method == http.MethodGet && r.ContentLength == 0 && r.ProtoAtLeast(1, 1) && !r.Close && r.Host != "" && r.Header.Get("Expect") == ""
}

// begin starts serving a request ahead. It returns nil if the request may not be served ahead.
func (h *Handler) begin(c *Conn, head []byte) *answer {
	size := aheadSize + heads.Size(head)
	if !h.Heads.Grow(0, size) {
		return nil
	}
	release := func() { h.Heads.Release(size) }
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || !isPlain(r) || !h.MayServeAhead(r) {
		// net/http reports what is wrong with the request.
		release()
		return nil
	}
	h.Count("pipeline.ahead")
	a := &answer{header: http.Header{}, done: make(chan struct{}), turn: make(chan struct{}), release: release}
	a.users.Store(2)
	ctx := context.WithValue(ConnContext(c.context, c), answerKey{}, a)
	a.request = r.WithContext(ctx)
	go a.run(h.Next)
	return a
}

// nextHead returns the header of a request without a body at the start of data, nil if there
// is none or it is incomplete.
func nextHead(data []byte) []byte {
	f := &framing{}
	n := f.advance(data)
	if !f.betweenRequests() || n == 0 || headerEnd(data) != n {
		return nil
	}
	return bytes.Clone(data[:n])
}
