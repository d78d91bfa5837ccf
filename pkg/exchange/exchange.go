// Package exchange sends one request over one connection and reads one answer.
//
// It is the layer that knows what can be said of a request that failed: an
// *Error tells whether any byte of the request was handed to the network. It
// never sends anything twice. A connection carries one exchange at a time and
// is used again only if that exchange ended whole on both sides; a timeout, a
// cancellation or a fault of framing closes it, so a late answer can never be
// taken for the answer to another request.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Stage is how far an exchange had come when it failed.
type Stage string

// The stages of an exchange.
const (
	StageConnect Stage = "connect"
	StageSend    Stage = "send"
	StageHeader  Stage = "header"
	StageBody    Stage = "body"
)

// Error is an exchange that failed.
type Error struct {
	Stage Stage
	// Sent is true if any byte of the request may have left this process.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange failed at %s (sent=%t): %v", e.Stage, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ClosedUnanswered reports whether an exchange failed since the other side closed the
// connection, or reset it, without a byte of an answer.
func ClosedUnanswered(err error) bool {
	var x *Error
	if !errors.As(err, &x) || x.Stage != StageHeader {
		return false
	}
	return errors.Is(x.Cause, io.EOF) || errors.Is(x.Cause, syscall.ECONNRESET) || errors.Is(x.Cause, syscall.EPIPE)
}

// FramingError says that an answer's body does not fit its framing.
type FramingError struct {
	Detail string
}

// Error implements error.
func (e *FramingError) Error() string { return "framing: " + e.Detail }

// Request is a request to send.
type Request struct {
	// Header has its body framing set by Do.
	Header *fasthttp.RequestHeader
	// Body is the whole body; or Stream is, with its Length, -1 if unknown.
	Body   []byte
	Stream io.Reader
	Length int
	// AbortStream makes a Read of Stream return at once; it is called when
	// the exchange ends before the whole stream was sent.
	AbortStream func()
	// MaxIdle is the longest time for which a connection that is used again
	// may have been idle. The other side may just be closing it.
	MaxIdle time.Duration
	// NonIdempotent: the request may run only once, so that it must not meet a
	// connection that the peer has closed without a word; see IdleLimit.
	NonIdempotent bool
	// Match reports whether an answer belongs to this request; nil takes any.
	// An answer that does not is read to its end and left out.
	Match func(*fasthttp.ResponseHeader) bool
	// MaySend reports whether the request is still to be sent, once there is a
	// connection, which may have taken a while; nil means that it is.
	MaySend func() bool
}

// WithdrawnError says that a request was no longer to be sent.
type WithdrawnError struct{}

// Error implements error.
func (e *WithdrawnError) Error() string { return "no longer to be sent" }

// Answer is an answer whose header has been read.
type Answer struct {
	Header fasthttp.ResponseHeader
	// Body must be read to its end or closed.
	Body io.ReadCloser
	// Length is the body's length, -1 if it is not known before its end.
	Length int
	// Reused is true if the connection had carried an exchange before.
	Reused bool
}

// Pool holds the connections to one address.
type Pool struct {
	Address string
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdleConns bounds the connections kept for another exchange.
	MaxIdleConns int
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Idle learns for how long connections may rest; nil learns nothing.
	Idle *IdleLimit
	// Reusable reports whether a connection may carry another exchange after
	// one that ended so; Quiet whether it is still fit for it later. Both are
	// seams for tests.
	Reusable    func(End) bool
	StillUsable func(net.Conn) bool

	mu     sync.Mutex
	idle   []*connection
	closed bool
}

// End is how an exchange ended, as far as its connection is concerned.
type End struct {
	// Complete: request and answer both went through to their last byte.
	Complete bool
	// CloseAnnounced: the other side announced that it closes.
	CloseAnnounced bool
	// Interrupted: the context ended before the exchange did.
	Interrupted bool
	// Leftover: bytes followed the answer that nobody asked for.
	Leftover bool
}

func reusable(e End) bool {
	return e.Complete && !e.CloseAnnounced && !e.Interrupted && !e.Leftover
}

// NewPool makes an empty pool.
func NewPool(address string, maxIdle int, dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{
		Address:      address,
		Dial:         dial,
		Now:          time.Now,
		MaxIdleConns: maxIdle,
		Reusable:     reusable,
		StillUsable:  stillUsable,
	}
}

// connection is a connection with its reader and writer.
type connection struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	written   int64
	idleSince time.Time
	// keepAlive is for how long the other side keeps the connection idle, 0
	// if it did not say.
	keepAlive time.Duration
	// reused: it has carried an exchange before, and then rested for rested.
	reused  bool
	idleFor time.Duration
}

// keepAliveMargin is how much sooner than the other side this side gives an
// idle connection up, so that no request meets its closing.
const keepAliveMargin = time.Second

// fresh reports whether the connection may be used again after its idle time.
func (c *connection) fresh(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if c.keepAlive > 0 && idle > c.keepAlive-keepAliveMargin {
		return false
	}
	return idle <= maxIdle
}

// Write counts the bytes handed to the network.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// reset closes the connection and drops what it still holds. A cut link may hold a
// request for seconds, and a connection that is only closed delivers it when the cut has
// healed: to a server that has left meanwhile, long after its leaving was known.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that is closed already has nothing to drop.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Close closes the pool's idle connections; those in use close at their end.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Conn.Close()
	}
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, maxIdle time.Duration) (*connection, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if c.fresh(p.Now(), maxIdle) && p.StillUsable(c.Conn) {
			c.reused = true
			c.idleFor = p.Now().Sub(c.idleSince)
			c.written = 0
			return c, nil
		}
		_ = c.Conn.Close()
	}
	conn, err := p.Dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	return newConnection(conn), nil
}

// Probe opens a connection and keeps it for another exchange. The error says why none came
// up.
func (p *Pool) Probe(ctx context.Context) error {
	conn, err := p.Dial(ctx, p.Address)
	if err != nil {
		return err
	}
	p.put(newConnection(conn))
	return nil
}

func newConnection(conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.r = bufio.NewReaderSize(conn, 16<<10)
	c.w = bufio.NewWriterSize(c, 4<<10)
	return c
}

func (p *Pool) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) put(c *connection) {
	_ = c.SetDeadline(time.Time{})
	c.idleSince = p.Now()
	p.mu.Lock()
	if !p.closed && len(p.idle) < p.MaxIdleConns {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.Conn.Close()
}
