package entry

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// requestBody is the body of a caller's request. Small bodies are held whole
// and can be sent more than once; others are passed on as they come, once.
type requestBody struct {
	bytes  []byte
	stream io.Reader
	length int
	// started is set when the first byte of a stream was asked for.
	started atomic.Bool
	aborted atomic.Bool
	// broken is set when the caller's own side of a stream failed.
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

// interrupt makes a Read that waits for the caller return. The connection to
// the caller can only be closed after that.
func (b *requestBody) interrupt() {
	if b.stream != nil && b.aborted.CompareAndSwap(false, true) {
		b.abort()
	}
}

// openBody reads a small body whole and leaves a large one as a stream.
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
