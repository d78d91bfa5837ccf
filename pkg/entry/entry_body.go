package entry

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"sync"
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
	// digest is set if the body has to be compared with that of another request.
	digest *bodyDigest
}

// Read implements io.Reader over a streamed body.
func (b *requestBody) Read(p []byte) (int, error) {
	b.started.Store(true)
	n, err := b.stream.Read(p)
	if b.digest != nil {
		b.digest.add(p[:n], errors.Is(err, io.EOF))
	}
	if err != nil && !errors.Is(err, io.EOF) && !b.aborted.Load() {
		b.broken.Store(true)
	}
	return n, err
}

// bodyDigest is a digest of a streamed body, computed while the body is read. Its values can be
// compared within one process only.
type bodyDigest struct {
	// length is the length of the body in bytes, -1 if only its end tells.
	length int

	mu   sync.Mutex
	hash maphash.Hash
	read int
	end  bool
}

// digestSeed is the seed of all digests.
var digestSeed = maphash.MakeSeed()

func newBodyDigest(length int) *bodyDigest {
	d := &bodyDigest{length: length}
	d.hash.SetSeed(digestSeed)
	return d
}

func (d *bodyDigest) add(p []byte, end bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = d.hash.Write(p)
	d.read += len(p)
	d.end = d.read == d.length || d.length < 0 && (d.end || end)
}

// sum returns the digest; whole is false if the body has not been read to its end.
func (d *bodyDigest) sum() (digest uint64, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hash.Sum64(), d.end
}

// readDigest reads a streamed body to its end and returns its digest.
func (b *requestBody) readDigest(ctx context.Context) (uint64, error) {
	stop := context.AfterFunc(ctx, b.interrupt)
	defer stop()
	var body io.Reader = b
	if b.length >= 0 {
		body = io.LimitReader(b, int64(b.length))
	}
	if _, err := io.Copy(io.Discard, body); err != nil {
		return 0, err
	}
	digest, whole := b.digest.sum()
	if !whole {
		return 0, io.ErrUnexpectedEOF
	}
	return digest, nil
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
