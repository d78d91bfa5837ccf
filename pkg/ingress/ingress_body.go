package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/stoneworks/stoneworks/pkg/outcome"
)

// body is a request's body: held whole, or its beginning with the rest still
// to come.
type body struct {
	whole  []byte
	stream io.Reader
	// head is the beginning of a streamed body, and length its length, -1 if unknown.
	head   []byte
	length int
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.stream == nil }

// readBody reads the body as far as it is held whole.
func (c *call) readBody() *outcome.Failure {
	c.isBodyRead = true
	limit := c.server.Table().Configuration.Limits.BodyBytes
	if c.r.ContentLength > limit {
		return outcome.NewNotRun(outcome.ReasonTooLarge, "the body is larger than allowed")
	}
	if c.r.ContentLength == 0 || c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	// A client that stops sending must not hold the request past its time.
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

// bodyFailure says what went wrong with a body of which nothing was sent on.
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
