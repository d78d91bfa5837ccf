package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/stoneworks/stoneworks/pkg/graceful"
)

const (
	// maxDrained bounds, in bytes, the rest of a body that is read after a failure so that its
	// connection can be reused, and drainTime for how long it is read.
	maxDrained = 256 << 10
	drainTime  = 2 * time.Second
)

// SharedBodyError is the error of reading a body of which net/http may have discarded a part.
type SharedBodyError struct{}

// Error implements error.
func (e *SharedBodyError) Error() string {
	return "the answer has begun, which discards a part of the body that is still being read"
}

// upload is the body that a client sends. Answers may begin before its end.
type upload struct {
	from io.Reader
	// length is the body's length in bytes, -1 if it is unknown.
	length int64
	// setDeadline sets the deadline of reads from the client's connection; the zero time means none.
	setDeadline func(t time.Time)
	// isShared is set if net/http discards a part of the body when an answer begins before its end,
	// so that nothing may be read of it after that.
	isShared bool

	mu   sync.Mutex
	read int64
	// isAtEnd is set once the last byte was read, and failure once reads fail before that.
	isAtEnd bool
	failure error
}

// openUpload prepares reading the client's body, if it sends one, and lets answers begin before its
// end. Without that, net/http reads and discards up to 256 KiB of what has not been read when an
// answer begins, also while another goroutine reads the body.
func (c *call) openUpload() {
	if c.r.ContentLength == 0 || c.r.Body == nil || c.r.Body == http.NoBody {
		return
	}
	control := http.NewResponseController(c.w)
	c.upload = &upload{
		from: c.r.Body, length: c.r.ContentLength,
		// It fails only on a closed connection, from which nothing is read.
		setDeadline: func(t time.Time) { _ = control.SetReadDeadline(t) },
	}
	if err := control.EnableFullDuplex(); err != nil {
		c.upload.isShared = true
		c.server.Log.Debug("answers cannot begin before the end of the body", map[string]any{"request": c.meta.ID, "error": err.Error()})
	}
}

// expectsContinue reports whether the client waits for the status 100 before it sends the body. If an
// answer to such a request begins before the end of the body, net/http closes the connection.
func (c *call) expectsContinue() bool { return c.r.Header.Get("Expect") != "" }

// Read implements io.Reader.
func (u *upload) Read(p []byte) (int, error) {
	if err := u.brokenOff(); err != nil {
		return 0, err
	}
	n, err := u.from.Read(p)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failure != nil {
		return 0, u.failure
	}
	u.read += int64(n)
	switch {
	case errors.Is(err, io.EOF):
		u.isAtEnd = true
		// From here on net/http reads to detect that the client leaves.
		u.setDeadline(time.Time{})
	case err != nil:
		u.failure = err
	}
	return n, err
}

// isRead reports whether the whole body was read.
func (u *upload) isRead() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isAtEnd
}

// brokenOff returns why the body cannot be read to its end, nil if it can.
func (u *upload) brokenOff() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failure
}

// beginAnswer breaks the body off if its rest cannot be read once an answer has begun. It reports
// whether that is before the body's end, and whether the connection can be reused after the answer;
// isRead is set if the body is read to its end in any case.
func (u *upload) beginAnswer(isRead bool) (isEarly, isReusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isAtEnd {
		return false, true
	}
	if u.isShared && u.failure == nil {
		u.failure = &SharedBodyError{}
	}
	return true, u.failure == nil && (isRead || u.length >= 0 && u.length-u.read <= maxDrained)
}

// beginAnswer writes the header of an answer. isSending is set if the rest of the body is still being
// sent; otherwise, unless little is left of it, the client is told that the connection closes.
func (c *call) beginAnswer(status int, isSending bool) {
	isEarly, isReusable := false, true
	if c.upload != nil {
		isEarly, isReusable = c.upload.beginAnswer(isSending)
	}
	if isEarly {
		c.server.Count("uploads.answered_early")
	}
	if !isReusable {
		c.w.Header().Set("Connection", "close")
	}
	c.w.WriteHeader(status)
}

// endUpload ends the connection after the answer if the body has not been read to its end.
func (c *call) endUpload() {
	if c.upload != nil && !c.upload.isRead() {
		graceful.EndAfterAnswer(c.r.Context())
	}
}

// abort makes reads of the body return, unless its end was read.
func (u *upload) abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isAtEnd {
		u.setDeadline(time.Unix(1, 0))
	}
}

// drainUpload reads the rest of a body after its request was refused, so that the connection can be
// reused. No other goroutine reads the body any more.
func (c *call) drainUpload() {
	u := c.upload
	if u == nil || u.isShared || u.isAtEnd || u.read == 0 && c.expectsContinue() {
		return
	}
	if http.NewResponseController(c.w).Flush() != nil {
		return // the client has left
	}
	u.setDeadline(time.Now().Add(drainTime))
	_, _ = io.CopyN(io.Discard, u, maxDrained)
}
