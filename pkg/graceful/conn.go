package graceful

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/exchange"
	"github.com/stoneworks/stoneworks/pkg/heads"
)

// closingAnswer is sent on a connection that is closed while no request is on it. A client that
// has just sent a request takes it for the answer, which states that the request was not run
// and that it may send it again (RFC 9110, section 15.5.9).
const closingAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusingAnswer is sent in place of the answer to a request for whose head there is no memory. The
// request has not been run.
const refusingAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// pastDeadline is a deadline that makes reads return at once.
var pastDeadline = time.Unix(1, 0)

// phase is what a connection is used for.
type phase int

const (
	// phaseNew: no byte of a request has been read yet.
	phaseNew phase = iota
	// phaseRequest: a request is being read or served.
	phaseRequest
	// phaseIdle: all requests have been answered.
	phaseIdle
	// phaseClosing: the connection closes, and no request is read from it any more.
	phaseClosing
)

// Conn is a connection as net/http reads and writes it.
type Conn struct {
	net.Conn
	group    *Connections
	accepted time.Time

	mu    sync.Mutex
	phase phase
	// deadline is the read deadline that net/http has set.
	deadline time.Time
	// isInterrupted is set while a past deadline makes the pending read return, so that the
	// connection can be closed.
	isInterrupted bool
	// isByteHeld is set if the last read was of a single byte. net/http reads one while it serves a
	// request, to detect that the client leaves, and keeps it as the first one of the next request.
	isByteHeld bool
	// failure is the error that ended the connection.
	failure  error
	isClosed bool
	// isHijacked is set once the connection carries no requests any more.
	isHijacked bool
	// isLast is set if no request may follow the one that is being served.
	isLast bool
	// isReset is set if the connection ends with a reset.
	isReset             bool
	firstByte, lastByte time.Time
	// requestBytes is how many bytes of the request have been read, and isAnswered is set once a
	// byte was written since its first one.
	requestBytes int
	isAnswered   bool
	// scanner follows the heads of requests, and headSize is what the group's account has counted
	// for the current one.
	scanner  heads.Scanner
	headSize int64
}

// NetConn returns the connection that Wrap was called with.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. net/http calls it from one goroutine at a time.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		// net/http reads a single byte only to detect that the client leaves during a request.
		c.beginServing()
	}
	if c.isClosing() {
		return 0, io.EOF
	}
	for {
		n, err := c.Conn.Read(p)
		switch c.noteRead(p[:n], len(p), err) {
		case readDone:
			return n, err
		case readRefused:
			return 0, c.refuse()
		case readInterrupted:
			if c.sayClosing() {
				return 0, io.EOF
			}
		}
	}
}

// readResult is what becomes of a read.
type readResult int

const (
	readDone readResult = iota
	// readRefused: there is no memory for what was read.
	readRefused
	// readInterrupted: the read was interrupted so that the connection can be closed.
	readInterrupted
)

// noteRead records the result of a read into a buffer of that size.
func (c *Conn) noteRead(data []byte, size int, err error) readResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(data)
	if n > 0 {
		c.noteBytes(n)
		c.isByteHeld = n == 1 && size == 1
		if !c.isHijacked && !c.reserveHead(c.scanner.Scan(data, size)) {
			return readRefused
		}
	}
	isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil && !isTimeout {
		c.failure = err
	}
	if c.isInterrupted && n == 0 && isTimeout {
		c.isInterrupted = false
		return readInterrupted
	}
	c.endInterrupt()
	return readDone
}

func (c *Conn) noteBytes(n int) {
	if c.phase != phaseRequest {
		c.beginRequest()
	}
	c.requestBytes += n
	c.lastByte = time.Now()
	if c.firstByte.IsZero() {
		c.firstByte = c.lastByte
		c.group.ObserveFirstByte(c.firstByte.Sub(c.accepted))
	}
}

func (c *Conn) beginRequest() {
	c.phase, c.requestBytes, c.isAnswered = phaseRequest, 0, false
}

// reserveHead makes the account count the head with the given size, in bytes.
func (c *Conn) reserveHead(size int64) (ok bool) {
	if ok = c.group.Heads.Grow(c.headSize, size); ok {
		c.headSize = size
	}
	return ok
}

// releaseHead takes back what the account has counted.
func (c *Conn) releaseHead() {
	c.group.Heads.Release(c.headSize)
	c.headSize = 0
}

// refuse answers the request whose head is being read, and makes net/http close the connection. No
// request after it is read.
func (c *Conn) refuse() error {
	c.mu.Lock()
	c.phase, c.isLast, c.isAnswered = phaseClosing, true, true
	c.mu.Unlock()
	address := c.RemoteAddr().String()
	inner, isPipelined := c.Conn.(interface{ EndRequests() (mayAnswer bool) })
	if isPipelined && !inner.EndRequests() {
		return refusal(address)
	}
	// Nothing depends on whether the client gets the answer.
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, refusingAnswer)
	return refusal(address)
}

// NoMemoryError is the error of reading a head for which there is no memory.
type NoMemoryError struct{ Client string }

// Error implements error.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for the head of a request of %s", e.Client)
}

// refusal returns the error of a refused head in the form after which net/http closes a connection
// without an answer of its own.
func refusal(client string) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: &NoMemoryError{Client: client}}
}

// beginServing records that a request is being served. net/http may have read it together with
// the one before it. It returns false if the request must not be served.
func (c *Conn) beginServing() (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseClosing {
		return false
	}
	if c.phase != phaseRequest {
		c.beginRequest()
	}
	c.scanner.EndHead()
	c.endInterrupt()
	return true
}

func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseClosing
}

// endInterrupt takes back an interruption.
func (c *Conn) endInterrupt() {
	if c.isInterrupted {
		c.isInterrupted = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.isAnswered = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.isInterrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the writing side. net/http looks for this method.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	isUnanswered := c.phase == phaseRequest && !c.isAnswered && c.failure == nil && !c.isClosed
	isLingering := c.isLast && !c.isReset && c.failure == nil && !c.isClosed
	c.isClosed = true
	c.releaseHead()
	u := Unanswered{
		Age: time.Since(c.accepted), FirstByte: c.firstByte.Sub(c.accepted), LastByte: time.Since(c.lastByte), Bytes: c.requestBytes,
	}
	c.mu.Unlock()
	if isUnanswered {
		c.group.OnUnanswered(u)
	}
	if isLingering {
		c.group.lingering.Go(c.linger)
		return nil
	}
	c.group.remove(c)
	return c.Conn.Close()
}

// linger closes the connection after it has read what the client still sends, for a while.
func (c *Conn) linger() {
	defer c.group.remove(c)
	defer func() { _ = c.Conn.Close() }()
	if c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// EndAfterAnswer makes the request of the context the last one of its connection, since the rest of its
// body is not read. net/http would take the rest for the next request where it cannot read it in time.
// When the connection is closed, it is read for a while, so that the bytes that the client still sends
// do not make the kernel reset it, which could discard the answer.
func EndAfterAnswer(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isLast = true
}

// ResetOnClose sets whether the connection of the request of the context ends with a reset, also if the
// process is killed. Where the end of the connection is the end of the answer, only a reset shows that the
// answer is incomplete.
func ResetOnClose(ctx context.Context, isReset bool) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReset = isReset
	linger := -1
	if isReset {
		linger = 0
	}
	// It fails only if the connection is closed already.
	_ = exchange.SetLinger(c.Conn, linger)
}

// becomeIdle records that all requests have been answered.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.scanner.Next()
	if c.isLast {
		c.phase = phaseClosing
		return
	}
	if c.isByteHeld {
		c.beginRequest()
		c.requestBytes, c.isByteHeld = 1, false
		return
	}
	c.phase = phaseIdle
}

// becomeHijacked records that the connection carries no requests any more.
func (c *Conn) becomeHijacked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHijacked = true
	c.releaseHead()
}

// interrupt makes the pending read of a connection return if no request is on it, or the next read if
// none is pending, which then closes it. New connections are included if withNew is set.
func (c *Conn) interrupt(withNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isInterrupted || c.phase != phaseIdle && (c.phase != phaseNew || !withNew) {
		return
	}
	c.isInterrupted = true
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// sayClosing tells the client that the connection closes, and reads what it still sends. It returns
// false if there is something to read, which may be a request.
func (c *Conn) sayClosing() bool {
	former := c.setPhase(phaseClosing, time.Time{})
	if !c.isQuiet() {
		c.setPhase(former, c.deadline)
		return false
	}
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, closingAnswer); err == nil && c.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return true
}

// setPhase sets the phase and a deadline of reads, and returns the former phase.
func (c *Conn) setPhase(p phase, deadline time.Time) (former phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former, c.phase = c.phase, p
	_ = c.Conn.SetReadDeadline(deadline)
	return former
}

// isQuiet reports whether the connection is open and has nothing to read.
func (c *Conn) isQuiet() bool {
	if inner, ok := c.Conn.(interface{ Quiet() bool }); ok {
		return inner.Quiet()
	}
	return exchange.StillUsable(c.Conn)
}
