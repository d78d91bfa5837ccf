package pipeline

import (
	"bytes"
	"strconv"
	"strings"
)

// maxHeader is the size in bytes up to which a header is parsed here. The server has its own
// limit.
const maxHeader = 64 << 10

// framing tracks where the requests of a connection begin and end. It accepts only unambiguous
// framing; from the first ambiguity on, the rest of the connection is not parsed.
type framing struct {
	// head is the part of a header that has arrived.
	head []byte
	// bodyLeft is how many bytes of the request's body are still to come.
	bodyLeft int64
	// opaque is set once the ends of requests are no longer known.
	opaque bool
}

// betweenRequests reports whether the last request has arrived whole and nothing of the next one
// has.
func (f *framing) betweenRequests() bool {
	return !f.opaque && f.bodyLeft == 0 && len(f.head) == 0
}

// advance processes bytes as they arrive, and returns how many belong to the request that they
// continue or begin. The rest belongs to later requests and must be passed in again.
func (f *framing) advance(data []byte) int {
	if f.opaque {
		return len(data)
	}
	taken := 0
	if f.bodyLeft == 0 {
		taken = f.advanceHeader(data)
	}
	if f.opaque {
		return len(data)
	}
	part := min(f.bodyLeft, int64(len(data)-taken))
	f.bodyLeft -= part
	return taken + int(part)
}

// advanceHeader processes bytes of a header, and returns how many there were.
func (f *framing) advanceHeader(data []byte) int {
	before := len(f.head)
	head := data
	if before > 0 {
		f.head = append(f.head, data...)
		head = f.head
	}
	end := headerEnd(head)
	switch {
	case end > maxHeader || end < 0 && len(head) > maxHeader:
		f.opaque, f.head = true, nil
		return len(data)
	case end < 0:
		if before == 0 {
			f.head = append(f.head, data...)
		}
		return len(data)
	}
	length, ok := bodyLength(head[:end])
	f.head = nil
	f.bodyLeft = length
	f.opaque = !ok
	return end - before
}

// headerEnd returns the length of a header including its empty line, -1 if it is incomplete.
func headerEnd(data []byte) int {
	i := bytes.Index(data, []byte("\r\n\r\n"))
	if i < 0 {
		return -1
	}
	return i + 4
}

// bodyLength returns the length of the body that a header announces. ok is false if the header
// can be read in another way, or if only the body determines the length.
func bodyLength(head []byte) (length int64, ok bool) {
	first, rest, _ := bytes.Cut(bytes.TrimSuffix(head, []byte("\r\n\r\n")), lineEnd)
	if len(first) == 0 || bytes.ContainsAny(first, "\r\n") {
		return 0, false
	}
	found := false
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, lineEnd)
		name, value, isField := bytes.Cut(line, []byte{':'})
		if !isField || bytes.ContainsAny(line, "\r\n") || bytes.ContainsAny(name, " \t") {
			return 0, false
		}
		switch {
		case isName(name, "Transfer-Encoding"), isName(name, "Upgrade"):
			return 0, false
		case isName(name, "Content-Length"):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
			if err != nil || found {
				return 0, false
			}
			length, found = int64(n), true
		}
	}
	return length, true
}

var lineEnd = []byte("\r\n")

func isName(name []byte, known string) bool {
	return len(name) == len(known) && strings.EqualFold(string(name), known)
}
