package ingress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// body is a request's body: either the whole body, or its beginning with the rest still to be
// read.
type body struct {
	whole  []byte
	stream io.Reader
	// head is the beginning of a streamed body, and length is its length, -1 if unknown.
	head   []byte
	length int
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.stream == nil }

// bodyStep is how many further bytes of a body of unknown length are reserved at a time.
const bodyStep = 64 << 10

// reserveBody reserves room for what the box will hold of the body. Of a body of unknown length
// that is its beginning; reservingReader reserves the rest.
func (c *call) reserveBody() *outcome.Failure {
	if c.upload == nil {
		return nil
	}
	size := c.r.ContentLength
	if size < 0 {
		size = bodyStep
	}
	if admitted, retryAfter := c.reserve(size); !admitted {
		return newBoxFull(retryAfter)
	}
	return nil
}

// reserve asks whether the box has room for that many further bytes of the body, of which it
// holds at most bufferedBody and one.
func (c *call) reserve(bytes int64) (admitted bool, retryAfter time.Duration) {
	bytes = min(bytes, bufferedBody+1-c.reserved)
	admitted, retryAfter = c.server.Admission(c.priority(), bytes)
	if admitted {
		c.reserved += bytes
	}
	return admitted, retryAfter
}

func newBoxFull(retryAfter time.Duration) *outcome.Failure {
	return outcome.NewNotRun(outcome.ReasonBoxFull, "no memory for the body").WithRetryAfter(retryAfter)
}

// releaseBody returns the room that the body took.
func (c *call) releaseBody() {
	if c.reserved > 0 {
		c.server.Release(c.reserved)
	}
	c.reserved = 0
}

// reservingReader reads the beginning of a body of unknown length. It reads no byte before room
// for it has been reserved.
type reservingReader struct {
	call *call
	from io.Reader
	read int64
}

// boxFullError is the error of a body for whose next bytes the box has no room.
type boxFullError struct{ retryAfter time.Duration }

// Error implements error.
func (e *boxFullError) Error() string {
	return fmt.Sprintf("the box has no memory for more of the body for %v", e.retryAfter)
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	if r.read == r.call.reserved {
		if admitted, retryAfter := r.call.reserve(bodyStep); !admitted {
			return 0, &boxFullError{retryAfter}
		}
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.call.reserved-r.read)])
	r.read += int64(n)
	return n, err
}

// readBody reads the body up to the size that is buffered whole.
func (c *call) readBody() *outcome.Failure {
	limit := c.server.Table().Configuration.Limits.BodyBytes
	if c.r.ContentLength > limit {
		return outcome.NewNotRun(outcome.ReasonTooLarge, "the body is larger than allowed")
	}
	if c.upload == nil {
		return nil
	}
	// A client that stops sending must not block the request beyond its deadline.
	c.upload.setDeadline(time.Now().Add(c.deadline.Sub(c.server.Now())))
	reader := io.Reader(http.MaxBytesReader(nil, io.NopCloser(c.upload), limit))
	var buffer bytes.Buffer
	if c.r.ContentLength > 0 && c.r.ContentLength <= bufferedBody {
		buffer.Grow(int(c.r.ContentLength))
	}
	head := reader
	if c.r.ContentLength < 0 {
		head = &reservingReader{call: c, from: reader}
	}
	n, err := io.Copy(&buffer, io.LimitReader(head, bufferedBody+1))
	if err != nil {
		return c.bodyFailure(err)
	}
	if n <= bufferedBody {
		c.body.whole = buffer.Bytes()
		return nil
	}
	c.upload.setDeadline(time.Time{}) // the end of the request's context aborts the stream
	c.body.head = buffer.Bytes()
	c.body.stream = io.MultiReader(&buffer, reader)
	c.body.length = int(c.r.ContentLength)
	return nil
}

// bodyFailure classifies the error of reading a body of which nothing has been forwarded.
func (c *call) bodyFailure(err error) *outcome.Failure {
	var tooLarge *http.MaxBytesError
	var full *boxFullError
	switch {
	case errors.As(err, &full):
		return newBoxFull(full.retryAfter)
	case errors.As(err, &tooLarge):
		return outcome.NewNotRun(outcome.ReasonTooLarge, "the body is larger than allowed")
	case c.r.Context().Err() != nil:
		return outcome.NewNotRun(outcome.ReasonCancelled, "the client left")
	case !c.server.Now().Before(c.deadline):
		return outcome.NewNotRun(outcome.ReasonDeadline, "the body did not arrive in time").WithRetryAfter(notReadyRetry)
	}
	return outcome.NewNotRun(outcome.ReasonBadRequest, "the body is malformed or broke off")
}
