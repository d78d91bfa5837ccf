package entry

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// requestBody is the body of a caller's request. A small body is buffered whole
// and can be sent more than once; any other is streamed and can be sent once.
type requestBody struct {
	bytes  []byte
	stream io.Reader
	length int
	// started is set at the first Read of a stream.
	started atomic.Bool
	aborted atomic.Bool
	// broken is set when reading the stream from the caller fails.
	broken atomic.Bool
	abort  func()
}

// Read implements io.Reader over a streamed body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.stream.Read(p)
	if err != nil && !errors.Is(err, io.EOF) && !b.aborted.Load() {
		b.broken.Store(true)
	}
	return n, err
}

// replayable reports whether the body can still be sent from its beginning.
func (b *requestBody) replayable() bool {
	return b.stream == nil || !b.started.Load()
}

// interrupt makes a blocked Read of the caller's stream return. The connection
// to the caller can only be closed after that.
func (b *requestBody) interrupt() {
	if b.stream != nil && b.aborted.CompareAndSwap(false, true) {
		b.abort()
	}
}

// openBody buffers a body of up to limit bytes whole and leaves a larger one, or one
// of unknown length, as a stream.
func openBody(ctx *fasthttp.RequestCtx, limit int) (*requestBody, *outcome.Failure) {
	length := ctx.Request.Header.ContentLength()
	if length == 0 || length == -2 {
		return &requestBody{}, nil
	}
	if !ctx.Request.IsBodyStream() {
		return &requestBody{bytes: ctx.Request.Body()}, nil
	}
	stream := ctx.RequestBodyStream()
	if length < 0 || length > limit {
		conn := ctx.Conn()
		return &requestBody{stream: stream, length: length, abort: func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) }}, nil
	}
	held := make([]byte, length)
	if _, err := io.ReadFull(stream, held); err != nil {
		return &requestBody{}, badRequest("the body is shorter than its Content-Length")
	}
	return &requestBody{bytes: held}, nil
}
