package ingress

import (
	"bytes"
	"errors"
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

// reserveBody asks whether the box has room for what it will hold of the body.
func (c *call) reserveBody() *outcome.Failure {
	bytes := c.r.ContentLength
	if bytes < 0 || bytes > bufferedBody {
		bytes = bufferedBody + 1
	}
	if bytes == 0 || c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	admitted, retryAfter := c.server.Admission(c.priority(), bytes)
	if !admitted {
		return outcome.NewNotRun(outcome.ReasonBoxFull, "no memory for the body").WithRetryAfter(retryAfter)
	}
	c.reserved = bytes
	return nil
}

// releaseBody returns the room that the body took.
func (c *call) releaseBody() {
	if c.reserved > 0 {
		c.server.Release(c.reserved)
	}
}

// readBody reads the body up to the size that is buffered whole.
func (c *call) readBody() *outcome.Failure {
	c.isBodyRead = true
	limit := c.server.Table().Configuration.Limits.BodyBytes
	if c.r.ContentLength > limit {
		return outcome.NewNotRun(outcome.ReasonTooLarge, "the body is larger than allowed")
	}
	if c.r.ContentLength == 0 || c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	// A client that stops sending must not block the request beyond its deadline.
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(c.deadline.Sub(c.server.Now())))
	reader := http.MaxBytesReader(nil, c.r.Body, limit)
	var buffer bytes.Buffer
	if c.r.ContentLength > 0 && c.r.ContentLength <= bufferedBody {
		buffer.Grow(int(c.r.ContentLength))
	}
	n, err := io.Copy(&buffer, io.LimitReader(reader, bufferedBody+1))
	if err != nil {
		return c.bodyFailure(err)
	}
	if n <= bufferedBody {
		c.body.whole = buffer.Bytes()
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	c.body.head = buffer.Bytes()
	c.body.stream = io.MultiReader(&buffer, reader)
	c.body.length = int(c.r.ContentLength)
	return nil
}

// bodyFailure classifies the error of reading a body of which nothing has been forwarded.
func (c *call) bodyFailure(err error) *outcome.Failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return outcome.NewNotRun(outcome.ReasonTooLarge, "the body is larger than allowed")
	case c.r.Context().Err() != nil:
		return outcome.NewNotRun(outcome.ReasonCancelled, "the client left")
	case !c.server.Now().Before(c.deadline):
		return outcome.NewNotRun(outcome.ReasonDeadline, "the body did not arrive in time").WithRetryAfter(notReadyRetry)
	}
	return outcome.NewNotRun(outcome.ReasonBadRequest, "the body is malformed or broke off")
}
