// Package pipeline serves requests that clients send before the answer to the one before has come.
//
// net/http serves a connection's requests one after the other, and notices a client's leaving by
// reading one byte behind the request that it serves. If that byte belongs to a next request, it
// looks no further. Conn reads on in its place, so that a client's leaving ends its requests
// whatever it has sent behind them; and requests that may be repeated are served at the same time,
// so that none waits for the servers of those in front of it. net/http reads them as ever, and
// gets their answers in its order.
package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Handler serves the requests of wrapped connections. All fields are needed.
type Handler struct {
	// Next serves a request.
	Next http.Handler
	// MayServeAhead reports whether a request may be served while those in front of it are, and
	// those behind it while it is.
	MayServeAhead func(r *http.Request) bool
	// Count counts an event.
	Count func(name string)

	running atomic.Int64
}

// Running returns how many requests are served ahead of the one that their connection answers.
func (h *Handler) Running() int64 { return h.running.Load() }

// Wrap wraps a client's connection before net/http serves it.
func (h *Handler) Wrap(c net.Conn) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &Conn{Conn: c, handler: h, context: ctx, cancel: cancel}
}

type connKey struct{}

// ConnContext gives requests their connection; it is for http.Server's field of that name.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, isWrapped := r.Context().Value(connKey{}).(*Conn)
	if !isWrapped {
		h.Next.ServeHTTP(w, r)
		return
	}
	a := c.takeAhead(r)
	if a != nil || isPlain(r) && h.MayServeAhead(r) {
		c.allowAhead()
		defer c.forbidAhead()
	}
	if a != nil {
		a.deliver(w)
		return
	}
	h.Next.ServeHTTP(w, r)
}

// isPlain reports whether a request has no body and leaves its connection as it is.
func isPlain(r *http.Request) bool {
	return r.Method == http.MethodGet && r.ContentLength == 0 && r.ProtoAtLeast(1, 1) && !r.Close && r.Host != "" && r.Header.Get("Expect") == ""
}

// begin serves a request ahead. It returns nil if it may not be.
func (h *Handler) begin(ctx context.Context, head []byte) *answer {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || !isPlain(r) || !h.MayServeAhead(r) {
		// net/http says what is wrong with it.
		return nil
	}
	h.running.Add(1)
	h.Count("pipeline.ahead")
	a := newAnswer(r.WithContext(ctx))
	go a.run(h.Next)
	return a
}

// nextHead returns the header of a request without a body that data begins with, nil if there is
// none or not all of it.
func nextHead(data []byte) []byte {
	f := &framing{}
	n := f.advance(data)
	if !f.isBetween() || n == 0 || headerEnd(data) != n {
		return nil
	}
	return bytes.Clone(data[:n])
}
