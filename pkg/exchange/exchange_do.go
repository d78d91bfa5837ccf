package exchange

import (
	"context"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// pastDeadline is a deadline that makes all reads and writes return at once.
var pastDeadline = time.Unix(1, 0)

// noDeadline removes a deadline.
var noDeadline time.Time

// Do sends the request and reads the answer's header. The error is an *Error.
//
// The context bounds the whole exchange including the body. When it ends, the connection is
// closed, which tells the peer that nobody is waiting for the answer.
func (p *Pool) Do(ctx context.Context, req *Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Stage: StageConnect, Cause: err}
	}
	maxIdle := req.MaxIdle
	if req.NonIdempotent {
		maxIdle = p.Idle.Cap(maxIdle)
	}
	c, err := p.get(ctx, maxIdle, req.Restriction)
	if err != nil {
		return nil, &Error{Stage: StageConnect, Cause: err}
	}
	if req.MaySend != nil && !req.MaySend() {
		p.put(c)
		return nil, &Error{Stage: StageConnect, Cause: &WithdrawnError{}}
	}
	if !req.Restriction.allows(c) {
		p.put(c)
		return nil, &Error{Stage: StageConnect, Cause: &RestrictionError{Via: c.via()}}
	}
	x := &roundTrip{pool: p, conn: c, ctx: ctx, abort: func() {}}
	if req.AbortStream != nil {
		x.abort = req.AbortStream
	}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	sent := time.Now()
	answer, failure := x.start(req)
	if failure != nil {
		if closedByPeer(c, failure, time.Since(sent)) {
			p.Idle.ObserveClosed(c.idleFor)
		}
		x.end(false)
		return nil, failure
	}
	return answer, nil
}

// roundTrip is an exchange in progress.
type roundTrip struct {
	pool       *Pool
	conn       *connection
	ctx        context.Context
	stop       func() bool
	closeAsked bool
	// abort makes the reader of a streamed body return.
	abort func()
	// sending runs while a streamed body is sent; sentWhole is set once it has been sent
	// whole.
	sending   conc.WaitGroup
	streamed  bool
	sentWhole atomic.Bool
	ended     bool
	// finishStream is set if the stream is sent to its end although the answer has begun.
	finishStream bool
}

// interrupt makes all reads and writes of the exchange return.
func (x *roundTrip) interrupt() {
	_ = x.conn.SetDeadline(pastDeadline)
	x.abort()
}

func (x *roundTrip) start(req *Request) (*Answer, *Error) {
	if err := contextError(x.ctx); err != nil {
		// The process may have been paused since the connection was taken.
		return nil, &Error{Stage: StageSend, Cause: err}
	}
	if err := x.send(req); err != nil {
		return nil, &Error{Stage: StageSend, Sent: x.conn.written > 0, Cause: x.cause(err), Via: x.conn.via()}
	}
	answer := &Answer{Reused: x.conn.reused, Via: x.conn.via()}
	if err := x.readMatchingHeader(req, &answer.Header); err != nil {
		return nil, &Error{Stage: StageHeader, Sent: true, Cause: x.cause(err), Via: x.conn.via()}
	}
	x.closeAsked = answer.Header.ConnectionClose()
	x.conn.keepAlive = parseKeepAlive(&answer.Header)
	x.finishStream = x.streamed && !x.sentWhole.Load() && !x.closeAsked && req.FinishStream != nil && req.FinishStream(&answer.Header)
	answer.Sending = x.finishStream
	x.openBody(req, answer)
	return answer, nil
}

// contextError returns why the context has ended, nil if it has not. After a pause of the
// process, a context may not have noticed yet that its deadline has passed.
func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// parseKeepAlive returns the idle time that the peer announces, 0 if it announces none.
func parseKeepAlive(h *fasthttp.ResponseHeader) time.Duration {
	_, rest, found := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !found {
		return 0
	}
	digits, _, _ := strings.Cut(rest, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// cause returns the error of the context if the context has ended, since that made the
// connection return err, and otherwise that of the connection if it has failed.
func (x *roundTrip) cause(err error) error {
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	if x.conn.readErr != nil {
		return x.conn.readErr
	}
	return err
}

// ----------------------------------------------------------------
// Sending
// ----------------------------------------------------------------

func (x *roundTrip) send(req *Request) error {
	if req.Stream == nil {
		req.Header.SetContentLength(len(req.Body))
		if len(req.Body) == 0 && req.Header.IsGet() {
			req.Header.Del(fasthttp.HeaderContentLength)
		}
		if err := req.Header.Write(x.conn.w); err != nil {
			return err
		}
		if _, err := x.conn.w.Write(req.Body); err != nil {
			return err
		}
		return x.conn.w.Flush()
	}
	req.Header.SetContentLength(req.Length)
	if err := req.Header.Write(x.conn.w); err != nil {
		return err
	}
	if err := x.conn.w.Flush(); err != nil {
		return err
	}
	x.streamed = true
	x.sending.Go(func() { x.sendStream(req) })
	return nil
}

// sendStream sends a body while the answer is awaited, since a backend server may refuse an
// upload without reading it.
func (x *roundTrip) sendStream(req *Request) {
	if err := x.copyStream(req); err != nil {
		// Part of the request is already sent; only closing the connection informs the peer.
		_ = x.conn.SetDeadline(pastDeadline)
		return
	}
	x.sentWhole.Store(true)
}

func (x *roundTrip) copyStream(req *Request) error {
	if req.Length >= 0 {
		n, err := io.Copy(x.conn.w, io.LimitReader(req.Stream, int64(req.Length)))
		if err != nil {
			return err
		}
		if n != int64(req.Length) {
			return io.ErrUnexpectedEOF
		}
		return x.conn.w.Flush()
	}
	chunks := httputil.NewChunkedWriter(x.conn.w)
	if _, err := io.Copy(chunks, req.Stream); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if _, err := x.conn.w.WriteString("\r\n"); err != nil {
		return err
	}
	return x.conn.w.Flush()
}

// ----------------------------------------------------------------
// Reading
// ----------------------------------------------------------------

// maxInterim bounds the interim answers, such as 103, before an answer.
const maxInterim = 64

func (x *roundTrip) readHeader(h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		if err := x.readHead(h); err != nil {
			return err
		}
		if status := h.StatusCode(); status < 100 || status >= 200 {
			return nil
		}
	}
	return &FramingError{Detail: fmt.Sprintf("more than %d interim answers", maxInterim)}
}

const (
	// maxMismatches bounds the answers to other requests that are discarded.
	maxMismatches = 4
	// maxSkipped bounds the body of such an answer, in bytes.
	maxSkipped = 1 << 20
)

// MismatchError is the error of an exchange that received only answers to other requests.
type MismatchError struct{}

// Error implements error.
func (e *MismatchError) Error() string { return "received only answers to other requests" }

// readMatchingHeader reads up to the header of the answer to this request. A late answer to the
// previous request may precede it.
func (x *roundTrip) readMatchingHeader(req *Request, h *fasthttp.ResponseHeader) error {
	for range maxMismatches {
		if err := x.readHeader(h); err != nil {
			return err
		}
		if req.Match == nil || req.Match(h) {
			return nil
		}
		if err := x.skipBody(h); err != nil {
			return err
		}
	}
	return &MismatchError{}
}

// skipBody reads the body of an answer to another request. After a body that ends when its
// connection is closed, no other answer can follow.
func (x *roundTrip) skipBody(h *fasthttp.ResponseHeader) error {
	switch length := h.ContentLength(); {
	case length >= 0 && length <= maxSkipped:
		_, err := io.CopyN(io.Discard, x.conn.r, int64(length))
		return err
	case length == -1:
		chunks := httputil.NewChunkedReader(x.conn.r)
		skipped, err := io.Copy(io.Discard, io.LimitReader(chunks, maxSkipped+1))
		if err != nil {
			return err
		}
		if skipped <= maxSkipped {
			return readTrailer(x.conn.r)
		}
	}
	return &MismatchError{}
}

func (x *roundTrip) openBody(req *Request, a *Answer) {
	status := a.Header.StatusCode()
	length := a.Header.ContentLength()
	switch {
	case req.Header.IsHead(), status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
		a.Length = 0
		a.Body = &body{trip: x, complete: true}
		x.endAnswer()
	case length >= 0:
		a.Length = length
		a.Body = &body{trip: x, left: int64(length), complete: length == 0}
		if length == 0 {
			x.endAnswer()
		}
	case length == -1:
		a.Length = -1
		a.Body = &body{trip: x, chunks: httputil.NewChunkedReader(x.conn.r)}
	default:
		// The body ends when the connection is closed; a reset is an error.
		a.Length = -1
		a.Body = &body{trip: x, untilClose: true}
		x.closeAsked = true
	}
}

// endAnswer ends the exchange after the whole answer was read, unless the body's Close does so.
func (x *roundTrip) endAnswer() {
	if !x.finishStream {
		x.end(true)
	}
}

// end returns the connection to the pool, or closes it if the exchange is incomplete. It
// returns only when the sender no longer reads the request's stream.
func (x *roundTrip) end(whole bool) {
	if x.ended {
		return
	}
	x.ended = true
	if whole && x.finishStream {
		x.sending.Wait()
	}
	// If the context has already ended, interrupt may still set a deadline.
	interrupted := !x.stop()
	if x.streamed {
		if !x.sentWhole.Load() {
			// The answer came before the whole request was sent, or the exchange failed.
			whole = false
			x.interrupt()
		}
		x.sending.Wait()
	}
	end := End{Complete: whole, CloseAnnounced: x.closeAsked, Interrupted: interrupted, Leftover: x.conn.r.Buffered() > 0}
	switch {
	case x.pool.Reusable(end):
		x.pool.put(x.conn)
	case whole:
		_ = x.conn.Conn.Close()
	default:
		x.conn.reset()
	}
}
