package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// body reads an answer's body and checks it against its framing: a premature end is an error,
// never io.EOF.
type body struct {
	trip   *roundTrip
	left   int64
	chunks io.Reader
	// untilClose is set if the body ends when its connection is closed.
	untilClose bool
	complete   bool
	failure    error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	switch {
	case b.failure != nil:
		return 0, b.failure
	case b.complete:
		return 0, io.EOF
	case b.chunks != nil:
		return b.readChunks(p)
	case b.untilClose:
		return b.readUntilClose(p)
	}
	return b.readLength(p)
}

func (b *body) readLength(p []byte) (int, error) {
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.trip.conn.r.Read(p)
	b.left -= int64(n)
	if b.left == 0 {
		b.finish()
		return n, nil
	}
	if err != nil {
		return n, b.fail(err)
	}
	return n, nil
}

func (b *body) readUntilClose(p []byte) (int, error) {
	n, err := b.trip.conn.r.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish()
		return n, io.EOF
	}
	if err != nil {
		return n, b.fail(err)
	}
	return n, nil
}

func (b *body) readChunks(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		if err := readTrailer(b.trip.conn.r); err != nil {
			return n, b.fail(err)
		}
		b.finish()
		return n, io.EOF
	}
	if err != nil {
		return n, b.fail(err)
	}
	return n, nil
}

// maxTrailer bounds the lines after the last chunk, in bytes.
const maxTrailer = 16 << 10

// readTrailer reads the lines after the last chunk up to the empty line.
func readTrailer(r *bufio.Reader) error {
	for left := maxTrailer; ; {
		line, err := r.ReadSlice('\n')
		left -= len(line)
		if errors.Is(err, bufio.ErrBufferFull) || left < 0 {
			return &FramingError{Detail: fmt.Sprintf("trailer longer than %d bytes", maxTrailer)}
		}
		if err != nil {
			return err
		}
		field, hasEnd := bytes.CutSuffix(line, endOfLine)
		if hasEnd && len(field) == 0 {
			return nil
		}
		if _, problem := fieldProblem(field); problem != "" {
			return &FramingError{Detail: problem}
		}
	}
}

// TooLongError is the error of an answer's body that is longer than the limit of its reader.
type TooLongError struct {
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string { return fmt.Sprintf("body longer than %d bytes", e.Limit) }

// ReadAll reads the body to its end, which may be at most limit bytes long, and closes it. The error is
// an *Error.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	defer func() { _ = a.Body.Close() }()
	if int64(a.Length) > limit {
		return nil, &Error{Stage: StageBody, Sent: true, Cause: &TooLongError{Limit: limit}, Via: a.Via}
	}
	text, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err == nil && int64(len(text)) > limit {
		err = &Error{Stage: StageBody, Sent: true, Cause: &TooLongError{Limit: limit}, Via: a.Via}
	}
	if err != nil {
		return nil, err
	}
	return text, nil
}

func (b *body) finish() {
	b.complete = true
	b.trip.endAnswer()
}

func (b *body) fail(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.failure = &Error{Stage: StageBody, Sent: true, Cause: b.trip.cause(err)}
	b.trip.end(false)
	return b.failure
}

// Close discards what has not been read.
func (b *body) Close() error {
	b.trip.end(b.complete)
	return nil
}
