package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"
)

var (
	startOfHead = []byte("HTTP/1.")
	version11   = []byte("HTTP/1.1 ")
	endOfLine   = []byte("\r\n")
	endOfHead   = []byte("\r\n\r\n")
)

// readHead reads the head of an answer. The HTTP library reads more than HTTP's grammar allows, and
// takes a part of such a head for an answer, so the head is checked first.
func (x *roundTrip) readHead(h *fasthttp.ResponseHeader) error {
	head, err := peekHead(x.conn.r)
	if err != nil {
		return err
	}
	if err := checkHead(head); err != nil {
		return err
	}
	return h.Read(x.conn.r)
}

// peekHead returns the next head with the empty line at its end, without consuming it. It must fit
// into the reader's buffer. Bytes that do not begin a head are not waited for to end as one.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for {
		held, _ := r.Peek(r.Buffered())
		if i := bytes.Index(held, endOfHead); i >= 0 {
			return held[:i+len(endOfHead)], nil
		}
		if known := min(len(held), len(startOfHead)); !bytes.Equal(held[:known], startOfHead[:known]) {
			return nil, &FramingError{Detail: fmt.Sprintf("it begins with %.20q", held)}
		}
		_, err := r.Peek(len(held) + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, &FramingError{Detail: fmt.Sprintf("longer than %d bytes", r.Size())}
		}
		if err != nil {
			return nil, err
		}
	}
}

// checkHead checks a head against the grammar of RFC 9112, sections 4 to 6. The error is a *FramingError.
func checkHead(head []byte) error {
	line, rest, _ := bytes.Cut(head, endOfLine)
	if problem := statusLineProblem(line); problem != "" {
		return &FramingError{Detail: problem}
	}
	hasLength, hasCoding := false, false
	for {
		line, rest, _ = bytes.Cut(rest, endOfLine)
		if len(line) == 0 {
			break
		}
		name, problem := fieldProblem(line)
		if problem != "" {
			return &FramingError{Detail: problem}
		}
		hasLength = hasLength || strings.EqualFold(name, fasthttp.HeaderContentLength)
		hasCoding = hasCoding || strings.EqualFold(name, fasthttp.HeaderTransferEncoding)
	}
	switch {
	case hasCoding && hasLength:
		return &FramingError{Detail: "both a length and a transfer coding"}
	case hasCoding && !bytes.HasPrefix(head, version11):
		return &FramingError{Detail: "a transfer coding outside HTTP/1.1"}
	}
	return nil
}

// statusLineProblem returns what is wrong with a status line, such as "HTTP/1.1 200 OK", "" if nothing
// is. An answer that switches protocols is never asked for.
func statusLineProblem(line []byte) string {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	digit, isHTTP1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	switch {
	case !isHTTP1 || len(digit) != 1 || !isDigits(digit):
		return fmt.Sprintf("version %.20q", version)
	case len(status) != 3 || !isDigits(status) || status[0] < '1' || status[0] > '5':
		return fmt.Sprintf("status %.20q", status)
	case string(status) == "101":
		return http.StatusText(http.StatusSwitchingProtocols)
	case !isFieldText(reason):
		return "a control byte in the status line"
	}
	return ""
}

// fieldProblem returns the name of a field line and what is wrong with the line, "" if nothing is. A
// line that continues the one before it is obsolete, and wrong here.
func fieldProblem(line []byte) (name, problem string) {
	before, value, hasColon := bytes.Cut(line, []byte(":"))
	switch {
	case !hasColon:
		return "", "a line without a colon"
	case !IsToken(before):
		return "", fmt.Sprintf("field name %.40q", before)
	case !isFieldText(value):
		return "", fmt.Sprintf("a control byte in the field %.40q", before)
	}
	return string(before), ""
}

func isDigits(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return true
}

// IsToken reports whether the text is a token of RFC 9110, section 5.6.2.
func IsToken(text []byte) bool {
	for _, b := range text {
		isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
		if !isLetter && (b < '0' || b > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isFieldText reports whether the text holds no control bytes but tabs.
func isFieldText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
