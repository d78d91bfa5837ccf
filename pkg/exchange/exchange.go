// Package exchange sends one request over one connection and reads one answer.
//
// It determines what is known of a failed request: an *Error states whether any byte of the
// request was handed to the network. Package exchange never sends anything twice. A connection
// carries one exchange at a time and is reused only if that exchange was completed on both
// sides. A timeout, a cancellation or a framing error closes it, so that a late answer can
// never be taken for the answer to another request.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Stage is the stage of an exchange at which it failed.
type Stage string

// The stages of an exchange.
const (
	StageConnect Stage = "connect"
	StageSend    Stage = "send"
	StageHeader  Stage = "header"
	StageBody    Stage = "body"
)

// Error is the error of a failed exchange.
type Error struct {
	Stage Stage
	// Sent is true if any byte of the request may have left this process.
	Sent  bool
	Cause error
	// Via is the name of the box through which the connection went, "" if it was direct.
	Via string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("exchange failed at %s (sent=%t): %v", e.Stage, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ClosedUnanswered reports whether an exchange failed because the peer closed or reset the
// connection without sending a byte of an answer.
func ClosedUnanswered(err error) bool {
	var x *Error
	if !errors.As(err, &x) || x.Stage != StageHeader {
		return false
	}
	return errors.Is(x.Cause, io.EOF) || errors.Is(x.Cause, syscall.ECONNRESET) || errors.Is(x.Cause, syscall.EPIPE)
}

// FramingError is the error of bytes that are not an answer in the grammar of HTTP/1.1.
type FramingError struct {
	// Detail describes the violation. It does not hold values of fields, which may be secrets.
	Detail string
}

// Error implements error.
func (e *FramingError) Error() string { return "framing: " + e.Detail }

// Request is a request to send.
type Request struct {
	// Header is the request's header. Do sets its body framing.
	Header *fasthttp.RequestHeader
	// Body is the whole body. Alternatively, Stream is the body and Length its length, -1 if
	// unknown.
	Body   []byte
	Stream io.Reader
	Length int
	// AbortStream makes a Read of Stream return at once. It is called when the exchange ends
	// before the whole stream was sent.
	AbortStream func()
	// FinishStream reports whether the rest of Stream is to be sent although the answer with that
	// header has begun; nil means that it is not.
	FinishStream func(*fasthttp.ResponseHeader) bool
	// MaxIdle is the longest time for which a reused connection may have been idle. The peer
	// may be about to close it.
	MaxIdle time.Duration
	// NonIdempotent is set if the request may run only once, so that it must not be sent on a
	// connection that the peer has closed without notice; see IdleLimit.
	NonIdempotent bool
	// Match reports whether an answer belongs to this request; nil accepts any. An answer that
	// does not match is read to its end and discarded.
	Match func(*fasthttp.ResponseHeader) bool
	// MaySend reports, once there is a connection, whether the request may still be sent,
	// since connecting may have taken a while; nil means that it may.
	MaySend func() bool
	// Restriction limits the connections that may carry the request; nil allows any.
	Restriction *Restriction
}

// Restriction limits the connections that may carry a request. All fields are required.
type Restriction struct {
	// Allows reports whether a connection may carry the request.
	Allows func(net.Conn) bool
	// Dial opens a connection that may, in place of the pool's Dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// RestrictionError is the error of a request that was not sent, since its restriction does not allow
// the connection that was opened for it.
type RestrictionError struct {
	// Via is the name of the box through which the connection went, "" if it was direct.
	Via string
}

// Error implements error.
func (e *RestrictionError) Error() string {
	return fmt.Sprintf("the request must not use a connection through %q", e.Via)
}

// WithdrawnError is the error of a request that was no longer to be sent.
type WithdrawnError struct{}

// Error implements error.
func (e *WithdrawnError) Error() string { return "request was withdrawn before it was sent" }

// Answer is an answer whose header has been read.
type Answer struct {
	Header fasthttp.ResponseHeader
	// Body must be read to its end or closed.
	Body io.ReadCloser
	// Length is the body's length, -1 if it is unknown before the body's end.
	Length int
	// Reused is true if the connection had carried an exchange before.
	Reused bool
	// Via is the name of the box through which the connection goes, "" if it is direct.
	Via string
	// Sending is set if the request's stream was not sent whole when the answer began, and the
	// rest is sent. Body.Close waits for that, until the context ends.
	Sending bool
}

// Pool holds the connections to one address.
type Pool struct {
	Address string
	// Dial opens a connection.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdleConns bounds the idle connections that are kept for reuse.
	MaxIdleConns int
	// Now is the clock; it must be monotonic.
	Now func() time.Time
	// Idle learns for how long connections may be idle; nil learns nothing.
	Idle *IdleLimit
	// Reusable reports whether a connection may carry another exchange after one that ended
	// like this; StillUsable whether it is still fit for that later. Tests replace both.
	Reusable    func(End) bool
	StillUsable func(net.Conn) bool

	mu     sync.Mutex
	idle   []*connection
	closed bool
}

// End is how an exchange ended with respect to its connection.
type End struct {
	// Complete is set if request and answer were both transferred to their last byte.
	Complete bool
	// CloseAnnounced is set if the peer announced that it closes the connection.
	CloseAnnounced bool
	// Interrupted is set if the context ended before the exchange did.
	Interrupted bool
	// Leftover is set if unexpected bytes followed the answer.
	Leftover bool
}

func reusable(e End) bool {
	return e.Complete && !e.CloseAnnounced && !e.Interrupted && !e.Leftover
}

// NewPool returns an empty pool.
func NewPool(address string, maxIdle int, dial func(ctx context.Context, address string) (net.Conn, error)) *Pool {
	return &Pool{
		Address:      address,
		Dial:         dial,
		Now:          time.Now,
		MaxIdleConns: maxIdle,
		Reusable:     reusable,
		StillUsable:  StillUsable,
	}
}

// connection is a connection with its reader and writer.
type connection struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	written   int64
	idleSince time.Time
	// keepAlive is for how long the peer keeps the connection idle, 0 if it did not state
	// that.
	keepAlive time.Duration
	// reused is set if the connection has carried an exchange before; idleFor is for how long
	// it was then idle.
	reused  bool
	idleFor time.Duration
	// readErr is the error of the last read; the HTTP library replaces it with one of its own.
	readErr error
}

// keepAliveMargin is how much earlier than the peer this side closes an idle connection, so
// that no request is sent on a connection that the peer is closing.
const keepAliveMargin = time.Second

// fresh reports whether the connection has been idle for a short enough time to be reused.
func (c *connection) fresh(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if c.keepAlive > 0 && idle > c.keepAlive-keepAliveMargin {
		return false
	}
	return idle <= maxIdle
}

// Read records the error.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.readErr = err
	return n, err
}

// via returns the name of the box through which the connection goes, "" if it is direct.
func (c *connection) via() string {
	if relayed, ok := c.Conn.(interface{ Via() string }); ok {
		return relayed.Via()
	}
	return ""
}

// Write counts the bytes handed to the network.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// reset closes the connection and discards what it has not sent yet. During a network
// partition a connection may hold a request for seconds. If the connection is only closed, the
// request is delivered when the partition heals, to a server that has left meanwhile, long
// after it was known to leave.
func (c *connection) reset() {
	// A connection that is already closed has nothing to discard.
	_ = SetLinger(c.Conn, 0)
	_ = c.Conn.Close()
}

// Close closes the pool's idle connections. Those in use are closed when their exchange ends.
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

// CloseUnusable closes the idle connections that are no longer usable.
func (p *Pool) CloseUnusable() {
	p.mu.Lock()
	var kept, unusable []*connection
	for _, c := range p.idle {
		if p.StillUsable(c.Conn) {
			kept = append(kept, c)
		} else {
			unusable = append(unusable, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range unusable {
		_ = c.Conn.Close()
	}
}

// get returns an idle connection that is still open, or a new one. The restriction may be nil.
func (p *Pool) get(ctx context.Context, maxIdle time.Duration, r *Restriction) (*connection, error) {
	for {
		c := p.pop(r)
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
	dial := p.Dial
	if r != nil {
		dial = r.Dial
	}
	conn, err := dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	return newConnection(conn), nil
}

// Probe opens a connection and keeps it for another exchange. The error states why the
// connection failed.
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
	if c.via() == "" {
		// Another box tells by itself how the connection to the server has ended.
		c.Conn = NewResetConn(conn)
	}
	c.r = bufio.NewReaderSize(c, 16<<10)
	c.w = bufio.NewWriterSize(c, 4<<10)
	return c
}

// pop takes the idle connection that was used last, of those that the restriction allows.
func (p *Pool) pop(r *Restriction) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; r.allows(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// allows reports whether the connection may carry the request.
func (r *Restriction) allows(c *connection) bool { return r == nil || r.Allows(c.Conn) }

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
