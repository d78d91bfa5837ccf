package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"

	"github.com/stoneworks/stoneworks/pkg/exchange"
)

const (
	// maxPending bounds, in bytes, what is read of a connection beyond the request that is
	// being served. That a client has left is not detected before its request is answered if
	// the client has sent more.
	maxPending = 16 << 10
	// readSize is how many bytes are read at a time from a connection that carries further
	// requests.
	readSize = 4 << 10
	// maxAhead bounds the requests of a connection that are served ahead.
	maxAhead = 8
	// aheadSize is what a request that is served ahead takes of memory besides its head, in bytes.
	aheadSize = 16 << 10
	// pendingSize is what a connection takes of memory while it is read beyond the request that is
	// being served, in bytes.
	pendingSize = 2*maxPending + readSize
)

// Conn is a client's connection as net/http reads it. Reads return no byte of a request before
// the previous one has been read whole.
type Conn struct {
	net.Conn
	handler *Handler
	// context ends when the client leaves or the connection is closed.
	context context.Context
	cancel  context.CancelFunc
	// begun is set once the first request is being served.
	begun bool

	mu      sync.Mutex
	framing framing
	// pending holds the bytes that follow the request being read or served. The requests in
	// its first aheadBytes bytes are served ahead; their answers are in ahead, in order.
	pending    []byte
	aheadBytes int
	ahead      []*answer
	// pendingSize is what is counted of memory for pending.
	pendingSize int64
	// aheadAllowed is set if requests after the one being served may be served too.
	aheadAllowed bool
	// failure is the error that ended the connection's stream.
	failure error
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.cancelAhead()
	c.dropPending()
	c.mu.Unlock()
	return c.Conn.Close()
}

// clientContext returns a context with the values of another one that ends when the client leaves.
// A context of net/http also ends when a read deadline that this side has set passes.
func (c *Conn) clientContext(values context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(values))
	stop := context.AfterFunc(c.context, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// cancelAhead cancels the requests that are served ahead.
func (c *Conn) cancelAhead() {
	c.cancel()
	c.aheadAllowed = false
	for _, a := range c.ahead {
		a.endUse()
	}
	c.ahead = nil
}

// dropPending drops the bytes that follow the current request.
func (c *Conn) dropPending() {
	c.pending = nil
	c.releasePending()
}

// reservePending reports whether there is memory to read beyond the request that is being served.
func (c *Conn) reservePending() (ok bool) {
	if c.pendingSize > 0 {
		return true
	}
	if ok = c.handler.Heads.Grow(0, pendingSize); ok {
		c.pendingSize = pendingSize
	}
	return ok
}

func (c *Conn) releasePending() {
	c.handler.Heads.Release(c.pendingSize)
	c.pendingSize = 0
}

// EndRequests ends the requests of a connection: what is still read of it is discarded and not kept.
// It reports whether none is being served ahead, whose place an answer would take.
func (c *Conn) EndRequests() (mayAnswer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mayAnswer = len(c.ahead) == 0
	c.cancelAhead()
	c.dropPending()
	c.framing = framing{opaque: true}
	return mayAnswer
}

// CloseWrite closes the writing side before the connection is closed, since a client that is
// still sending must not lose its answer to a reset. net/http looks for this method.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets the option of the connection, see net.TCPConn.
func (c *Conn) SetLinger(seconds int) error { return exchange.SetLinger(c.Conn, seconds) }

// Quiet reports whether the connection is open and nothing has arrived that was not handed out.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	isRead := c.failure == nil && len(c.pending) == 0
	c.mu.Unlock()
	return isRead && exchange.StillUsable(c.Conn)
}

// Read implements net.Conn. net/http calls it from one goroutine at a time.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	isBetween, held, failure := c.framing.betweenRequests(), len(c.pending), c.failure
	c.mu.Unlock()
	switch {
	case failure != nil:
		return 0, failure
	case len(p) == 1 && isBetween:
		// net/http reads a single byte here only to detect that the client leaves; to begin a
		// request it reads as much as fits its buffer.
		return c.watchForClose(p)
	case held > 0:
		return c.handOut(p), nil
	}
	n, err := c.Conn.Read(p)
	return c.keepPending(p[:n]), c.noteError(err)
}

// keepPending stores the bytes that follow the current request, and returns how many belong to
// it.
func (c *Conn) keepPending(data []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.framing.advance(data)
	if own < len(data) {
		c.pending = append(c.pending[:0], data[own:]...)
	}
	return own
}

// handOut returns pending bytes of the next request.
func (c *Conn) handOut(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.pending)
	n = c.framing.advance(p[:n])
	c.pending = c.pending[:copy(c.pending, c.pending[n:])]
	c.aheadBytes = max(0, c.aheadBytes-n)
	if len(c.pending) == 0 {
		c.dropPending()
	}
	return n
}

// watchForClose reads until the client leaves, or until net/http stops it by a deadline. It
// returns a byte only when no more may be held.
func (c *Conn) watchForClose(p []byte) (int, error) {
	chunk := p
	for {
		c.mu.Lock()
		held := len(c.pending)
		mayRead := held < maxPending && (held == 0 || c.reservePending())
		c.mu.Unlock()
		if !mayRead {
			return c.handOut(p), nil
		}
		if held > 0 && len(chunk) == 1 {
			chunk = make([]byte, readSize)
		}
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.pending = append(c.pending, chunk[:n]...)
		c.startAhead()
		c.mu.Unlock()
		if err != nil {
			return 0, c.noteError(err)
		}
	}
}

// noteError stores an error that ends the stream, and returns it. An exceeded deadline does
// not end the stream.
func (c *Conn) noteError(err error) error {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		c.failure = err
		c.dropPending()
		c.cancelAhead()
		c.mu.Unlock()
	}
	return err
}

// ----------------------------------------------------------------
// Serving ahead
// ----------------------------------------------------------------

// allowAhead lets requests after the one being served be served too; forbidAhead ends that.
func (c *Conn) allowAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aheadAllowed = c.context.Err() == nil
	c.startAhead()
}

func (c *Conn) forbidAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aheadAllowed = false
}

// mayClose reports whether no request after the one with the answer a is being served, and lets
// none begin before the connection's next turn. a is nil for the request that net/http has read.
func (c *Conn) mayClose(a *answer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := a
	if n := len(c.ahead); n > 0 {
		last = c.ahead[n-1]
	}
	if last != a {
		return false
	}
	c.aheadAllowed = false
	return true
}

// startAhead starts serving the requests that have arrived whole, up to the first that may not
// be served ahead.
func (c *Conn) startAhead() {
	for c.aheadAllowed && len(c.ahead) < maxAhead {
		head := nextHead(c.pending[c.aheadBytes:])
		if head == nil {
			return
		}
		a := c.handler.begin(c, head)
		if a == nil {
			return
		}
		c.aheadBytes += len(head)
		c.ahead = append(c.ahead, a)
	}
}

// takeAhead returns the answer to a request that was served ahead, nil if it was not.
func (c *Conn) takeAhead(r *http.Request) *answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return nil
	}
	a := c.ahead[0]
	if !a.isTo(r) {
		// net/http has read a different request than framing has found.
		c.handler.Count("pipeline.mismatch")
		c.cancelAhead()
		return nil
	}
	c.ahead = slices.Delete(c.ahead, 0, 1) // also clears the place that the answer had
	return a
}
